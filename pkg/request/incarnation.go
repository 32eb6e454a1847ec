package request

import (
	"slices"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/quarantine"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// settleTime is how long a backend server must outlive an answer before that shows
	// that the request did not crash it.
	settleTime = time.Second
	// briefSettleTime is how long a backend server must outlive an answer to outlive it
	// briefly.
	briefSettleTime = 250 * time.Millisecond
	// unansweredRetention is how long a request without an answer, which its backend server
	// may still work on, is a suspect if that crashes.
	unansweredRetention = 10 * time.Second
	maxUnanswered       = 256
	maxAnswered         = 64
)

// exposure is one run of a request as a possible cause of a crash of its backend server.
type exposure struct {
	suspect quarantine.Suspect
	// marks are the marks against the request that were known when the run began.
	marks []string
	// succeeded is set if the answer was complete and no failure.
	succeeded bool
	// outlivedBriefly is set once the backend server has outlived the answer briefly.
	outlivedBriefly bool
	// endedAt is when the answer was complete, or when it was given up.
	endedAt time.Time
}

// incarnation holds the requests that a backend server has been given from its start to
// its end. Each of them may be the cause if it crashes, whether or not somebody still waits.
type incarnation struct {
	id string
	// suspects lets one suspect run at a time.
	suspects *isolation

	mu     sync.Mutex
	atWork map[*exposure]struct{}
	// unanswered and answered are in the order of endedAt.
	unanswered, answered []*exposure
	crashed              bool
}

func newIncarnation(id string) *incarnation {
	return &incarnation{id: id, suspects: newIsolation(), atWork: make(map[*exposure]struct{})}
}

// begin adds a request that is about to be sent.
func (i *incarnation) begin(in *wire.CallRequest, marks []string) *exposure {
	e := &exposure{
		suspect: quarantine.Suspect{Fingerprint: in.GetFingerprint(), RequestID: string(in.GetRequestId()), Repeated: in.GetCrashes() > 0},
		marks:   marks,
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.atWork[e] = struct{}{}
	return e
}

// discard removes a request that the backend server did not run.
func (i *incarnation) discard(e *exposure) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.atWork, e)
}

// leave records that nobody waits for the answer to a request any more, unless it was
// complete. The backend server may still work on the request; leave reports whether.
func (i *incarnation) leave(e *exposure, now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, ok := i.atWork[e]; !ok {
		return false
	}
	delete(i.atWork, e)
	e.endedAt = now
	i.unanswered = append(i.unanswered, e)
	if excess := len(i.unanswered) - maxUnanswered; excess > 0 {
		i.unanswered = i.unanswered[excess:]
	}
	return !i.crashed
}

// answer records that the answer to a request was complete.
func (i *incarnation) answer(e *exposure, succeeded bool, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, ok := i.atWork[e]; !ok {
		return
	}
	delete(i.atWork, e)
	e.succeeded, e.endedAt, e.suspect.Answered = succeeded, now, true
	i.answered = append(i.answered, e)
	if excess := len(i.answered) - maxAnswered; excess > 0 {
		i.answered = i.answered[excess:]
	}
}

// alive records a sign of life of the backend server. It returns the runs that it has
// outlived since the last one, for settleTime or briefly, and forgets the unanswered
// requests that are too old to be the cause of a later crash.
func (i *incarnation) alive(now time.Time) (outlived, briefly []*exposure) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.crashed {
		return nil, nil
	}
	for len(i.answered) > 0 && now.Sub(i.answered[0].endedAt) >= settleTime {
		if i.answered[0].succeeded {
			outlived = append(outlived, i.answered[0])
		}
		i.answered = i.answered[1:]
	}
	for len(i.unanswered) > 0 && now.Sub(i.unanswered[0].endedAt) >= unansweredRetention {
		i.unanswered = i.unanswered[1:]
	}
	for _, e := range i.answered {
		if now.Sub(e.endedAt) < briefSettleTime {
			break
		}
		if e.succeeded && !e.outlivedBriefly {
			e.outlivedBriefly = true
			briefly = append(briefly, e)
		}
	}
	return outlived, briefly
}

// hasUnanswered reports whether the backend server may work on requests for which nobody
// waits, so that their broken connections do not show its crash.
func (i *incarnation) hasUnanswered() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.crashed && len(i.unanswered) > 0
}

// hasCrashed reports whether crash was called.
func (i *incarnation) hasCrashed() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.crashed
}

// crash ends the incarnation and returns the requests that may be the cause. It returns
// false if it had ended already.
func (i *incarnation) crash() ([]quarantine.Suspect, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.crashed {
		return nil, false
	}
	i.crashed = true
	i.suspects.close()
	suspects := make([]quarantine.Suspect, 0, len(i.atWork)+len(i.unanswered)+len(i.answered))
	for e := range i.atWork {
		suspects = append(suspects, e.suspect)
	}
	for _, e := range slices.Concat(i.unanswered, i.answered) {
		suspects = append(suspects, e.suspect)
	}
	return suspects, true
}
