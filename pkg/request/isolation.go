package request

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/admission"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// isolationHold is how long a suspect keeps its turn after its run ended without an answer.
const isolationHold = 500 * time.Millisecond

// A suspect waits for its turn only while expectedWorks times its expected work is left
// before its deadline.
const expectedWorks = 2

// isolation lets one request at a time run out of those that may have caused a crash, so
// that a further crash tells which of them did.
type isolation struct {
	turn chan struct{}
	// closed ends all waits; nobody has to wait for a backend server that has crashed.
	closed    chan struct{}
	closeOnce sync.Once
	// present counts the requests that run or wait.
	present atomic.Int32
}

func newIsolation() *isolation {
	return &isolation{turn: make(chan struct{}, 1), closed: make(chan struct{})}
}

func (s *isolation) close() { s.closeOnce.Do(func() { close(s.closed) }) }

// enter waits for its turn and returns a function that gives it on after a time.
func (s *isolation) enter(ctx context.Context) (leave func(after time.Duration), err error) {
	s.present.Add(1)
	select {
	case s.turn <- struct{}{}:
	case <-s.closed:
		s.present.Add(-1)
		return func(time.Duration) {}, nil
	case <-ctx.Done():
		s.present.Add(-1)
		return nil, ctx.Err()
	}
	release := func() {
		s.present.Add(-1)
		<-s.turn
	}
	return func(after time.Duration) {
		if after > 0 {
			time.AfterFunc(after, release)
			return
		}
		release()
	}, nil
}

// isolate lets a request that may have caused a crash wait until no other such request
// runs on the backend server. It does not wait if the request would then miss its deadline.
// It returns a function to call when the run has ended.
func (o *Owner) isolate(ctx context.Context, b *Backend, in *wire.CallRequest, work admission.Work) (leave func(after time.Duration), refusal *verdict.Refusal) {
	if !o.crashTracker.IsSuspect(in.GetFingerprint(), int(in.GetCrashes())) {
		return func(time.Duration) {}, nil
	}
	suspects := b.currentIncarnation().suspects
	expected := b.gate.Forecast(work).Work
	wait := time.Duration(suspects.present.Load()) * expected
	if work.MaxWait > 0 && wait > work.MaxWait {
		return nil, verdict.Refuse(verdict.NotRun, verdict.Busy).WithRetryAfter(wait)
	}
	latest := work.Deadline.Add(-expectedWorks * expected).Sub(o.Now())
	if wait > latest {
		return func(time.Duration) {}, nil
	}
	o.Count(`hibiscusrock_requests_isolated_total`)
	waitCtx, cancel := context.WithTimeout(ctx, latest)
	defer cancel()
	leave, err := suspects.enter(waitCtx)
	switch {
	case err == nil:
		return leave, nil
	case ctx.Err() == nil:
		return func(time.Duration) {}, nil
	}
	return nil, verdict.Refuse(verdict.NotRun, verdict.CallerGone)
}
