package request

import (
	"sync"
	"time"
)

const (
	// maxPatienceRoutes bounds the routes whose callers' patience is kept.
	maxPatienceRoutes = 1024
	// firstPart is the part of the longest patience that a caller has left at
	// its first attempt at least; with less it has come back.
	firstPart = 0.8
)

// patience learns how long the callers of each route wait in all. A caller that
// comes back says how much of it is left, which tells how long it has waited.
type patience struct {
	mu     sync.Mutex
	routes map[string]time.Duration
}

func newPatience() *patience { return &patience{routes: make(map[string]time.Duration)} }

// waited returns how long a caller with the given time left has waited before,
// at least.
func (p *patience) waited(route string, left time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	whole, ok := p.routes[route]
	if !ok && len(p.routes) >= maxPatienceRoutes {
		clear(p.routes)
	}
	if left > whole {
		p.routes[route] = left
		return 0
	}
	return max(time.Duration(firstPart*float64(whole))-left, 0)
}
