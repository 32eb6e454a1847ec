package request

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"github.com/hibiscusrock/hibiscusrock/pkg/buffers"
	"github.com/hibiscusrock/hibiscusrock/pkg/link"
)

// inlineBodyBytes is the length up to which a body travels with its request. A longer one is
// sent in parts, as far as the owner node grants credit for it.
const inlineBodyBytes = 16 << 10

var errBodyReleased = errors.New("the request of the body has ended")

// Body is the body of a request that does not travel in its CallRequest.
type Body struct {
	// held is the whole body, or the part of it that was read.
	held *buffers.Body
	// next returns the next part of a body that is not held whole, of at most max bytes, and
	// whether it is the last one.
	next func(max int) (part []byte, last bool, err error)
	// length is the number of bytes, or -1 if that is not known.
	length int64
	// consumed is set once a part was handed out that is not held any more.
	consumed atomic.Bool
	// failure is the error of next, which no backend server has caused, or nil.
	failure atomic.Pointer[error]
	// mu is held while a part is read. reading is set then, and stopped once none may be
	// read any more.
	mu               sync.Mutex
	reading, stopped atomic.Bool
	// interrupt ends a call of next that waits, with an error.
	interrupt func()
}

// NewBody returns a body of which another node sends the parts that next returns. length is
// the number of bytes, or -1 if that is not known. interrupt ends a call of next.
func NewBody(length int64, next func(max int) ([]byte, bool, error), interrupt func()) *Body {
	return &Body{length: length, next: next, interrupt: interrupt}
}

// isWhole reports whether the body is held whole.
func (b *Body) isWhole() bool { return b.next == nil }

// release gives up what is held of the body. A read that is under way ends first: what
// follows on the caller's connection may belong to another request.
func (b *Body) release() {
	if b == nil {
		return
	}
	b.stopped.Store(true)
	if b.reading.Load() {
		b.interrupt()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held != nil {
		b.held.Release()
	}
}

// err returns the error of the sender of the body, or nil.
func (b *Body) err() error {
	if b == nil || b.failure.Load() == nil {
		return nil
	}
	return *b.failure.Load()
}

// parts returns a function that returns one part after the other, for one attempt.
func (b *Body) parts() func(max int) ([]byte, bool, error) {
	if b.isWhole() {
		r, left := b.held.Reader(), b.held.Size()
		return func(max int) ([]byte, bool, error) {
			part := make([]byte, min(int64(max), left))
			n, err := io.ReadFull(r, part)
			left -= int64(n)
			return part[:n], left == 0, err
		}
	}
	return func(max int) ([]byte, bool, error) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.consumed.Store(true)
		b.reading.Store(true)
		defer b.reading.Store(false)
		if b.stopped.Load() {
			return nil, false, errBodyReleased
		}
		part, last, err := b.next(max)
		if err != nil {
			b.failure.Store(&err)
		}
		return part, last, err
	}
}

// reader returns a reader of the body, for one attempt.
func (b *Body) reader() io.Reader {
	if b.isWhole() {
		return b.held.Reader()
	}
	return &partReader{next: b.parts()}
}

// partReader reads parts one after the other.
type partReader struct {
	next func(max int) ([]byte, bool, error)
	part []byte
	last bool
}

// Read implements io.Reader.
func (r *partReader) Read(p []byte) (int, error) {
	for len(r.part) == 0 {
		if r.last {
			return 0, io.EOF
		}
		var err error
		if r.part, r.last, err = r.next(link.PartBytes); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.part)
	r.part = r.part[n:]
	return n, nil
}
