// Package request carries callers' requests: the entry node matches, picks,
// retries and answers; the owner node admits, runs and gives the verdict.
package request

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/admission"
	"github.com/hibiscusrock/hibiscusrock/pkg/booking"
	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/quarantine"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	chunkBytes = 64 << 10
	// wholeBytes is the length up to which an answer is read whole before it is
	// passed on, so that one that breaks off never begins.
	wholeBytes          = 256 << 10
	crashProbeTimeout   = 50 * time.Millisecond
	crashProbeDelay     = 20 * time.Millisecond
	crashProbes         = 2
	idempotencyHeader   = "Idempotency-Key"
	statusServerFailure = 500
)

// Owner runs requests on the backend servers of this node's host.
type Owner struct {
	*common.Common
	headers  Headers
	recorder *rollout.Recorder
	ward     *quarantine.Ward
	claims   *booking.Claims
	hooks    OwnerHooks

	mu       sync.RWMutex
	backends map[string]*Backend
	running  *drain
}

// OwnerHooks are the owner's views of the rest of the node.
type OwnerHooks struct {
	// QueueLength returns the queue length of a service.
	QueueLength func(service string) int
	// Halted reports whether a version of a service takes no requests.
	Halted func(service, version string) bool
	// Moving reports whether a version is the new one of a move.
	Moving func(service, version string) bool
	// Announce spreads a changed backend server.
	Announce func(*wire.Endpoint)
}

// OwnerOption changes an Owner under construction.
type OwnerOption func(*Owner)

// WithOwnerHeaders sets the names of the headers.
func WithOwnerHeaders(h Headers) OwnerOption { return func(o *Owner) { o.headers = h } }

// WithClaims lets requests with an idempotency key run at most once over resends.
func WithClaims(c *booking.Claims) OwnerOption { return func(o *Owner) { o.claims = c } }

// NewOwner returns an owner without backend servers, and its clean-up function.
func NewOwner(cm *common.Common, recorder *rollout.Recorder, ward *quarantine.Ward, hooks OwnerHooks, opts ...OwnerOption) (*Owner, func()) {
	o := &Owner{
		Common:   cm,
		headers:  DefaultHeaders(),
		recorder: recorder,
		ward:     ward,
		hooks:    hooks,
		backends: make(map[string]*Backend),
		running:  newDrain(),
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

// Serve runs a request and passes its answer on in chunks. It returns an error
// when the answer broke off after its head had been passed on.
func (o *Owner) Serve(ctx context.Context, in *wire.CallRequest, send func(*wire.CallAnswer) error) error {
	if !o.running.enter() {
		return o.sendRefusal(nil, in, verdict.Refuse(verdict.NotRun, verdict.Stopping), send)
	}
	defer o.running.leave()
	deadline := o.Now().Add(time.Duration(in.GetRemainingMs()) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	b, refusal := o.find(in)
	if refusal == nil {
		return o.admit(ctx, b, in, deadline, send)
	}
	return o.sendRefusal(nil, in, refusal, send)
}

func (o *Owner) sendRefusal(b *Backend, in *wire.CallRequest, refusal *verdict.Refusal, send func(*wire.CallAnswer) error) error {
	o.Count(`hibiscusrock_owner_refusals_total{reason="` + string(refusal.Reason()) + `"}`)
	answer := refusal.ToWire()
	if b != nil {
		b.report(o.workOf(in, o.Now()), answer)
	}
	o.logOwnerRefusal(in, refusal, answer)
	return send(answer)
}

// find returns the backend server that may run the request.
func (o *Owner) find(in *wire.CallRequest) (*Backend, *verdict.Refusal) {
	if o.ward.Blocked(in.GetFingerprint()) {
		return nil, verdict.Refuse(verdict.NotRun, verdict.CrashCausing)
	}
	b := o.wanted(in)
	if b == nil {
		return nil, verdict.Refuse(verdict.NotRun, verdict.UnknownInstance)
	}
	record := b.Record()
	if o.hooks.Halted(record.GetService(), record.GetVersion()) {
		return nil, verdict.Refuse(verdict.NotRun, verdict.VersionHalted)
	}
	if o.hooks.Moving(record.GetService(), record.GetVersion()) && !b.breaker.Allow() {
		return nil, verdict.Refuse(verdict.NotRun, verdict.BackendFailing)
	}
	return b, nil
}

// wanted returns the backend server that a request names, or one of the same
// service and version that took its place: the news of that may still be on its
// way to the entry node.
func (o *Owner) wanted(in *wire.CallRequest) *Backend {
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

// workOf describes a request to the gate.
func (o *Owner) workOf(in *wire.CallRequest, now time.Time) admission.Work {
	w := admission.Work{
		Kind:     in.GetRoute(),
		Priority: int(in.GetPriority()),
		Deadline: now.Add(time.Duration(in.GetRemainingMs()) * time.Millisecond),
		Usual:    time.Duration(in.GetUsualMs()) * time.Millisecond,
		MaxWait:  time.Duration(in.GetMaxWaitMicros()) * time.Microsecond,
	}
	if in.GetObjectiveMs() != 0 {
		w.Objective = now.Add(time.Duration(in.GetObjectiveMs()) * time.Millisecond)
	}
	return w
}

func (o *Owner) admit(ctx context.Context, b *Backend, in *wire.CallRequest, deadline time.Time, send func(*wire.CallAnswer) error) error {
	arrived := o.Now()
	work := o.workOf(in, arrived)
	leave, refusal := b.gate.Acquire(ctx, work)
	o.Observe(`hibiscusrock_queue_wait_seconds`, arrived)
	if refusal != nil {
		return o.sendRefusal(b, in, refusal, send)
	}
	run := &run{owner: o, backend: b, record: b.Record(), in: in, work: work, deadline: deadline, send: send}
	defer func() { leave(run.outcome) }()
	ctx, cancel := b.untilDown(ctx, in.GetIdempotent())
	defer cancel()
	if o.claims == nil || in.GetIdempotent() || in.GetIdempotencyKey() == "" {
		return run.do(ctx)
	}
	return o.runClaimed(ctx, run)
}

func (o *Owner) runClaimed(ctx context.Context, run *run) error {
	in := run.in
	claim, kept, refusal := o.claims.Acquire(ctx, in.GetService(), in.GetIdempotencyKey(), in.GetNonce(), bodyFingerprint(in))
	if refusal != nil {
		return o.sendRefusal(run.backend, in, refusal, run.send)
	}
	if kept != nil {
		answer := &wire.CallAnswer{Verdict: wire.Verdict_VERDICT_RAN, Status: kept.GetStatus(), Headers: kept.GetHeaders(), Body: kept.GetBody(), Last: true}
		return run.send(answer)
	}
	run.claim = claim
	return run.do(ctx)
}

// bodyFingerprint tells apart two requests that share an idempotency key.
func bodyFingerprint(in *wire.CallRequest) string {
	return quarantine.Fingerprint(in.GetService(), "", in.GetMethod(), in.GetTarget(), in.GetBody())
}

// Stop refuses new requests and waits until those in flight have ended, or ctx ends.
func (o *Owner) Stop(ctx context.Context) error { return o.running.stop(ctx) }
