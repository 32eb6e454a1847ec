package admission

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
)

const (
	stopWork = 100 * time.Millisecond
	// manyRequests tell the longest time well.
	manyRequests = 16
)

// stopGate is a gate with one slot and a clock that the test moves.
type stopGate struct {
	*Gate
	// mu guards the clock and the planned calls, which waiting requests use too.
	mu    sync.Mutex
	clock time.Time
	// planned holds the calls that the gate arranged, with their times.
	planned []plannedCall
}

type plannedCall struct {
	at   time.Time
	call func()
}

func newStopGate() *stopGate {
	g := &stopGate{clock: time.Unix(1000, 0)}
	g.Gate = NewGate(g.now, 1, 4, WithAfter(func(d time.Duration, f func()) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.planned = append(g.planned, plannedCall{g.clock.Add(d), f})
	}))
	return g
}

func (g *stopGate) now() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.clock
}

// advance moves the clock and makes the calls that are due.
func (g *stopGate) advance(d time.Duration) {
	for _, p := range g.takeDue(d) {
		p.call()
	}
}

// takeDue moves the clock and removes the calls that are due.
func (g *stopGate) takeDue(d time.Duration) []plannedCall {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clock = g.clock.Add(d)
	var due, later []plannedCall
	for _, p := range g.planned {
		if p.at.After(g.clock) {
			later = append(later, p)
		} else {
			due = append(due, p)
		}
	}
	g.planned = later
	return due
}

// run runs requests one after the other, with the given outcome.
func (g *stopGate) run(t *testing.T, requests int, took time.Duration, outcome Outcome) {
	t.Helper()
	for range requests {
		release, refusal := g.Acquire(context.Background(), Work{Deadline: g.now().Add(time.Minute)})
		if refusal != nil {
			t.Fatalf("refused: %v", refusal)
		}
		g.advance(took)
		release(outcome)
	}
}

// TestGateBeforeStop guards against a request that is given a slot although it may still
// run when the process that waits for its answer ends, and against one that is refused
// although it ends before that.
func TestGateBeforeStop(t *testing.T) {
	tests := map[string]struct {
		// succeeded and failed are the requests that ran before.
		succeeded, failed int
		// finish and end are the bounds of the request and of the gate; 0 sets none.
		finish, end time.Duration
		deadline    time.Duration
		want        verdict.Reason
	}{
		"no stop":                                 {deadline: time.Minute},
		"unknown time":                            {finish: 2 * time.Second, deadline: 5 * time.Second, want: verdict.StopTooNear},
		"unknown time, this process stops":        {end: 2 * time.Second, deadline: 5 * time.Second, want: verdict.StopTooNear},
		"unknown time, deadline before the stop":  {finish: 2 * time.Second, deadline: time.Second},
		"one request tells little":                {succeeded: 1, finish: 8*stopWork - 1, deadline: 5 * time.Second, want: verdict.StopTooNear},
		"eight times the only request fits":       {succeeded: 1, finish: 8 * stopWork, deadline: 5 * time.Second},
		"four requests tell more":                 {succeeded: 4, finish: 4 * stopWork, deadline: 5 * time.Second},
		"four times the longest does not fit":     {succeeded: 15, finish: 4*stopWork - 1, deadline: 5 * time.Second, want: verdict.StopTooNear},
		"failures do not tell the time":           {failed: 40, finish: 2 * time.Second, deadline: 5 * time.Second, want: verdict.StopTooNear},
		"twice the longest time fits":             {succeeded: 16, finish: 2 * stopWork, deadline: 5 * time.Second},
		"twice the longest time does not fit":     {succeeded: 16, finish: 2*stopWork - 1, deadline: 5 * time.Second, want: verdict.StopTooNear},
		"known time, this process stops too soon": {succeeded: 16, finish: time.Minute, end: 2*stopWork - 1, deadline: time.Hour, want: verdict.StopTooNear},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newStopGate()
			g.run(t, test.succeeded, stopWork, Succeeded)
			g.run(t, test.failed, stopWork, Failed)
			work := Work{Deadline: g.now().Add(test.deadline)}
			if test.finish > 0 {
				work.FinishBy = g.now().Add(test.finish)
			}
			if test.end > 0 {
				g.FinishBy(g.now().Add(test.end))
			}
			_, refusal := g.Acquire(context.Background(), work)
			if got := reasonOf(refusal); got != test.want {
				t.Errorf("got refusal %q, want %q", got, test.want)
			}
		})
	}
}

func reasonOf(refusal *verdict.Refusal) verdict.Reason {
	if refusal == nil {
		return ""
	}
	return refusal.Reason()
}

// TestQueueBeforeStop guards against a request that leaves the queue for a slot so late
// that it may still run when its process ends.
func TestQueueBeforeStop(t *testing.T) {
	const finish = time.Second
	// The functions set the bound of the request before it waits, and that of the gate
	// after.
	tests := map[string]struct {
		before func(g *stopGate, work *Work)
		after  func(g *stopGate)
	}{
		"entry node stops": {func(g *stopGate, work *Work) { work.FinishBy = g.now().Add(finish) }, func(*stopGate) {}},
		"this node stops":  {func(*stopGate, *Work) {}, func(g *stopGate) { g.FinishBy(g.now().Add(finish)) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newStopGate()
			g.run(t, manyRequests, stopWork, Succeeded)
			_, _ = g.Acquire(context.Background(), Work{Deadline: g.now().Add(time.Minute)})
			work := Work{Deadline: g.now().Add(10 * time.Second)}
			test.before(g, &work)
			refused := g.queueBehind(work)
			test.after(g)
			g.advance(finish - 2*stopWork - stopWork)
			if len(refused) > 0 {
				t.Errorf("refused as %q while it could still start in time", <-refused)
			}
			g.advance(stopWork + time.Millisecond)
			select {
			case got := <-refused:
				if got != verdict.StopTooNear {
					t.Errorf("got refusal %q, want %q", got, verdict.StopTooNear)
				}
			case <-time.After(time.Second):
				t.Error("the request still waits though it cannot end in time")
			}
		})
	}
}

// queueBehind queues a request behind the one that runs. The channel yields the reason
// of its refusal.
func (g *stopGate) queueBehind(work Work) <-chan verdict.Reason {
	refused := make(chan verdict.Reason, 1)
	go func() {
		_, refusal := g.Acquire(context.Background(), work)
		refused <- reasonOf(refusal)
	}()
	for g.InFlight() < 2 {
		time.Sleep(time.Millisecond)
	}
	return refused
}

// TestLongestTimeIsForgotten guards against one slow request that decides for ever.
func TestLongestTimeIsForgotten(t *testing.T) {
	g := newStopGate()
	g.run(t, 1, 5*time.Second, Succeeded)
	g.run(t, manyRequests, stopWork, Succeeded)
	if got, _ := g.estimates.bound("", g.now()); got != 10*time.Second {
		t.Errorf("got a bound of %v, want twice the slow request", got)
	}
	g.advance(longestWindow)
	g.run(t, manyRequests, stopWork, Succeeded)
	g.advance(longestWindow)
	if got, known := g.estimates.bound("", g.now()); got != 2*stopWork || !known {
		t.Errorf("got a bound of %v, %v, want %v", got, known, 2*stopWork)
	}
	g.run(t, manyRequests, stopWork, Succeeded)
	g.advance(2 * longestWindow)
	if got, known := g.estimates.bound("", g.now()); known {
		t.Errorf("got a bound of %v from requests of two periods ago, want none", got)
	}
}
