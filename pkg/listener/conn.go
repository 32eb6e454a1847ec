package listener

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// lingerTimeout and maxLingerBytes bound the input that is dropped after the last answer
	// before linger looks again whether that has arrived. Closing with unread input would
	// reset the connection, which destroys an answer on its way.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 1 << 20
	// callerCheckInterval is the time between two looks whether a caller closed a
	// connection from which nothing is read.
	callerCheckInterval = 100 * time.Millisecond
)

// past is a deadline that interrupts a read at once.
var past = time.Unix(1, 0)

// conn is the connection of one caller.
type conn struct {
	server *Server
	raw    net.Conn
	reader *requestReader
	held   allowance
	ctx    context.Context
	cancel context.CancelFunc
	// changed has an entry when an exchange ended or the connection began to close.
	changed chan struct{}
	// closing is closed when the connection begins to close.
	closing chan struct{}
	done    chan struct{}

	mu       sync.Mutex
	pipeline pipeline
	// running counts the handlers that have not returned.
	running int
	// waiting is set while the reader waits for the first byte of a request.
	waiting bool
	// broken is set when nothing can be written any more.
	broken bool
	// lastBody is the body that was begun last, or nil.
	lastBody *body
	// answered is closed when no handler runs and nothing more is read.
	answered chan struct{}
	// idleAt is when the connection was opened or its last request was answered.
	idleAt time.Time
	// lastSent is set when an answer with Connection: close was sent.
	lastSent bool
}

func newConn(ctx context.Context, s *Server, raw net.Conn) *conn {
	c := &conn{
		server:   s,
		raw:      raw,
		changed:  make(chan struct{}, 1),
		closing:  make(chan struct{}),
		answered: make(chan struct{}),
		done:     make(chan struct{}),
		idleAt:   s.Now(),
	}
	c.reader = newRequestReader(raw, s.limits, s.buffers)
	c.held.max = s.limits.AheadBytes
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.pipeline.isIdempotent, c.pipeline.isShort = c.isIdempotent, c.isShort
	return c
}

// isIdempotent classifies a request. One whose classification panics is not idempotent.
func (c *conn) isIdempotent(x *exchange) bool {
	defer c.server.Contain("classification of a request", nil)
	return c.server.isIdempotent(x.request)
}

// isShort reports whether the answer to a request is expected to be short. One whose
// classification panics is not.
func (c *conn) isShort(x *exchange) bool {
	defer c.server.Contain("classification of a request", nil)
	return c.server.isShort(x.request)
}

// contain must be deferred. It ends the connection, and nothing else, after a panic.
func (c *conn) contain() {
	if reason := recover(); reason != nil {
		c.server.ReportPanic("caller's connection", reason)
		c.abort()
	}
}

func (c *conn) limits() *Limits { return &c.server.limits }

// serve reads the requests of the connection until it closes.
func (c *conn) serve() {
	defer close(c.done)
	defer c.cancel()
	c.readRequests()
	watched := c.watchCaller()
	c.awaitAnswers()
	c.endWatch()
	<-watched
	c.linger()
	_ = c.raw.Close()
	c.server.held.add(-c.held.used.Load())
	c.releaseHeads()
}

// releaseHeads releases the buffers of the heads of requests that were not answered.
func (c *conn) releaseHeads() {
	c.reader.releaseHead()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.pipeline.queue {
		x.releaseHead()
	}
}

// idleSince returns since when the connection is without a request. It returns false for
// one that has a request, also if only a part of that was read.
func (c *conn) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleAt, c.pipeline.first() == nil && !c.pipeline.ended
}

func (c *conn) readRequests() {
	defer c.contain()
	for reading := true; reading; {
		reading = c.awaitRoom() && c.readRequest()
	}
}

// awaitRoom waits until another request may be read. It returns false when the
// connection is closing.
func (c *conn) awaitRoom() bool {
	for {
		c.mu.Lock()
		closing := c.pipeline.closing
		hasRoom := c.pipeline.first() == nil ||
			c.pipeline.mayRead(c.limits().AheadRequests) && !c.held.isExhausted() && !c.server.held.isExhausted()
		c.mu.Unlock()
		if closing || hasRoom {
			return !closing
		}
		c.waitUnread(c.changed, nil)
	}
}

