package routing

import (
	"testing"
	"time"
)

// TestReach: a data centre counts as cut off after a few of its nodes failed
// without an answer from any other, and is tried again after a while.
func TestReach(t *testing.T) {
	tests := map[string]struct {
		play func(r *reach, wait func(time.Duration))
		want bool
	}{
		"nothing known": {func(*reach, func(time.Duration)) {}, false},
		"few nodes": {func(r *reach, _ func(time.Duration)) {
			r.failed("a", "1")
			r.failed("a", "2")
		}, false},
		"one node again and again": {func(r *reach, _ func(time.Duration)) {
			for range 9 {
				r.failed("a", "1")
			}
		}, false},
		"enough nodes": {func(r *reach, _ func(time.Duration)) { failAll(r) }, true},
		"an answer between": {func(r *reach, _ func(time.Duration)) {
			r.failed("a", "1")
			r.failed("a", "2")
			r.answered("a")
			r.failed("a", "3")
		}, false},
		"an answer of another": {func(r *reach, _ func(time.Duration)) {
			failAll(r)
			r.answered("b")
		}, true},
		"tried again": {func(r *reach, wait func(time.Duration)) {
			failAll(r)
			wait(avoidTime)
		}, false},
		"still cut off when tried again": {func(r *reach, wait func(time.Duration)) {
			failAll(r)
			wait(avoidTime)
			r.failed("a", "1")
		}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			r := newReach(func() time.Time { return now })
			test.play(r, func(d time.Duration) { now = now.Add(d) })
			if got := r.isCut("a"); got != test.want {
				t.Errorf("got cut off %v, want %v", got, test.want)
			}
		})
	}
}

func failAll(r *reach) {
	for _, node := range []string{"1", "2", "3"} {
		r.failed("a", node)
	}
}

// TestPickAvoidsCutDataCentre: with another data centre cut off, its endpoints
// come last although no one of them was tried.
func TestPickAvoidsCutDataCentre(t *testing.T) {
	slow, fast := newReport(900), newReport(100)
	p := newTestPicker(slow, fast)
	need := Need{Service: "quotes", Version: "v1", Kind: "view", Priority: 1, Objective: 400 * time.Millisecond, Left: 400 * time.Millisecond}
	for _, want := range []string{"remote", "local"} {
		choice, ok := p.Pick(need, nil)
		if !ok {
			t.Fatal("nothing was picked")
		}
		if got := choice.Endpoint.Record().GetNode(); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
		for _, node := range []string{"1", "2", "3"} {
			p.reach.failed("rufisque", node)
		}
	}
}
