package admission

import (
	"sync"
	"time"
)

const (
	// failuresToOpen is the number of consecutive failures that open a breaker.
	failuresToOpen = 3
	// openFor is how long an open breaker refuses requests before it lets another
	// one through.
	openFor = time.Second
)

// Breaker is a circuit breaker for one backend server. After consecutive
// failures it refuses requests and lets only one through per openFor, to find out
// whether the backend server has recovered. It is safe for concurrent use.
type Breaker struct {
	now func() time.Time

	mu       sync.Mutex
	failures int
	retryAt  time.Time
}

// NewBreaker returns a closed breaker.
func NewBreaker(now func() time.Time) *Breaker { return &Breaker{now: now} }

// Allow reports whether a request may be sent. While the breaker is open, a true
// result also starts the pause until the next request.
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

// Record records the outcome of a request. A success closes the breaker.
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
