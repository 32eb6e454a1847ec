// Package verdict holds the verdict on whether a request ran, and the refusals
// that callers receive as problem documents (RFC 9457).
package verdict

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// Names of headers. Header carries the verdict of an answer or a refusal, and
// ReasonHeader the reason of a refusal.
const (
	Header       = "Hibiscusrock-Verdict"
	ReasonHeader = "Hibiscusrock-Reason"
)

// Verdict says whether a request ran on a backend server.
type Verdict string

// The verdicts. Unknown means that the request may have run.
const (
	Ran     Verdict = "ran"
	NotRun  Verdict = "not_run"
	Unknown Verdict = "unknown"
)

// FromWire converts from the wire form. An unspecified or undefined value is Unknown.
func FromWire(v wire.Verdict) Verdict {
	switch v {
	case wire.Verdict_VERDICT_RAN:
		return Ran
	case wire.Verdict_VERDICT_NOT_RUN:
		return NotRun
	}
	return Unknown
}

// ToWire converts to the wire form.
func (v Verdict) ToWire() wire.Verdict {
	switch v {
	case Ran:
		return wire.Verdict_VERDICT_RAN
	case NotRun:
		return wire.Verdict_VERDICT_NOT_RUN
	}
	return wire.Verdict_VERDICT_UNKNOWN
}

// Reason is the cause of a refusal. It is a label of the counter of refusals.
type Reason string

// The reasons for which a request is refused.
const (
	NoBundle          Reason = "no_bundle"
	NoRoute           Reason = "no_route"
	NoBackendServer   Reason = "no_backend_server"
	UnknownKey        Reason = "unknown_key"
	UsageCapReached   Reason = "usage_cap_reached"
	UsageUnknown      Reason = "usage_unknown"
	BodyTooLarge      Reason = "body_too_large"
	BodyUnreadable    Reason = "body_unreadable"
	BodyTimedOut      Reason = "body_timed_out"
	BuffersFull       Reason = "buffers_full"
	LinkBusy          Reason = "link_busy"
	CrashCausing      Reason = "crash_causing_request"
	Draining          Reason = "draining"
	Evacuated         Reason = "evacuated"
	Stopping          Reason = "stopping"
	StopTooNear       Reason = "stop_too_near"
	UnknownInstance   Reason = "unknown_instance"
	UnknownService    Reason = "unknown_service"
	QueueFull         Reason = "queue_full"
	Busy              Reason = "busy"
	Overloaded        Reason = "overloaded"
	BackendError      Reason = "backend_server_error"
	PeerSilent        Reason = "peer_silent"
	DeadlineTooNear   Reason = "deadline_too_near"
	DeadlinePassed    Reason = "deadline_passed"
	NotJoined         Reason = "not_joined"
	VersionHalted     Reason = "version_halted"
	BackendFailing    Reason = "backend_server_failing"
	BackendRefused    Reason = "backend_server_refused_connection"
	BackendShed       Reason = "backend_server_shed"
	BackendReplaced   Reason = "backend_server_replaced"
	BackendCrashed    Reason = "backend_server_crashed"
	AnswerLost        Reason = "answer_lost"
	PeerUnreachable   Reason = "peer_unreachable"
	ClaimsUnavailable Reason = "claims_unavailable"
	ClaimHeld         Reason = "claim_held"
	ClaimMismatch     Reason = "claim_mismatch"
	ClaimAnswerLost   Reason = "claim_answer_not_kept"
	CallerGone        Reason = "caller_gone"
)

// description is the HTTP status of a reason, and what the caller can do.
type description struct {
	status int
	remedy string
}

