package integration

import (
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/soak"
)

// soakLength keeps the CI run short; longer soaks run by hand (make soak).
const soakLength = 8 * time.Second

// TestSoak runs a short soak with a fixed seed. A seed that violated a guarantee
// is added as a case named by the cause.
func TestSoak(t *testing.T) {
	tests := map[string]struct {
		seed   uint64
		length time.Duration
	}{
		"short": {1, soakLength},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			t.Cleanup(func() { keepLogs(t, dir) })
			report, err := soak.Run(t.Context(), binaries, soak.Options{
				Seed: test.seed, Length: test.length, DataCentres: dataCentres, HostsPerDataCentre: 3, Dir: dir,
			})
			if err != nil {
				t.Fatal(err)
			}
			if len(report.Violations) > 0 {
				t.Errorf("got %d violations, want none:\n%s", len(report.Violations), report)
			}
		})
	}
}
