package rollout

import (
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// failed is the evidence of one node: failed requests on the new version.
func failed(node string, requests uint64) *wire.Evidence {
	return &wire.Evidence{Node: node, Sequence: 2, Totals: []*wire.RouteTotals{{Version: "v2", Route: "r", Requests: requests, Failures: requests}}}
}

// TestHistoryKeepsEvidence guards against failures that do not count against a version
// because their node joined or was restarted during the stage.
func TestHistoryKeepsEvidence(t *testing.T) {
	tests := map[string]struct {
		// evidence holds what is known at one time after the other; a stage begins
		// after the first.
		evidence [][]*wire.Evidence
		want     uint64
	}{
		"before the first evidence": {[][]*wire.Evidence{{failed("a", 5)}, {failed("a", 5)}}, 0},
		"node known from the start": {[][]*wire.Evidence{{failed("a", 5)}, {failed("a", 9)}}, 4},
		"node joins":                {[][]*wire.Evidence{{failed("a", 0)}, {failed("a", 0), failed("b", 0)}, {failed("a", 0), failed("b", 7)}}, 7},
		"node restarted":            {[][]*wire.Evidence{{failed("a", 5)}, {failed("a", 9)}, {failed("a", 2)}, {failed("a", 3)}}, 7},
		"node gone":                 {[][]*wire.Evidence{{failed("a", 5)}, {failed("a", 9)}, {}}, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := NewHistory(&wire.Move{To: "v2", Sequence: 2})
			at := time.UnixMilli(1_700_000_000_000)
			for i, evidence := range test.evidence {
				h.Add(at.Add(time.Duration(i)*time.Second), evidence)
				h.StartStage(at)
			}
			if got := h.Stage()["r"].New; got.Failures != test.want || got.Requests != test.want {
				t.Errorf("got %d failures of %d requests, want %d", got.Failures, got.Requests, test.want)
			}
		})
	}
}

// TestStagesCountOnce guards against outcomes that count in the stage that ended as well
// as in the one that began.
func TestStagesCountOnce(t *testing.T) {
	h := NewHistory(&wire.Move{To: "v2", Sequence: 2})
	start := time.UnixMilli(1_700_000_000_000)
	at := func(second int) time.Time { return start.Add(time.Duration(second) * time.Second) }
	stageStarts := []int{0, 0, 0, 2, 2}
	for second, stageStart := range stageStarts {
		h.Add(at(second), []*wire.Evidence{failed("a", uint64(10*second))})
		h.StartStage(at(stageStart))
	}
	total := uint64(0)
	for _, stage := range h.Stages() {
		total += stage["r"].New.Requests
	}
	if got, want := total, uint64(40); got != want {
		t.Errorf("the stages hold %d requests, want %d", got, want)
	}
}
