package admission

import (
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
)

// Work describes one request to a gate.
type Work struct {
	// Kind groups requests of like cost, such as the route's name.
	Kind string
	// Priority ranks the work; 0 is the most urgent.
	Priority int
	// Objective is the time by which an answer is still worth its full value;
	// zero stands for the deadline.
	Objective time.Time
	// Deadline is the time after which an answer is worth nothing.
	Deadline time.Time
	// Usual is the time that the kind is thought to take before any was measured.
	Usual time.Duration
	// MaxWait refuses work that would wait longer for a slot; 0 accepts any wait
	// that the deadline allows.
	MaxWait time.Duration
}

func (w Work) objective() time.Time {
	if w.Objective.IsZero() {
		return w.Deadline
	}
	return w.Objective
}

// waiter is one queued request. Its channel receives nil with a slot, or a refusal.
type waiter struct {
	work     Work
	expected time.Duration
	// long is the time within which most requests of the kind are answered.
	long    time.Duration
	settled chan *verdict.Refusal
	queued  bool
	// slot is set before the waiter is settled with a slot.
	slot *running
}

func (w *waiter) settle(refusal *verdict.Refusal) {
	w.queued = false
	w.settled <- refusal
}

// isOnTime reports whether a request that starts now most likely meets its objective.
func (w *waiter) isOnTime(now time.Time) bool {
	return !now.Add(w.long).After(w.work.objective())
}

// isHopeless reports whether a request that starts at the given time misses its deadline.
func (w *waiter) isHopeless(start time.Time) bool {
	return start.Add(w.expected).After(w.work.Deadline)
}

// lateCost is how much more work late requests count for, since their answers
// are worth that much less.
const lateCost = 4

// cost returns the work that the request takes for the worth of its answer.
func (w *waiter) cost(start time.Time) time.Duration {
	if w.isOnTime(start) {
		return w.expected
	}
	return lateCost * w.expected
}

// goesBefore reports whether w is served before other: the more urgent first; then
// by objective as long as both meet it. A late request goes behind those on
// time, unless it is so short that they hardly notice: a lookup that another
// request waits for.
func (w *waiter) goesBefore(other *waiter, now time.Time) bool {
	if w.work.Priority != other.work.Priority {
		return w.work.Priority < other.work.Priority
	}
	cost, otherCost := w.cost(now), other.cost(now)
	if cost != otherCost && !(w.isOnTime(now) && other.isOnTime(now)) {
		return cost < otherCost
	}
	return w.work.objective().Before(other.work.objective())
}

// queue holds the waiting requests of one gate, in order of arrival. It is
// short, so that scans cost less than an order that changes with time.
type queue []*waiter

// first returns the request to serve next, or nil.
func (q queue) first(now time.Time) *waiter {
	var best *waiter
	for _, w := range q {
		if best == nil || w.goesBefore(best, now) {
			best = w
		}
	}
	return best
}

// ahead returns the expected work of the requests that are served before w.
func (q queue) ahead(w *waiter, now time.Time) time.Duration {
	total := time.Duration(0)
	for _, other := range q {
		if other != w && !w.goesBefore(other, now) {
			total += other.expected
		}
	}
	return total
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
