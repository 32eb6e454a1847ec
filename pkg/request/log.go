package request

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// servedSampleInterval is the interval at which requests that were served at the
// first attempt are logged: one in this number.
const servedSampleInterval = 100

// logRefusal logs why a caller's request was refused.
func (e *Entry) logRefusal(r *http.Request, c *call, refusal *verdict.Refusal) {
	fields := logrus.Fields{
		"request":  r.Header.Get(e.headers.RequestID),
		"reason":   refusal.Reason(),
		"verdict":  refusal.Verdict(),
		"sequence": e.hooks.Table().Sequence(),
	}
	if c != nil {
		e.addCallFields(fields, c)
	}
	if refusal.RetryDelay() > 0 {
		fields["retry_after_ms"] = refusal.RetryDelay().Milliseconds()
	}
	e.Event(event.RequestRefused).WithFields(fields).Info("request refused")
}

// logRetry logs why a request is sent to another backend server.
func (e *Entry) logRetry(c *call, refusal *verdict.Refusal, attempt int) {
	fields := logrus.Fields{"request": string(c.request.GetRequestId()), "reason": refusal.Reason(), "attempt": attempt}
	e.addCallFields(fields, c)
	e.Event(event.RequestRetried).WithFields(fields).Info("request retried")
}

// logServed logs each request that was served after a retry, and a sample of the
// others.
func (e *Entry) logServed(c *call, attempts int) {
	if attempts == 1 && e.served.Add(1)%servedSampleInterval != 1 {
		return
	}
	fields := logrus.Fields{"request": string(c.request.GetRequestId()), "attempts": attempts, "status": c.status}
	e.addCallFields(fields, c)
	e.Event(event.RequestServed).WithFields(fields).Info("request served")
}

func (e *Entry) addCallFields(fields logrus.Fields, c *call) {
	now := e.Now()
	fields["route"] = c.route.Name
	fields["service"] = c.request.GetService()
	fields["version"] = c.request.GetVersion()
	fields["instance"] = c.request.GetInstance()
	fields["table"] = c.request.GetSequence()
	fields["elapsed_ms"] = now.Sub(c.start).Milliseconds()
	fields["remaining_ms"] = c.deadline.Sub(now).Milliseconds()
	fields["probes"] = c.probes
	fields["reached"] = c.reached
	fields["budget_left"] = e.budget.Left(c.request.GetService())
}

// logOwnerRefusal logs a request that an owner node refused, or whose outcome it
// does not know. A busy refusal is not logged: the entry node set the limit on the
// wait and tries another owner node.
func (o *Owner) logOwnerRefusal(in *wire.CallRequest, refusal *verdict.Refusal, answer *wire.CallAnswer) {
	if refusal.Reason() == verdict.Busy {
		return
	}
	name := event.RequestRefusedByOwner
	if refusal.Verdict() != verdict.NotRun {
		name = event.RequestOutcomeUnknown
	}
	fields := ownerFields(in, answer)
	fields["reason"] = refusal.Reason()
	fields["verdict"] = refusal.Verdict()
	fields["retry_after_ms"] = refusal.RetryDelay().Milliseconds()
	o.Event(name).WithFields(fields).Info("request not answered")
}

// logOutcomeUnknown logs a request that a backend server did not answer in full
// within the elapsed time.
func (o *Owner) logOutcomeUnknown(in *wire.CallRequest, refusal *verdict.Refusal, answer *wire.CallAnswer, elapsed time.Duration) {
	fields := ownerFields(in, answer)
	fields["reason"] = refusal.Reason()
	fields["verdict"] = refusal.Verdict()
	fields["elapsed_ms"] = elapsed.Milliseconds()
	o.Event(event.RequestOutcomeUnknown).WithFields(fields).Info("request not answered")
}

// logFailure logs an answer of a backend server with a server error status.
func (o *Owner) logFailure(in *wire.CallRequest, answer *wire.CallAnswer) {
	fields := ownerFields(in, answer)
	fields["status"] = answer.GetStatus()
	o.Event(event.RequestFailedByBackend).WithFields(fields).Info("backend server failed a request")
}

func ownerFields(in *wire.CallRequest, answer *wire.CallAnswer) logrus.Fields {
	const microsPerMilli = 1000
	return logrus.Fields{
		"request":      string(in.GetRequestId()),
		"instance":     in.GetInstance(),
		"version":      in.GetVersion(),
		"route":        in.GetRoute(),
		"table":        in.GetSequence(),
		"in_flight":    answer.GetInFlight(),
		"wait_ms":      answer.GetWaitMicros() / microsPerMilli,
		"work_ms":      answer.GetWorkMicros() / microsPerMilli,
		"remaining_ms": in.GetRemainingMs(),
		"repeated":     in.GetRepeated(),
	}
}
