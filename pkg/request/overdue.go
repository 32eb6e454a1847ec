package request

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// overdueFactor times the usual work is rarely exceeded by a backend server
	// that is well, as long as one request in a hundred takes five times as long.
	overdueFactor = 4
	// retryFactor times the usual work has to be left for another attempt.
	retryFactor = 2
)

// errOverdue ends an attempt whose answer takes so long that another backend
// server is tried.
var errOverdue = errors.New("the answer is overdue")

// overdueAfter returns the time from the start of its run after which an
// attempt is given up, or 0 when it is awaited to the end.
func overdueAfter(c *call, choice routing.Choice, left time.Duration) time.Duration {
	if !c.request.GetIdempotent() || c.reached+1 >= c.maxAttempts() || choice.Usual <= 0 {
		return 0
	}
	overdue := overdueFactor * choice.Usual
	if overdue+retryFactor*choice.Usual > left {
		return 0
	}
	return overdue
}

// overdueWatch tells the entry node once that a run has lasted too long. The
// entry node may end the run then.
type overdueWatch struct {
	send   func(*wire.CallAnswer) error
	cancel context.CancelFunc
	timer  *time.Timer

	mu sync.Mutex
	// answered is set once a part of the answer was sent.
	answered bool
	// told is set once the entry node was told.
	told bool
}

// watchOverdue returns a watch over a run that starts now, or nil when the
// entry node does not ask for one.
func watchOverdue(in *wire.CallRequest, send func(*wire.CallAnswer) error, cancel context.CancelFunc) *overdueWatch {
	if in.GetOverdueMs() <= 0 {
		return nil
	}
	w := &overdueWatch{send: send, cancel: cancel}
	w.timer = time.AfterFunc(time.Duration(in.GetOverdueMs())*time.Millisecond, w.tell)
	return w
}

func (w *overdueWatch) tell() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.answered {
		return
	}
	w.told = true
	if err := w.send(&wire.CallAnswer{Progress: true, Overdue: true}); err != nil {
		w.cancel()
	}
}

// pass sends a part of the answer.
func (w *overdueWatch) pass(answer *wire.CallAnswer) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answered = true
	return w.send(answer)
}

// stop ends the watch and reports whether the run lasted too long.
func (w *overdueWatch) stop() bool {
	if w == nil {
		return false
	}
	w.timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.told
}
