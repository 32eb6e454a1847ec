// Package admission limits the work that one backend server is given: an
// adaptive limit under its announced slots, and a short queue by urgency that
// refuses at once what cannot be answered in time.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
)

const (
	lowestLimit    = 1.0
	overloadFactor = 0.8
	// A limit falls at most once in this time, so that one burst counts once.
	fallPause = 100 * time.Millisecond
	// idleSlotFactor is the part of the expected work that must fit before the
	// deadline when a slot is free: work varies, and the slot costs nothing.
	idleSlotFactor = 2
	// leastSpare bounds the wait that is foreseen for late work.
	leastSpare = 0.05
)

// Outcome is how an admitted request ended.
type Outcome int

// The outcomes that the limit distinguishes; a failure leaves it as it is.
const (
	Failed Outcome = iota
	Succeeded
	Overloaded
)

// Forecast is what one more request would meet at a gate.
type Forecast struct {
	// Wait is the expected time until a slot is free for it.
	Wait time.Duration
	// Work is the expected time that it then takes.
	Work time.Duration
}

// running is one admitted request.
type running struct {
	kind     string
	started  time.Time
	expected time.Duration
}

// Gate admits requests to one backend server.
type Gate struct {
	now func() time.Time

	mu          sync.Mutex
	slots       float64
	limit       float64
	running     map[*running]bool
	queueLength int
	queue       queue
	estimates   estimates
	offered     offered
	lastFall    time.Time
	closed      *verdict.Refusal
}

// NewGate returns a gate for a backend server with the given number of slots.
func NewGate(now func() time.Time, slots, queueLength int) *Gate {
	return &Gate{
		now:         now,
		slots:       float64(slots),
		limit:       float64(slots),
		running:     make(map[*running]bool),
		queueLength: queueLength,
		estimates:   newEstimates(),
	}
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
	return len(g.running) + len(g.queue)
}

// Running returns the requests that run.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.running)
}

// Limit returns the adaptive limit.
func (g *Gate) Limit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit
}

// Forecast returns what one more request like work would meet.
func (g *Gate) Forecast(work Work) Forecast {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.newWaiter(work)
	return Forecast{Wait: g.waitOf(w, g.now()), Work: w.expected}
}

// Acquire waits for a slot until the context ends or the deadline cannot be met.
// The caller must call the returned function once, with the outcome.
func (g *Gate) Acquire(ctx context.Context, work Work) (func(Outcome), *verdict.Refusal) {
	r, w, refusal := g.enter(work)
	if refusal != nil {
		return nil, refusal
	}
	if w != nil {
		if refusal := g.wait(ctx, w); refusal != nil {
			return nil, refusal
		}
		r = w.slot
	}
	var once sync.Once
	return func(outcome Outcome) { once.Do(func() { g.leave(r, outcome) }) }, nil
}

func (g *Gate) newWaiter(work Work) *waiter {
	e := g.estimates.expect(work.Kind, work.Usual)
	return &waiter{work: work, expected: e.mean, long: e.long(), settled: make(chan *verdict.Refusal, 1)}
}

// enter takes a slot at once, or returns a waiter that was queued.
func (g *Gate) enter(work Work) (*running, *waiter, *verdict.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		return nil, nil, g.closed
	}
	now := g.now()
	g.dropHopeless(now)
	w := g.newWaiter(work)
	if w.isOnTime(now) {
		g.offered.add(now, w.expected)
	}
	if len(g.queue) == 0 && g.hasSlot() {
		if now.Add(w.expected / idleSlotFactor).After(work.Deadline) {
			return nil, nil, verdict.Refuse(verdict.NotRun, verdict.DeadlineTooNear)
		}
		return g.admit(w), nil, nil
	}
	if refusal := g.refuse(w, now); refusal != nil {
		return nil, nil, refusal
	}
	w.queued = true
	g.queue = append(g.queue, w)
	g.dropHopeless(now)
	if !w.queued {
		return nil, nil, <-w.settled
	}
	return nil, w, nil
}