// readRequest reads the next request and starts what may run. It returns false if
// it is the last one.
func (c *conn) readRequest() bool {
	before := c.reader.consumed()
	req, err := c.nextRequest()
	var invalid *requestError
	switch {
	case errors.As(err, &invalid):
		c.reader.releaseHead()
		if !errors.Is(err, errNoRoom) {
			c.server.Count(`hibiscusrock_requests_malformed_total`)
		}
		c.enqueue(&exchange{request: refusedRequest(req), handler: refusingHandler(invalid), refused: true})
		c.closeWhenAnswered()
		return false
	case errors.Is(err, errConnectionStopping), errors.Is(err, errReadTimedOut):
		c.closeWhenAnswered()
		return false
	case err != nil:
		c.callerGone()
		return false
	}
	x := &exchange{request: req, handler: c.server.handler, bytesRead: c.reader.consumed() - before, head: c.reader.takeHead()}
	c.enqueue(x)
	if x.body == nil {
		return !req.Close
	}
	if !x.hasTurn() {
		c.waitUnread(x.body.ended, c.closing)
	}
	select {
	case <-x.body.ended:
		return !req.Close
	case <-c.closing:
		return false
	}
}

// nextRequest waits for the next request and reads its head. Behind others it also
// reads a short body, so that the end of the connection is noticed.
func (c *conn) nextRequest() (*http.Request, error) {
	for {
		if !c.beginWait() {
			return nil, errConnectionStopping
		}
		err := c.reader.awaitByte()
		mayGoOn := c.endWait()
		if err == nil {
			break
		}
		var netErr net.Error
		if !errors.As(err, &netErr) || !netErr.Timeout() {
			return nil, err
		}
		if !mayGoOn {
			return nil, errConnectionStopping
		}
	}
	if !c.reader.isHeadBuffered() {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.limits().HeaderTimeout))
	}
	req, err := c.reader.readHead()
	if err == nil && c.isAnswering() {
		err = c.reader.readBody(req)
	}
	return req, err
}

// isAnswering reports whether requests are not answered yet.
func (c *conn) isAnswering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pipeline.first() != nil
}

// beginWait prepares waiting for a request. It returns false when the connection is
// closing.
func (c *conn) beginWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pipeline.closing {
		return false
	}
	c.waiting = true
	_ = c.raw.SetReadDeadline(time.Now().Add(c.limits().IdleTimeout))
	return true
}

// endWait ends the wait for a request. It returns whether waiting may go on, which
// it may not on an idle connection whose time is over.
func (c *conn) endWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	return c.pipeline.first() != nil
}

// enqueue adds a request to the pipeline and starts what may run.
func (c *conn) enqueue(x *exchange) {
	ctx, cancel := context.WithCancel(c.ctx)
	x.cancel, x.turn = cancel, make(chan struct{})
	req := x.request.WithContext(&arrivalContext{Context: ctx, arrival: c.server.Now()})
	req.RemoteAddr = c.raw.RemoteAddr().String()
	if _, isRead := req.Body.(*bufferedBody); !isRead && req.ContentLength != 0 {
		x.body = newBody(c, req.Body, expectsContinue(req))
		req.Body = x.body
	}
	x.request = req
	x.answer = newAnswer(c, x)
	c.runAll(c.push(x))
}

// push adds a request to the pipeline and returns those that are started now.
func (c *conn) push(x *exchange) []*exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.body != nil {
		c.lastBody = x.body
	}
	if c.pipeline.first() == nil {
		close(x.turn)
		x.bytesRead = 0
	} else {
		c.server.Count(`hibiscusrock_requests_read_ahead_total`)
		c.held.add(x.bytesRead)
		c.server.held.add(x.bytesRead)
	}
	c.pipeline.push(x)
	return c.startLocked()
}

