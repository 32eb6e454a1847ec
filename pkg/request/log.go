package request

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
)

// logRefusal tells why a caller's request was refused.
func (e *Entry) logRefusal(r *http.Request, c *call, refusal *verdict.Refusal) {
	fields := logrus.Fields{
		"event":    "request_refused",
		"request":  r.Header.Get(e.headers.RequestID),
		"reason":   refusal.Reason(),
		"verdict":  refusal.Verdict(),
		"sequence": e.hooks.Table().Sequence(),
	}
	if c != nil {
		e.addCall(fields, c)
	}
	if refusal.Wait() > 0 {
		fields["retry_after_ms"] = refusal.Wait().Milliseconds()
	}
	e.Log().WithFields(fields).Info("request refused")
}

// logRetry tells why a request goes to another backend server.
func (e *Entry) logRetry(c *call, refusal *verdict.Refusal, attempt int) {
	fields := logrus.Fields{"event": "request_retried", "request": c.request.GetRequestId(), "reason": refusal.Reason(), "attempt": attempt}
	e.addCall(fields, c)
	e.Log().WithFields(fields).Info("request retried")
}

func (e *Entry) addCall(fields logrus.Fields, c *call) {
	now := e.Now()
	fields["route"] = c.route.Name
	fields["service"] = c.request.GetService()
	fields["version"] = c.request.GetVersion()
	fields["instance"] = c.request.GetInstance()
	fields["table"] = c.request.GetSequence()
	fields["elapsed_ms"] = now.Sub(c.begun).Milliseconds()
	fields["remaining_ms"] = c.deadline.Sub(now).Milliseconds()
	fields["probes"] = c.probes
	fields["reached"] = c.reached
	fields["budget_left"] = e.budget.Left(c.request.GetService())
}
