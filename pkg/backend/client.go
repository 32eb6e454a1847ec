// Package backend sends requests to one backend server over HTTP/1.1. Unlike
// the standard library's client it never sends a request twice, tells whether
// any byte of it may have left, and keeps no connection on which bytes arrived
// that nobody asked for.
package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	connectTimeout = 300 * time.Millisecond
	// maxIdle is below the idle timeouts that backend servers use, so that a
	// kept connection is rarely closed under a request.
	maxIdle = 4 * time.Second
	// maxIdleOnce bounds the reuse for requests that may run once only: a
	// backend server that forgot the connection would leave their outcome unknown.
	maxIdleOnce = time.Second
	// keepAliveMargin is taken off the idle timeout that a backend server announces.
	keepAliveMargin = time.Second
	// maxIdleConns follows from the slots of usual backend servers.
	maxIdleConns = 32
	readBuffer   = 4 << 10
	// For cautiousTime after a crossed answer, connections rest for restTime.
	cautiousTime = 10 * time.Second
	restTime     = 20 * time.Millisecond
	// After a stale connection, others rest at most for this part of the time
	// that it had rested, for staleTime.
	staleRestPart = 0.5
	staleTime     = 10 * time.Second
	// inlineBody is the size up to which a body is written before the answer is read.
	inlineBody = 32 << 10
)

// ErrNotSent marks a request of which no byte reached the backend server.
var ErrNotSent = errors.New("not sent")

// ErrStale marks a request that went out on a kept connection which was
// reset without a byte of an answer. The backend server may have dropped the
// idle connection; the request may have run all the same.
var ErrStale = errors.New("the kept connection was reset")

// Request is one request to a backend server.
type Request struct {
	Method string
	Target string
	Host   string
	Header []*wire.Header
	Body   []byte
	// Once is set when the request may run once only.
	Once bool
	// Fresh asks for a connection of its own.
	Fresh bool
}

// Client keeps the connections to one backend server.
type Client struct {
	address string
	now     func() time.Time

	mu     sync.Mutex
	idle   []*conn
	closed bool
	// restLimit bounds the rest of connections until restLimitEnds, since the
	// backend server forgot one that had rested longer.
	restLimit     time.Duration
	restLimitEnds time.Time
	// crossedAt is when an answer to another request was last met.
	crossedAt time.Time
}

// NewClient returns a client of the backend server at address, and its clean-up function.
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

// Do sends a request and returns the head of its answer; the caller closes the
// answer. An error that wraps ErrNotSent means that the request cannot have run.
func (c *Client) Do(ctx context.Context, r *Request) (*Answer, error) {
	cn, err := c.connect(ctx, r)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	rested := cn.rested
	answer, err := c.exchange(ctx, cn, r)
	if rested == 0 || err == nil || ctx.Err() != nil {
		return answer, err
	}
	if errors.Is(err, ErrNotSent) {
		// A broken idle connection says nothing of the backend server.
		if cn, err = c.dial(ctx); err != nil {
			return nil, errors.Join(ErrNotSent, err)
		}
		return c.exchange(ctx, cn, r)
	}
	if cn.isStale(err) {
		c.noteStale(rested)
		err = errors.Join(ErrStale, err)
	}
	return nil, err
}

// exchange sends a request on a connection and reads the head of its answer.
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

func (c *Client) connect(ctx context.Context, r *Request) (*conn, error) {
	if r.Fresh {
		return c.dial(ctx)
	}
	return c.take(ctx, r.Once)
}

// take returns an idle connection that is still sound, or a new one.
func (c *Client) take(ctx context.Context, once bool) (*conn, error) {
	limit := maxIdle
	if once {
		limit = maxIdleOnce
	}
	limit = min(limit, c.currentRestLimit())
	for {
		cn := c.takeIdle()
		if cn == nil {
			return c.dial(ctx)
		}
		cn.rested = max(c.now().Sub(cn.lastUsed), 1)
		if cn.rested < min(limit, cn.idleTimeout) && cn.isQuiet() {
			return cn, nil
		}
		_ = cn.raw.Close()
	}
}

// takeIdle returns the connection that was used last, or the one that has
// rested longest after a crossed answer.
func (c *Client) takeIdle() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := len(c.idle) - 1
	if last < 0 {
		return nil
	}
	cn := c.idle[last]
	if now := c.now(); !c.crossedAt.IsZero() && now.Sub(c.crossedAt) < cautiousTime {
		if now.Sub(c.idle[0].lastUsed) < restTime {
			return nil
		}
		cn = c.idle[0]
		copy(c.idle, c.idle[1:])
	}
	c.idle = c.idle[:last]
	return cn
}

// noteCrossed lets connections rest before they are used again, so that an
// answer which nobody asked for arrives before the next request goes out.
func (c *Client) noteCrossed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crossedAt = c.now()
}

// noteStale lets connections rest for less after the backend server forgot
// one that had rested for the given time.
func (c *Client) noteStale(rested time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := time.Duration(staleRestPart * float64(rested))
	if c.now().Before(c.restLimitEnds) {
		limit = min(limit, c.restLimit)
	}
	c.restLimit = limit
	c.restLimitEnds = c.now().Add(staleTime)
}

// currentRestLimit returns the longest rest after which a connection is used again.
func (c *Client) currentRestLimit() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.now().Before(c.restLimitEnds) {
		return c.restLimit
	}
	return maxIdle
}

func (c *Client) dial(ctx context.Context) (*conn, error) {
	raw, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	return &conn{raw: raw, reader: bufio.NewReaderSize(raw, readBuffer), idleTimeout: maxIdle}, nil
}

func (c *Client) giveBack(cn *conn) {
	cn.lastUsed = c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle) >= maxIdleConns {
		_ = cn.raw.Close()
		return
	}
	c.idle = append(c.idle, cn)
}

// Answer is an answer whose body is still to be read.
type Answer struct {
	client *Client
	conn   *conn
	resp   *http.Response
	stop   func() bool
	whole  bool
}

// Status returns the status code.
func (a *Answer) Status() int { return a.resp.StatusCode }

// Header returns the headers.
func (a *Answer) Header() http.Header { return a.resp.Header }

// Length returns the length of the body in bytes, or -1 when it is not known.
func (a *Answer) Length() int64 {
	if a.resp.Request.Method == http.MethodHead {
		return 0
	}
	return a.resp.ContentLength
}

// Read reads the body. An error other than io.EOF means that it is not whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// Next drops this answer, which belongs to another request, and returns the
// head of the one that follows on the same connection within wait; 0 waits as
// long as the request's context allows.
func (a *Answer) Next(wait time.Duration) (*Answer, error) {
	a.client.noteCrossed()
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
		a.whole = false
		a.Close()
		return nil, err
	}
	_ = a.conn.raw.SetReadDeadline(time.Time{})
	return &Answer{client: a.client, conn: a.conn, resp: resp, stop: a.stop}, nil
}

// Close ends the exchange, and keeps the connection when the answer was whole
// and nothing came after it.
func (a *Answer) Close() {
	if !a.stop() || !a.whole || !a.conn.isReusable(a.resp) {
		_ = a.conn.raw.Close()
		return
	}
	a.client.giveBack(a.conn)
}

// idleTimeoutOf returns how long a connection may stay idle after an answer.
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
	return maxIdle
}
