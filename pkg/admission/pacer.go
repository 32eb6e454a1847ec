package admission

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// paceWindow is the time whose starts may come at once under a limit on the rate.
	paceWindow = 250 * time.Millisecond
	// minPace is the number of requests a second that are started under a limit below
	// it, so that the answers show the end of the limit.
	minPace = 0.5
)

// pacer limits the number of requests that are started a second. The zero value does
// not limit it. It is not safe for concurrent use.
type pacer struct {
	limiter *rate.Limiter
}

// set limits the starts a second.
func (p *pacer) set(perSecond float64, now time.Time) {
	perSecond = max(perSecond, minPace)
	burst := max(1, int(perSecond*paceWindow.Seconds()))
	if p.limiter == nil {
		p.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		return
	}
	p.limiter.SetLimitAt(now, rate.Limit(perSecond))
	p.limiter.SetBurstAt(now, burst)
}

// lift ends the limit.
func (p *pacer) lift() { p.limiter = nil }

// charge counts a start, also one that the limit does not allow yet.
func (p *pacer) charge(now time.Time) {
	if p.limiter != nil {
		p.limiter.ReserveN(now, 1)
	}
}

// wait returns the time until a request may start after others before it.
func (p *pacer) wait(now time.Time, before int) time.Duration {
	if p.limiter == nil {
		return 0
	}
	missing := float64(before+1) - p.limiter.TokensAt(now)
	return max(0, time.Duration(missing/float64(p.limiter.Limit())*float64(time.Second)))
}

// slots returns the number of slots that requests with the given work time keep busy
// at most, or fallback without a limit.
func (p *pacer) slots(work time.Duration, fallback float64) float64 {
	if p.limiter == nil || work <= 0 {
		return fallback
	}
	return min(fallback, float64(p.limiter.Limit())*work.Seconds())
}