// startLocked starts the requests that may run; mu is held.
func (c *conn) startLocked() []*exchange {
	started := c.pipeline.start()
	c.running += len(started)
	return started
}

func (c *conn) runAll(started []*exchange) {
	for _, x := range started {
		go c.run(x)
	}
}

// run runs the handler of a request, and sends its answer if it is the request's
// turn. The end of all runs is awaited in awaitAnswers.
func (c *conn) run(x *exchange) {
	defer c.endRun()
	defer x.cancel()
	defer c.contain()
	c.callHandler(x)
	c.mu.Lock()
	x.done = true
	isFirst := c.pipeline.first() == x
	c.mu.Unlock()
	if !isFirst {
		return
	}
	for x != nil {
		x.answer.complete()
		x = c.advance()
	}
}

// callHandler calls the handler of a request. A panic is answered with status 500, or
// ends this connection if a part of the answer was sent.
func (c *conn) callHandler(x *exchange) {
	defer func() {
		reason := recover()
		if reason == nil {
			return
		}
		if reason == http.ErrAbortHandler {
			x.answer.aborted = true
			return
		}
		c.server.ReportPanic("caller's request", reason)
		if x.answer.aborted = !x.answer.Reset(); !x.answer.aborted {
			x.answer.WriteHeader(http.StatusInternalServerError)
		}
	}()
	x.handler.ServeHTTP(x.answer, x.request)
}

// advance removes the first request, which was answered, and gives the turn to the
// next one. It returns that if its handler has returned already.
func (c *conn) advance() *exchange {
	next, started := c.popAnswered()
	c.signal()
	c.runAll(started)
	return next
}

// popAnswered removes the first request. It returns the next one if its handler has
// returned already, and those that are started now.
func (c *conn) popAnswered() (next *exchange, started []*exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.pipeline.first()
	c.pipeline.pop()
	c.idleAt = c.server.Now()
	x.answer.release()
	x.releaseHead()
	c.held.add(-x.bytesRead)
	c.server.held.add(-x.bytesRead)
	if x.body != nil {
		x.body.end()
	}
	next = c.pipeline.first()
	if next != nil {
		close(next.turn)
	}
	started = c.startLocked()
	if next != nil && !next.done {
		next = nil
	}
	return next, started
}

func (c *conn) endRun() {
	c.mu.Lock()
	c.running--
	c.mu.Unlock()
	c.signal()
}

// signal wakes awaitRoom or awaitAnswers.
func (c *conn) signal() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// isLastAnswer reports whether the answer to x is the last one of the connection.
// closes is set when nothing can be read after x.
func (c *conn) isLastAnswer(x *exchange, closes bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if closes || x.request.Close || c.server.isStopping() {
		c.closeLocked()
	}
	c.lastSent = c.pipeline.chooseLast(closes)
	return c.lastSent
}

// beginParts reports whether a part of the answer to x, whose turn it is, may be sent
// before the answer is complete. It may not while requests behind x were started, unless
// forced.
func (c *conn) beginParts(x *exchange, forced bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !forced && c.pipeline.hasStartedBehind() {
		return false
	}
	x.inParts = true
	return true
}

// closeWhenAnswered reads no more requests and closes the connection after the
// answers to those that were started.
func (c *conn) closeWhenAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

func (c *conn) closeLocked() {
	if c.pipeline.closing {
		return
	}
	c.pipeline.closing = true
	close(c.closing)
	if c.waiting {
		_ = c.raw.SetReadDeadline(past)
	}
	c.signal()
}

// callerGone ends all requests of a caller that closed the connection, or that
// nothing can be sent to any more.
func (c *conn) callerGone() {
	c.mu.Lock()
	c.broken = true
	c.pipeline.ended = true
	c.closeLocked()
	c.mu.Unlock()
	c.cancel()
}

// abort closes the connection within an answer.
func (c *conn) abort() {
	_ = c.raw.Close()
	c.callerGone()
}

