// Package admission limits the requests that run on one backend server. It holds
// a gate with an adaptive concurrency limit of at most the announced slots and a
// short priority queue, which at once refuses requests that cannot be answered in
// time, and a circuit breaker.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
)

const (
	// minLimit is the lower bound of the adaptive limit, so that one request can
	// always run.
	minLimit = 1.0
	// overloadFactor multiplies the limit when a request ends as Overloaded.
	overloadFactor = 0.8
	// minDecreaseInterval is the minimum time between two decreases of the limit,
	// so that one burst of overloaded requests decreases it once.
	minDecreaseInterval = 100 * time.Millisecond
	// freeSlotDivisor: with a free slot, a request is admitted when the expected
	// work divided by freeSlotDivisor fits before the deadline, because work times
	// vary and the slot would otherwise stay unused.
	freeSlotDivisor = 2
	// minSpareCapacity is the lower bound of the spare part of the limit in the
	// expected wait of late requests. It bounds that wait to 20 times the expected
	// wait without later arrivals.
	minSpareCapacity = 0.05
)

// Outcome is how an admitted request ended. It adapts the limit of the gate.
type Outcome int

const (
	// Failed leaves the limit unchanged.
	Failed Outcome = iota
	// Succeeded increases the limit when the request ran at the limit.
	Succeeded
	// Overloaded decreases the limit.
	Overloaded
	// Delayed is Succeeded for a request whose time is not that of its work.
	Delayed
)

// Forecast is the expected wait and work time of a further request at a gate.
type Forecast struct {
	// Wait is the expected time until the request is given a slot.
	Wait time.Duration
	// Work is the expected time that the request then takes.
	Work time.Duration
}

// runningRequest is one request that holds a slot.
type runningRequest struct {
	kind     string
	started  time.Time
	expected time.Duration
	// slowdown is the factor by which work took longer than usual at the start.
	slowdown float64
}

// Gate admits requests to one backend server. It is safe for concurrent use.
type Gate struct {
	now func() time.Time
	// after calls a function once, after a time.
	after func(time.Duration, func())

	mu          sync.Mutex
	slots       float64
	limit       float64
	running     map[*runningRequest]bool
	queueLength int
	queue       queue
	estimates   estimates
	offeredLoad offeredLoad
	slowdown    slowdown
	fairness    fairness
	// announced is the expected work of the requests whose bodies are on their way.
	announced time.Duration
	pacer     pacer
	cold      coldPacer
	// plannedStart is when the earliest planned call of serveQueue is due, or zero.
	plannedStart time.Time
	// starts counts the requests that were started since the last TakeStarts.
	starts       int
	lastDecrease time.Time
	closeRefusal *verdict.Refusal
	// finishBy is when the process of this gate ends, or zero.
	finishBy time.Time
}

// GateOption configures a Gate.
type GateOption func(*Gate)

// WithAfter replaces time.AfterFunc.
func WithAfter(after func(time.Duration, func())) GateOption {
	return func(g *Gate) { g.after = after }
}

// NewGate returns an open gate for a backend server with the given number of
// slots. Up to queueLength requests wait for a slot.
func NewGate(now func() time.Time, slots, queueLength int, opts ...GateOption) *Gate {
	g := &Gate{
		now:         now,
		after:       func(d time.Duration, f func()) { time.AfterFunc(d, f) },
		slots:       float64(slots),
		limit:       float64(slots),
		running:     make(map[*runningRequest]bool),
		queueLength: queueLength,
		estimates:   newEstimates(),
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Resize changes the number of announced slots and the maximum length of the
// queue. Requests that already run or wait are not affected. An adaptive limit
// above the new number of slots is lowered to it at once. More slots do not raise
// the limit; later successes do.
func (g *Gate) Resize(slots, queueLength int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if float64(slots) != g.slots {
		g.slots = float64(slots)
		g.limit = min(max(g.limit, minLimit), g.slots)
	}
	g.queueLength = queueLength
}

// LimitRate limits the number of requests that are started a second. Requests that run
// are not affected.
func (g *Gate) LimitRate(perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pacer.set(perSecond, g.now())
	g.serveQueue()
}

// LiftRateLimit ends the limit on the rate.
func (g *Gate) LiftRateLimit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pacer.lift()
	g.serveQueue()
}

// ChargeRate counts a request that is sent without Acquire against the limit on the
// rate.
func (g *Gate) ChargeRate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.charge(g.now())
}

