package admission

import (
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
)

// Work describes one request to a gate.
type Work struct {
	// Kind groups requests of similar work time, such as those of one route.
	Kind string
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// Account is the client account of the request, or empty. Accounts share the slots
	// within a priority.
	Account string
	// Objective is the latest time at which an answer has its full value; the
	// zero time means the deadline.
	Objective time.Time
	// Deadline is the time after which an answer has no value.
	Deadline time.Time
	// Usual is the configured work time of the kind, which is used until a request
	// of the kind has succeeded; 0 means that none is configured.
	Usual time.Duration
	// FinishBy is the time by which the request must have ended, because a process that
	// waits for its answer ends then; the zero time sets no bound.
	FinishBy time.Time
	// MaxWait is the maximum accepted wait for a slot; a request with a longer
	// expected wait is refused. 0 accepts any wait that the deadline allows.
	MaxWait time.Duration
}

// objective returns Objective, or Deadline when Objective is zero.
func (w Work) objective() time.Time {
	if w.Objective.IsZero() {
		return w.Deadline
	}
	return w.Objective
}

// earliest returns the earlier one of two times, of which zero ones set no bound.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// waiter is one request that is queued or considered for admission.
type waiter struct {
	work Work
	// expected is the mean work time of the kind.
	expected time.Duration
	// p75 is the work time within which about three of four requests of the kind
	// are answered.
	p75 time.Duration
	// settled receives nil when the request is given a slot, or its refusal.
	settled chan *verdict.Refusal
	queued  bool
	// tag orders requests of different accounts.
	tag time.Duration
	// left is set once the request was taken out of what its account has had.
	left bool
	// latestStart is the time after which the request may still run when it must have
	// ended; the zero time sets no bound.
	latestStart time.Time
	// slot is set before settled receives nil.
	slot *runningRequest
}

// settle ends the wait with a slot (nil) or a refusal.
func (w *waiter) settle(refusal *verdict.Refusal) {
	w.queued = false
	w.settled <- refusal
}

// isOnTime reports whether a request that starts at the given time probably meets
// its objective.
func (w *waiter) isOnTime(now time.Time) bool {
	return !now.Add(w.p75).After(w.work.objective())
}

// missesDeadline reports whether a request that starts at the given time is
// expected to miss its deadline.
func (w *waiter) missesDeadline(start time.Time) bool {
	return start.Add(w.expected).After(w.work.Deadline)
}

// endsTooLate reports whether a request that starts at the given time may still run when
// it must have ended.
func (w *waiter) endsTooLate(start time.Time) bool {
	return !w.latestStart.IsZero() && start.After(w.latestStart)
}

// lateCostFactor multiplies the cost of a request that will miss its objective,
// because its answer is worth that much less.
const lateCostFactor = 4

// cost returns the expected work of a request that starts at the given time,
// relative to the value of its answer.
func (w *waiter) cost(start time.Time) time.Duration {
	if w.isOnTime(start) {
		return w.expected
	}
	return lateCostFactor * w.expected
}

// isServedBefore reports whether w is served before other. The more urgent priority is
// served first; within a priority the account that has had less; within an account, or
// without accounts, the earlier objective. This holds as long as both requests meet theirs. A late request is served after those on time unless
// its cost is lower, because a short request, such as a lookup that another
// request waits for, hardly delays them.
func (w *waiter) isServedBefore(other *waiter, now time.Time) bool {
	if w.work.Priority != other.work.Priority {
		return w.work.Priority < other.work.Priority
	}
	cost, otherCost := w.cost(now), other.cost(now)
	if cost != otherCost && !(w.isOnTime(now) && other.isOnTime(now)) {
		return cost < otherCost
	}
	if w.work.Account != other.work.Account && w.work.Account != "" && other.work.Account != "" && w.tag != other.tag {
		return w.tag < other.tag
	}
	return w.work.objective().Before(other.work.objective())
}

// queue holds the waiting requests of one gate in order of arrival. The order of
// service changes with time, and the queue is short, so scanning it costs less
// than keeping it sorted.
type queue []*waiter

// first returns the request to serve next, or nil when the queue is empty.
func (q queue) first(now time.Time) *waiter {
	var best *waiter
	for _, w := range q {
		if best == nil || w.isServedBefore(best, now) {
			best = w
		}
	}
	return best
}

// ahead returns the number of requests that are served before w, and their total
// expected work.
func (q queue) ahead(w *waiter, now time.Time) (requests int, work time.Duration) {
	for _, other := range q {
		if other != w && !w.isServedBefore(other, now) {
			requests++
			work += other.expected
		}
	}
	return requests, work
}

func (q *queue) remove(w *waiter) {
	kept := (*q)[:0]
	for _, other := range *q {
		if other != w {
			kept = append(kept, other)
		}
	}
	clear((*q)[len(kept):])
	*q = kept
}
