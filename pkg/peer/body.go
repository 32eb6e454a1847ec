package peer

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

var errUnexpectedCredit = errors.New("credit for more than one part of a body")

// bodySender sends the parts of a body for which the other node grants credit.
type bodySender struct {
	credits chan int
	done    chan struct{}
	// reading is set while a part is read, and stopped once none is wanted any more.
	reading, stopped atomic.Bool
}

// partStream is the part of a call that sends the body.
type partStream interface {
	Send(*wire.CallPart) error
}

// startBodySender starts a sender. It calls abort if next fails.
func startBodySender(cm *Client, stream partStream, next func(max int) ([]byte, bool, error), abort context.CancelFunc) *bodySender {
	s := &bodySender{credits: make(chan int, 1), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		defer cm.Contain("body of a request", abort)
		if !s.run(stream, next) {
			abort()
		}
	}()
	return s
}

// run sends parts until the last one was sent or no more credit comes. It returns false if
// a part cannot be read or sent.
func (s *bodySender) run(stream partStream, next func(max int) ([]byte, bool, error)) bool {
	for credit := range s.credits {
		s.reading.Store(true)
		if s.stopped.Load() {
			break
		}
		part, last, err := next(credit)
		s.reading.Store(false)
		if err != nil || stream.Send(&wire.CallPart{Data: part, Last: last}) != nil {
			return false
		}
		if last {
			break
		}
	}
	return true
}

// grant passes credit on. The other node grants it for one part at a time.
func (s *bodySender) grant(credit int) error {
	select {
	case s.credits <- credit:
		return nil
	default:
		return errUnexpectedCredit
	}
}

// stop ends the sender and waits for its end.
func (s *bodySender) stop(interrupt func()) {
	s.stopped.Store(true)
	close(s.credits)
	if s.reading.Load() {
		interrupt()
	}
	<-s.done
}

// BodyParts returns a function that asks the sender of a call for the next part of its
// body, of at most max bytes, and returns that and whether it is the last one.
func BodyParts(stream wire.DRPCPeer_CallWithBodyStream, send func(*wire.CallAnswer) error) func(max int) ([]byte, bool, error) {
	return func(max int) ([]byte, bool, error) {
		if err := send(&wire.CallAnswer{Progress: true, BodyCredit: int64(max)}); err != nil {
			return nil, false, err
		}
		part, err := stream.Recv()
		if err != nil {
			return nil, false, err
		}
		return part.GetData(), part.GetLast(), nil
	}
}
