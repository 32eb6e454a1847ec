package admission

import (
	"sync"
	"time"
)

const (
	failuresToOpen = 3
	openFor        = time.Second
)

// Breaker stops new work for a backend server that fails request after
// request, and lets single requests through to find out whether it recovered.
type Breaker struct {
	now func() time.Time

	mu       sync.Mutex
	failures int
	retryAt  time.Time
}

// NewBreaker returns a closed breaker.
func NewBreaker(now func() time.Time) *Breaker { return &Breaker{now: now} }

// Allow reports whether a request may pass.
func (b *Breaker) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < failuresToOpen {
		return true
	}
	if b.now().Before(b.retryAt) {
		return false
	}
	b.retryAt = b.now().Add(openFor)
	return true
}

// Record takes the outcome of a request.
func (b *Breaker) Record(failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !failed {
		b.failures = 0
		return
	}
	b.failures++
	if b.failures >= failuresToOpen {
		b.retryAt = b.now().Add(openFor)
	}
}
