// Package backend sends requests to one backend server over HTTP/1.1. Unlike the
// client of the standard library, it never sends a request twice, reports whether
// any byte of the request may have been sent, and does not reuse a connection on
// which unexpected bytes have arrived.
package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	connectTimeout = 300 * time.Millisecond
	// maxIdleTime bounds the idle time after which a connection is reused. It is
	// below the idle timeouts of usual backend servers, so that they rarely close a
	// connection while a request is being sent on it.
	maxIdleTime = 4 * time.Second
	// maxIdleTimeNonIdempotent is the bound for requests that are not idempotent:
	// sent on a connection that the backend server has dropped, such a request
	// would have an unknown outcome.
	maxIdleTimeNonIdempotent = time.Second
	// keepAliveMargin is subtracted from the idle timeout that a backend server
	// announces.
	keepAliveMargin = time.Second
	// maxIdleConns bounds the number of idle connections. It follows from the
	// number of slots of usual backend servers.
	maxIdleConns   = 32
	readBufferSize = 4 << 10
	// maxHeadBytes bounds the head of an answer. A backend server in trouble may send
	// a head without an end.
	maxHeadBytes = 64 << 10
	// For mismatchPeriod after an answer that belongs to another request, a
	// connection is reused only after it was idle for minIdleAfterMismatch.
	mismatchPeriod       = 10 * time.Second
	minIdleAfterMismatch = 20 * time.Millisecond
	// For stalePeriod after a stale connection, a connection is reused only up to
	// staleIdleFactor times the idle time of the stale one.
	staleIdleFactor = 0.5
	stalePeriod     = 10 * time.Second
	// maxInlineBody is the maximum length in bytes of a body that is written before
	// the answer is read.
	maxInlineBody = 32 << 10
	// streamBufferBytes is the length of the parts in which a streamed body is written.
	streamBufferBytes = 32 << 10
)

// ErrNotSent marks a request of which no byte was sent, so that it cannot have run.
var ErrNotSent = errors.New("request not sent")

// ErrStale marks a request that was sent on an idle connection which was reset or
// closed before any byte of an answer. The backend server probably dropped the
// connection while it was idle, but the request may have run.
var ErrStale = errors.New("idle connection was reset or closed before an answer")

// ErrInvalidHead marks an answer whose head does not tell what follows it. The request may
// have run.
var ErrInvalidHead = errors.New("invalid head of an answer")

// Request is one request to a backend server.
type Request struct {
	Method string
	// Target is the request target: the path and the query.
	Target string
	Host   string
	// Header holds the headers other than Host and Content-Length.
	Header []*wire.Header
	Body   []byte
	// Stream returns a reader of the body in place of Body. StreamBytes is the length of
	// that, or -1 if it is not known. An error of the reader closes the connection.
	Stream      func() io.Reader
	StreamBytes int64
	// NonIdempotent reports whether the request is not idempotent, so that it may
	// run at most once.
	NonIdempotent bool
	// Fresh reports whether the request is sent on a new connection.
	Fresh bool
}

// Client sends requests to one backend server and holds its idle connections. It
// is safe for concurrent use.
type Client struct {
	address string
	now     func() time.Time

	mu sync.Mutex
	// idle holds the idle connections, with the last used one at the end.
	idle   []*conn
	closed bool
	// staleIdleLimit bounds the idle time of reused connections until
	// staleIdleLimitEnds, after the backend server dropped a connection.
	staleIdleLimit     time.Duration
	staleIdleLimitEnds time.Time
	// mismatchedAt is the time of the last answer that belonged to another request.
	mismatchedAt time.Time
}

// NewClient returns a client for the backend server at address (host:port) and a
// function that closes its idle connections and stops their reuse.
func NewClient(address string, now func() time.Time) (*Client, func()) {
	c := &Client{address: address, now: now}
	return c, c.close
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, cn := range c.idle {
		_ = cn.raw.Close()
	}
	c.idle = nil
}