// Close refuses all waiting and further requests with refusal, until Open is
// called. Running requests are not affected.
func (g *Gate) Close(refusal *verdict.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closeRefusal = refusal
	for _, w := range g.queue {
		g.fairness.leave(w)
		w.settle(refusal)
	}
	g.queue = nil
}

// Open admits requests again after Close.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closeRefusal = nil
}

// FinishBy refuses all waiting and further requests that may still run at the given time,
// when this process ends. The zero time sets no bound. Running requests are not affected.
func (g *Gate) FinishBy(end time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.finishBy = end
	now := g.now()
	for _, w := range g.queue {
		w.latestStart = g.latestStart(w.work, now)
		g.planRefusal(w, now)
	}
	g.refuseUnmeetable(now)
}

// latestStart returns the latest time at which a request may be given a slot so that it
// ends in time, or the zero time if nothing bounds that. A request whose deadline comes
// first always ends in time. One of a kind whose time is not known may take until its
// deadline.
func (g *Gate) latestStart(work Work, now time.Time) time.Time {
	finishBy := earliest(work.FinishBy, g.finishBy)
	if finishBy.IsZero() || !work.Deadline.After(finishBy) {
		return time.Time{}
	}
	if bound, known := g.estimates.bound(work.Kind, now); known {
		return finishBy.Add(-bound)
	}
	return finishBy.Add(-work.Deadline.Sub(now))
}

// planRefusal arranges that a queued request is refused as soon as it can no longer
// start in time.
func (g *Gate) planRefusal(w *waiter, now time.Time) {
	if w.latestStart.IsZero() {
		return
	}
	g.after(max(w.latestStart.Sub(now), 0)+time.Millisecond, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.refuseUnmeetable(g.now())
	})
}

// InFlight returns the number of requests that run or wait.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.running) + len(g.queue)
}

// TakeStarts returns the number of requests that were started since the last call.
func (g *Gate) TakeStarts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	starts := g.starts
	g.starts = 0
	return starts
}

// Running returns the number of requests that run.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.running)
}

// Limit returns the adaptive limit on the number of running requests.
func (g *Gate) Limit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit
}

// Forecast returns the expected wait and work time of a further request like work.
func (g *Gate) Forecast(work Work) Forecast {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.newWaiter(work)
	return Forecast{Wait: g.expectedWait(w, g.now()), Work: w.expected}
}

// Acquire waits for a slot until the context ends or the deadline cannot be met.
// It returns either a refusal or a function that gives the slot back, which the
// caller must call with the outcome of the request. Calls of the function after
// the first have no effect.
func (g *Gate) Acquire(ctx context.Context, work Work) (func(Outcome), *verdict.Refusal) {
	r, w, refusal := g.admitOrQueue(work)
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
	return func(outcome Outcome) { once.Do(func() { g.release(r, outcome) }) }, nil
}

// Announce returns the refusal that a request would get whose body has yet to arrive, so
// that the body is not sent in vain. Otherwise the request counts as waiting, for later ones,
// until the function is called that Announce returns.
func (g *Gate) Announce(work Work) (arrived func(), refusal *verdict.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closeRefusal != nil {
		return nil, g.closeRefusal
	}
	now := g.now()
	w := g.newWaiter(work)
	wait := g.expectedWait(w, now) + time.Duration(float64(g.announced)/max(g.limit, minLimit))
	if refusal := g.refusalAfter(w, wait, now); refusal != nil {
		return nil, refusal
	}
	g.announced += w.expected
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.announced -= w.expected
	}, nil
}

func (g *Gate) newWaiter(work Work) *waiter {
	e := g.expect(work)
	return &waiter{work: work, expected: e.mean, p75: e.p75(), settled: make(chan *verdict.Refusal, 1), latestStart: g.latestStart(work, g.now()), tag: g.fairness.tag(work.Account)}
}

