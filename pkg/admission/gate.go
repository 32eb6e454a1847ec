// Package admission limits the work that one backend server is given: an
// adaptive limit under its announced slots and a short queue in order of deadline.
package admission

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
)

const (
	lowestLimit    = 1.0
	overloadFactor = 0.8
	// A limit falls at most once in this time, so that one burst counts once.
	fallPause     = 100 * time.Millisecond
	serviceWeight = 8
)

// Outcome is how an admitted request ended.
type Outcome int

// The outcomes that the limit distinguishes; a failure leaves it as it is.
const (
	Failed Outcome = iota
	Succeeded
	Overloaded
)

// Gate admits requests to one backend server.
type Gate struct {
	now func() time.Time

	mu          sync.Mutex
	slots       float64
	limit       float64
	inFlight    int
	queueLength int
	queue       waiters
	service     time.Duration
	lastFall    time.Time
	closed      *verdict.Refusal
}

// NewGate returns a gate for a backend server with the given number of slots.
func NewGate(now func() time.Time, slots, queueLength int) *Gate {
	return &Gate{now: now, slots: float64(slots), limit: float64(slots), queueLength: queueLength}
}

// Resize changes the announced slots and the length of the queue.
func (g *Gate) Resize(slots, queueLength int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if float64(slots) != g.slots {
		g.slots = float64(slots)
		g.limit = min(max(g.limit, lowestLimit), g.slots)
	}
	g.queueLength = queueLength
}

// Close refuses all further requests, and those that wait, with refusal.
func (g *Gate) Close(refusal *verdict.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = refusal
	for _, w := range g.queue {
		w.settle(refusal)
	}
	g.queue = nil
}

// Open admits requests again after Close.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = nil
}

// InFlight returns the requests that run or wait.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight + len(g.queue)
}

// Running returns the requests that run.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// Limit returns the adaptive limit.
func (g *Gate) Limit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit
}

// Acquire waits for a slot until the context ends or the deadline cannot be met.
// The caller must call the returned function once, with the outcome.
func (g *Gate) Acquire(ctx context.Context, deadline time.Time) (func(Outcome), *verdict.Refusal) {
	w, refusal := g.enter(deadline)
	if refusal != nil {
		return nil, refusal
	}
	if w != nil {
		if refusal := g.wait(ctx, w); refusal != nil {
			return nil, refusal
		}
	}
	started := g.now()
	var once sync.Once
	return func(outcome Outcome) { once.Do(func() { g.leave(outcome, g.now().Sub(started)) }) }, nil
}

// enter takes a slot at once, or returns a waiter that was queued.
func (g *Gate) enter(deadline time.Time) (*waiter, *verdict.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		return nil, g.closed
	}
	g.dropHopeless()
	if len(g.queue) == 0 && g.hasSlot() {
		g.inFlight++
		return nil, nil
	}
	if len(g.queue) >= g.queueLength {
		return nil, verdict.Refuse(verdict.NotRun, verdict.QueueFull)
	}
	if g.isHopeless(deadline, len(g.queue)+1) {
		return nil, verdict.Refuse(verdict.NotRun, verdict.DeadlineTooNear)
	}
	w := &waiter{deadline: deadline, settled: make(chan *verdict.Refusal, 1)}
	heap.Push(&g.queue, w)
	return w, nil
}

func (g *Gate) hasSlot() bool { return float64(g.inFlight)+1 <= max(g.limit, lowestLimit) }

// isHopeless reports whether a request at the given place of the queue would
// start too late to finish in time.
func (g *Gate) isHopeless(deadline time.Time, place int) bool {
	rounds := float64(place) / max(g.limit, lowestLimit)
	expected := time.Duration((rounds + 1) * float64(g.service))
	return deadline.Sub(g.now()) < expected
}

func (g *Gate) dropHopeless() {
	for len(g.queue) > 0 && g.isHopeless(g.queue[0].deadline, 0) {
		w := heap.Pop(&g.queue).(*waiter)
		w.settle(verdict.Refuse(verdict.NotRun, verdict.DeadlineTooNear))
	}
}

func (g *Gate) wait(ctx context.Context, w *waiter) *verdict.Refusal {
	timer := time.NewTimer(w.deadline.Sub(g.now()))
	defer timer.Stop()
	select {
	case refusal := <-w.settled:
		return refusal
	case <-ctx.Done():
		return g.abandon(w, verdict.CallerGone)
	case <-timer.C:
		return g.abandon(w, verdict.DeadlineTooNear)
	}
}

// abandon takes a waiter out of the queue. A waiter that was given a slot at
// the same moment gives it back.
func (g *Gate) abandon(w *waiter, reason verdict.Reason) *verdict.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&g.queue, w.index)
		return verdict.Refuse(verdict.NotRun, reason)
	}
	if refusal := <-w.settled; refusal != nil {
		return refusal
	}
	g.inFlight--
	g.serveQueue()
	return verdict.Refuse(verdict.NotRun, reason)
}

func (g *Gate) leave(outcome Outcome, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	full := float64(g.inFlight)+1 > g.limit
	g.inFlight--
	switch outcome {
	case Succeeded:
		g.service += (took - g.service) / serviceWeight
		if full {
			g.limit = min(g.limit+1/max(g.limit, lowestLimit), g.slots)
		}
	case Overloaded:
		if g.now().Sub(g.lastFall) >= fallPause {
			g.limit = max(g.limit*overloadFactor, lowestLimit)
			g.lastFall = g.now()
		}
	}
	g.serveQueue()
}

func (g *Gate) serveQueue() {
	g.dropHopeless()
	for len(g.queue) > 0 && g.hasSlot() {
		w := heap.Pop(&g.queue).(*waiter)
		g.inFlight++
		w.settle(nil)
	}
}

// waiter is one queued request. Its channel receives nil with a slot, or a refusal.
type waiter struct {
	deadline time.Time
	settled  chan *verdict.Refusal
	index    int
}

func (w *waiter) settle(refusal *verdict.Refusal) {
	w.index = -1
	w.settled <- refusal
}

// waiters is a heap by deadline.
type waiters []*waiter

func (q waiters) Len() int           { return len(q) }
func (q waiters) Less(i, j int) bool { return q[i].deadline.Before(q[j].deadline) }
func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waiters) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	*q = (*q)[:last]
	w.index = -1
	return w
}
