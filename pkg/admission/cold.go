package admission

import "time"

const (
	// Behind the end of its cold time a backend server gets twice the rate for
	// coldRampStep, then four times the rate, and so on for coldRampSteps. Released at
	// once, what was held back would arrive in one burst.
	coldRampStep  = 250 * time.Millisecond
	coldRampSteps = 4
)

// coldPacer limits the requests that are started a second on a backend server that has
// just started. It answers the load behind a loss of power: all backend servers of a
// service are cold at once, and one that gets more than it tolerates crashes again.
// The zero value does not limit it. It is not safe for concurrent use.
type coldPacer struct {
	pacer
	perSecond float64
	until     time.Time
}

// begin limits the starts to perSecond until a time, and more and more weakly for a
// moment after that.
func (c *coldPacer) begin(perSecond float64, until, now time.Time) {
	c.perSecond, c.until = perSecond, until
	c.advance(now)
}

// end starts the ramp at once if it has not begun yet.
func (c *coldPacer) end(now time.Time) {
	if c.perSecond > 0 && now.Before(c.until) {
		c.until = now
	}
	c.advance(now)
}

// clear ends the limit without a ramp.
func (c *coldPacer) clear() {
	c.perSecond = 0
	c.lift()
}

// advance sets the limit that applies at a time.
func (c *coldPacer) advance(now time.Time) {
	if c.perSecond <= 0 {
		return
	}
	rate := c.perSecond
	if !now.Before(c.until) {
		step := int(now.Sub(c.until)/coldRampStep) + 1
		if step > coldRampSteps {
			c.clear()
			return
		}
		rate *= float64(int(1) << step)
	}
	if c.limiter == nil || float64(c.limiter.Limit()) != rate {
		c.set(rate, now)
	}
}

// paceWait returns the time until a request may start after others before it, by the
// limit that the backend server names and by its cold time.
func (g *Gate) paceWait(now time.Time, before int) time.Duration {
	g.cold.advance(now)
	return max(g.pacer.wait(now, before), g.cold.wait(now, before))
}

// LimitCold limits the number of requests that are started a second until a time, when
// the backend server is cold no more. Requests that run are not affected.
func (g *Gate) LimitCold(perSecond float64, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cold.begin(perSecond, until, g.now())
	g.serveQueue()
}

// EndCold ends the limit of LimitCold, as the backend server is cold no more.
func (g *Gate) EndCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cold.end(g.now())
	g.serveQueue()
}

// IsCold reports whether LimitCold applies.
func (g *Gate) IsCold() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.cold.advance(now)
	return g.cold.perSecond > 0 && now.Before(g.cold.until)
}
