// Package buffers bounds the memory that a node spends on what it has received from
// callers or other nodes and has not passed on yet.
package buffers

import (
	"sync"
	"time"
)

const (
	// smallBytes is the size up to which a lease may use the whole pool. largeShare is the
	// part of the pool for larger ones, so that these leave room for small ones.
	smallBytes = 64 << 10
	largeShare = 0.75
	// stalledTime is the time without a byte after which a sender is the first that has to
	// give up its buffers when others need them.
	stalledTime = time.Second
	// releaseTimeout bounds the wait for the buffers of a sender that has to give them up.
	releaseTimeout = time.Second
)

// Pool divides a number of bytes among leases. When it is used up, senders that stall and
// then those with the largest part give up theirs, so that a crowd of large or unfinished
// bodies does not keep out small ones. It is safe for concurrent use.
type Pool struct {
	now func() time.Time
	max int64
	// onEvicted and onRefused are called for each lease that is evicted and for each
	// that cannot grow.
	onEvicted, onRefused func()

	mu   sync.Mutex
	used int64
	peak int64
	// open holds the leases that can be evicted.
	open map[*Lease]struct{}
	// leaving counts the bytes of evicted leases that were not released yet.
	leaving int64
	// free holds segments of maxSegmentBytes of bodies that nobody has read.
	free sync.Pool
	// released is closed and replaced when bytes were released.
	released chan struct{}
}

// Option configures a Pool.
type Option func(*Pool)

// WithObservers sets the functions that are called for each lease that is evicted and for
// each that cannot grow. They must not block.
func WithObservers(onEvicted, onRefused func()) Option {
	return func(p *Pool) { p.onEvicted, p.onRefused = onEvicted, onRefused }
}

