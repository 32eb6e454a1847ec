package fleet

import (
	"math"
	"sync"
	"time"
)

const (
	// reportHalfLife is the time in which a reported wait loses half of its
	// weight, because queues of short requests drain within it.
	reportHalfLife = 300 * time.Millisecond
	// failureHalfLife is the time in which a reported rate of failures halves,
	// so that a failing backend server is tried again.
	failureHalfLife = 2 * time.Second
	// maxWorkKinds bounds the kinds of work whose time is kept for one endpoint.
	maxWorkKinds = 64
)

// Report is what an owner node says of its backend server with each answer.
type Report struct {
	// Busy counts the requests that run or wait there.
	Busy int
	// Wait is the time that one more request of the kind and priority would wait
	// for a slot.
	Wait time.Duration
	// Work is the time that a request of the kind takes.
	Work time.Duration
	// Failing is the part of recent requests that the backend server failed, from 0 to 1.
	Failing float64
}

// Observed holds an entry node's own measurements of one backend server.
type Observed struct {
	mu       sync.Mutex
	inFlight int
	// sent counts the requests sent since the last report.
	sent       int
	report     Report
	reportedAt time.Time
	work       map[string]time.Duration
	// waits holds the reported wait by the priority of the request.
	waits      map[int]reportedWait
	avoidUntil time.Time
}

// reportedWait is the wait for a slot that an owner node reported.
type reportedWait struct {
	wait time.Duration
	at   time.Time
}

func newObserved() *Observed {
	return &Observed{work: make(map[string]time.Duration), waits: make(map[int]reportedWait)}
}

// Begin counts a call that this node sends to the endpoint.
func (o *Observed) Begin() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight++
	o.sent++
}

// End counts the end of a call.
func (o *Observed) End() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight--
}

// Avoid notes that the endpoint's node could not be reached, for use until the given time.
func (o *Observed) Avoid(until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.avoidUntil = until
}

// Avoided reports whether the endpoint's node lately could not be reached.
func (o *Observed) Avoided(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now.Before(o.avoidUntil)
}

// Observe keeps an owner node's report on a request of the given kind and priority.
func (o *Observed) Observe(now time.Time, kind string, priority int, report Report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.report = report
	o.reportedAt = now
	o.sent = 0
	o.waits[priority] = reportedWait{wait: report.Wait, at: now}
	o.avoidUntil = time.Time{}
	if _, ok := o.work[kind]; report.Work > 0 && (ok || len(o.work) < maxWorkKinds) {
		o.work[kind] = report.Work
	}
}

// State is what an entry node believes of an endpoint at one time.
type State struct {
	// Busy counts the requests there, as far as this node knows.
	Busy int
	Wait time.Duration
	// Work is 0 when the time for the kind is not known.
	Work    time.Duration
	Failing float64
	// Age is the time since the last report; negative without one.
	Age time.Duration
}

// State returns what this node believes of the endpoint for a kind of work.
func (o *Observed) State(now time.Time, kind string, priority int) State {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := State{Busy: o.inFlight, Work: o.work[kind], Age: -1}
	if o.reportedAt.IsZero() {
		return s
	}
	age := now.Sub(o.reportedAt)
	s.Busy = max(s.Busy, int(float64(o.report.Busy)*halved(age, reportHalfLife))+o.sent)
	s.Failing = o.report.Failing * halved(age, failureHalfLife)
	s.Wait, s.Age = o.waitOf(now, priority)
	return s
}

// waitOf returns the wait that a request of a priority meets, and the age of
// the report that says so; the age is negative without one. Less urgent
// requests wait longer, so that their reports tell nothing.
func (o *Observed) waitOf(now time.Time, priority int) (wait, age time.Duration) {
	age = -1
	for p, r := range o.waits {
		if p > priority {
			continue
		}
		since := now.Sub(r.at)
		left := time.Duration(float64(r.wait) * halved(since, reportHalfLife))
		if left > wait || age < 0 {
			wait, age = left, since
		}
	}
	return wait, age
}

// halved returns the part that is left of a value after some time.
func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