// admitOrQueue returns one of three: a running request that was given a slot at
// once, a waiter that was queued, or a refusal.
func (g *Gate) admitOrQueue(work Work) (r *runningRequest, queued *waiter, refusal *verdict.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closeRefusal != nil {
		return nil, nil, g.closeRefusal
	}
	now := g.now()
	g.refuseUnmeetable(now)
	w := g.newWaiter(work)
	g.fairness.enter(work.Account, w.tag, w.expected)
	defer func() {
		if refusal != nil {
			g.fairness.leave(w)
		}
	}()
	if w.isOnTime(now) {
		g.offeredLoad.add(now, w.expected)
	}
	if len(g.queue) == 0 && g.canStart(now) {
		if w.endsTooLate(now) {
			return nil, nil, verdict.Refuse(verdict.NotRun, verdict.StopTooNear)
		}
		if now.Add(w.expected / freeSlotDivisor).After(work.Deadline) {
			return nil, nil, verdict.Refuse(verdict.NotRun, verdict.DeadlineTooNear)
		}
		return g.admit(w), nil, nil
	}
	if refusal := g.queueRefusal(w, now); refusal != nil {
		return nil, nil, refusal
	}
	w.queued = true
	g.queue = append(g.queue, w)
	g.refuseUnmeetable(now)
	g.planRefusal(w, now)
	g.planStart(now)
	if !w.queued {
		return nil, nil, <-w.settled
	}
	return nil, w, nil
}

// queueRefusal returns the refusal of a request that may not join the queue, or
// nil. A request that will miss its objective and costs more than the mean work
// of the running requests is overtaken by later arrivals, so its wait is longer.
func (g *Gate) queueRefusal(w *waiter, now time.Time) *verdict.Refusal {
	return g.refusalAfter(w, g.expectedWait(w, now), now)
}

// refusalAfter returns the refusal of a request with an expected wait, or nil.
func (g *Gate) refusalAfter(w *waiter, wait time.Duration, now time.Time) *verdict.Refusal {
	if w.cost(now.Add(wait)) > g.meanRunning(now) && !w.isOnTime(now.Add(wait)) {
		wait = g.expectedLateWait(wait, now)
	}
	overrun := now.Add(wait + w.expected).Sub(w.work.Deadline)
	switch {
	case w.work.MaxWait > 0 && wait > w.work.MaxWait:
		return verdict.Refuse(verdict.NotRun, verdict.Busy).WithRetryAfter(max(overrun, wait-w.work.MaxWait))
	case overrun > 0:
		return verdict.Refuse(verdict.NotRun, verdict.DeadlineTooNear).WithRetryAfter(overrun)
	case w.endsTooLate(now.Add(wait)):
		return verdict.Refuse(verdict.NotRun, verdict.StopTooNear)
	case len(g.queue) >= g.queueLength:
		return verdict.Refuse(verdict.NotRun, verdict.QueueFull).WithRetryAfter(wait)
	}
	return nil
}

// expectedLateWait returns the expected wait of a request that will miss its
// objective. Requests that arrive later and meet theirs are served before it, so
// only the part of the limit that they leave free serves the queue ahead of it.
func (g *Gate) expectedLateWait(wait time.Duration, now time.Time) time.Duration {
	capacity := g.cold.slots(g.estimates.overall.mean, g.pacer.slots(g.estimates.overall.mean, max(g.limit, minLimit)))
	spareCapacity := 1 - g.offeredLoad.current(now)/capacity
	return time.Duration(float64(wait) / max(spareCapacity, minSpareCapacity))
}

// admit gives the request of w a slot.
func (g *Gate) admit(w *waiter) *runningRequest {
	r := &runningRequest{kind: w.work.Kind, started: g.now(), expected: w.expected, slowdown: g.slowdown.current(g.now())}
	g.running[r] = true
	g.fairness.start(w.tag)
	g.charge(r.started)
	return r
}

// charge counts a start against the limits on the rate.
func (g *Gate) charge(now time.Time) {
	g.starts++
	g.cold.advance(now)
	g.pacer.charge(now)
	g.cold.charge(now)
}

