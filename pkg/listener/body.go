package listener

import (
	"errors"
	"io"
	"sync"
	"time"
)

// maxDiscardBytes bounds what is read of a body that the handler did not read. A
// longer one ends the connection.
const maxDiscardBytes = 256 << 10

var errBodyClosed = errors.New("the body was closed")

// body is the body of one request. Its end is awaited before the next request is
// read from the connection.
type body struct {
	conn   *conn
	source io.Reader
	// sendContinue is set until 100 Continue was sent to a caller that waits for it.
	sendContinue bool
	closed       bool
	// ended is closed at the end of the body, or when it will not be read further.
	ended   chan struct{}
	isEnded bool
	atEOF   bool

	mu sync.Mutex
	// until is the time by which the body must have arrived, or zero.
	until time.Time
	// interrupted is set when nothing more of the body is read.
	interrupted bool
}

func newBody(c *conn, source io.Reader, sendContinue bool) *body {
	return &body{conn: c, source: source, sendContinue: sendContinue, ended: make(chan struct{})}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.closed {
		return 0, errBodyClosed
	}
	return b.read(p)
}

func (b *body) read(p []byte) (int, error) {
	if b.atEOF {
		return 0, io.EOF
	}
	if b.sendContinue {
		b.sendContinue = false
		if err := b.conn.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return 0, err
		}
	}
	b.setReadDeadline()
	n, err := b.source.Read(p)
	if errors.Is(err, io.EOF) {
		b.atEOF = true
		b.end()
	}
	return n, err
}

// setReadDeadline bounds the time of the next read.
func (b *body) setReadDeadline() {
	b.mu.Lock()
	defer b.mu.Unlock()
	deadline := time.Now().Add(b.conn.limits().BodyTimeout)
	if !b.until.IsZero() && b.until.Before(deadline) {
		deadline = b.until
	}
	if b.interrupted {
		deadline = past
	}
	_ = b.conn.raw.SetReadDeadline(deadline)
}

// SetReadDeadline sets the time by which the body must have arrived.
func (b *body) SetReadDeadline(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.until = t
}

// Interrupt ends the reads of the body with an error, also one that waits.
func (b *body) Interrupt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.interrupted = true
	if !b.isEnded {
		_ = b.conn.raw.SetReadDeadline(past)
	}
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.closed = true
	return nil
}

// discard reads what the handler left of the body, up to maxDiscardBytes and for at most
// lingerTimeout. It returns false if the body has not ended then. A caller that still waits
// for 100 Continue sends no body.
func (b *body) discard() bool {
	if !b.atEOF && !b.sendContinue {
		b.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, readerFunc(b.read), maxDiscardBytes)
	}
	b.end()
	return b.atEOF
}

func (b *body) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isEnded {
		b.isEnded = true
		close(b.ended)
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
