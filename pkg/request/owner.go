// Package request carries callers' requests: the entry node matches, picks,
// retries and answers; the owner node admits, runs and gives the verdict.
package request

import (
	"context"
	"net"
	"net/http"
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
	chunkBytes     = 64 << 10
	connectTimeout = time.Second
	// Idle connections to backend servers are closed soon, because one that the
	// network lost track of answers nothing.
	backendIdleTimeout  = time.Second
	backendIdlePerHost  = 64
	crashProbeTimeout   = 50 * time.Millisecond
	crashProbeDelay     = 20 * time.Millisecond
	crashProbes         = 2
	remainingHeader     = "Hibiscusrock-Remaining-Ms"
	requestIDHeader     = "Hibiscusrock-Request-Id"
	idempotencyHeader   = "Idempotency-Key"
	statusServerFailure = 500
)

// Backend is one backend server on this node's host.
type Backend struct {
	mu       sync.Mutex
	record   *wire.Endpoint
	lastSeen time.Time
	life     uint64
	// firstRun and runs tell a cold backend server from a warm one.
	firstRun time.Time
	runs     int

	gate    *admission.Gate
	breaker *admission.Breaker
}

// Record returns the backend server as last announced.
func (b *Backend) Record() *wire.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.record
}

// Gate returns the backend server's admission gate.
func (b *Backend) Gate() *admission.Gate { return b.gate }

// Owner runs requests on the backend servers of this node's host.
type Owner struct {
	*common.Common
	recorder *rollout.Recorder
	ward     *quarantine.Ward
	claims   *booking.Claims
	hooks    OwnerHooks

	reused *http.Client
	fresh  *http.Client

	mu       sync.RWMutex
	backends map[string]*Backend
	running  *drain
}

// OwnerHooks are the owner's views of the rest of the node.
type OwnerHooks struct {
	// QueueLength returns the queue length of a service.
	QueueLength func(service string) int
	// Halted reports whether a version of a service was taken back.
	Halted func(service, version string) bool
	// Moving reports whether a version is the new one of a move.
	Moving func(service, version string) bool
	// Announce spreads a changed backend server.
	Announce func(*wire.Endpoint)
}

// NewOwner returns an owner without backend servers, and its clean-up function.
func NewOwner(cm *common.Common, recorder *rollout.Recorder, ward *quarantine.Ward, claims *booking.Claims, hooks OwnerHooks) (*Owner, func()) {
	dialer := &net.Dialer{Timeout: connectTimeout}
	reused := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: backendIdlePerHost,
		IdleConnTimeout:     backendIdleTimeout,
		DisableCompression:  true,
	}
	// A request that must not run twice gets a connection of its own: the
	// library resends a request whose reused connection turns out to be closed.
	fresh := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	o := &Owner{
		Common:   cm,
		recorder: recorder,
		ward:     ward,
		claims:   claims,
		hooks:    hooks,
		reused:   &http.Client{Transport: reused, CheckRedirect: useLastResponse},
		fresh:    &http.Client{Transport: fresh, CheckRedirect: useLastResponse},
		backends: make(map[string]*Backend),
		running:  newDrain(),
	}
	return o, reused.CloseIdleConnections
}

func useLastResponse(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Serve runs a request and passes its answer on in chunks. It returns an error
// when the answer broke off after its head had been passed on.
func (o *Owner) Serve(ctx context.Context, in *wire.CallRequest, send func(*wire.CallAnswer) error) error {
	if !o.running.enter() {
		return o.sendRefusal(verdict.Refuse(verdict.NotRun, verdict.Stopping), 0, send)
	}
	defer o.running.leave()
	deadline := o.Now().Add(time.Duration(in.GetRemainingMs()) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	b, refusal := o.find(in)
	if refusal == nil {
		return o.admit(ctx, b, in, deadline, send)
	}
	return o.sendRefusal(refusal, 0, send)
}

func (o *Owner) sendRefusal(refusal *verdict.Refusal, inFlight int, send func(*wire.CallAnswer) error) error {
	o.Count(`hibiscusrock_owner_refusals_total{reason="` + string(refusal.Reason()) + `"}`)
	answer := refusal.ToWire()
	answer.InFlight = int32(inFlight)
	return send(answer)
}

// find returns the backend server that may run the request.
func (o *Owner) find(in *wire.CallRequest) (*Backend, *verdict.Refusal) {
	if o.ward.Blocked(in.GetFingerprint()) {
		return nil, verdict.Refuse(verdict.NotRun, verdict.CrashCausing)
	}
	o.mu.RLock()
	b := o.backends[in.GetInstance()]
	o.mu.RUnlock()
	if b == nil {
		return nil, verdict.Refuse(verdict.NotRun, verdict.UnknownInstance)
	}
	record := b.Record()
	if record.GetService() != in.GetService() || record.GetVersion() != in.GetVersion() || record.GetDown() {
		return nil, verdict.Refuse(verdict.NotRun, verdict.UnknownInstance)
	}
	if o.hooks.Halted(record.GetService(), record.GetVersion()) {
		return nil, verdict.Refuse(verdict.NotRun, verdict.VersionHalted)
	}
	if o.hooks.Moving(record.GetService(), record.GetVersion()) && !b.breaker.Allow() {
		return nil, verdict.Refuse(verdict.NotRun, verdict.BackendFailing)
	}
	return b, nil
}

func (o *Owner) admit(ctx context.Context, b *Backend, in *wire.CallRequest, deadline time.Time, send func(*wire.CallAnswer) error) error {
	leave, refusal := b.gate.Acquire(ctx, deadline)
	if refusal != nil {
		return o.sendRefusal(refusal, b.gate.InFlight(), send)
	}
	run := &run{owner: o, backend: b, record: b.Record(), in: in, send: send}
	defer func() { leave(run.outcome) }()
	if in.GetIdempotent() || in.GetIdempotencyKey() == "" {
		return run.do(ctx)
	}
	return o.runClaimed(ctx, run)
}

func (o *Owner) runClaimed(ctx context.Context, run *run) error {
	in := run.in
	claim, kept, refusal := o.claims.Acquire(ctx, in.GetService(), in.GetIdempotencyKey(), in.GetNonce(), bodyFingerprint(in))
	if refusal != nil {
		return o.sendRefusal(refusal, run.backend.gate.InFlight(), run.send)
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