// Do sends a request and returns its answer after the head was read. The caller
// must close the answer. Cancelling ctx also aborts reading the body. An error
// that wraps ErrNotSent means that the request cannot have run; after any other
// error it may have run. ErrStale is wrapped when the idle connection that was
// used was probably dropped by the backend server.
func (c *Client) Do(ctx context.Context, r *Request) (*Answer, error) {
	cn, err := c.connect(ctx, r)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	idleTime := cn.idleTime
	answer, err := c.exchange(ctx, cn, r)
	if idleTime == 0 || err == nil || ctx.Err() != nil {
		return answer, err
	}
	if errors.Is(err, ErrNotSent) {
		// An idle connection that broke does not show a fault of the backend
		// server, and no byte was sent: send the request on a new connection.
		if cn, err = c.dial(ctx); err != nil {
			return nil, errors.Join(ErrNotSent, err)
		}
		return c.exchange(ctx, cn, r)
	}
	if cn.isStale(err) {
		c.recordStale(idleTime)
		err = errors.Join(ErrStale, err)
	}
	return nil, err
}

// exchange sends a request on a connection and reads the head of its answer. It
// closes the connection after an error or when ctx ends.
func (c *Client) exchange(ctx context.Context, cn *conn, r *Request) (*Answer, error) {
	stop := context.AfterFunc(ctx, func() { _ = cn.raw.Close() })
	resp, err := cn.roundTrip(r)
	if err != nil {
		stop()
		_ = cn.raw.Close()
		return nil, err
	}
	return &Answer{client: c, conn: cn, resp: resp, stop: stop}, nil
}

// connect returns the connection for a request.
func (c *Client) connect(ctx context.Context, r *Request) (*conn, error) {
	if r.Fresh {
		return c.dial(ctx)
	}
	return c.idleOrNew(ctx, r.NonIdempotent)
}

// idleOrNew returns an idle connection that is healthy and was not idle for too
// long, or a new one. It closes the idle connections that it rejects.
func (c *Client) idleOrNew(ctx context.Context, nonIdempotent bool) (*conn, error) {
	limit := maxIdleTime
	if nonIdempotent {
		limit = maxIdleTimeNonIdempotent
	}
	limit = min(limit, c.currentIdleLimit())
	for {
		cn := c.popIdle()
		if cn == nil {
			return c.dial(ctx)
		}
		cn.idleTime = max(c.now().Sub(cn.lastUsed), 1)
		if cn.idleTime < min(limit, cn.idleTimeout) && cn.isHealthy() {
			return cn, nil
		}
		_ = cn.raw.Close()
	}
}

// popIdle removes and returns the idle connection that was used last, or nil when
// there is none. For mismatchPeriod after a mismatched answer it returns the one
// that was idle longest, if that was at least minIdleAfterMismatch.
func (c *Client) popIdle() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := len(c.idle) - 1
	if last < 0 {
		return nil
	}
	cn := c.idle[last]
	if now := c.now(); !c.mismatchedAt.IsZero() && now.Sub(c.mismatchedAt) < mismatchPeriod {
		if now.Sub(c.idle[0].lastUsed) < minIdleAfterMismatch {
			return nil
		}
		cn = c.idle[0]
		copy(c.idle, c.idle[1:])
	}
	c.idle = c.idle[:last]
	return cn
}

// recordMismatch starts the period in which connections stay idle for a minimum
// time before their reuse, so that an unexpected answer arrives before the next
// request is sent and the connection is rejected.
func (c *Client) recordMismatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mismatchedAt = c.now()
}

// recordStale lowers the limit on the idle time of reused connections after the
// backend server dropped one that was idle for the given time.
func (c *Client) recordStale(idleTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := time.Duration(staleIdleFactor * float64(idleTime))
	if c.now().Before(c.staleIdleLimitEnds) {
		limit = min(limit, c.staleIdleLimit)
	}
	c.staleIdleLimit = limit
	c.staleIdleLimitEnds = c.now().Add(stalePeriod)
}

