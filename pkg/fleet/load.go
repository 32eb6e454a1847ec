package fleet

import (
	"math"
	"sync"
	"time"
)

const (
	// reportHalfLife is the time in which a reported wait or number of requests
	// decays to half, because queues of short requests drain within this time.
	reportHalfLife = 300 * time.Millisecond
	// failureHalfLife is the time in which a reported failure rate decays to half,
	// so that a failing backend server receives requests again.
	failureHalfLife = 2 * time.Second
	// maxWorkKinds bounds the kinds of request whose duration is kept for one endpoint.
	maxWorkKinds = 64
)

// LoadReport is the load of a backend server, which its owner node sends with each answer.
type LoadReport struct {
	// Busy is the number of requests that run or wait at the backend server.
	Busy int
	// Wait is the time that another request of the same kind and priority would
	// wait for a slot.
	Wait time.Duration
	// Work is the time that a request of the same kind takes.
	Work time.Duration
	// FailureRate is the failure rate of recent requests, from 0 to 1.
	FailureRate float64
}

// LoadStats holds what an entry node knows of the load of one backend server: its
// own calls and the owner node's reports. It is safe for concurrent use.
type LoadStats struct {
	mu       sync.Mutex
	inFlight int
	// sent is the number of calls sent since the last report.
	sent       int
	report     LoadReport
	reportedAt time.Time
	work       map[string]time.Duration
	// waits holds the last reported wait by the priority of the request.
	waits      map[int]reportedWait
	avoidUntil time.Time
}

// reportedWait is the wait for a slot that an owner node reported, and the time of the report.
type reportedWait struct {
	wait time.Duration
	at   time.Time
}

func newLoadStats() *LoadStats {
	return &LoadStats{work: make(map[string]time.Duration), waits: make(map[int]reportedWait)}
}

// Begin counts a call that this node sends to the endpoint. End must follow.
func (o *LoadStats) Begin() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight++
	o.sent++
}

// End removes a finished call from the calls in flight.
func (o *LoadStats) End() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight--
}

// Avoid marks the endpoint as unreachable until the given time or the next report.
func (o *LoadStats) Avoid(until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.avoidUntil = until
}

// Avoided reports whether the endpoint is marked as unreachable.
func (o *LoadStats) Avoided(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now.Before(o.avoidUntil)
}

// AddReport stores an owner node's report, sent with the answer to a request of the given kind and priority.
func (o *LoadStats) AddReport(now time.Time, kind string, priority int, report LoadReport) {
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

// LoadEstimate is the estimated load of an endpoint at one time.
type LoadEstimate struct {
	// Busy is the estimated number of requests that run or wait at the backend server.
	Busy int
	// Wait is the estimated wait for a slot.
	Wait time.Duration
	// Work is the time that a request of the kind takes, or 0 if it is not known.
	Work time.Duration
	// FailureRate is the estimated failure rate, from 0 to 1.
	FailureRate float64
	// Age is the age of the report from which Wait is estimated, or negative without one.
	Age time.Duration
}

// Estimate estimates the load of the endpoint for a request of the given kind and
// priority. Reported values decay with the age of the report.
func (o *LoadStats) Estimate(now time.Time, kind string, priority int) LoadEstimate {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := LoadEstimate{Busy: o.inFlight, Work: o.work[kind], Age: -1}
	if o.reportedAt.IsZero() {
		return s
	}
	age := now.Sub(o.reportedAt)
	s.Busy = max(s.Busy, int(float64(o.report.Busy)*decayFactor(age, reportHalfLife))+o.sent)
	s.FailureRate = o.report.FailureRate * decayFactor(age, failureHalfLife)
	s.Wait, s.Age = o.estimateWait(now, priority)
	return s
}

// estimateWait returns the estimated wait for a slot of a request with the given
// priority, and the age of the report that it is based on, which is negative if
// there is none. Reports on less urgent requests (a higher number) are ignored,
// because these requests wait longer. The caller holds o.mu.
func (o *LoadStats) estimateWait(now time.Time, priority int) (wait, age time.Duration) {
	age = -1
	for p, r := range o.waits {
		if p > priority {
			continue
		}
		since := now.Sub(r.at)
		left := time.Duration(float64(r.wait) * decayFactor(since, reportHalfLife))
		if left > wait || age < 0 {
			wait, age = left, since
		}
	}
	return wait, age
}

// decayFactor returns the factor, from 1 to 0, by which a value of the given age has decayed.
func decayFactor(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
