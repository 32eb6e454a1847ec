package fleet

import (
	"testing"
	"time"
)

// TestWaitByPriority guards against a backend server that looks slow to urgent
// requests because less urgent ones reported a long wait there.
func TestWaitByPriority(t *testing.T) {
	now := time.Unix(100, 0)
	report := func(priority int, wait time.Duration) func(*LoadStats) {
		return func(s *LoadStats) { s.AddReport(now, "kind", priority, LoadReport{Wait: wait}) }
	}
	tests := map[string]struct {
		reports  []func(*LoadStats)
		priority int
		want     time.Duration
	}{
		"no report":                     {nil, 1, 0},
		"same priority":                 {[]func(*LoadStats){report(1, time.Second)}, 1, time.Second},
		"less urgent requests":          {[]func(*LoadStats){report(2, time.Second)}, 1, 0},
		"more urgent requests":          {[]func(*LoadStats){report(0, time.Second)}, 1, time.Second},
		"same priority and less urgent": {[]func(*LoadStats){report(1, time.Millisecond), report(2, time.Second)}, 1, time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			stats := newLoadStats()
			for _, r := range test.reports {
				r(stats)
			}
			if got := stats.Estimate(now, "kind", test.priority).Wait; got != test.want {
				t.Errorf("got a wait of %v, want %v", got, test.want)
			}
		})
	}
}