// refuse decides whether a request may join the queue.
func (g *Gate) refuse(w *waiter, now time.Time) *verdict.Refusal {
	wait := g.waitOf(w, now)
	if w.cost(now.Add(wait)) > g.meanRunning(now) && !w.isOnTime(now.Add(wait)) {
		wait = g.lateWait(wait, now)
	}
	late := now.Add(wait + w.expected).Sub(w.work.Deadline)
	switch {
	case w.work.MaxWait > 0 && wait > w.work.MaxWait:
		return verdict.Refuse(verdict.NotRun, verdict.Busy).RetryAfter(max(late, wait-w.work.MaxWait))
	case late > 0:
		return verdict.Refuse(verdict.NotRun, verdict.DeadlineTooNear).RetryAfter(late)
	case len(g.queue) >= g.queueLength:
		return verdict.Refuse(verdict.NotRun, verdict.QueueFull).RetryAfter(wait)
	}
	return nil
}

// lateWait returns the wait of a request that will miss its objective: those
// that come after it and do not are served before it.
func (g *Gate) lateWait(wait time.Duration, now time.Time) time.Duration {
	spare := 1 - g.offered.load(now)/max(g.limit, lowestLimit)
	return time.Duration(float64(wait) / max(spare, leastSpare))
}

// admit gives a request a slot.
func (g *Gate) admit(w *waiter) *running {
	r := &running{kind: w.work.Kind, started: g.now(), expected: w.expected}
	g.running[r] = true
	return r
}

func (g *Gate) hasSlot() bool { return float64(len(g.running))+1 <= max(g.limit, lowestLimit) }

// waitOf returns the expected time until a slot is free for w: the work that is
// served before it and the mean of what runs, spread over all slots.
func (g *Gate) waitOf(w *waiter, now time.Time) time.Duration {
	if g.hasSlot() && len(g.queue) == 0 {
		return 0
	}
	total := g.queue.ahead(w, now) + g.meanRunning(now)
	return time.Duration(float64(total) / max(g.limit, lowestLimit))
}

// meanRunning returns the mean work of the running requests; those that take
// longer than expected count with the time that they have taken.
func (g *Gate) meanRunning(now time.Time) time.Duration {
	if len(g.running) == 0 {
		return 0
	}
	total := time.Duration(0)
	for r := range g.running {
		total += max(r.expected, now.Sub(r.started))
	}
	return total / time.Duration(len(g.running))
}

// dropHopeless refuses every queued request that would start too late.
func (g *Gate) dropHopeless(now time.Time) {
	for _, w := range append(queue(nil), g.queue...) {
		start := now.Add(g.waitOf(w, now))
		if w.isHopeless(start) {
			g.queue.remove(w)
			w.settle(verdict.Refuse(verdict.NotRun, verdict.DeadlineTooNear).RetryAfter(start.Add(w.expected).Sub(w.work.Deadline)))
		}
	}
}

func (g *Gate) wait(ctx context.Context, w *waiter) *verdict.Refusal {
	timer := time.NewTimer(w.work.Deadline.Sub(g.now()))
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
	if w.queued {
		g.queue.remove(w)
		w.queued = false
		return verdict.Refuse(verdict.NotRun, reason)
	}
	if refusal := <-w.settled; refusal != nil {
		return refusal
	}
	delete(g.running, w.slot)
	g.serveQueue()
	return verdict.Refuse(verdict.NotRun, reason)
}

func (g *Gate) leave(r *running, outcome Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	full := float64(len(g.running))+1 > g.limit
	delete(g.running, r)
	switch outcome {
	case Succeeded:
		g.estimates.add(r.kind, g.now().Sub(r.started))
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
	now := g.now()
	g.dropHopeless(now)
	for len(g.queue) > 0 && g.hasSlot() {
		w := g.queue.first(now)
		g.queue.remove(w)
		w.slot = g.admit(w)
		w.settle(nil)
	}
}
