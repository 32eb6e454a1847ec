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
	leave, refusal := g.Acquire(context.Background(), Work{Deadline: time.Now().Add(deadline)})
	if refusal != nil {
		t.Fatalf("refused: %v", refusal)
	}
	return leave
}

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
		"deadline in the queue": {deadline: 20 * time.Millisecond, want: verdict.DeadlineTooNear, prepare: func(t *testing.T, g *Gate) { acquire(t, g, time.Second) }},
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
				t.Errorf("got %v, want not_run for %s", refusal, test.want)
			}
		})
	}
}

func TestGateServesByDeadline(t *testing.T) {
	g := NewGate(time.Now, 1, 3)
	leave := acquire(t, g, time.Second)
	order := make(chan int, 3)
	var wg sync.WaitGroup
	for i, deadline := range []time.Duration{3 * time.Second, time.Second, 2 * time.Second} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			leave, refusal := g.Acquire(context.Background(), Work{Deadline: time.Now().Add(deadline)})
			if refusal != nil {
				t.Errorf("refused: %v", refusal)
				return
			}
			order <- i
			leave(Succeeded)
		}()
		for g.InFlight() < i+2 {
			time.Sleep(time.Millisecond)
		}
	}
	leave(Succeeded)
	wg.Wait()
	for _, want := range []int{1, 2, 0} {
		if got := <-order; got != want {
			t.Errorf("request %d was served, want %d", got, want)
		}
	}
}

func TestGateLimitAdapts(t *testing.T) {
	now := time.Now()
	g := NewGate(func() time.Time { return now }, 10, 0)
	for range 5 {
		leave, _ := g.Acquire(context.Background(), Work{Deadline: now.Add(time.Hour)})
		leave(Overloaded)
		now = now.Add(fallPause)
	}
	low := g.Limit()
	if low >= 5 {
		t.Errorf("limit is %.1f after five overloads, want under 5", low)
	}
	for range 200 {
		var leaves []func(Outcome)
		for {
			leave, refusal := g.Acquire(context.Background(), Work{Deadline: now.Add(time.Hour)})
			if refusal != nil {
				break
			}
			leaves = append(leaves, leave)
		}
		for _, leave := range leaves {
			leave(Succeeded)
		}
	}
	if got := g.Limit(); got != 10 {
		t.Errorf("limit is %.1f after successes at the limit, want 10", got)
	}
}

// TestGateNeverOverLimit hammers a gate and checks that no more run than slots.
func TestGateNeverOverLimit(t *testing.T) {
	const slots = 4
	g := NewGate(time.Now, slots, 8)
	var mu sync.Mutex
	running, most := 0, 0
	var wg sync.WaitGroup
	for range 64 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 50 {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Millisecond)
				leave, refusal := g.Acquire(ctx, Work{Deadline: time.Now().Add(5 * time.Millisecond)})
				cancel()
				if refusal != nil {
					continue
				}
				mu.Lock()
				running++
				most = max(most, running)
				mu.Unlock()
				time.Sleep(50 * time.Microsecond)
				mu.Lock()
				running--
				mu.Unlock()
				leave(Succeeded)
			}
		}()
	}
	wg.Wait()
	if most > slots {
		t.Errorf("%d ran at once, want at most %d", most, slots)
	}
	if got := g.InFlight(); got != 0 {
		t.Errorf("%d are in flight at the end, want 0", got)
	}
}

func TestBreaker(t *testing.T) {
	now := time.Now()
	b := NewBreaker(func() time.Time { return now })
	for range failuresToOpen {
		if !b.Allow() {
			t.Fatal("closed breaker refused")
		}
		b.Record(true)
	}
	if b.Allow() {
		t.Error("open breaker allowed a request")
	}
	now = now.Add(openFor)
	if !b.Allow() || b.Allow() {
		t.Error("want one request through after the pause")
	}
	b.Record(false)
	if !b.Allow() {
		t.Error("recovered breaker refused")
	}
}
