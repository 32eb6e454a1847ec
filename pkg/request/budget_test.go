package request

import (
	"math"
	"testing"
	"time"
)

// TestSharedBudgetHoldsForAnyFleet guards against a shared budget whose total
// depends on the size of the fleet. Every attempt fails, and all nodes have just
// started: the retries of all nodes together must use nearly all that the fleet
// earns and stay within its bounds, also if a node's part of the burst is less
// than one retry.
func TestSharedBudgetHoldsForAnyFleet(t *testing.T) {
	const (
		burst    = 200.0
		percent  = 20
		requests = 20_000
		// tolerance is three standard deviations of the retries that nodes with
		// less than one retry left make at random.
		tolerance = 3 * 15
	)
	tests := map[string]struct{ nodes int }{
		"one node":                             {1},
		"12 nodes":                             {12},
		"96 nodes":                             {96},
		"more nodes than retries in the burst": {300},
		"2600 nodes":                           {2600},
	}
	earned := usableRatioPart * requests * percent / fullPercent
	minRetries, maxRetries := 0.9*earned-math.Sqrt(earned), earned+usableBurstPart*burst+tolerance
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := float64(sendFailingRequests(test.nodes, requests, burst, percent))
			if got < minRetries || got > maxRetries {
				t.Errorf("got %.0f retries, want %.0f to %.0f", got, minRetries, maxRetries)
			}
		})
	}
}

// sendFailingRequests sends requests that all fail through the nodes in turn, and
// returns the number of retries.
func sendFailingRequests(nodes, requests int, burst float64, percent int) int {
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

// TestSharedBudgetStartsEmpty guards against a restarted node that spends the
// burst again, which its earlier incarnation may have spent. This is worst before
// the node knows any other node, because its part is then the whole burst.
func TestSharedBudgetStartsEmpty(t *testing.T) {
	b := NewSharedBudget(time.Now, 1000, func() int { return 1 })
	if b.Spend("s") {
		t.Error("got a retry before any request, want none")
	}
}
