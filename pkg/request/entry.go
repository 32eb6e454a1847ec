package request

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/buffers"
	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/fleet"
	"github.com/hibiscusrock/hibiscusrock/pkg/hedge"
	"github.com/hibiscusrock/hibiscusrock/pkg/peer"
	"github.com/hibiscusrock/hibiscusrock/pkg/quarantine"
	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
	"github.com/hibiscusrock/hibiscusrock/pkg/usage"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	initialBackoff = 5 * time.Millisecond
	maxBackoff     = 100 * time.Millisecond
	// maxProbes bounds the refusals of one request as busy because the wait for a
	// slot was above its MaxWaitMicros. Once it is reached, the request accepts any
	// wait for a slot.
	maxProbes = 4
	// After a refusal that cost no backend server any work, a request is retried
	// only while it has tried fewer than maxRefusals backend servers.
	maxRefusals = 8
	// A request is not retried after maxCrashes of its attempts ended in a crash.
	maxCrashes = 2
	// hopAllowance extends the deadline of the call to the owner node, so that a
	// verdict given at the request's deadline still reaches the entry node.
	hopAllowance = 20 * time.Millisecond
	// maxReportAge is the age up to which the entry node refuses a request as
	// overloaded on an owner node's load report, without a call to that node.
	maxReportAge = 200 * time.Millisecond
	// Bounds of Retry-After: a retry sooner than minRetryAfter would find the
	// load unchanged; defaultRetryAfter replaces an unknown wait.
	minRetryAfter          = 50 * time.Millisecond
	defaultRetryAfter      = 300 * time.Millisecond
	sequenceHeader         = "Hibiscusrock-Sequence"
	versionHeader          = "Hibiscusrock-Version"
	maxIdempotencyKeyBytes = 256
	// defaultBufferBytes is the size of the pools of an entry or owner node without others.
	defaultBufferBytes = 16 << 20
)

// EntryHooks are the functions of the rest of the node that an Entry calls.
type EntryHooks struct {
	// Table returns the table in force, or nil.
	Table func() *routing.Table
	// Shares returns the versions of a service with their shares of its traffic.
	Shares func(table *routing.Table, service string) routing.Shares
	// Standby returns a version to use when no other has a backend server, or "".
	Standby func(table *routing.Table, service string) string
	// Usage admits the requests of accounts with a usage cap.
	Usage *usage.Spender
	// Address returns the peer address of a node.
	Address func(node string) (string, bool)
	// CallPeer runs a request on another node.
	CallPeer func(ctx context.Context, address string, in *wire.CallRequest, received func(*wire.CallAnswer) error) error
	// CallPeerWithBody is CallPeer for a request whose body follows in the parts that next
	// returns. interrupt ends a call of next.
	CallPeerWithBody func(ctx context.Context, address string, in *wire.CallRequest, next func(max int) ([]byte, bool, error), interrupt func(), received func(*wire.CallAnswer) error) error
}

// Entry is the HTTP handler for callers: it sends their requests to backend
// servers and retries them.
type Entry struct {
	*common.Common
	node           string
	caller         atomic.Pointer[string]
	headers        Headers
	owner          *Owner
	crashTracker   *quarantine.CrashTracker
	picker         *routing.Picker
	roundRobin     *routing.WeightedRoundRobin
	budget         *Budget
	callerTimeouts *callerTimeouts
	answerSizes    *answerSizes
	hooks          EntryHooks
	arrival        func(context.Context) (time.Time, bool)
	buffers        *buffers.Pool
	hedging        *hedge.Policy

	served atomic.Uint64
	// finishBy is when all requests must have ended, because this node stops; or nil.
	finishBy atomic.Pointer[time.Time]
}

// EntryOption configures an Entry.
type EntryOption func(*Entry)

// WithHeaders sets the names of the headers.
func WithHeaders(h Headers) EntryOption { return func(e *Entry) { e.headers = h } }

// WithCaller sets the service of this host, which is the caller of all requests.
func WithCaller(service string) EntryOption { return func(e *Entry) { e.SetCaller(service) } }

// WithBudget sets the budget for retries.
func WithBudget(b *Budget) EntryOption { return func(e *Entry) { e.budget = b } }

