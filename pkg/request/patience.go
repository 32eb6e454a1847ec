package request

import (
	"sync"
	"time"
)

const (
	// maxPatienceRoutes bounds the routes whose callers' patience is kept.
	maxPatienceRoutes = 1024
	// patienceSlack covers what a caller takes to send its first attempt.
	patienceSlack = 5 * time.Millisecond
	// patienceWeight is the share of one request in the part of first attempts,
	// as a divisor.
	patienceWeight = 64
	// firstAttemptsLeast is the part of requests that must come with the whole
	// patience before less of it tells a resend.
	firstAttemptsLeast = 0.3
)

// patience learns how long the callers of each route wait in all. A caller that
// comes back says how much of it is left, which tells how long it has waited.
type patience struct {
	mu     sync.Mutex
	routes map[string]*routePatience
}

type routePatience struct {
	whole time.Duration
	// first is the part of requests that came with the whole patience.
	first float64
}

func newPatience() *patience { return &patience{routes: make(map[string]*routePatience)} }

// waited returns how long a caller with the given time left has waited before.
func (p *patience) waited(route string, left time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.routes[route]
	if r == nil {
		if len(p.routes) >= maxPatienceRoutes {
			clear(p.routes)
		}
		p.routes[route] = &routePatience{whole: left, first: 1}
		return 0
	}
	if left > r.whole+patienceSlack {
		*r = routePatience{whole: left, first: 1}
	}
	sample := 0.0
	if left >= r.whole-patienceSlack {
		sample = 1
	}
	r.first += (sample - r.first) / patienceWeight
	if sample == 1 || r.first < firstAttemptsLeast {
		return 0
	}
	return r.whole - left
}
