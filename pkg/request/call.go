package request

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/fleet"
	"github.com/hibiscusrock/hibiscusrock/pkg/quarantine"
	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// call is the state of one caller's request on its entry node.
type call struct {
	w       http.ResponseWriter
	ctx     context.Context
	table   *routing.Table
	route   *bundle.Route
	service *bundle.Service
	// account is the client account of the request, or nil, and priority its rank.
	account  *bundle.Account
	priority int
	// deadline is the end of the route's timeout or of the caller's own timeout,
	// whichever is earlier.
	deadline time.Time
	// objective is the time by which an answer has its full value.
	objective time.Time
	start     time.Time
	request   *wire.CallRequest
	// body is the body if it does not travel in request, or nil.
	body *Body
	// mu guards the answer while two attempts run at the same time.
	mu    sync.Mutex
	tried []*fleet.Endpoint
	// excludedVersions holds the versions that an owner node refused as halted or
	// failing. Further attempts do not use them.
	excludedVersions []string
	// overloadedVersions holds the versions of which a backend server refused the
	// request for overload.
	overloadedVersions []string
	// crashes counts the attempts during which the backend server crashed.
	crashes int
	// probes counts the refusals as busy, given because the wait for a slot was
	// above MaxWaitMicros of the request. One owner node may refuse more than once.
	probes int
	// reached counts the attempts that may have reached a backend server.
	reached int
	// headSent is set once the status and headers were written to the caller, and
	// written counts the bytes of the body that followed.
	headSent bool
	written  int
	// status is the HTTP status of the answer to the caller.
	status int
	// mayHaveRun is set once an attempt ended with a verdict other than not run.
	mayHaveRun bool
	// failureAnswer is a backend server's answer with a server error status. The
	// caller gets it unless a later attempt gets an answer that is passed on.
	failureAnswer *wire.CallAnswer
}

func (e *Entry) newCall(w http.ResponseWriter, r *http.Request) (*call, *verdict.Refusal) {
	table := e.hooks.Table()
	if table == nil {
		return nil, verdict.Refuse(verdict.NotRun, verdict.NoBundle)
	}
	path := routing.ParsePath(targetOf(r))
	route := table.Match(r.Host, r.Method, path.String())
	if route == nil {
		return nil, verdict.Refuse(verdict.NotRun, verdict.NoRoute)
	}
	name := e.chooseService(route)
	service := table.Service(name)
	if service == nil {
		return nil, verdict.Refuse(verdict.NotRun, verdict.UnknownService)
	}
	account, refusal := e.authenticate(table, route, r)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := e.takeUsage(r, account); refusal != nil {
		return nil, refusal
	}
	c := &call{w: w, ctx: r.Context(), table: table, route: route, service: service, account: account, start: e.startOf(r)}
	c.priority = priorityOf(route, account)
	timeout, waited := e.callTimeout(r, route)
	c.deadline = c.start.Add(timeout)
	c.objective = c.start.Add(route.Objective() - waited)
	inline, body, refusal := e.readBody(r, int64(route.MaxBodyBytes), c.deadline)
	if refusal != nil {
		e.returnUsage(c, refusal)
		return nil, refusal
	}
	c.body = body
	c.request = e.newCallRequest(r, c, name, inline)
	c.request.Sequence = table.Sequence()
	return c, crashRefusal(e.crashTracker, c.request)
}

// startOf returns the time from which the timeouts of a request count.
func (e *Entry) startOf(r *http.Request) time.Time {
	if arrival, ok := e.arrival(r.Context()); ok {
		return arrival
	}
	return e.Now()
}

func (e *Entry) chooseService(route *bundle.Route) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	alternatives := make([]routing.Alternative, len(route.Split))
	for i, target := range route.Split {
		alternatives[i] = routing.Alternative{Name: target.Service, Weight: target.Weight}
	}
	return e.roundRobin.Choose("route "+route.Name, alternatives)
}

// callTimeout returns the route's timeout, or the caller's if that is shorter,
// and the time that the caller has waited in earlier attempts.
func (e *Entry) callTimeout(r *http.Request, route *bundle.Route) (timeout, waited time.Duration) {
	timeout = route.Timeout()
	ms, err := strconv.ParseInt(r.Header.Get(e.headers.RemainingMS), 10, 64)
	if err != nil || ms <= 0 {
		return timeout, 0
	}
	left := time.Duration(ms) * time.Millisecond
	return min(timeout, left), e.callerTimeouts.waited(route.Name, left)
}

