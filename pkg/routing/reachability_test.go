package routing

import (
	"testing"
	"time"
)

// TestReachability checks when a data centre is considered unreachable: after
// three of its nodes failed without an answer from any node there, until
// avoidTime has passed since the last failure. Otherwise requests would go on to
// nodes of a disconnected data centre, or avoid a data centre that works.
func TestReachability(t *testing.T) {
	tests := map[string]struct {
		steps func(r *reachability, wait func(time.Duration))
		want  bool
	}{
		"no failures": {func(*reachability, func(time.Duration)) {}, false},
		"two nodes failed": {func(r *reachability, _ func(time.Duration)) {
			r.recordFailure("a", "1")
			r.recordFailure("a", "2")
		}, false},
		"one node failed repeatedly": {func(r *reachability, _ func(time.Duration)) {
			for range 9 {
				r.recordFailure("a", "1")
			}
		}, false},
		"three nodes failed": {func(r *reachability, _ func(time.Duration)) { failThreeNodes(r) }, true},
		"answer between failures": {func(r *reachability, _ func(time.Duration)) {
			r.recordFailure("a", "1")
			r.recordFailure("a", "2")
			r.recordAnswer("a")
			r.recordFailure("a", "3")
		}, false},
		"answer from another data centre": {func(r *reachability, _ func(time.Duration)) {
			failThreeNodes(r)
			r.recordAnswer("b")
		}, true},
		"avoid time passed": {func(r *reachability, wait func(time.Duration)) {
			failThreeNodes(r)
			wait(avoidTime)
		}, false},
		"failure after avoid time": {func(r *reachability, wait func(time.Duration)) {
			failThreeNodes(r)
			wait(avoidTime)
			r.recordFailure("a", "1")
		}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			r := newReachability(func() time.Time { return now })
			test.steps(r, func(d time.Duration) { now = now.Add(d) })
			if got := r.isUnreachable("a"); got != test.want {
				t.Errorf("got unreachable %v, want %v", got, test.want)
			}
		})
	}
}

func failThreeNodes(r *reachability) {
	for _, node := range []string{"1", "2", "3"} {
		r.recordFailure("a", node)
	}
}

// TestPickAvoidsUnreachableDataCentre checks that an endpoint in an unreachable
// data centre is not picked although no request to it failed: three other nodes
// of the data centre did. Otherwise each endpoint there would cost a failed
// attempt.
func TestPickAvoidsUnreachableDataCentre(t *testing.T) {
	slow, fast := newReport(900), newReport(100)
	p := newTestPicker(slow, fast)
	need := Need{Service: "quotes", Version: "v1", Kind: "view", Priority: 1, Objective: 400 * time.Millisecond, Remaining: 400 * time.Millisecond}
	for _, want := range []string{"remote", "local"} {
		choice, ok := p.Pick(need, nil)
		if !ok {
			t.Fatal("no endpoint was picked")
		}
		if got := choice.Endpoint.Record().GetNode(); got != want {
			t.Errorf("picked the endpoint on node %s, want %s", got, want)
		}
		for _, node := range []string{"1", "2", "3"} {
			p.reachability.recordFailure("rufisque", node)
		}
	}
}
