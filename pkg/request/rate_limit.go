package request

import (
	"math"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscusrock/hibiscusrock/pkg/backend"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// rateLimit is the limit that a backend server names in its answers.
type rateLimit struct {
	// named is set while the answers name a limit.
	named     bool
	perSecond float64
	// since is when the limit changed last, runs the number of runs from then on.
	since time.Time
	runs  int
	// confirmedAt is when an answer last named the limit.
	confirmedAt time.Time
}

// announced returns the limit as the backend server's record has it.
func (l rateLimit) announced() *float64 {
	if !l.named {
		return nil
	}
	return &l.perSecond
}

// adoptRateLimit applies the limit in a record that an earlier incarnation of this node
// published, unless an answer has named one since. The caller holds b.mu.
func (b *Backend) adoptRateLimit(record *wire.Endpoint, now time.Time) {
	if record.RateLimit == nil || b.rateLimit.named {
		return
	}
	b.rateLimit = rateLimit{named: true, perSecond: record.GetRateLimit(), since: now}
	b.gate.LimitRate(record.GetRateLimit())
}

// applyRateLimit applies the limit that an answer names, or ends the limit if the answer
// names none. An answer without one ends no limit that was named after its request
// was sent, because answers may overtake each other.
func (r *run) applyRateLimit(answer *backend.Answer) {
	text := answer.Header().Get(r.owner.headers.RateLimit)
	next := rateLimit{named: text != ""}
	if next.named {
		perSecond, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
			r.owner.Count(`hibiscusrock_rate_limits_invalid_total`)
			return
		}
		next.perSecond = perSecond
	}
	before, changed := r.backend.setRateLimit(next, r.started, r.owner.Now())
	if !changed {
		return
	}
	if next.named {
		r.backend.gate.LimitRate(next.perSecond)
	} else {
		r.backend.gate.LiftRateLimit()
	}
	r.owner.Event(event.BackendServerLimited).WithFields(logrus.Fields{
		"instance": r.in.GetInstance(), "service": r.in.GetService(), "limited": next.named, "per_second": next.perSecond,
		"was_limited": before.named, "was_per_second": before.perSecond, "runs": before.runs, "for_ms": r.owner.Now().Sub(before.since).Milliseconds(),
	}).Info("backend server named another limit")
}

// setRateLimit replaces the limit of the backend server by the one in the answer to a
// request that was sent at a time, and returns the limit before and whether it
// changed.
func (b *Backend) setRateLimit(next rateLimit, sent, now time.Time) (before rateLimit, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before = b.rateLimit
	if !next.named && sent.Before(before.confirmedAt) {
		return before, false
	}
	if next.named {
		b.rateLimit.confirmedAt = now
	}
	if next.named == before.named && next.perSecond == before.perSecond {
		return before, false
	}
	next.since, next.confirmedAt = now, b.rateLimit.confirmedAt
	b.rateLimit = next
	return before, true
}
