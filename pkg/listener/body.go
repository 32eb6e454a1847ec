package listener

import (
	"errors"
	"io"
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
	_ = b.conn.raw.SetReadDeadline(time.Now().Add(b.conn.limits().BodyTimeout))
	n, err := b.source.Read(p)
	if errors.Is(err, io.EOF) {
		b.atEOF = true
		b.end()
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.closed = true
	return nil
}

// discard reads what the handler left of the body, up to maxDiscardBytes. It
// returns false if the body has not ended then. A caller that still waits for 100
// Continue sends no body.
func (b *body) discard() bool {
	if !b.atEOF && !b.sendContinue {
		_, _ = io.CopyN(io.Discard, readerFunc(b.read), maxDiscardBytes)
	}
	b.end()
	return b.atEOF
}

func (b *body) end() {
	if !b.isEnded {
		b.isEnded = true
		close(b.ended)
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
