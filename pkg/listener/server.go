// Package listener accepts the connections of callers and serves HTTP/1.1 on them.
// Unlike the server of the standard library, it reads requests that a caller sends
// before the earlier ones are answered, runs the idempotent ones at once, and
// answers in the order of arrival.
package listener

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/buffers"
	"github.com/hibiscusrock/hibiscusrock/pkg/common"
)

// Server serves callers. It is safe for concurrent use.
type Server struct {
	*common.Common
	handler      http.Handler
	limits       Limits
	isIdempotent func(*http.Request) bool
	isShort      func(*http.Request) bool
	held         allowance
	// buffers bounds the heads that are large or have many lines. The bodies of requests
	// are bounded by the handler.
	buffers  *buffers.Pool
	stopping atomic.Bool

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*conn]struct{}
	closed    bool
}

// Option configures a Server.
type Option func(*Server)

// WithLimits sets the limits of connections.
func WithLimits(l Limits) Option { return func(s *Server) { s.limits = l } }

// WithIdempotent sets the function that reports whether a request may run before
// earlier requests of its connection are answered. Without it none may.
func WithIdempotent(f func(*http.Request) bool) Option {
	return func(s *Server) { s.isIdempotent = f }
}

// WithShortAnswers sets the function that reports whether the answer to a request is
// expected to be at most ShortAnswerBytes long. Requests behind one with a longer answer
// wait for that. Without it all answers are expected to be short.
func WithShortAnswers(f func(*http.Request) bool) Option {
	return func(s *Server) { s.isShort = f }
}

// WithBuffers sets the pool out of which heads are held that are large or have many lines.
// Without it they are not bounded together.
func WithBuffers(p *buffers.Pool) Option { return func(s *Server) { s.buffers = p } }

// New returns a Server that passes requests to handler, and a function that closes
// its listeners and connections.
func New(cm *common.Common, handler http.Handler, opts ...Option) (*Server, func()) {
	s := &Server{
		Common:       cm,
		handler:      handler,
		limits:       DefaultLimits(),
		isIdempotent: func(*http.Request) bool { return false },
		isShort:      func(*http.Request) bool { return true },
		conns:        make(map[*conn]struct{}),
		buffers:      buffers.NewPool(cm.Now, math.MaxInt64),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.held.max = s.limits.NodeAheadBytes
	return s, s.close
}

// Serve accepts connections until the listener is closed. The channel then yields
// nil, or the error for which accepting ended. The end of ctx ends all requests.
func (s *Server) Serve(ctx context.Context, l net.Listener) <-chan error {
	done := make(chan error, 1)
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	go func() { done <- s.accept(ctx, l) }()
	return done
}

func (s *Server) accept(ctx context.Context, l net.Listener) error {
	for {
		raw, err := common.Accept(ctx, l)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		s.serveConn(ctx, raw)
	}
}

// serveConn serves a connection; its end is awaited in Shutdown.
func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	c := newConn(ctx, s, raw)
	if !s.add(c) {
		c.cancel()
		_ = raw.Close()
		return
	}
	go func() {
		defer s.forget(c)
		c.serve()
	}()
}

// add registers a connection. It returns false if the server is closed, or if all
// connections that it may have are in use.
func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if len(s.conns) >= s.limits.Connections && !s.makeRoom() {
		s.Count(`hibiscusrock_caller_connections_refused_total`)
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

// makeRoom closes the connection that has been without a request for longest, or one whose
// body stalls. It returns false if there is none. The caller holds s.mu.
func (s *Server) makeRoom() bool {
	var idlest *conn
	var since time.Time
	for c := range s.conns {
		if at, ok := c.idleSince(); ok && (idlest == nil || at.Before(since)) {
			idlest, since = c, at
		}
	}
	if idlest == nil {
		return s.buffers.EvictStalled()
	}
	s.Count(`hibiscusrock_caller_connections_closed_total{reason="room"}`)
	// It is removed here and not when it has ended, so that it does not count against new ones.
	delete(s.conns, idlest)
	idlest.abort()
	return true
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) isStopping() bool { return s.stopping.Load() }

// BeginStop closes each connection after its next answer (Connection: close), so
// that callers send no more requests to this node.
func (s *Server) BeginStop() { s.stopping.Store(true) }

// Shutdown closes the listeners and the idle connections, and waits until the
// requests that were read are answered. It returns the error of ctx if that ends
// first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.BeginStop()
	conns := s.stopAccepting()
	for _, c := range conns {
		c.closeWhenAnswered()
	}
	for _, c := range conns {
		select {
		case <-c.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// stopAccepting closes the listeners and returns the open connections.
func (s *Server) stopAccepting() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, l := range s.listeners {
		_ = l.Close()
	}
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

func (s *Server) close() {
	for _, c := range s.stopAccepting() {
		c.abort()
	}
}