func (g *Gate) hasSlot() bool { return float64(len(g.running))+1 <= max(g.limit, minLimit) }

// canStart reports whether a request may be given a slot now.
func (g *Gate) canStart(now time.Time) bool { return g.hasSlot() && g.paceWait(now, 0) == 0 }

// expectedWait returns the expected time until w is given a slot: the work that
// is served before w and the mean running work, divided by the limit, or the time
// until the rate allows its start if that is longer.
func (g *Gate) expectedWait(w *waiter, now time.Time) time.Duration {
	if len(g.queue) == 0 && g.canStart(now) {
		return 0
	}
	requests, work := g.queue.ahead(w, now)
	paced := g.paceWait(now, requests)
	if paced > 0 && g.hasSlot() {
		return paced
	}
	return max(paced, time.Duration(float64(work+g.meanRunning(now))/max(g.limit, minLimit)))
}

// meanRunning returns the mean expected work of the running requests. A request
// that already runs longer than expected counts with its time so far.
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

// refuseUnmeetable refuses every queued request that would start too late to
// meet its deadline or to end in time.
func (g *Gate) refuseUnmeetable(now time.Time) {
	for _, w := range append(queue(nil), g.queue...) {
		start := now.Add(g.expectedWait(w, now))
		switch {
		case w.missesDeadline(start):
			g.queue.remove(w)
			g.fairness.leave(w)
			w.settle(verdict.Refuse(verdict.NotRun, verdict.DeadlineTooNear).WithRetryAfter(start.Add(w.expected).Sub(w.work.Deadline)))
		case w.endsTooLate(start):
			g.queue.remove(w)
			g.fairness.leave(w)
			w.settle(verdict.Refuse(verdict.NotRun, verdict.StopTooNear))
		}
	}
}

// wait waits until w is settled, the context ends or the deadline passes.
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

// abandon takes a waiter out of the queue and returns its refusal. When the
// waiter was given a slot in the meantime, abandon frees the slot.
func (g *Gate) abandon(w *waiter, reason verdict.Reason) *verdict.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.queued {
		g.queue.remove(w)
		g.fairness.leave(w)
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

// release frees the slot of a request and adapts the limit to its outcome:
// additive increase at the limit, multiplicative decrease on overload.
func (g *Gate) release(r *runningRequest, outcome Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	atLimit := float64(len(g.running))+1 > g.limit
	delete(g.running, r)
	g.estimates.addLongest(r.kind, g.now(), g.now().Sub(r.started), outcome == Succeeded || outcome == Delayed)
	switch outcome {
	case Succeeded, Delayed:
		if outcome == Succeeded {
			mean := (r.slowdown + g.slowdown.current(g.now())) / 2
			g.estimates.add(r.kind, time.Duration(float64(g.now().Sub(r.started))/mean))
		}
		if atLimit {
			g.limit = min(g.limit+1/max(g.limit, minLimit), g.slots)
		}
	case Overloaded:
		if g.now().Sub(g.lastDecrease) >= minDecreaseInterval {
			g.limit = max(g.limit*overloadFactor, minLimit)
			g.lastDecrease = g.now()
		}
	}
	g.serveQueue()
}

// serveQueue gives free slots to queued requests.
func (g *Gate) serveQueue() {
	now := g.now()
	g.refuseUnmeetable(now)
	for len(g.queue) > 0 && g.canStart(now) {
		w := g.queue.first(now)
		g.queue.remove(w)
		w.slot = g.admit(w)
		w.settle(nil)
	}
	g.planStart(now)
}

// planStart arranges that the queue is served when the rate allows the next start. If
// no slot is free by then, the end of a running request serves it.
func (g *Gate) planStart(now time.Time) {
	wait := g.paceWait(now, 0)
	if len(g.queue) == 0 || wait == 0 {
		return
	}
	due := now.Add(wait)
	if !g.plannedStart.IsZero() && !due.Before(g.plannedStart) {
		return
	}
	g.plannedStart = due
	g.after(wait, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.plannedStart.Equal(due) {
			g.plannedStart = time.Time{}
		}
		g.serveQueue()
	})
}
