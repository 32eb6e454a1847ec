package request

import (
	"sync"
	"time"
)

const (
	// maxCallerTimeoutRoutes bounds the routes for which a timeout is stored.
	maxCallerTimeoutRoutes = 1024
	// minFirstAttemptPart is the least part of the longest timeout that a caller
	// has left at its first attempt; a caller with less left is retrying.
	minFirstAttemptPart = 0.8
)

// callerTimeouts stores the longest time left that a caller of each route sent,
// which is taken as the whole timeout of the route's callers. A caller that
// retries sends what is left of its timeout, from which follows how long it has
// waited.
type callerTimeouts struct {
	mu     sync.Mutex
	routes map[string]time.Duration
}

func newCallerTimeouts() *callerTimeouts {
	return &callerTimeouts{routes: make(map[string]time.Duration)}
}

// waited returns the least time that a caller with the given time left has
// waited in earlier attempts.
func (t *callerTimeouts) waited(route string, left time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	total, ok := t.routes[route]
	if !ok && len(t.routes) >= maxCallerTimeoutRoutes {
		clear(t.routes)
	}
	if left > total {
		t.routes[route] = left
		return 0
	}
	return max(time.Duration(minFirstAttemptPart*float64(total))-left, 0)
}