// WithArrival sets the function that returns when the request with a context was
// read. Its deadline and objective count from then, also if it had to wait for
// earlier requests of its connection.
func WithArrival(f func(context.Context) (time.Time, bool)) EntryOption {
	return func(e *Entry) { e.arrival = f }
}

// WithBuffers sets the pool out of which the bodies of callers' requests are held.
func WithBuffers(p *buffers.Pool) EntryOption { return func(e *Entry) { e.buffers = p } }

// WithHedging sets the policy of second attempts for slow answers. Without it there are none.
func WithHedging(p *hedge.Policy) EntryOption { return func(e *Entry) { e.hedging = p } }

// NewEntry returns an Entry. Requests for backend servers of this node's host go
// to owner directly.
func NewEntry(cm *common.Common, node string, owner *Owner, crashTracker *quarantine.CrashTracker, picker *routing.Picker, hooks EntryHooks, opts ...EntryOption) *Entry {
	e := &Entry{
		Common:         cm,
		node:           node,
		headers:        DefaultHeaders(),
		owner:          owner,
		crashTracker:   crashTracker,
		picker:         picker,
		roundRobin:     routing.NewWeightedRoundRobin(rand.IntN),
		budget:         NewBudget(cm.Now),
		callerTimeouts: newCallerTimeouts(),
		answerSizes:    newAnswerSizes(),
		hooks:          hooks,
		arrival:        func(context.Context) (time.Time, bool) { return time.Time{}, false },
		buffers:        buffers.NewPool(cm.Now, defaultBufferBytes),
	}
	e.SetCaller("")
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// SetCaller changes the service of this host, which is the caller of all requests.
func (e *Entry) SetCaller(service string) { e.caller.Store(&service) }

// BeginStop refuses each request, and each further attempt, that may still run on a
// backend server at the given time.
func (e *Entry) BeginStop(finishBy time.Time) { e.finishBy.Store(&finishBy) }

// hasStopped reports whether all requests must have ended.
func (e *Entry) hasStopped(now time.Time) bool {
	finishBy := e.finishBy.Load()
	return finishBy != nil && !now.Before(*finishBy)
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.Count(`hibiscusrock_requests_total`)
	start := e.Now()
	c, refusal := e.newCall(w, r)
	if c != nil {
		defer c.body.release()
	}
	if refusal == nil {
		refusal = e.callWithRetries(c)
	}
	if refusal == nil {
		e.Observe(`hibiscusrock_request_seconds{outcome="served"}`, start)
		return
	}
	if c != nil {
		e.returnUsage(c, refusal)
	}
	e.Observe(`hibiscusrock_request_seconds{outcome="refused"}`, start)
	e.Count(`hibiscusrock_refusals_total{reason="` + string(refusal.Reason()) + `",verdict="` + string(refusal.Verdict()) + `"}`)
	e.logRefusal(r, c, refusal)
	if c != nil && c.headSent {
		// The caller has received part of the answer. Only a broken
		// connection can show that the rest is missing.
		panic(http.ErrAbortHandler)
	}
	e.refuse(w, refusal)
}

// refuse writes a refusal to the caller. Status 503 carries Retry-After, the
// time after which the request may succeed. With Headers.StatusMeansNotRun, 503
// also means that the request has not run.
func (e *Entry) refuse(w http.ResponseWriter, refusal *verdict.Refusal) {
	status := refusal.Status()
	if e.headers.StatusMeansNotRun {
		status = refusal.PromisedStatus()
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", e.headers.retryAfter(withJitter(retryDelay(refusal))))
	}
	refusal.WriteStatus(w, status)
}

// retryDelay returns the time after which a refused request may succeed, or 0. Another
// node than one that stops can take it at once.
func retryDelay(refusal *verdict.Refusal) time.Duration {
	if reason := refusal.Reason(); reason == verdict.Stopping || reason == verdict.StopTooNear {
		return minRetryAfter
	}
	return refusal.RetryDelay()
}

// withJitter returns a random time between wait and twice wait, so that refused
// callers do not all retry at once. A wait of 0 is unknown and replaced by
// defaultRetryAfter; a shorter one than minRetryAfter is raised to that.
func withJitter(wait time.Duration) time.Duration {
	if wait <= 0 {
		wait = defaultRetryAfter
	}
	wait = max(wait, minRetryAfter)
	return wait + time.Duration(rand.Int64N(int64(wait)))
}

// callWithRetries sends the request to one backend server after another until
// one answers or no retry is allowed.
func (e *Entry) callWithRetries(c *call) *verdict.Refusal {
	e.budget.Earn(c.request.GetService(), c.service.RetryPercent)
	backoff := initialBackoff
	var last *verdict.Refusal
	for n := 1; ; n++ {
		refusal := e.attempt(c)
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
		backoff = min(2*backoff, maxBackoff)
	}
}

// giveUp sends the caller the last error answer of a backend server, if there is
// one and nothing was sent before. Otherwise it returns the refusal.
func (e *Entry) giveUp(c *call, refusal *verdict.Refusal) *verdict.Refusal {
	if c.failureAnswer == nil || c.headSent {
		return c.overallRefusal(refusal)
	}
	if err := c.writeChunk(c.failureAnswer); err != nil {
		return verdict.Refuse(verdict.Ran, verdict.CallerGone)
	}
	return nil
}

// mayRetry decides whether a refused request may go to another backend server.
func (e *Entry) mayRetry(c *call, refusal *verdict.Refusal) bool {
	now := e.Now()
	if c.body != nil && c.body.consumed.Load() {
		return false
	}
	if c.headSent || c.ctx.Err() != nil || !now.Before(c.deadline) || e.hasStopped(now) {
		return false
	}
	switch refusal.Reason() {
	case verdict.NoBackendServer, verdict.CrashCausing, verdict.ClaimMismatch, verdict.ClaimsUnavailable, verdict.CallerGone, verdict.Overloaded:
		return false
	case verdict.Busy:
		return true
	case verdict.Draining, verdict.Evacuated, verdict.UnknownInstance, verdict.NotJoined, verdict.VersionHalted, verdict.BackendFailing, verdict.BuffersFull, verdict.LinkBusy, verdict.Stopping, verdict.StopTooNear, verdict.PeerUnreachable:
		// These refusals cost no backend server any work, so their retries are
		// not charged to the retry budget.
		return len(c.tried) < maxRefusals
	case verdict.BackendCrashed:
		c.crashes++
	}
	if refusal.Verdict() != verdict.NotRun && !c.request.GetIdempotent() {
		return false
	}
	if c.crashes >= maxCrashes || c.reached >= c.maxAttempts() || !e.budget.Spend(c.request.GetService()) {
		e.Count(`hibiscusrock_retries_denied_total`)
		return false
	}
	return true
}

// attempt sends the request to one backend server. It returns nil once the
// answer was written to the caller, and a refusal otherwise.
func (e *Entry) attempt(c *call) *verdict.Refusal {
	choice, version, ok := e.chooseEndpoint(c)
	if !ok {
		return verdict.Refuse(verdict.NotRun, verdict.NoBackendServer)
	}
	now := e.Now()
	left := c.deadline.Sub(now)
	if left <= 0 {
		return verdict.Refuse(verdict.NotRun, verdict.DeadlinePassed)
	}
	if overrun := choice.Expected - left; overrun > 0 && choice.State.Age >= 0 && choice.State.Age < maxReportAge {
		return verdict.Refuse(verdict.NotRun, verdict.Overloaded).WithRetryAfter(overrun)
	}
	endpoint := choice.Endpoint
	in := c.request
	in.Version = version
	in.Instance = endpoint.Record().GetInstance()
	in.RemainingMs = left.Milliseconds()
	in.ObjectiveMs = c.objective.Sub(now).Milliseconds()
	in.Repeated = c.reached > 0
	in.Crashes = uint32(c.crashes)
	in.FinishMs = 0
	if finishBy := e.finishBy.Load(); finishBy != nil {
		if in.FinishMs = finishBy.Sub(now).Milliseconds(); in.FinishMs <= 0 {
			return verdict.Refuse(verdict.NotRun, verdict.Stopping)
		}
	}
	in.MaxWaitMicros = 0
	in.ExpectedWorkMicros = (choice.Expected - choice.State.Wait).Microseconds()
	if c.probes < maxProbes {
		in.MaxWaitMicros = choice.MaxWait.Microseconds()
	}
	refusal := e.sendHedged(c, &sending{in: in, endpoint: endpoint, began: now})
	e.Observe(`hibiscusrock_attempt_seconds`, now)
	if refusal == nil && e.hedging.IsOn() && in.GetIdempotent() {
		e.hedging.Observe(in.GetService(), c.route.Name, e.Now().Sub(now))
	}
	return e.recordRefusal(c, endpoint, version, refusal)
}

// recordRefusal updates the state of the request after a refusal, so that later
// attempts avoid the endpoint or version, and reports an unreachable node to the
// picker. It returns the refusal unchanged.
func (e *Entry) recordRefusal(c *call, endpoint *fleet.Endpoint, version string, refusal *verdict.Refusal) *verdict.Refusal {
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
		c.excludedVersions = append(c.excludedVersions, version)
	case verdict.QueueFull, verdict.DeadlineTooNear, verdict.Overloaded, verdict.BackendShed:
		c.overloadedVersions = append(c.overloadedVersions, version)
	case verdict.PeerUnreachable, verdict.PeerSilent:
		e.picker.RecordUnreachable(endpoint)
	}
	return refusal
}

