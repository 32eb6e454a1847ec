package request

import (
	"math"
	"testing"
	"time"
)

// TestSharedBudgetHoldsForAnyFleet: with every attempt failing, a fleet of any
// size spends most of what it may and no more, in trouble and right after all
// its nodes were restarted.
func TestSharedBudgetHoldsForAnyFleet(t *testing.T) {
	const (
		burst    = 200.0
		percent  = 20
		requests = 20_000
		// tolerance is three deviations of the chances that small parts are spent on.
		tolerance = 3 * 15
	)
	tests := map[string]struct{ nodes int }{
		"one node":         {1},
		"a small fleet":    {12},
		"a grown fleet":    {96},
		"over a part each": {300},
		"a large fleet":    {2600},
	}
	earned := usableRatio * requests * percent / percentOfRequest
	least, most := 0.9*earned-math.Sqrt(earned), earned+usableBurst*burst+tolerance
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := float64(playFailures(test.nodes, requests, burst, percent))
			if got < least || got > most {
				t.Errorf("got %.0f retries, want %.0f to %.0f", got, least, most)
			}
		})
	}
}

// playFailures sends requests that all fail through the nodes in turn, and
// returns the number of retries.
func playFailures(nodes, requests int, burst float64, percent int) int {
	fleet := make([]*Budget, nodes)
	for i := range fleet {
		fleet[i] = NewSharedBudget(time.Now, burst, func() int { return nodes })
	}
	spent := 0
	for i := range requests {
		b := fleet[i%nodes]
		b.Earn("s", percent)
		if b.Spend("s") {
			spent++
		}
	}
	return spent
}

// TestSharedBudgetStartsEmpty: a restarted node cannot spend what an earlier
// life of it may have spent, also before it knows of any other node.
func TestSharedBudgetStartsEmpty(t *testing.T) {
	b := NewSharedBudget(time.Now, 1000, func() int { return 1 })
	if b.Spend("s") {
		t.Error("got a retry before any request, want none")
	}
}
