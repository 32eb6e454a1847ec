// Package request sends callers' requests to backend servers. The entry node,
// which a caller connects to, matches the route, picks a backend server, retries
// and answers. The owner node, on whose host the backend server runs, admits the
// request, runs it and reports by a verdict whether it ran.
package request

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/admission"
	"github.com/hibiscusrock/hibiscusrock/pkg/booking"
	"github.com/hibiscusrock/hibiscusrock/pkg/buffers"
	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/link"
	"github.com/hibiscusrock/hibiscusrock/pkg/quarantine"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	maxChunkBytes = 64 << 10
	// maxBufferedAnswerBytes is the length up to which an answer is read whole
	// before any of it is sent, so that a truncated one is not sent in part.
	maxBufferedAnswerBytes = 256 << 10
	idempotencyHeader      = "Idempotency-Key"
	minServerErrorStatus   = 500
)

// Owner runs requests on the backend servers of this node's host.
type Owner struct {
	*common.Common
	headers      Headers
	recorder     *rollout.Recorder
	crashTracker *quarantine.CrashTracker
	claims       *booking.Claims
	hooks        OwnerHooks

	mu       sync.RWMutex
	backends map[string]*Backend
	// finishBy is when all requests must have ended, because this node stops; or zero.
	finishBy time.Time
	inFlight *drain
	buffers  *buffers.Pool
	link     *link.Pacer
	// evacuated is set while the backend servers of this host get no requests by order of
	// the operators.
	evacuated atomic.Bool
}

// OwnerHooks are the functions of the rest of the node that an Owner calls.
type OwnerHooks struct {
	// QueueLength returns the queue length of a service.
	QueueLength func(service string) int
	// Joined reports whether this node has received the state of the others, without which
	// it does not know which versions are halted.
	Joined func() bool
	// Halted reports whether a version of a service must get no requests.
	Halted func(service, version string) bool
	// IsMoveTarget reports whether a version is the new version of a move.
	IsMoveTarget func(service, version string) bool
	// ColdStart returns the limit that applies to a service's backend servers while they
	// are cold, or nil. Without it there is no limit.
	ColdStart func(service string) *bundle.ColdStart
	// Announce broadcasts the record of a changed backend server.
	Announce func(*wire.Endpoint)
}

// OwnerOption configures an Owner.
type OwnerOption func(*Owner)

// WithOwnerHeaders sets the names of the headers.
func WithOwnerHeaders(h Headers) OwnerOption { return func(o *Owner) { o.headers = h } }

// WithClaims makes requests that are not idempotent but have an idempotency key
// run at most once, also when the caller sends them again.
func WithClaims(c *booking.Claims) OwnerOption { return func(o *Owner) { o.claims = c } }

// WithPeerBuffers sets the pool out of which the bodies that other nodes send are held.
func WithPeerBuffers(p *buffers.Pool) OwnerOption { return func(o *Owner) { o.buffers = p } }

// WithLink sets the pacer of the bodies that other nodes send.
func WithLink(p *link.Pacer) OwnerOption { return func(o *Owner) { o.link = p } }

// NewOwner returns an Owner without backend servers, and a function that closes
// its connections.
func NewOwner(cm *common.Common, recorder *rollout.Recorder, crashTracker *quarantine.CrashTracker, hooks OwnerHooks, opts ...OwnerOption) (*Owner, func()) {
	o := &Owner{
		Common:       cm,
		headers:      DefaultHeaders(),
		recorder:     recorder,
		crashTracker: crashTracker,
		hooks:        hooks,
		backends:     make(map[string]*Backend),
		inFlight:     newDrain(),
		buffers:      buffers.NewPool(cm.Now, defaultBufferBytes),
		link:         link.NewPacer(cm.Now, 0),
	}
	if o.hooks.ColdStart == nil {
		o.hooks.ColdStart = func(string) *bundle.ColdStart { return nil }
	}
	for _, opt := range opts {
		opt(o)
	}
	return o, o.closeBackends
}

func (o *Owner) closeBackends() {
	for _, b := range o.Backends() {
		b.close()
	}
}

// Serve runs a request and passes the answer, or a refusal, to send in chunks. It
// returns an error when the answer was truncated after its head was sent, or
// when send fails.
func (o *Owner) Serve(ctx context.Context, in *wire.CallRequest, send func(*wire.CallAnswer) error) error {
	return o.ServeBody(ctx, in, nil, send)
}

