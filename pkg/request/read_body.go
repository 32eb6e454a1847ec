package request

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/buffers"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
)

const (
	// maxHeldBodyBytes bounds the part of a body that an entry node reads before it sends
	// the request to a backend server. A body that is held whole can be sent again.
	maxHeldBodyBytes = 3 << 20
	// callerHeldDivisor: one body takes at most this part of the callers' pool.
	callerHeldDivisor = 2
	// bodyStallTimeout is the time without a byte of a body after which a request that a
	// backend server already works on is given up.
	bodyStallTimeout  = 10 * time.Second
	buffersRetryAfter = 500 * time.Millisecond
)

var errBodyTooLarge = errors.New("the body is longer than the route allows")

// callerBody is what the listener's bodies implement in addition to io.Reader.
type callerBody interface {
	// SetReadDeadline sets the time by which the body must have arrived.
	SetReadDeadline(time.Time)
	// Interrupt ends the reads of the body.
	Interrupt()
}

// readBody reads the body of a caller's request as far as it can be held, until a deadline.
// It returns the bytes of a short body, or a Body.
func (e *Entry) readBody(r *http.Request, limit int64, deadline time.Time) ([]byte, *Body, *verdict.Refusal) {
	switch {
	case r.ContentLength == 0:
		return nil, nil, nil
	case r.ContentLength > limit:
		return nil, nil, verdict.Refuse(verdict.NotRun, verdict.BodyTooLarge)
	}
	source, interrupt := &limitedBody{source: r.Body, left: limit}, func() {}
	if b, ok := r.Body.(callerBody); ok {
		b.SetReadDeadline(deadline)
		source.setDeadline, interrupt = b.SetReadDeadline, b.Interrupt
	}
	held := buffers.NewBody(e.buffers.Open(interrupt))
	ended, err := held.Fill(source, e.maxHeldBody())
	if err == nil && !held.Lease().Settle() {
		err = buffers.ErrNoRoom
	}
	if err != nil {
		refusal := bodyRefusal(err, held.Lease())
		held.Release()
		return nil, nil, refusal
	}
	if !ended {
		source.deadline = deadline
		return nil, e.streamedBody(held, source, r.ContentLength, interrupt), nil
	}
	if held.Size() <= inlineBodyBytes {
		defer held.Release()
		return held.Bytes(), nil, nil
	}
	return nil, &Body{held: held, length: held.Size(), interrupt: interrupt}, nil
}

func (e *Entry) maxHeldBody() int64 { return min(maxHeldBodyBytes, e.buffers.Max()/callerHeldDivisor) }

// bodyRefusal returns the refusal of a request whose body could not be read.
func bodyRefusal(err error, lease *buffers.Lease) *verdict.Refusal {
	var netErr net.Error
	switch {
	case errors.Is(err, errBodyTooLarge):
		return verdict.Refuse(verdict.NotRun, verdict.BodyTooLarge)
	case errors.Is(err, buffers.ErrNoRoom), lease.IsEvicted():
		return verdict.Refuse(verdict.NotRun, verdict.BuffersFull).WithRetryAfter(buffersRetryAfter)
	case errors.As(err, &netErr) && netErr.Timeout():
		return verdict.Refuse(verdict.NotRun, verdict.BodyTimedOut)
	}
	return verdict.Refuse(verdict.NotRun, verdict.BodyUnreadable)
}

// streamedBody returns a body of which held is the first part and source the rest.
func (e *Entry) streamedBody(held *buffers.Body, source *limitedBody, length int64, interrupt func()) *Body {
	// The receiver of a part is done with it before it asks for the next one.
	var part, buffer []byte
	return &Body{held: held, length: length, interrupt: interrupt, next: func(max int) ([]byte, bool, error) {
		if len(part) == 0 {
			part = held.Pop()
		}
		if len(part) > 0 {
			n := min(max, len(part))
			first := part[:n]
			part = part[n:]
			return first, false, nil
		}
		if len(buffer) < max {
			buffer = make([]byte, max)
		}
		n, err := source.Read(buffer[:max])
		if errors.Is(err, io.EOF) {
			return buffer[:n], true, nil
		}
		return buffer[:n], false, err
	}}
}

// limitedBody reads a caller's body up to the bytes that its route allows.
type limitedBody struct {
	source      io.Reader
	left        int64
	setDeadline func(time.Time)
	// deadline is set once a backend server may work on the request: a caller that sends
	// nothing for bodyStallTimeout is given up from then on.
	deadline time.Time
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if !b.deadline.IsZero() && b.setDeadline != nil {
		stalled := time.Now().Add(bodyStallTimeout)
		if b.deadline.Before(stalled) {
			stalled = b.deadline
		}
		b.setDeadline(stalled)
	}
	// One byte more than is left shows that the body is too long.
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.source.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}