var descriptions = map[Reason]description{
	NoBundle:          {http.StatusServiceUnavailable, "try again in a few seconds; the node has no bundle in force yet"},
	NoRoute:           {http.StatusNotFound, "check the host, path and method; the bundle in force has no such route"},
	NoBackendServer:   {http.StatusServiceUnavailable, "try again; no backend server of the service can take the request"},
	BodyTooLarge:      {http.StatusRequestEntityTooLarge, "send a smaller body; the route's max_body_bytes sets the limit"},
	BodyUnreadable:    {http.StatusBadRequest, "send the whole body that Content-Length announces"},
	UnknownKey:        {http.StatusUnauthorized, "send exactly one key of a client account; the configuration in force has no account with this one"},
	UsageCapReached:   {http.StatusTooManyRequests, "try again after the time that Retry-After names; the client account has used up its cap"},
	UsageUnknown:      {http.StatusServiceUnavailable, "try again; the node that counts the requests of the client account cannot be reached"},
	BodyTimedOut:      {http.StatusRequestTimeout, "send the whole body within the route's timeout"},
	BuffersFull:       {http.StatusServiceUnavailable, "try again after the time that Retry-After names; the node holds as many bytes of bodies as it may"},
	LinkBusy:          {http.StatusServiceUnavailable, "try again after the time that Retry-After names; the link of the backend server's host cannot take the body in time"},
	CrashCausing:      {http.StatusUnprocessableEntity, "do not send the request again; backend servers died while running it"},
	Draining:          {http.StatusServiceUnavailable, "try again; the backend server is leaving"},
	Evacuated:         {http.StatusServiceUnavailable, "try again; the data centre of the backend server is evacuated"},
	Stopping:          {http.StatusServiceUnavailable, "try again through another node; this one is stopping"},
	StopTooNear:       {http.StatusServiceUnavailable, "try again through another node; a node on the way stops before the request could be answered"},
	UnknownInstance:   {http.StatusServiceUnavailable, "try again; the backend server is gone"},
	UnknownService:    {http.StatusServiceUnavailable, "try again; the node does not know the service yet"},
	QueueFull:         {http.StatusServiceUnavailable, "try again later; the backend server has more work than slots"},
	Busy:              {http.StatusServiceUnavailable, "try again later; the wait at the backend server is longer than elsewhere"},
	Overloaded:        {http.StatusServiceUnavailable, "try again after the time that Retry-After names; no backend server can answer in time"},
	BackendError:      {http.StatusBadGateway, "look up whether the request took effect before you send it again"},
	PeerSilent:        {http.StatusBadGateway, "look up whether the request took effect before you send it again"},
	DeadlineTooNear:   {http.StatusServiceUnavailable, "try again with more time; the queue is longer than the time left"},
	DeadlinePassed:    {http.StatusGatewayTimeout, "look up whether the request took effect before you send it again"},
	NotJoined:         {http.StatusServiceUnavailable, "try again; the node of the backend server has just started and has not heard of the others yet"},
	VersionHalted:     {http.StatusServiceUnavailable, "try again; the version was taken back"},
	BackendFailing:    {http.StatusServiceUnavailable, "try again; the backend server fails its requests"},
	BackendRefused:    {http.StatusServiceUnavailable, "try again; the backend server does not accept connections"},
	BackendShed:       {http.StatusServiceUnavailable, "try again later; the backend server shed the request"},
	BackendReplaced:   {http.StatusServiceUnavailable, "try again; another backend server has taken the address"},
	BackendCrashed:    {http.StatusBadGateway, "look up whether the request took effect before you send it again"},
	AnswerLost:        {http.StatusBadGateway, "look up whether the request took effect before you send it again"},
	PeerUnreachable:   {http.StatusServiceUnavailable, "try again; the node of the backend server cannot be reached"},
	ClaimsUnavailable: {http.StatusServiceUnavailable, "try again with the same Idempotency-Key once the platform answers"},
	ClaimHeld:         {http.StatusConflict, "look up whether the request took effect; an earlier attempt under this Idempotency-Key has no answer on record"},
	ClaimMismatch:     {http.StatusUnprocessableEntity, "use a new Idempotency-Key; this one belongs to another request"},
	ClaimAnswerLost:   {http.StatusConflict, "look up the result; the request ran but its answer was too large to keep"},
	CallerGone:        {http.StatusServiceUnavailable, "send the request again; the caller went away before it ran"},
}

// Refusal is the answer to a request that was not served.
type Refusal struct {
	verdict    Verdict
	reason     Reason
	retryAfter time.Duration
}

// Refuse returns a refusal without a time to wait.
func Refuse(v Verdict, reason Reason) *Refusal { return &Refusal{verdict: v, reason: reason} }

// WithRetryAfter returns a copy of the refusal with the time after which a retry may
// succeed.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	with := *r
	with.retryAfter = d
	return &with
}

// RetryDelay returns the time after which a retry may succeed, or 0 when it is not known.
func (r *Refusal) RetryDelay() time.Duration { return r.retryAfter }

// Verdict returns the verdict on whether the request ran.
func (r *Refusal) Verdict() Verdict { return r.verdict }

// Reason returns why the request was refused.
func (r *Refusal) Reason() Reason { return r.reason }

// Status returns the HTTP status of the refusal, 502 for a reason that this
// version does not have.
func (r *Refusal) Status() int {
	if d, ok := descriptions[r.reason]; ok {
		return d.status
	}
	return http.StatusBadGateway
}

// Remedy returns what the caller can do.
func (r *Refusal) Remedy() string { return descriptions[r.reason].remedy }

// Error returns the reason, verdict and remedy.
func (r *Refusal) Error() string {
	return string(r.reason) + " (" + string(r.verdict) + "): " + r.Remedy()
}

// ToWire returns the refusal as the whole answer of an owner node.
func (r *Refusal) ToWire() *wire.CallAnswer {
	return &wire.CallAnswer{
		Verdict:      r.verdict.ToWire(),
		Reason:       string(r.reason),
		Status:       int32(r.Status()),
		Last:         true,
		RetryAfterMs: r.retryAfter.Milliseconds(),
	}
}

// problem is a problem document of RFC 9457, with the verdict and the reason.
type problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail"`
	Verdict Verdict `json:"verdict"`
	Reason  Reason  `json:"reason"`
}

// PromisedStatus returns the status for callers that read 408, 421, 429 and 503
// as a promise that the request has not run. A request that has not run gets
// 503, except for the reasons that lie in the request itself and UsageCapReached, which keep
// their status; a request that may have run gets 502 in place of 503.
func (r *Refusal) PromisedStatus() int {
	status := r.Status()
	switch r.reason {
	case NoRoute, BodyTooLarge, BodyUnreadable, BodyTimedOut, UnknownKey, UsageCapReached:
		return status
	}
	switch {
	case r.verdict == NotRun:
		return http.StatusServiceUnavailable
	case r.verdict != NotRun && status == http.StatusServiceUnavailable:
		return http.StatusBadGateway
	}
	return status
}

// ReachedBackend reports whether the request may have reached a backend server.
func (r *Refusal) ReachedBackend() bool {
	return r.verdict != NotRun || r.reason == BackendShed || r.reason == BackendReplaced
}

// Write sends the refusal to a caller as a problem document.
func (r *Refusal) Write(w http.ResponseWriter) { r.WriteStatus(w, r.Status()) }

// WriteStatus is Write with the given HTTP status.
func (r *Refusal) WriteStatus(w http.ResponseWriter, status int) {
	data, _ := json.Marshal(problem{
		Type:    "urn:hibiscusrock:refusal:" + string(r.reason),
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  r.Remedy(),
		Verdict: r.verdict,
		Reason:  r.reason,
	})
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(Header, string(r.verdict))
	w.Header().Set(ReasonHeader, string(r.reason))
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
