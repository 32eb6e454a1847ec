package common

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// DuplexConn is a TCP connection on which one goroutine writes while another one reads. The
// kernel reports the error that broke a connection only once: after a write has returned it,
// reads return io.EOF as if the other end had closed the connection. A DuplexConn returns the
// error from its reads as well. It is safe for concurrent use.
type DuplexConn struct {
	net.Conn
	// mu is held during a write.
	mu sync.Mutex
	// broken is the first error of a write that broke the connection, or nil.
	broken error
}

// NewDuplexConn returns raw as a DuplexConn.
func NewDuplexConn(raw net.Conn) *DuplexConn { return &DuplexConn{Conn: raw} }

// Write implements net.Conn.
func (c *DuplexConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.broken == nil && breaksConnection(err) {
		c.broken = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the other end has closed the
// connection. Nothing can be written from then on.
func (c *DuplexConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// A write that is under way may have taken the error and not returned yet. The deadline
	// ends one that waits for room.
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken != nil {
		return n, c.broken
	}
	return n, err
}

// breaksConnection reports whether a write failed because the connection broke. EPIPE is no
// such error: it is that of a connection which the other end had closed before.
func breaksConnection(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}
