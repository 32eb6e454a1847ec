package admission

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
)

func acquire(t *testing.T, g *Gate, deadline time.Duration) func(Outcome) {
	t.Helper()
	release, refusal := g.Acquire(context.Background(), Work{Deadline: time.Now().Add(deadline)})
	if refusal != nil {
		t.Fatalf("refused: %v", refusal)
	}
	return release
}

// TestGateRefuses checks that a gate at once refuses a request that cannot be
// answered in time, does not fit into the queue or arrives after Close, with the
// verdict not_run, so that the caller can retry elsewhere.
func TestGateRefuses(t *testing.T) {
	tests := map[string]struct {
		prepare  func(*testing.T, *Gate)
		deadline time.Duration
		want     verdict.Reason
	}{
		"queue full": {deadline: time.Second, want: verdict.QueueFull, prepare: func(t *testing.T, g *Gate) {
			acquire(t, g, time.Second)
			go func() { _, _ = g.Acquire(context.Background(), Work{Deadline: time.Now().Add(time.Second)}) }()
			for g.InFlight() < 2 {
				time.Sleep(time.Millisecond)
			}
		}},
		"deadline before a slot is free": {deadline: 20 * time.Millisecond, want: verdict.DeadlineTooNear, prepare: func(t *testing.T, g *Gate) { acquire(t, g, time.Second) }},
		"closed": {deadline: time.Second, want: verdict.Draining, prepare: func(_ *testing.T, g *Gate) {
			g.Close(verdict.Refuse(verdict.NotRun, verdict.Draining))
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewGate(time.Now, 1, 1)
			test.prepare(t, g)
			_, refusal := g.Acquire(context.Background(), Work{Deadline: time.Now().Add(test.deadline)})
			if refusal == nil || refusal.Reason() != test.want || refusal.Verdict() != verdict.NotRun {
				t.Errorf("got refusal %v, want verdict not_run with reason %s", refusal, test.want)
			}
		})
	}
}

// TestGateServesByDeadline checks that queued requests of one priority are served
// by deadline. In order of arrival, urgent requests would miss theirs.
func TestGateServesByDeadline(t *testing.T) {
	g := NewGate(time.Now, 1, 3)
	release := acquire(t, g, time.Second)
	order := make(chan int, 3)
	var wg sync.WaitGroup
	for i, deadline := range []time.Duration{3 * time.Second, time.Second, 2 * time.Second} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			release, refusal := g.Acquire(context.Background(), Work{Deadline: time.Now().Add(deadline)})
			if refusal != nil {
				t.Errorf("refused: %v", refusal)
				return
			}
			order <- i
			release(Succeeded)
		}()
		for g.InFlight() < i+2 {
			time.Sleep(time.Millisecond)
		}
	}
	release(Succeeded)
	wg.Wait()
	for _, want := range []int{1, 2, 0} {
		if got := <-order; got != want {
			t.Errorf("request %d was served next, want %d", got, want)
		}
	}
}

// TestGateLimitAdapts checks that the limit falls after overloaded requests and
// recovers to the slots after successes. Otherwise an overloaded backend server
// would stay overloaded, or a recovered one would stay partly unused.
func TestGateLimitAdapts(t *testing.T) {
	now := time.Now()
	g := NewGate(func() time.Time { return now }, 10, 0)
	for range 5 {
		release, _ := g.Acquire(context.Background(), Work{Deadline: now.Add(time.Hour)})
		release(Overloaded)
		now = now.Add(minDecreaseInterval)
	}
	low := g.Limit()
	if low >= 5 {
		t.Errorf("limit is %.1f after five overloads, want under 5", low)
	}
	for range 200 {
		var releases []func(Outcome)
		for {
			release, refusal := g.Acquire(context.Background(), Work{Deadline: now.Add(time.Hour)})
			if refusal != nil {
				break
			}
			releases = append(releases, release)
		}
		for _, release := range releases {
			release(Succeeded)
		}
	}
	if got := g.Limit(); got != 10 {
		t.Errorf("limit is %.1f after successes at the limit, want 10", got)
	}
}

// TestGateNeverOverLimit checks that no more requests run than there are slots
// while many goroutines acquire, time out and release at once. A slot that is
// counted wrongly in a race between a timeout and an admission would overload
// the backend server or leak.
func TestGateNeverOverLimit(t *testing.T) {
	const slots = 4
	g := NewGate(time.Now, slots, 8)
	var mu sync.Mutex
	running, maxRunning := 0, 0
	var wg sync.WaitGroup
	for range 64 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 50 {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Millisecond)
				release, refusal := g.Acquire(ctx, Work{Deadline: time.Now().Add(5 * time.Millisecond)})
				cancel()
				if refusal != nil {
					continue
				}
				mu.Lock()
				running++
				maxRunning = max(maxRunning, running)
				mu.Unlock()
				time.Sleep(50 * time.Microsecond)
				mu.Lock()
				running--
				mu.Unlock()
				release(Succeeded)
			}
		}()
	}
	wg.Wait()
	if maxRunning > slots {
		t.Errorf("%d requests ran at once, want at most %d", maxRunning, slots)
	}
	if got := g.InFlight(); got != 0 {
		t.Errorf("%d requests are in flight at the end, want 0", got)
	}
}

// TestBreaker checks that a breaker opens after consecutive failures, lets one
// request through after the pause and closes after a success. A breaker that
// stays open would leave a recovered backend server without requests.
func TestBreaker(t *testing.T) {
	now := time.Now()
	b := NewBreaker(func() time.Time { return now })
	for range failuresToOpen {
		if !b.Allow() {
			t.Fatal("closed breaker refused a request")
		}
		b.Record(true)
	}
	if b.Allow() {
		t.Error("open breaker allowed a request")
	}
	now = now.Add(openFor)
	if !b.Allow() || b.Allow() {
		t.Error("want exactly one request let through after the pause")
	}
	b.Record(false)
	if !b.Allow() {
		t.Error("breaker refused a request after a success")
	}
}
