package request

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

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
	firstBackoff   = 5 * time.Millisecond
	largestBackoff = 100 * time.Millisecond
	// maxProbes bounds the owner nodes that are asked for a shorter wait.
	maxProbes = 4
	// maxRefusals bounds the owner nodes that refuse one request without work.
	maxRefusals = 8
	// hopAllowance is the time in which an owner's verdict at the deadline
	// still reaches the entry node.
	hopAllowance = 20 * time.Millisecond
	// freshReport is the age up to which an owner's report decides a refusal by
	// the entry node itself.
	freshReport = 200 * time.Millisecond
	// Bounds of Retry-After: sooner than the shortest nothing has changed; an
	// unknown cause is tried again after the default.
	shortestRetryAfter = 50 * time.Millisecond
	defaultRetryAfter  = 300 * time.Millisecond
	sequenceHeader     = "Hibiscusrock-Sequence"
	versionHeader      = "Hibiscusrock-Version"
	largestIdemBytes   = 256
)

// EntryHooks are the entry's views of the rest of the node.
type EntryHooks struct {
	// Table returns the table in force, or nil.
	Table func() *routing.Table
	// Shares returns the versions of a service with their shares of its traffic.
	Shares func(table *routing.Table, service string) routing.Shares
	// Standby returns a version to use when no other has a backend server, or "".
	Standby func(table *routing.Table, service string) string
	// Address returns the peer address of a node.
	Address func(node string) (string, bool)
	// CallPeer runs a request on another node.
	CallPeer func(ctx context.Context, address string, in *wire.CallRequest, received func(*wire.CallAnswer) error) error
}

// Entry serves callers.
type Entry struct {
	*common.Common
	node     string
	caller   string
	headers  Headers
	owner    *Owner
	ward     *quarantine.Ward
	picker   *routing.Picker
	spread   *routing.Spread
	budget   *Budget
	patience *patience
	sizes    *sizes
	hooks    EntryHooks

	stopping atomic.Bool
	served   atomic.Uint64
}

// EntryOption changes an Entry under construction.
type EntryOption func(*Entry)

// WithHeaders sets the names of the headers.
func WithHeaders(h Headers) EntryOption { return func(e *Entry) { e.headers = h } }

// WithCaller names the service of this host, which is the caller of all requests.
func WithCaller(service string) EntryOption { return func(e *Entry) { e.caller = service } }

// WithBudget sets the budget for retries.
func WithBudget(b *Budget) EntryOption { return func(e *Entry) { e.budget = b } }

