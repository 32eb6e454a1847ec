package listener

import (
	"sync/atomic"
	"time"
)

// Limits bounds what the connections of callers may hold on a node.
type Limits struct {
	// HeaderBytes bounds the head of one request, in bytes.
	HeaderBytes int64
	// HeaderTimeout bounds the time from the first byte of a head to its last.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time between two parts of a request's body.
	BodyTimeout time.Duration
	// IdleTimeout bounds the time that a connection may stay without a request, also while
	// its last answer is still on its way.
	IdleTimeout time.Duration
	// WriteTimeout bounds the time in which a caller takes no byte of an answer.
	WriteTimeout time.Duration
	// AheadRequests bounds the requests of one connection that were read behind the
	// first unanswered one.
	AheadRequests int
	// AheadBytes bounds, for one connection, the bytes of the heads that were read
	// ahead and of the answers that wait for an earlier one. One head may exceed it.
	AheadBytes int64
	// NodeAheadBytes bounds the same bytes for all connections together. One head
	// for each connection may exceed it.
	NodeAheadBytes int64
	// Connections bounds the open connections of callers. Beyond it, the one that has been
	// without a request for longest is closed for a new one.
	Connections int
}

// DefaultLimits returns the limits that are used unless others are set.
func DefaultLimits() Limits {
	return Limits{
		HeaderBytes:    64 << 10,
		HeaderTimeout:  5 * time.Second,
		BodyTimeout:    30 * time.Second,
		IdleTimeout:    2 * time.Minute,
		WriteTimeout:   30 * time.Second,
		AheadRequests:  32,
		AheadBytes:     256 << 10,
		NodeAheadBytes: 4 << 20,
		Connections:    2048,
	}
}

// allowance counts bytes against a bound. It is safe for concurrent use.
type allowance struct {
	max  int64
	used atomic.Int64
}

// take counts n more bytes, or none and returns false if they exceed the bound.
func (a *allowance) take(n int64) bool {
	if a.used.Add(n) > a.max {
		a.used.Add(-n)
		return false
	}
	return true
}

// add counts n more bytes, also beyond the bound.
func (a *allowance) add(n int64) { a.used.Add(n) }

func (a *allowance) isExhausted() bool { return a.used.Load() >= a.max }
