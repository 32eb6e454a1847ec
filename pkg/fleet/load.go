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
	// slowdownLifetime is the time constant with which a reported slowdown passes.
	slowdownLifetime = 600 * time.Millisecond
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
	// Slowdown is the factor by which Work is longer than usual now, or 0 if that is not told.
	Slowdown float64
	// LinkWait is the time that the bodies which the owner node has accepted take on its link.
	LinkWait time.Duration
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
	// work holds the usual service time by kind of request.
	work map[string]time.Duration
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
func (s *LoadStats) Begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.sent++
}

// End removes a finished call from the calls in flight.
func (s *LoadStats) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// Avoid marks the endpoint as unreachable until the given time or the next report.
func (s *LoadStats) Avoid(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidUntil = until
}

// Avoided reports whether the endpoint is marked as unreachable.
func (s *LoadStats) Avoided(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.avoidUntil)
}

// AddReport stores an owner node's report, sent with the answer to a request of the given kind and priority.
func (s *LoadStats) AddReport(now time.Time, kind string, priority int, report LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report = report
	s.reportedAt = now
	s.sent = 0
	s.waits[priority] = reportedWait{wait: report.Wait, at: now}
	s.avoidUntil = time.Time{}
	if _, ok := s.work[kind]; report.Work > 0 && (ok || len(s.work) < maxWorkKinds) {
		s.work[kind] = time.Duration(float64(report.Work) / usualFactor(report.Slowdown))
	}
}

// usualFactor returns a slowdown, or 1 if none was told.
func usualFactor(slowdown float64) float64 {
	if slowdown <= 0 {
		return 1
	}
	return slowdown
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
	// LinkWait is the estimated time until a body can be sent.
	LinkWait time.Duration
	// Age is the age of the report from which Wait is estimated, or negative without one.
	Age time.Duration
}

// Estimate estimates the load of the endpoint for a request of the given kind and
// priority. The reported number of requests, wait and failure rate decay with the
// age of the report.
func (s *LoadStats) Estimate(now time.Time, kind string, priority int) LoadEstimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	estimate := LoadEstimate{Busy: s.inFlight, Work: s.work[kind], Age: -1}
	if s.reportedAt.IsZero() {
		return estimate
	}
	age := now.Sub(s.reportedAt)
	estimate.Busy = max(estimate.Busy, int(float64(s.report.Busy)*decayFactor(age, reportHalfLife))+s.sent)
	if estimate.Work > 0 && s.report.Slowdown > 0 {
		slowdown := 1 + (s.report.Slowdown-1)*math.Exp(-age.Seconds()/slowdownLifetime.Seconds())
		estimate.Work = time.Duration(float64(estimate.Work) * slowdown)
	}
	estimate.LinkWait = time.Duration(float64(s.report.LinkWait) * decayFactor(age, reportHalfLife))
	estimate.FailureRate = s.report.FailureRate * decayFactor(age, failureHalfLife)
	estimate.Wait, estimate.Age = s.estimateWait(now, priority)
	return estimate
}

// estimateWait returns the estimated wait for a slot of a request with the given
// priority, and the age of the report that it is based on, which is negative if
// there is none. Reports on less urgent requests (a higher number) are ignored,
// because these requests wait longer. The caller holds s.mu.
func (s *LoadStats) estimateWait(now time.Time, priority int) (wait, age time.Duration) {
	age = -1
	for p, r := range s.waits {
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
