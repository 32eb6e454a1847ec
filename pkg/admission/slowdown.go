package admission

import (
	"math"
	"time"
)

const (
	// slowdownLifetime is the time constant with which a slowdown that a backend server told
	// passes: what shares its machine changes several times a second.
	slowdownLifetime = 600 * time.Millisecond
	// Bounds of a slowdown that counts, against figures that are out of range.
	minSlowdown = 0.1
	maxSlowdown = 20
)

// slowdown is the factor by which work takes longer than usual on the machine of a backend
// server. It answers the load of machines that are shared with others: a server on a slow
// one would be chosen by what it took before. The zero value is the usual speed.
type slowdown struct {
	factor float64
	at     time.Time
}

// current returns the factor that is expected now. It approaches 1 with the age of what was
// told.
func (s slowdown) current(now time.Time) float64 {
	if s.at.IsZero() {
		return 1
	}
	return 1 + (s.factor-1)*math.Exp(-now.Sub(s.at).Seconds()/slowdownLifetime.Seconds())
}

// SetSlowdown records the factor by which work takes longer than usual now, as the backend
// server tells. The times of later requests are learned without it.
func (g *Gate) SetSlowdown(factor float64) {
	if !(factor >= minSlowdown && factor <= maxSlowdown) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slowdown = slowdown{factor: factor, at: g.now()}
}

// expect returns the estimate of the time that work takes if it starts now.
func (g *Gate) expect(work Work) estimate {
	e := g.estimates.expect(work.Kind, work.Usual)
	factor := g.slowdown.current(g.now())
	if factor == 1 {
		return e
	}
	e.mean = time.Duration(float64(e.mean) * factor)
	e.deviation = time.Duration(float64(e.deviation) * factor)
	return e
}

// Slowdown returns the factor by which work takes longer than usual now, and whether the
// backend server tells it.
func (g *Gate) Slowdown() (factor float64, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slowdown.current(g.now()), !g.slowdown.at.IsZero()
}

// SlowdownWait returns how much longer a request like work takes here than expected, by
// what the backend server tells of its machine, and whether it tells that at all. It is
// negative if the request takes less time.
func (g *Gate) SlowdownWait(work Work, expected time.Duration) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.slowdown.at.IsZero() || expected == 0 {
		return 0, false
	}
	return g.expect(work).mean - expected, true
}