// currentIdleLimit returns the present bound on the idle time of reused
// connections.
func (c *Client) currentIdleLimit() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.now().Before(c.staleIdleLimitEnds) {
		return c.staleIdleLimit
	}
	return maxIdleTime
}

func (c *Client) dial(ctx context.Context) (*conn, error) {
	raw, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

// DropClosed closes the idle connections that the backend server has closed, and reports
// whether these were all idle ones, and at least one. A backend server that ends closes
// all of them; an idle timeout closes only some.
func (c *Client) DropClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return false
	}
	c.idle = slices.DeleteFunc(c.idle, func(cn *conn) bool {
		if cn.isHealthy() {
			return false
		}
		_ = cn.raw.Close()
		return true
	})
	return len(c.idle) == 0
}

// putIdle adds a connection to the idle ones, or closes it when the client is
// closed or holds maxIdleConns already.
func (c *Client) putIdle(cn *conn) {
	cn.lastUsed = c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle) >= maxIdleConns {
		_ = cn.raw.Close()
		return
	}
	c.idle = append(c.idle, cn)
}

// Answer is an answer whose head was read and whose body is read with Read.
type Answer struct {
	client *Client
	conn   *conn
	resp   *http.Response
	// stop detaches the connection from the request's context. It returns false
	// when the end of the context has closed the connection already.
	stop func() bool
	// complete reports whether the body was read to its end.
	complete bool
	// last is set when the connection must not carry another request.
	last bool
}

// Status returns the status code.
func (a *Answer) Status() int { return a.resp.StatusCode }

// Header returns the headers.
func (a *Answer) Header() http.Header { return a.resp.Header }

// Length returns the length of the body in bytes, or -1 when it is not known in
// advance.
func (a *Answer) Length() int64 {
	if a.resp.Request.Method == http.MethodHead {
		return 0
	}
	return a.resp.ContentLength
}

// Read reads the body. An error other than io.EOF means that the body is
// incomplete.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.resp.Body.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := common.CheckFieldNames(a.resp.Trailer); err != nil {
		return n, err
	}
	a.complete = true
	return n, err
}

// Next discards this answer, which belongs to another request, and returns the
// answer that follows on the same connection within wait. A wait of 0 waits until
// the request's context ends. After an error the connection is closed.
func (a *Answer) Next(wait time.Duration) (*Answer, error) {
	a.client.recordMismatch()
	if wait > 0 {
		_ = a.conn.raw.SetReadDeadline(a.client.now().Add(wait))
	}
	_, err := io.Copy(io.Discard, a)
	if err == nil && a.resp.Close {
		err = io.ErrUnexpectedEOF
	}
	var resp *http.Response
	if err == nil {
		resp, err = a.conn.readHead(a.resp.Request.Method)
	}
	if err != nil {
		a.complete = false
		a.Close()
		return nil, err
	}
	_ = a.conn.raw.SetReadDeadline(time.Time{})
	return &Answer{client: a.client, conn: a.conn, resp: resp, stop: a.stop}, nil
}

// CloseConnection lets Close close the connection also after the whole answer.
func (a *Answer) CloseConnection() { a.last = true }

// Close ends the exchange. The connection is reused when the body was read to its
// end and nothing arrived after it; otherwise it is closed.
func (a *Answer) Close() {
	if !a.stop() || !a.complete || a.last || !a.conn.isReusable(a.resp) {
		_ = a.conn.raw.Close()
		return
	}
	a.client.putIdle(a.conn)
}

// idleTimeoutOf returns how long a connection may be idle after an answer: the
// announced Keep-Alive timeout less keepAliveMargin, or else maxIdleTime.
func idleTimeoutOf(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
	return maxIdleTime
}