// chooseEndpoint picks a version by its share of the traffic and a backend
// server of that version. Versions without a backend server are skipped; the
// standby version is used when no other is left. What the backend servers of a
// version refused for overload does not go to a version with a smaller share, or
// that one would get more than its share.
func (e *Entry) chooseEndpoint(c *call) (routing.Choice, string, bool) {
	name := c.request.GetService()
	need := e.needOf(c)
	shares := e.hooks.Shares(c.table, name)
	excludedVersions := slices.Clone(c.excludedVersions)
	for _, version := range c.overloadedVersions {
		excludedVersions = append(excludedVersions, shares.NotAbove(version)...)
	}
	for {
		need.Version = e.chooseVersion(c, shares, excludedVersions)
		if need.Version == "" {
			break
		}
		if choice, ok := e.picker.Pick(need, c.tried); ok {
			return choice, need.Version, true
		}
		excludedVersions = append(excludedVersions, need.Version)
	}
	need.Version = e.hooks.Standby(c.table, name)
	if need.Version == "" {
		return routing.Choice{}, "", false
	}
	choice, ok := e.picker.Pick(need, c.tried)
	return choice, need.Version, ok
}

// needOf returns what a request needs of a backend server, of any version.
func (e *Entry) needOf(c *call) routing.Need {
	need := routing.Need{Service: c.request.GetService(), Kind: c.route.Name, Priority: c.priority, Objective: c.route.Objective(), Remaining: c.objective.Sub(e.Now()), Usual: c.route.AssumedWork(), Kilobytes: e.answerSizes.callKilobytes(c.route.Name)}
	if c.body != nil {
		need.BodyBytes = max(c.body.length, inlineBodyBytes)
	}
	return need
}

