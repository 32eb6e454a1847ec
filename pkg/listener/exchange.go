package listener

import (
	"net/http"

	"github.com/hibiscusrock/hibiscusrock/pkg/buffers"
)

// exchange is one request of a connection and its answer.
type exchange struct {
	request *http.Request
	handler http.Handler
	// refused is set for what could not be read as a request. Its request has no URL.
	refused bool
	// body is nil for a request without a body, or whose body was read already.
	body   *body
	answer *answer
	// bytesRead is the part of the allowances that the request takes while it waits
	// behind another.
	bytesRead int64
	// head is the part of the buffers that the head takes while the request is handled, or
	// nil for an ordinary one.
	head *buffers.Lease
	// started and done tell whether the handler was started and has returned.
	started bool
	done    bool
	// inParts is set once a part of the answer was sent before it was complete.
	inParts bool
	// turn is closed when all earlier requests of the connection are answered.
	turn chan struct{}
	// cancel ends the context of the request.
	cancel func()
}

func (x *exchange) releaseHead() {
	if x.head != nil {
		x.head.Release()
	}
}

func (x *exchange) hasTurn() bool {
	select {
	case <-x.turn:
		return true
	default:
		return false
	}
}

// awaitTurn waits for the request's turn. It returns false if the request's context
// ended first.
func (x *exchange) awaitTurn() bool {
	select {
	case <-x.turn:
		return true
	case <-x.request.Context().Done():
		return false
	}
}