// NewEntry returns an entry that runs requests for its own host on owner.
func NewEntry(cm *common.Common, node string, owner *Owner, ward *quarantine.Ward, picker *routing.Picker, hooks EntryHooks, opts ...EntryOption) *Entry {
	e := &Entry{
		Common:   cm,
		node:     node,
		headers:  DefaultHeaders(),
		owner:    owner,
		ward:     ward,
		picker:   picker,
		spread:   routing.NewSpread(rand.IntN),
		budget:   NewBudget(cm.Now),
		patience: newPatience(),
		sizes:    newSizes(),
		hooks:    hooks,
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.Count(`hibiscusrock_requests_total`)
	begun := e.Now()
	c, refusal := e.newCall(w, r)
	if refusal == nil {
		refusal = e.attempt(c)
	}
	if refusal == nil {
		e.Observe(`hibiscusrock_request_seconds{outcome="served"}`, begun)
		return
	}
	e.Observe(`hibiscusrock_request_seconds{outcome="refused"}`, begun)
	e.Count(`hibiscusrock_refusals_total{reason="` + string(refusal.Reason()) + `",verdict="` + string(refusal.Verdict()) + `"}`)
	e.logRefusal(r, c, refusal)
	if c != nil && c.started {
		// A part of the answer is with the caller already; a broken
		// connection is the only way to say that the rest is missing.
		panic(http.ErrAbortHandler)
	}
	e.refuse(w, refusal)
}

// refuse answers a caller. A refusal that promises that the request has not
// run names the time after which it has a chance again.
func (e *Entry) refuse(w http.ResponseWriter, refusal *verdict.Refusal) {
	status := refusal.Status()
	if e.headers.Promise {
		status = refusal.PromisedStatus()
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", e.headers.retryAfter(spreadOut(refusal.Wait())))
	}
	refusal.WriteStatus(w, status)
}

// spreadOut returns a time after which callers come back one after another.
func spreadOut(wait time.Duration) time.Duration {
	if wait <= 0 {
		wait = defaultRetryAfter
	}
	wait = max(wait, shortestRetryAfter)
	return wait + time.Duration(rand.Int64N(int64(wait)))
}

// attempt tries backend servers until one answers or no retry is allowed.
func (e *Entry) attempt(c *call) *verdict.Refusal {
	e.budget.Earn(c.request.GetService(), c.service.RetryPercent)
	backoff := firstBackoff
	var last *verdict.Refusal
	for n := 1; ; n++ {
		refusal := e.try(c)
		if refusal == nil {
			e.logServed(c, n)
			return nil
		}
		if last != nil && refusal.Reason() == verdict.NoBackendServer {
			return e.giveUp(c, last)
		}
		last = refusal
		c.mayHaveRun = c.mayHaveRun || refusal.Verdict() != verdict.NotRun
		if !e.mayRetry(c, refusal) {
			return e.giveUp(c, refusal)
		}
		e.Count(`hibiscusrock_retries_total{reason="` + string(refusal.Reason()) + `"}`)
		e.logRetry(c, refusal, n)
		if n == 1 || refusal.Reason() == verdict.Busy {
			continue
		}
		if !common.Sleep(c.ctx, time.Duration(rand.Int64N(int64(backoff)))) {
			return e.giveUp(c, refusal)
		}
		backoff = min(2*backoff, largestBackoff)
	}
}

// giveUp passes on the failure that a backend server answered with, if there
// is one, and else the refusal.
func (e *Entry) giveUp(c *call, refusal *verdict.Refusal) *verdict.Refusal {
	if c.failed == nil || c.started {
		return c.conclude(refusal)
	}
	if err := c.pass(c.failed); err != nil {
		return verdict.Refuse(verdict.Ran, verdict.CallerGone)
	}
	return nil
}

// mayRetry decides whether a refused request may go to another backend server.
func (e *Entry) mayRetry(c *call, refusal *verdict.Refusal) bool {
	if c.started || c.ctx.Err() != nil || !e.Now().Before(c.deadline) {
		return false
	}
	switch refusal.Reason() {
	case verdict.NoBackendServer, verdict.CrashCausing, verdict.ClaimMismatch, verdict.ClaimsUnavailable, verdict.CallerGone, verdict.Overloaded:
		return false
	case verdict.Busy:
		return true
	case verdict.Draining, verdict.UnknownInstance, verdict.VersionHalted, verdict.BackendFailing, verdict.Stopping, verdict.PeerUnreachable:
		// These refusals cost no backend server any work.
		return len(c.tried) < maxRefusals
	case verdict.BackendCrashed:
		c.crashes++
	}
	if refusal.Verdict() != verdict.NotRun && !c.request.GetIdempotent() {
		return false
	}
	if c.crashes >= quarantine.CrashLimit || c.reached >= c.maxAttempts() || !e.budget.Spend(c.request.GetService()) {
		e.Count(`hibiscusrock_retries_denied_total`)
		return false
	}
	return true
}

// try sends the request to one backend server. It returns nil once the answer
// has gone to the caller.
func (e *Entry) try(c *call) *verdict.Refusal {
	choice, version, ok := e.choose(c)
	if !ok {
		return verdict.Refuse(verdict.NotRun, verdict.NoBackendServer)
	}
	now := e.Now()
	left := c.deadline.Sub(now)
	if left <= 0 {
		return verdict.Refuse(verdict.NotRun, verdict.DeadlinePassed)
	}
	if late := choice.Expected - left; late > 0 && choice.State.Age >= 0 && choice.State.Age < freshReport {
		return verdict.Refuse(verdict.NotRun, verdict.Overloaded).RetryAfter(late)
	}
	endpoint := choice.Endpoint
	in := c.request
	in.Version = version
	in.Instance = endpoint.Record().GetInstance()
	in.RemainingMs = left.Milliseconds()
	in.ObjectiveMs = c.objective.Sub(now).Milliseconds()
	in.Repeated = c.reached > 0
	in.MaxWaitMicros = 0
	if c.probes < maxProbes {
		in.MaxWaitMicros = choice.MaxWait.Microseconds()
	}
	endpoint.Observed().Begin()
	refusal := e.send(c, endpoint)
	endpoint.Observed().End()
	e.Observe(`hibiscusrock_attempt_seconds`, now)
	return e.settle(c, endpoint, version, refusal)
}

// settle notes what a refusal says of the endpoint.
func (e *Entry) settle(c *call, endpoint *fleet.Endpoint, version string, refusal *verdict.Refusal) *verdict.Refusal {
	if refusal == nil {
		return nil
	}
	if refusal.Reason() == verdict.Busy {
		c.probes++
		return refusal
	}
	c.tried = append(c.tried, endpoint)
	if refusal.ReachedBackend() {
		c.reached++
	}
	switch refusal.Reason() {
	case verdict.VersionHalted, verdict.BackendFailing:
		c.excluded = append(c.excluded, version)
	case verdict.PeerUnreachable, verdict.PeerSilent:
		e.picker.Unreachable(endpoint)
	}
	return refusal
}

// choose picks a version by share and a backend server of it. Versions without
// a backend server are left out; the standby version comes last.
func (e *Entry) choose(c *call) (routing.Choice, string, bool) {
	name := c.request.GetService()
	need := routing.Need{Service: name, Kind: c.route.Name, Priority: c.route.Priority, Objective: c.route.Objective(), Left: c.objective.Sub(e.Now()), Usual: c.route.UsualWork(), Kilobytes: e.sizes.kilobytes(c.route.Name)}
	shares := e.hooks.Shares(c.table, name)
	excluded := slices.Clone(c.excluded)
	for {
		need.Version = e.chooseVersion(c, shares, excluded)
		if need.Version == "" {
			break
		}
		if choice, ok := e.picker.Pick(need, c.tried); ok {
			return choice, need.Version, true
		}
		excluded = append(excluded, need.Version)
	}
	need.Version = e.hooks.Standby(c.table, name)
	if need.Version == "" {
		return routing.Choice{}, "", false
	}
	choice, ok := e.picker.Pick(need, c.tried)
	return choice, need.Version, ok
}

// chooseVersion chooses by share. A request that was told to look elsewhere
// for a shorter wait stays with its version.
func (e *Entry) chooseVersion(c *call, shares routing.Shares, excluded []string) string {
	version := c.request.GetVersion()
	if c.probes > 0 && len(c.tried) == 0 && shares[version] > 0 && !slices.Contains(excluded, version) {
		return version
	}
	return e.spread.Choose("service "+c.request.GetService(), shares.Alternatives(excluded))
}

// send runs the request on the endpoint's node and passes the answer on.
func (e *Entry) send(c *call, endpoint *fleet.Endpoint) *verdict.Refusal {
	ctx, cancel := context.WithDeadline(c.ctx, c.deadline.Add(hopAllowance))
	defer cancel()
	var refusal *verdict.Refusal
	received := func(answer *wire.CallAnswer) error {
		if answer.GetProgress() {
			return nil
		}
		if !c.started {
			e.picker.Answered(endpoint)
			endpoint.Observed().Observe(e.Now(), c.route.Name, c.route.Priority, reportOf(answer))
			if refusal = e.refusalOf(c, answer); refusal != nil {
				return nil
			}
			e.sizes.add(c.route.Name, len(answer.GetBody()))
		}
		return c.pass(answer)
	}
	err := e.dispatch(ctx, endpoint.Record().GetNode(), c.request, received)
	if err == nil || refusal != nil {
		return refusal
	}
	return e.judgeError(ctx, c, err)
}

func reportOf(answer *wire.CallAnswer) fleet.Report {
	return fleet.Report{
		Busy:    int(answer.GetInFlight()),
		Wait:    time.Duration(answer.GetWaitMicros()) * time.Microsecond,
		Work:    time.Duration(answer.GetWorkMicros()) * time.Microsecond,
		Failing: float64(answer.GetFailingPermille()) / bundle.FullPermille,
	}
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
	case errors.Is(err, peer.ErrSilent):
		return verdict.Refuse(verdict.Unknown, verdict.PeerSilent)
	}
	return verdict.Refuse(verdict.Unknown, verdict.AnswerLost)
}

// refusalOf returns the refusal that an owner's first chunk carries, or nil. A
// backend server's own failure of an idempotent request counts as one while
// another backend server may be tried.
func (e *Entry) refusalOf(c *call, answer *wire.CallAnswer) *verdict.Refusal {
	if answer.GetReason() != "" {
		wait := time.Duration(answer.GetRetryAfterMs()) * time.Millisecond
		return verdict.Refuse(verdict.FromWire(answer.GetVerdict()), verdict.Reason(answer.GetReason())).RetryAfter(wait)
	}
	mayTryAgain := c.request.GetIdempotent() && answer.GetLast() && c.reached+1 < c.maxAttempts()
	if answer.GetStatus() >= statusServerFailure && mayTryAgain {
		c.failed = answer
		return verdict.Refuse(verdict.Ran, verdict.BackendError)
	}
	return nil
}

// BeginStop asks callers to open no more requests on their connections.
func (e *Entry) BeginStop() { e.stopping.Store(true) }