// ServeBody is Serve for a request whose body is not in the CallRequest, or nil. A body
// that this node can hold is taken before the request waits for a slot, so that its sender
// does not keep a slot; a longer one is passed on to the backend server as it arrives.
func (o *Owner) ServeBody(ctx context.Context, in *wire.CallRequest, body *Body, send func(*wire.CallAnswer) error) error {
	if !o.inFlight.enter() {
		return o.sendRefusal(nil, in, verdict.Refuse(verdict.NotRun, verdict.Stopping), send)
	}
	defer o.inFlight.leave()
	deadline := o.Now().Add(time.Duration(in.GetRemainingMs()) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	b, refusal := o.selectBackend(in)
	if refusal == nil {
		if body == nil || body.isWhole() {
			return o.admitAndRun(ctx, b, in, body, deadline, send)
		}
		return o.serveRemoteBody(ctx, b, in, body, deadline, send)
	}
	return o.sendRefusal(nil, in, refusal, send)
}

// serveRemoteBody runs a request of whose body another node, or a caller of this one, has
// not sent all.
func (o *Owner) serveRemoteBody(ctx context.Context, b *Backend, in *wire.CallRequest, body *Body, deadline time.Time, send func(*wire.CallAnswer) error) error {
	if o.canHold(body) {
		arrived, refusal := b.gate.Announce(o.workOf(in, o.Now()))
		if refusal != nil {
			return o.sendRefusal(b, in, refusal, send)
		}
		began := o.Now()
		held, refusal := o.receiveBody(ctx, in, body, deadline)
		arrived()
		if refusal != nil {
			return o.sendRefusal(b, in, refusal, send)
		}
		defer held.release()
		passTime(in, o.Now().Sub(began).Milliseconds())
		// Elsewhere the body would have to be sent once more.
		in.MaxWaitMicros = 0
		return o.admitAndRun(ctx, b, in, held, deadline, send)
	}
	if !b.enterStream() {
		return o.sendRefusal(b, in, verdict.Refuse(verdict.NotRun, verdict.BuffersFull).WithRetryAfter(streamedRetryAfter), send)
	}
	defer b.leaveStream()
	return o.admitAndRun(ctx, b, in, body, deadline, send)
}

// passTime shortens the times that a request has left by the milliseconds that have passed.
// 0 stands for a time that is not set.
func passTime(in *wire.CallRequest, ms int64) {
	in.RemainingMs -= ms
	for _, left := range []*int64{&in.ObjectiveMs, &in.FinishMs} {
		if *left != 0 {
			if *left -= ms; *left == 0 {
				*left = -1
			}
		}
	}
}

func (o *Owner) sendRefusal(b *Backend, in *wire.CallRequest, refusal *verdict.Refusal, send func(*wire.CallAnswer) error) error {
	answer := o.refusalAnswer(b, in, refusal)
	o.logOwnerRefusal(in, refusal, answer)
	return send(answer)
}

// refusalAnswer counts a refusal and returns it as an answer, with the load of the
// backend server if there is one.
func (o *Owner) refusalAnswer(b *Backend, in *wire.CallRequest, refusal *verdict.Refusal) *wire.CallAnswer {
	o.Count(`hibiscusrock_owner_refusals_total{reason="` + string(refusal.Reason()) + `"}`)
	answer := refusal.ToWire()
	if b != nil {
		b.addLoadReport(o.workOf(in, o.Now()), answer)
		answer.LinkWaitMs = uint32(o.link.Wait().Milliseconds())
	}
	return answer
}

// selectBackend returns the backend server that may run the request, or a refusal.
func (o *Owner) selectBackend(in *wire.CallRequest) (*Backend, *verdict.Refusal) {
	if refusal := crashRefusal(o.crashTracker, in); refusal != nil {
		return nil, refusal
	}
	b := o.lookUpBackend(in)
	if b == nil {
		return nil, verdict.Refuse(verdict.NotRun, verdict.UnknownInstance)
	}
	if o.evacuated.Load() {
		return nil, verdict.Refuse(verdict.NotRun, verdict.Evacuated)
	}
	if !o.hooks.Joined() {
		return nil, verdict.Refuse(verdict.NotRun, verdict.NotJoined)
	}
	record := b.Record()
	if o.hooks.Halted(record.GetService(), record.GetVersion()) {
		return nil, verdict.Refuse(verdict.NotRun, verdict.VersionHalted)
	}
	if o.hooks.IsMoveTarget(record.GetService(), record.GetVersion()) && !b.breaker.Allow() {
		return nil, verdict.Refuse(verdict.NotRun, verdict.BackendFailing)
	}
	return b, nil
}

// lookUpBackend returns the backend server that a request names. If that is not
// in use, it returns another one of the same service and version that is not
// draining, because the entry node may not know yet that the named one was
// replaced.
func (o *Owner) lookUpBackend(in *wire.CallRequest) *Backend {
	o.mu.RLock()
	named := o.backends[in.GetInstance()]
	o.mu.RUnlock()
	if named != nil && named.serves(in) {
		return named
	}
	for _, b := range o.Backends() {
		if b.serves(in) && !b.Record().GetDraining() {
			return b
		}
	}
	return nil
}

// workOf returns the description of a request for the admission gate.
func (o *Owner) workOf(in *wire.CallRequest, now time.Time) admission.Work {
	w := admission.Work{
		Kind:     in.GetRoute(),
		Priority: int(in.GetPriority()),
		Account:  in.GetAccount(),
		Deadline: now.Add(time.Duration(in.GetRemainingMs()) * time.Millisecond),
		Usual:    time.Duration(in.GetUsualMs()) * time.Millisecond,
		MaxWait:  time.Duration(in.GetMaxWaitMicros()) * time.Microsecond,
	}
	if in.GetFinishMs() != 0 {
		w.FinishBy = now.Add(time.Duration(in.GetFinishMs()) * time.Millisecond)
	}
	if in.GetObjectiveMs() != 0 {
		w.Objective = now.Add(time.Duration(in.GetObjectiveMs()) * time.Millisecond)
	}
	return w
}

// admitAndRun waits for a slot of the backend server and runs the request.
func (o *Owner) admitAndRun(ctx context.Context, b *Backend, in *wire.CallRequest, body *Body, deadline time.Time, send func(*wire.CallAnswer) error) error {
	arrived := o.Now()
	work := o.workOf(in, arrived)
	leave, refusal := o.isolate(ctx, b, in, work)
	if refusal != nil {
		return o.sendRefusal(b, in, refusal, send)
	}
	hold := time.Duration(0)
	defer func() { leave(hold) }()
	work, refusal = correctPlacement(b, in, work)
	if refusal != nil {
		return o.sendRefusal(b, in, refusal, send)
	}
	release, refusal := b.gate.Acquire(ctx, work)
	o.Observe(`hibiscusrock_queue_wait_seconds`, arrived)
	if refusal != nil {
		return o.sendRefusal(b, in, refusal, send)
	}
	ctx, answered, cancel := b.untilAnswer(ctx, in.GetIdempotent())
	defer cancel()
	run := &run{owner: o, backend: b, record: b.Record(), in: in, body: body, work: work, deadline: deadline, send: send, answered: answered}
	defer func() {
		release(run.outcome)
		if run.isUnanswered {
			hold = isolationHold
		}
	}()
	// More may have become known while the request waited.
	if refusal := crashRefusal(o.crashTracker, in); refusal != nil {
		return o.sendRefusal(b, in, refusal, send)
	}
	if o.claims == nil || in.GetIdempotent() || len(in.GetIdempotencyKey()) == 0 {
		return run.do(ctx)
	}
	return o.runClaimed(ctx, run)
}

// runClaimed runs a request under a claim on its idempotency key, or sends the
// stored answer if it ran before.
func (o *Owner) runClaimed(ctx context.Context, run *run) error {
	in := run.in
	claim, stored, refusal := o.claims.Acquire(ctx, in.GetService(), string(in.GetIdempotencyKey()), in.GetNonce(), contentFingerprint(in))
	if refusal != nil {
		return o.sendRefusal(run.backend, in, refusal, run.send)
	}
	if stored != nil {
		answer := &wire.CallAnswer{Verdict: wire.Verdict_VERDICT_RAN, Status: stored.GetStatus(), Headers: stored.GetHeaders(), Body: stored.GetBody(), Last: true}
		return run.send(answer)
	}
	run.claim = claim
	return run.do(ctx)
}

// contentFingerprint distinguishes requests that share an idempotency key by
// their method, target and body.
func contentFingerprint(in *wire.CallRequest) string {
	if in.GetBodyBytes() != 0 {
		return in.GetFingerprint()
	}
	return quarantine.Fingerprint(in.GetService(), in.GetMethod(), string(in.GetTarget()), in.GetBody())
}

// BeginStop refuses all requests, also those that wait for a slot, that may still run
// at the given time. Others are served until Stop.
func (o *Owner) BeginStop(finishBy time.Time) {
	o.mu.Lock()
	o.finishBy = finishBy
	o.mu.Unlock()
	for _, b := range o.Backends() {
		b.gate.FinishBy(finishBy)
	}
}

// Stop refuses new requests and waits until those in flight have ended. It
// returns the error of ctx if that ends first.
func (o *Owner) Stop(ctx context.Context) error { return o.inFlight.stop(ctx) }
