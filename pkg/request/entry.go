package request

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/fleet"
	"github.com/hibiscusrock/hibiscusrock/pkg/peer"
	"github.com/hibiscusrock/hibiscusrock/pkg/quarantine"
	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	mostAttempts   = 5
	firstBackoff   = 5 * time.Millisecond
	largestBackoff = 100 * time.Millisecond
	hopAllowance   = 5 * time.Millisecond
	// avoidTime covers the time in which the membership finds a dead node.
	avoidTime        = 2 * time.Second
	sequenceHeader   = "Hibiscusrock-Sequence"
	versionHeader    = "Hibiscusrock-Version"
	largestIdemBytes = 256
)

// EntryHooks are the entry's views of the rest of the node.
type EntryHooks struct {
	// Table returns the table in force, or nil.
	Table func() *routing.Table
	// Permille returns the share of the new version of a move in this data centre.
	Permille func(move *wire.Move) int
	// Halted reports whether a version of a service was taken back.
	Halted func(service, version string) bool
	// Address returns the peer address of a node.
	Address func(node string) (string, bool)
	// CallPeer runs a request on another node.
	CallPeer func(ctx context.Context, address string, in *wire.CallRequest, received func(*wire.CallAnswer) error) error
}

// Entry serves callers.
type Entry struct {
	*common.Common
	node   string
	owner  *Owner
	ward   *quarantine.Ward
	picker *routing.Picker
	budget *Budget
	hooks  EntryHooks
	random func(n int) int

	stopping atomic.Bool
}

// NewEntry returns an entry that runs requests for its own host on owner.
func NewEntry(cm *common.Common, node string, owner *Owner, ward *quarantine.Ward, picker *routing.Picker, hooks EntryHooks) *Entry {
	return &Entry{
		Common: cm,
		node:   node,
		owner:  owner,
		ward:   ward,
		picker: picker,
		budget: NewBudget(cm.Now),
		hooks:  hooks,
		random: rand.IntN,
	}
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.Count(`hibiscusrock_requests_total`)
	c, refusal := e.newCall(w, r)
	if refusal == nil {
		refusal = e.attempt(c)
	}
	if refusal == nil {
		return
	}
	e.Count(`hibiscusrock_refusals_total{reason="` + string(refusal.Reason()) + `",verdict="` + string(refusal.Verdict()) + `"}`)
	if c != nil && c.started {
		// A part of the answer is with the caller already; a broken
		// connection is the only way to say that the rest is missing.
		panic(http.ErrAbortHandler)
	}
	refusal.Write(w)
}

// call is one caller's request.
type call struct {
	w        http.ResponseWriter
	ctx      context.Context
	table    *routing.Table
	route    *bundle.Route
	service  *bundle.Service
	deadline time.Time
	request  *wire.CallRequest
	tried    []*fleet.Endpoint
	excluded []string
	crashes  int
	// started is set once the head of the answer has gone to the caller.
	started bool
	// mayHaveRun is set once an attempt ended without a verdict of not run.
	mayHaveRun bool
}

func (e *Entry) newCall(w http.ResponseWriter, r *http.Request) (*call, *verdict.Refusal) {
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	table := e.hooks.Table()
	if table == nil {
		return nil, verdict.Refuse(verdict.NotRun, verdict.NoBundle)
	}
	route := table.Match(r.Host, r.Method, r.URL.Path)
	if route == nil {
		return nil, verdict.Refuse(verdict.NotRun, verdict.NoRoute)
	}
	service := table.Service(route.Service)
	if service == nil {
		return nil, verdict.Refuse(verdict.NotRun, verdict.UnknownService)
	}
	body, refusal := readBody(w, r, route.MaxBodyBytes)
	if refusal != nil {
		return nil, refusal
	}
	c := &call{w: w, ctx: r.Context(), table: table, route: route, service: service}
	c.deadline = e.Now().Add(callTimeout(r, route))
	c.request = newCallRequest(r, route, body)
	c.request.Sequence = table.Sequence()
	if e.ward.Blocked(c.request.GetFingerprint()) {
		return nil, verdict.Refuse(verdict.NotRun, verdict.CrashCausing)
	}
	return c, nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int) ([]byte, *verdict.Refusal) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > int64(limit) {
		return nil, verdict.Refuse(verdict.NotRun, verdict.BodyTooLarge)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.Refuse(verdict.NotRun, verdict.BodyTooLarge)
	}
	if err != nil {
		return nil, verdict.Refuse(verdict.NotRun, verdict.BodyUnreadable)
	}
	return body, nil
}

