package common

import (
	"net"
	"sync"
)

// LimitedListener is a listener that closes connections beyond a number of open ones.
type LimitedListener struct {
	net.Listener
	slots chan struct{}
	// onRefused is called for each connection that is closed.
	onRefused func()
}

// NewLimitedListener returns a listener with at most limit open connections.
func NewLimitedListener(l net.Listener, limit int, onRefused func()) *LimitedListener {
	return &LimitedListener{Listener: l, slots: make(chan struct{}, limit), onRefused: onRefused}
}

// Accept implements net.Listener.
func (l *LimitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
		default:
			_ = conn.Close()
			l.onRefused()
		}
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