// NewPool returns a pool of max bytes.
func NewPool(now func() time.Time, max int64, opts ...Option) *Pool {
	p := &Pool{now: now, max: max, open: make(map[*Lease]struct{}), released: make(chan struct{}), onEvicted: func() {}, onRefused: func() {}}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// segment returns an empty segment with room for a number of bytes.
func (p *Pool) segment(size int) []byte {
	if size == maxSegmentBytes {
		if s, ok := p.free.Get().(*[maxSegmentBytes]byte); ok {
			return s[:0]
		}
	}
	return make([]byte, 0, size)
}

// recycle keeps segments for later bodies. Those of a crowd of bodies that are given up one
// after the other would otherwise fill the heap until the next garbage collection.
func (p *Pool) recycle(segments [][]byte) {
	for _, s := range segments {
		if cap(s) == maxSegmentBytes {
			p.free.Put((*[maxSegmentBytes]byte)(s[:maxSegmentBytes]))
		}
	}
}

// Max returns the number of bytes of the pool.
func (p *Pool) Max() int64 { return p.max }

// Used returns the number of bytes that leases hold, and their highest number so far.
func (p *Pool) Used() (used, peak int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used, p.peak
}

// Lease is the part of a pool that one sender uses. Its methods, but for those that the
// pool calls, are called by one goroutine at a time.
type Lease struct {
	pool  *Pool
	evict func()
	// The fields below are guarded by pool.mu.
	held      int64
	grownAt   time.Time
	isEvicted bool
}

// Open returns a lease without bytes. evict is called once if the lease has to be released
// for others; it must not block, and Grow fails from then on.
func (p *Pool) Open(evict func()) *Lease {
	l := &Lease{pool: p, evict: evict, grownAt: p.now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[l] = struct{}{}
	return l
}

// Grow adds n bytes to the lease. It evicts others for them if it has to, and waits up to
// releaseTimeout until these have released theirs. It returns false, and adds nothing, if
// there is no room or the lease was evicted.
func (l *Lease) Grow(n int64) bool {
	timer := time.NewTimer(releaseTimeout)
	defer timer.Stop()
	for {
		granted, refused, victim, released := l.pool.grow(l, n)
		if victim != nil {
			l.pool.onEvicted()
			victim.evict()
		}
		switch {
		case granted:
			return true
		case refused:
			l.pool.onRefused()
			return false
		case victim != nil:
			continue
		}
		select {
		case <-released:
		case <-timer.C:
			l.pool.onRefused()
			return false
		}
	}
}

// grow adds n bytes to a lease, or returns that this is refused, or a lease that has to be
// evicted for it, or a channel that is closed when bytes were released.
func (p *Pool) grow(l *Lease, n int64) (granted, refused bool, victim *Lease, released <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	l.grownAt = now
	limit := p.max
	if l.held+n > smallBytes {
		limit = int64(largeShare * float64(p.max))
	}
	switch {
	case l.isEvicted || n > limit:
		return false, true, nil, nil
	case p.used+n <= limit:
		p.used += n
		p.peak = max(p.peak, p.used)
		l.held += n
		return true, false, nil, nil
	case p.used-p.leaving+n <= limit:
		return false, false, nil, p.released
	}
	if victim = p.victim(l, n, now); victim == nil {
		return false, true, nil, nil
	}
	p.markEvicted(victim)
	return false, false, victim, nil
}

// markEvicted takes a lease out of those that can be evicted. The caller holds p.mu.
func (p *Pool) markEvicted(l *Lease) {
	l.isEvicted = true
	p.leaving += l.held
	delete(p.open, l)
}

// victim returns the lease that gives up its bytes for n more of l, or nil: of those that
// stall the one that does so longest, otherwise the one with most bytes if these are more
// than l would have. The caller holds p.mu.
func (p *Pool) victim(l *Lease, n int64, now time.Time) *Lease {
	var stalled, largest *Lease
	for other := range p.open {
		if other == l || other.held == 0 {
			continue
		}
		if now.Sub(other.grownAt) >= stalledTime && (stalled == nil || other.grownAt.Before(stalled.grownAt)) {
			stalled = other
		}
		if other.held > l.held+n && (largest == nil || other.held > largest.held) {
			largest = other
		}
	}
	if stalled != nil {
		return stalled
	}
	return largest
}

// EvictStalled evicts the lease that has stalled longest, and reports whether there is one.
func (p *Pool) EvictStalled() bool {
	p.mu.Lock()
	var stalled *Lease
	now := p.now()
	for l := range p.open {
		if now.Sub(l.grownAt) >= stalledTime && (stalled == nil || l.grownAt.Before(stalled.grownAt)) {
			stalled = l
		}
	}
	if stalled != nil {
		p.markEvicted(stalled)
	}
	p.mu.Unlock()
	if stalled == nil {
		return false
	}
	p.onEvicted()
	stalled.evict()
	return true
}

// Held returns the number of bytes of the lease.
func (l *Lease) Held() int64 {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return l.held
}

// IsEvicted reports whether the lease had to be released for others.
func (l *Lease) IsEvicted() bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return l.isEvicted
}

// Touch records that the sender has sent something.
func (l *Lease) Touch() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.grownAt = l.pool.now()
}

// Settle keeps the lease from being evicted, as all that it is for has arrived. It returns
// false if the lease was evicted before.
func (l *Lease) Settle() bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	delete(l.pool.open, l)
	return !l.isEvicted
}

// Shrink releases n bytes of the lease.
func (l *Lease) Shrink(n int64) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.shrink(min(n, l.held))
}

// Release releases the lease. Calls after the first have no effect.
func (l *Lease) Release() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	delete(l.pool.open, l)
	l.shrink(l.held)
}

// shrink takes n bytes out of the lease. The caller holds the lock of the pool.
func (l *Lease) shrink(n int64) {
	if n == 0 {
		return
	}
	p := l.pool
	l.held -= n
	p.used -= n
	if l.isEvicted {
		p.leaving -= n
	}
	close(p.released)
	p.released = make(chan struct{})
}