// callTimeout returns the route's timeout, or the caller's if that is shorter.
func callTimeout(r *http.Request, route *bundle.Route) time.Duration {
	timeout := route.Timeout()
	ms, err := strconv.ParseInt(r.Header.Get(remainingHeader), 10, 64)
	if err == nil && ms > 0 {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	return timeout
}

func newCallRequest(r *http.Request, route *bundle.Route, body []byte) *wire.CallRequest {
	key := r.Header.Get(idempotencyHeader)
	if len(key) > largestIdemBytes {
		key = key[:largestIdemBytes]
	}
	target := r.URL.RequestURI()
	in := &wire.CallRequest{
		Service:        route.Service,
		Route:          route.Name,
		Method:         r.Method,
		Target:         target,
		Host:           r.Host,
		Headers:        encodeHeaders(r.Header),
		Body:           body,
		Idempotent:     route.IsIdempotent(r.Method),
		IdempotencyKey: key,
		Nonce:          uuid.NewString(),
		Fingerprint:    quarantine.Fingerprint(route.Service, key, r.Method, target, body),
	}
	for _, status := range route.ShedStatuses {
		in.ShedStatuses = append(in.ShedStatuses, int32(status))
	}
	return in
}

// attempt tries backend servers until one answers or no retry is allowed.
func (e *Entry) attempt(c *call) *verdict.Refusal {
	e.budget.Earn(c.route.Service, c.service.RetryPercent)
	backoff := firstBackoff
	var last *verdict.Refusal
	for n := 1; ; n++ {
		refusal := e.try(c)
		if refusal == nil {
			return nil
		}
		if last != nil && refusal.Reason() == verdict.NoBackendServer {
			return c.conclude(last)
		}
		last = refusal
		c.mayHaveRun = c.mayHaveRun || refusal.Verdict() != verdict.NotRun
		if n == mostAttempts || !e.mayRetry(c, refusal) {
			return c.conclude(refusal)
		}
		e.Count(`hibiscusrock_retries_total{reason="` + string(refusal.Reason()) + `"}`)
		if n == 1 {
			continue
		}
		if !common.Sleep(c.ctx, time.Duration(rand.Int64N(int64(backoff)))) {
			return c.conclude(refusal)
		}
		backoff = min(2*backoff, largestBackoff)
	}
}

// conclude returns the refusal with a verdict that holds for all attempts.
func (c *call) conclude(refusal *verdict.Refusal) *verdict.Refusal {
	if c.mayHaveRun && refusal.Verdict() == verdict.NotRun {
		return verdict.Refuse(verdict.Unknown, refusal.Reason())
	}
	return refusal
}

// mayRetry decides whether a refused request may go to another backend server.
func (e *Entry) mayRetry(c *call, refusal *verdict.Refusal) bool {
	if c.started || c.ctx.Err() != nil || !e.Now().Before(c.deadline) {
		return false
	}
	switch refusal.Reason() {
	case verdict.NoBackendServer, verdict.CrashCausing, verdict.ClaimMismatch, verdict.ClaimsUnavailable, verdict.CallerGone:
		return false
	case verdict.Draining, verdict.UnknownInstance, verdict.VersionHalted, verdict.BackendFailing, verdict.Stopping, verdict.PeerUnreachable:
		// These refusals cost no backend server any work.
		return true
	case verdict.BackendCrashed:
		c.crashes++
	}
	if refusal.Verdict() != verdict.NotRun && !c.request.GetIdempotent() {
		return false
	}
	if c.crashes >= quarantine.CrashLimit || !e.budget.Spend(c.route.Service) {
		e.Count(`hibiscusrock_retries_denied_total`)
		return false
	}
	return true
}

// try sends the request to one backend server. It returns nil once the answer
// has gone to the caller.
func (e *Entry) try(c *call) *verdict.Refusal {
	endpoint, version := e.choose(c)
	if endpoint == nil {
		return verdict.Refuse(verdict.NotRun, verdict.NoBackendServer)
	}
	c.tried = append(c.tried, endpoint)
	in := c.request
	in.Version = version
	in.Instance = endpoint.Record().GetInstance()
	in.RemainingMs = c.deadline.Sub(e.Now()).Milliseconds()
	if in.GetRemainingMs() <= 0 {
		return verdict.Refuse(verdict.NotRun, verdict.DeadlinePassed)
	}
	endpoint.Begin()
	defer endpoint.End()
	refusal := e.send(c, endpoint)
	if refusal == nil {
		return nil
	}
	switch refusal.Reason() {
	case verdict.VersionHalted, verdict.BackendFailing:
		c.excluded = append(c.excluded, version)
	case verdict.PeerUnreachable:
		endpoint.Avoid(e.Now().Add(avoidTime))
	}
	return refusal
}

// choose picks a version by share and a backend server of it. Versions without
// a backend server are left out; the target of a move stands in at last.
func (e *Entry) choose(c *call) (*fleet.Endpoint, string) {
	name := c.route.Service
	move := c.table.Move(name)
	halted := func(version string) bool { return e.hooks.Halted(name, version) }
	permille := 0
	if move != nil {
		permille = e.hooks.Permille(move)
	}
	shares := routing.CurrentShares(c.service, move, permille, halted)
	excluded := slices.Clone(c.excluded)
	for {
		version := shares.Version(e.random, excluded)
		if version == "" {
			break
		}
		if endpoint := e.picker.Pick(name, version, c.tried); endpoint != nil {
			return endpoint, version
		}
		excluded = append(excluded, version)
	}
	if move == nil || halted(move.GetTo()) {
		return nil, ""
	}
	return e.picker.Pick(name, move.GetTo(), c.tried), move.GetTo()
}

// send runs the request on the endpoint's node and passes the answer on.
func (e *Entry) send(c *call, endpoint *fleet.Endpoint) *verdict.Refusal {
	ctx, cancel := context.WithDeadline(c.ctx, c.deadline.Add(hopAllowance))
	defer cancel()
	started := e.Now()
	var refusal *verdict.Refusal
	received := func(answer *wire.CallAnswer) error {
		if !c.started {
			endpoint.Observe(answer.GetInFlight(), e.Now().Sub(started).Microseconds())
			if refusal = refusalOf(answer); refusal != nil {
				return nil
			}
		}
		return c.pass(answer)
	}
	err := e.dispatch(ctx, endpoint.Record().GetNode(), c.request, received)
	if err == nil || refusal != nil {
		return refusal
	}
	return e.judgeError(ctx, c, err)
}

func (e *Entry) dispatch(ctx context.Context, node string, in *wire.CallRequest, received func(*wire.CallAnswer) error) error {
	if node == e.node {
		return e.owner.Serve(ctx, in, received)
	}
	address, ok := e.hooks.Address(node)
	if !ok {
		return peer.ErrNotSent
	}
	return e.hooks.CallPeer(ctx, address, in, received)
}

// judgeError gives the verdict on a request whose owner node did not answer.
func (e *Entry) judgeError(ctx context.Context, c *call, err error) *verdict.Refusal {
	switch {
	case errors.Is(err, peer.ErrNotSent):
		return verdict.Refuse(verdict.NotRun, verdict.PeerUnreachable)
	case c.ctx.Err() != nil:
		return verdict.Refuse(verdict.Unknown, verdict.CallerGone)
	case ctx.Err() != nil:
		return verdict.Refuse(verdict.Unknown, verdict.DeadlinePassed)
	}
	return verdict.Refuse(verdict.Unknown, verdict.AnswerLost)
}

// refusalOf returns the refusal that an owner's first chunk carries, or nil.
func refusalOf(answer *wire.CallAnswer) *verdict.Refusal {
	if answer.GetReason() == "" {
		return nil
	}
	return verdict.Refuse(verdict.FromWire(answer.GetVerdict()), verdict.Reason(answer.GetReason()))
}

// pass writes a chunk of the answer to the caller.
func (c *call) pass(answer *wire.CallAnswer) error {
	if !c.started {
		c.writeHead(answer)
	}
	if _, err := c.w.Write(answer.GetBody()); err != nil {
		return err
	}
	if answer.GetLast() {
		return nil
	}
	return http.NewResponseController(c.w).Flush()
}

func (c *call) writeHead(answer *wire.CallAnswer) {
	c.started = true
	header := c.w.Header()
	for _, h := range answer.GetHeaders() {
		header.Add(h.GetName(), h.GetValue())
	}
	header.Set(verdict.Header, string(verdict.FromWire(answer.GetVerdict())))
	header.Set(versionHeader, c.request.GetVersion())
	header.Set(sequenceHeader, strconv.FormatUint(c.request.GetSequence(), 10))
	c.w.WriteHeader(int(answer.GetStatus()))
}

// BeginStop asks callers to open no more requests on their connections.
func (e *Entry) BeginStop() { e.stopping.Store(true) }