// targetOf returns the request target that the backend server gets.
func targetOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// isIdempotent reports whether a request may run more than once. One whose path the
// backend server may read as that of another route may not.
func isIdempotent(route *bundle.Route, method string, path routing.Path) bool {
	return route.IsIdempotent(method) && !path.IsAmbiguous()
}

func (e *Entry) newCallRequest(r *http.Request, c *call, service string, inline []byte) *wire.CallRequest {
	route, body := c.route, c.body
	key := r.Header.Get(idempotencyHeader)
	if len(key) > maxIdempotencyKeyBytes {
		key = key[:maxIdempotencyKeyBytes]
	}
	target := targetOf(r)
	in := &wire.CallRequest{
		Service:        service,
		Route:          route.Name,
		Method:         r.Method,
		Target:         []byte(target),
		Host:           r.Host,
		Headers:        encodeHeaders(r.Header, e.replacedHeaders(c.table)...),
		Body:           inline,
		Idempotent:     isIdempotent(route, r.Method, routing.ParsePath(target)),
		IdempotencyKey: []byte(key),
		Nonce:          uuid.NewString(),
		Fingerprint:    quarantine.Fingerprint(service, r.Method, target, inline),
		Priority:       uint32(c.priority),
		Caller:         *e.caller.Load(),
		UsualMs:        uint32(route.AssumedWork().Milliseconds()),
	}
	if c.account != nil {
		in.Account = c.account.Name
	}
	if body != nil {
		in.BodyBytes = body.length
		in.Fingerprint = quarantine.FingerprintOf(service, r.Method, target, body.held.Reader())
	}
	if e.headers.KeepRequestID {
		in.RequestId = []byte(r.Header.Get(e.headers.RequestID))
		in.Nonce = ""
	}
	for _, status := range route.ShedStatuses {
		in.ShedStatuses = append(in.ShedStatuses, int32(status))
	}
	return in
}

// maxAttempts returns the number of backend servers that the request may reach.
func (c *call) maxAttempts() int {
	if c.route.MaxAttempts == 0 {
		return bundle.DefaultMaxAttempts
	}
	return c.route.MaxAttempts
}

// overallRefusal returns the refusal with a verdict that holds for all attempts:
// not run becomes unknown if an earlier attempt may have run.
func (c *call) overallRefusal(refusal *verdict.Refusal) *verdict.Refusal {
	switch {
	case !c.mayHaveRun || refusal.Verdict() != verdict.NotRun:
		return refusal
	case refusal.Reason() == verdict.CrashCausing:
		return verdict.Refuse(verdict.Unknown, verdict.BackendCrashed)
	}
	return verdict.Refuse(verdict.Unknown, refusal.Reason())
}

// writeChunk writes a chunk of the answer to the caller, the first one after the
// status and headers.
func (c *call) writeChunk(answer *wire.CallAnswer) error {
	if !c.headSent {
		c.writeHead(answer)
	}
	c.written += len(answer.GetBody())
	if _, err := c.w.Write(answer.GetBody()); err != nil {
		return err
	}
	if answer.GetLast() {
		return nil
	}
	return http.NewResponseController(c.w).Flush()
}

// takeBack discards what was written of an answer that broke off, if none of it has
// reached the caller yet. The request can then be answered in another way.
func (c *call) takeBack() {
	w, ok := c.w.(interface{ Reset() bool })
	if c.headSent && ok && w.Reset() {
		c.headSent, c.status, c.written = false, 0, 0
	}
}

func (c *call) writeHead(answer *wire.CallAnswer) {
	c.headSent = true
	header := c.w.Header()
	for _, h := range answer.GetHeaders() {
		header.Add(h.GetName(), string(h.GetValue()))
	}
	header.Set(verdict.Header, string(verdict.FromWire(answer.GetVerdict())))
	header.Set(versionHeader, c.request.GetVersion())
	header.Set(sequenceHeader, strconv.FormatUint(c.request.GetSequence(), 10))
	c.status = int(answer.GetStatus())
	c.w.WriteHeader(c.status)
}