// chooseVersion picks a version by its share of the traffic. A request that was
// only refused as busy so far stays with its version while that has a share.
func (e *Entry) chooseVersion(c *call, shares routing.Shares, excludedVersions []string) string {
	version := c.request.GetVersion()
	if c.probes > 0 && len(c.tried) == 0 && shares[version] > 0 && !slices.Contains(excludedVersions, version) {
		return version
	}
	return e.roundRobin.Choose("service "+c.request.GetService(), shares.Alternatives(excludedVersions))
}

// send calls the endpoint's node and writes the answer to the caller as it
// arrives. It returns a refusal unless the whole answer was written.
func (e *Entry) send(c *call, s *sending) *verdict.Refusal {
	endpoint, parent := s.endpoint, c.ctx
	if s.ctx != nil {
		parent = s.ctx
	}
	endpoint.LoadStats().Begin()
	defer endpoint.LoadStats().End()
	ctx, cancel := context.WithDeadline(parent, c.deadline.Add(hopAllowance))
	defer cancel()
	var refusal *verdict.Refusal
	received := func(answer *wire.CallAnswer) error {
		if answer.GetProgress() {
			return nil
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.headSent && !s.won {
			return errLost
		}
		if !c.headSent {
			e.picker.RecordAnswer(endpoint)
			endpoint.LoadStats().AddReport(e.Now(), c.route.Name, c.priority, reportOf(answer))
			if refusal = e.refusalOf(c, answer); refusal != nil {
				return nil
			}
		}
		s.won = true
		first := !c.headSent
		err := c.writeChunk(answer)
		e.answerSizes.record(c.route.Name, c.written, first, answer.GetLast())
		return err
	}
	err := e.dispatch(ctx, endpoint.Record().GetNode(), c, s.in, received)
	if err == nil || refusal != nil {
		return refusal
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.won {
		c.takeBack()
		s.won = c.headSent
	}
	return e.classifyError(ctx, c, err)
}

// reportOf returns the load report that an owner node adds to an answer.
func reportOf(answer *wire.CallAnswer) fleet.LoadReport {
	return fleet.LoadReport{
		Busy:        int(answer.GetInFlight()),
		Wait:        time.Duration(answer.GetWaitMicros()) * time.Microsecond,
		Work:        time.Duration(answer.GetWorkMicros()) * time.Microsecond,
		FailureRate: float64(answer.GetFailingPermille()) / bundle.FullPermille,
		Slowdown:    float64(answer.GetSlowdownPercent()) / fullPercent,
		LinkWait:    time.Duration(answer.GetLinkWaitMs()) * time.Millisecond,
	}
}

// dispatch calls the owner of this node directly, and that of another node over
// the network.
func (e *Entry) dispatch(ctx context.Context, node string, c *call, in *wire.CallRequest, received func(*wire.CallAnswer) error) error {
	if node == e.node {
		return e.owner.ServeBody(ctx, in, c.body, received)
	}
	address, ok := e.hooks.Address(node)
	if !ok {
		return peer.ErrNotSent
	}
	if c.body != nil {
		return e.hooks.CallPeerWithBody(ctx, address, in, c.body.parts(), c.body.interrupt, received)
	}
	return e.hooks.CallPeer(ctx, address, in, received)
}

// classifyError returns the refusal for a request whose owner node did not
// answer in full.
func (e *Entry) classifyError(ctx context.Context, c *call, err error) *verdict.Refusal {
	switch {
	case errors.Is(err, peer.ErrNotSent):
		return verdict.Refuse(verdict.NotRun, verdict.PeerUnreachable)
	case errors.Is(c.body.err(), errBodyTooLarge):
		return verdict.Refuse(verdict.Unknown, verdict.BodyTooLarge)
	case c.body.err() != nil:
		return verdict.Refuse(verdict.Unknown, verdict.CallerGone)
	case c.ctx.Err() != nil && e.hasStopped(e.Now()):
		return verdict.Refuse(verdict.Unknown, verdict.Stopping)
	case c.ctx.Err() != nil:
		return verdict.Refuse(verdict.Unknown, verdict.CallerGone)
	case ctx.Err() != nil:
		return verdict.Refuse(verdict.Unknown, verdict.DeadlinePassed)
	case errors.Is(err, peer.ErrSilent):
		return verdict.Refuse(verdict.Unknown, verdict.PeerSilent)
	}
	return verdict.Refuse(verdict.Unknown, verdict.AnswerLost)
}

// refusalOf returns the refusal in the first chunk of an owner node's answer, or
// nil. A server error status of an idempotent request counts as a refusal while
// another backend server may be tried.
func (e *Entry) refusalOf(c *call, answer *wire.CallAnswer) *verdict.Refusal {
	if answer.GetReason() != "" {
		wait := time.Duration(answer.GetRetryAfterMs()) * time.Millisecond
		return verdict.Refuse(verdict.FromWire(answer.GetVerdict()), verdict.Reason(answer.GetReason())).WithRetryAfter(wait)
	}
	mayTryAgain := c.request.GetIdempotent() && answer.GetLast() && c.reached+1 < c.maxAttempts()
	if answer.GetStatus() >= minServerErrorStatus && mayTryAgain {
		c.failureAnswer = answer
		return verdict.Refuse(verdict.Ran, verdict.BackendError)
	}
	return nil
}

// ExpectsShortAnswer reports whether the answers of a request's route were all short
// enough to be sent whole.
func (e *Entry) ExpectsShortAnswer(r *http.Request) bool {
	route := e.hooks.Table().Match(r.Host, r.Method, routing.ParsePath(targetOf(r)).String())
	return route == nil || e.answerSizes.areShort(route.Name)
}

// IsIdempotent reports whether a request may run more than once by the table in
// force. A request without a route runs nowhere.
func (e *Entry) IsIdempotent(r *http.Request) bool {
	path := routing.ParsePath(targetOf(r))
	route := e.hooks.Table().Match(r.Host, r.Method, path.String())
	return route == nil || isIdempotent(route, r.Method, path)
}
