package request

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusrock/hibiscusrock/pkg/fleet"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// secondAttemptMaxWait is the longest wait, or work beyond the expected, for which a second
// attempt stays with its backend server.
const secondAttemptMaxWait = 10 * time.Millisecond

// errLost ends an attempt when another one of the same request is being answered.
var errLost = errors.New("another attempt was answered first")

// outcome is the result of one of the attempts that run at the same time.
type outcome struct {
	attempt *sending
	refusal *verdict.Refusal
}

// sendHedged is send with a second attempt on another backend server if the first one is
// not answered in the time that is usual for its kind. The first answer is passed on, and
// the other attempt is cancelled down to its backend server.
func (e *Entry) sendHedged(c *call, first *sending) *verdict.Refusal {
	delay, ok := e.hedgeDelay(c)
	if !ok {
		return e.send(c, first)
	}
	outcomes := make(chan outcome, 2)
	start := func(s *sending) {
		ctx, cancel := context.WithCancel(c.ctx)
		s.ctx, s.cancel = ctx, cancel
		go func() {
			defer e.Contain("attempt of a request", func() {
				outcomes <- outcome{s, verdict.Refuse(verdict.Unknown, verdict.AnswerLost)}
			})
			outcomes <- outcome{s, e.send(c, s)}
		}()
	}
	start(first)
	defer first.cancelIfSet()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case o := <-outcomes:
		return o.refusal
	case <-timer.C:
	}
	second := e.secondAttempt(c, first)
	if second == nil {
		return (<-outcomes).refusal
	}
	start(second)
	defer second.cancelIfSet()
	return e.firstAnswer(c, first, second, outcomes)
}

// firstAnswer waits for the ends of two attempts. It cancels one when the other one was
// answered, and returns the refusal of the first attempt, with the graver verdict of both,
// if none was.
func (e *Entry) firstAnswer(c *call, first, second *sending, outcomes <-chan outcome) *verdict.Refusal {
	o := <-outcomes
	other := first
	if o.attempt == first {
		other = second
	}
	if o.refusal == nil {
		other.cancel()
	}
	rest := <-outcomes
	if o.refusal == nil || rest.refusal == nil {
		won := "first"
		if second.won {
			won = "second"
		}
		e.Count(`hibiscusrock_second_attempts_total{answered="` + won + `"}`)
		return nil
	}
	e.Count(`hibiscusrock_second_attempts_total{answered="none"}`)
	refusals := map[*sending]*verdict.Refusal{o.attempt: o.refusal, rest.attempt: rest.refusal}
	e.recordRefusal(c, second.endpoint, second.in.GetVersion(), refusals[second])
	if refusals[first].Verdict() == verdict.NotRun && refusals[second].Verdict() != verdict.NotRun {
		c.mayHaveRun = true
	}
	return refusals[first]
}

// hedgeDelay returns the time after which a request gets a second attempt. It returns false
// for one that may not be repeated, or whose body is not held whole.
func (e *Entry) hedgeDelay(c *call) (time.Duration, bool) {
	if !e.hedging.IsOn() || !c.request.GetIdempotent() || c.body != nil && !c.body.isWhole() || c.reached+1 >= c.maxAttempts() {
		return 0, false
	}
	return e.hedging.Delay(c.route.Name, c.objective.Sub(e.Now()))
}

// secondAttempt returns a second attempt on a backend server with room, or nil if there is
// none, or the share of second attempts or the retry budget of the service is spent.
func (e *Entry) secondAttempt(c *call, first *sending) *sending {
	now := e.Now()
	if c.ctx.Err() != nil || e.hasStopped(now) {
		return nil
	}
	need := e.needOf(c)
	need.Version = first.in.GetVersion()
	choice, ok := e.picker.Pick(need, append([]*fleet.Endpoint{first.endpoint}, c.tried...))
	isFree := ok && choice.State.Wait == 0 && choice.State.Busy < int(choice.Endpoint.Record().GetSlots())
	if !isFree || !now.Add(choice.Expected).Before(c.deadline) {
		return nil
	}
	service := c.request.GetService()
	if !e.hedging.Spend(service) || !e.budget.Spend(service) {
		e.Count(`hibiscusrock_second_attempts_denied_total`)
		return nil
	}
	in := proto.Clone(first.in).(*wire.CallRequest)
	in.Instance = choice.Endpoint.Record().GetInstance()
	in.RemainingMs = c.deadline.Sub(now).Milliseconds()
	in.ObjectiveMs = c.objective.Sub(now).Milliseconds()
	in.ExpectedWorkMicros = (choice.Expected - choice.State.Wait).Microseconds()
	in.MaxWaitMicros = secondAttemptMaxWait.Microseconds()
	in.Repeated = true
	if in.GetFinishMs() != 0 {
		if in.FinishMs -= now.Sub(first.began).Milliseconds(); in.FinishMs <= 0 {
			return nil
		}
	}
	return &sending{in: in, endpoint: choice.Endpoint, began: now}
}

// sending is one attempt to send a request to a backend server.
type sending struct {
	in       *wire.CallRequest
	endpoint *fleet.Endpoint
	began    time.Time
	// ctx and cancel are set for attempts that run at the same time as another one.
	ctx    context.Context
	cancel func()
	// won is set once this attempt's answer is passed on. It is guarded by call.mu.
	won bool
}

func (s *sending) cancelIfSet() {
	if s.cancel != nil {
		s.cancel()
	}
}