// resetOnClose sets whether the end of the connection is a reset, also if the process ends.
// A caller that takes the end of the connection for the end of the answer sees then that the
// answer is not complete.
func (c *conn) resetOnClose(reset bool) {
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok {
		return
	}
	lingerSeconds := -1
	if reset {
		lingerSeconds = 0
	}
	_ = tcp.SetLinger(lingerSeconds)
}

// watchCaller ends all requests if the caller leaves while they are answered and nothing
// more is read. Input that belongs to a further request stays unread. The channel is closed
// at the end of the watch.
func (c *conn) watchCaller() <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer c.contain()
		if !c.awaitBody() {
			return
		}
		err := c.reader.awaitByte()
		var netErr net.Error
		switch {
		case err == nil:
			c.waitUnread(c.answered, nil)
		case !errors.As(err, &netErr) || !netErr.Timeout():
			c.callerGone()
		}
	}()
	return ended
}

// waitUnread waits for one of two events while nothing is read from the connection. It
// ends all requests if the caller closes the connection in the meantime.
func (c *conn) waitUnread(event, other <-chan struct{}) {
	ticker := time.NewTicker(callerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-event:
			return
		case <-other:
			return
		case <-ticker.C:
			if isClosedByPeer(c.raw) {
				c.callerGone()
				ticker.Stop()
			}
		}
	}
}

// awaitBody waits until the body that is being read has ended. It returns false when all
// requests are answered.
func (c *conn) awaitBody() bool {
	c.mu.Lock()
	body := c.lastBody
	c.mu.Unlock()
	if body != nil {
		c.waitUnread(body.ended, c.answered)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.answered:
		return false
	default:
	}
	_ = c.raw.SetReadDeadline(time.Time{})
	return true
}

// endWatch ends the watch of a caller that has its answers.
func (c *conn) endWatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.answered)
	_ = c.raw.SetReadDeadline(past)
}

// awaitAnswers waits until the handlers have returned and the answers are sent.
func (c *conn) awaitAnswers() {
	for {
		c.mu.Lock()
		running := c.running
		c.mu.Unlock()
		if running == 0 {
			return
		}
		<-c.changed
	}
}

// write sends bytes to the caller. Only the request that has its turn writes.
func (c *conn) write(p []byte) error {
	c.mu.Lock()
	broken := c.broken
	c.mu.Unlock()
	if broken {
		return net.ErrClosed
	}
	err := c.writeAll(p)
	if err != nil {
		c.callerGone()
	}
	return err
}

// writeAll writes p. It gives up on a caller that takes no byte within WriteTimeout.
func (c *conn) writeAll(p []byte) error {
	for {
		_ = c.raw.SetWriteDeadline(time.Now().Add(c.limits().WriteTimeout))
		n, err := c.raw.Write(p)
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		p = p[n:]
	}
}

// linger drops input after the last answer until the caller closes the connection too, or
// sends nothing more, or has received the answer. It gives up on a caller that receives no
// byte within WriteTimeout or has not received the answer within IdleTimeout. Input on a
// connection without a last answer stays unread, so that the caller knows that it was not
// served.
func (c *conn) linger() {
	c.mu.Lock()
	lingers := c.lastSent && !c.broken
	c.mu.Unlock()
	tcp, ok := c.raw.(*net.TCPConn)
	if !lingers || !ok || tcp.CloseWrite() != nil {
		return
	}
	began := time.Now()
	lastTaken := began
	for before := math.MaxInt; c.dropInput() && time.Since(began) <= c.limits().IdleTimeout; {
		left := unacknowledgedBytes(tcp)
		if left < before {
			before, lastTaken = left, time.Now()
		}
		if left == 0 || time.Since(lastTaken) > c.limits().WriteTimeout {
			return
		}
	}
}

// dropInput drops what the caller sends within lingerTimeout, up to maxLingerBytes. It
// returns false if the caller sent nothing more or closed the connection.
func (c *conn) dropInput() bool {
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	n, err := io.CopyN(io.Discard, c.raw, maxLingerBytes)
	return n > 0 && (err == nil || errors.Is(err, os.ErrDeadlineExceeded))
}
