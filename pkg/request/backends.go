package request

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusrock/hibiscusrock/pkg/admission"
	"github.com/hibiscusrock/hibiscusrock/pkg/backend"
	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// HeartbeatTimeout is the time without a heartbeat after which a backend server
// is marked down.
const HeartbeatTimeout = 3 * time.Second

// A backend server is cold during its first minColdRuns runs and until
// minColdTime after the first one.
const (
	minColdRuns = 3
	minColdTime = time.Second
)

// The weight of one outcome in a backend server's failure rate is
// 1/failureRateEWMADivisor.
const failureRateEWMADivisor = 8

// health holds the part of a backend server's recent requests that it failed or
// shed, as a moving average from 0 to 1.
type health struct {
	mu   sync.Mutex
	rate float64
}

func (h *health) record(failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sample := 0.0
	if failed {
		sample = 1
	}
	h.rate += (sample - h.rate) / failureRateEWMADivisor
}

func (h *health) failureRate() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rate
}

// Backend is one backend server on this node's host.
type Backend struct {
	mu       sync.Mutex
	record   *wire.Endpoint
	lastSeen time.Time
	// incarnation is replaced when the backend server announces another start time, or
	// announces itself after it crashed. incarnations is their number so far.
	incarnation  *incarnation
	incarnations uint64
	// firstRun and runs decide whether the backend server is cold.
	firstRun time.Time
	runs     int
	// streams counts the requests whose bodies are passed on as they arrive.
	streams   int
	rateLimit rateLimit
	cold      coldState
	// upCtx ends when the backend server is marked down.
	upCtx    context.Context
	cancelUp context.CancelFunc
	client   *backend.Client
	close    func()
	// repeatsID is set once the backend server has repeated a request identifier.
	repeatsID atomic.Bool

	gate    *admission.Gate
	breaker *admission.Breaker
	health  health
}

// Record returns the backend server as last announced.
func (b *Backend) Record() *wire.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.record
}

// Gate returns the backend server's admission gate.
func (b *Backend) Gate() *admission.Gate { return b.gate }

// RateLimit returns the requests a second that the backend server takes, or 0 if it
// names no limit.
func (b *Backend) RateLimit() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rateLimit.perSecond
}

func (b *Backend) isDown() bool { return b.Record().GetDown() }

// serves reports whether the backend server is up and has the service and version
// that a request asks for.
func (b *Backend) serves(in *wire.CallRequest) bool {
	record := b.Record()
	return record.GetService() == in.GetService() && record.GetVersion() == in.GetVersion() && !record.GetDown()
}

// untilAnswer returns the context for a request, and a function to call once the head of
// its answer has arrived. Until then the context of an idempotent request ends when the
// backend server is marked down, so that another one can run the request. What marks a
// backend server down, such as late heartbeats, does not show that an answer cannot go on.
func (b *Backend) untilAnswer(parent context.Context, idempotent bool) (ctx context.Context, answered, cancel func()) {
	ctx, end := context.WithCancel(parent)
	if !idempotent {
		return ctx, func() {}, end
	}
	b.mu.Lock()
	upCtx := b.upCtx
	b.mu.Unlock()
	stop := context.AfterFunc(upCtx, end)
	return ctx, func() { stop() }, func() {
		stop()
		end()
	}
}

// addLoadReport adds to an answer the load that a further request like this one
// would find, and the failure rate.
func (b *Backend) addLoadReport(work admission.Work, answer *wire.CallAnswer) {
	forecast := b.gate.Forecast(work)
	answer.InFlight = int32(b.gate.InFlight())
	answer.WaitMicros = forecast.Wait.Microseconds()
	answer.WorkMicros = forecast.Work.Microseconds()
	if slowdown, known := b.gate.Slowdown(); known {
		answer.SlowdownPercent = uint32(slowdown * fullPercent)
	}
	answer.FailingPermille = uint32(b.health.failureRate() * bundle.FullPermille)
}

// HandleAnnouncement applies an announcement of a backend server on this host, which is
// also its heartbeat, and broadcasts a changed record.
func (o *Owner) HandleAnnouncement(record *wire.Endpoint) {
	b, known := o.findOrAddBackend(record)
	b.mu.Lock()
	before, isReborn := b.incarnation, known && b.record.GetBornUnixMs() < record.GetBornUnixMs()
	wasDraining := b.record.GetDraining()
	if known && (b.record.GetDown() || b.record.GetBornUnixMs() != record.GetBornUnixMs()) {
		b.runs = 0
		b.upCtx, b.cancelUp = context.WithCancel(context.Background())
	}
	if isReborn || before.hasCrashed() {
		b.beginIncarnation(record)
	}
	switch {
	case !known:
		b.adoptRateLimit(record, o.Now())
	case b.record.GetBornUnixMs() != record.GetBornUnixMs():
		b.rateLimit = rateLimit{since: o.Now()}
		b.gate.LiftRateLimit()
	}
	record.RateLimit = b.rateLimit.announced()
	if known && b.record.GetAddress() != record.GetAddress() {
		b.close()
		b.client, b.close = backend.NewClient(record.GetAddress(), o.Now)
	}
	changed := !known || !sameAnnouncement(b.record, record) || o.coldChanged(b.record, record)
	b.record = record
	b.lastSeen = o.Now()
	b.mu.Unlock()
	b.gate.Resize(int(record.GetSlots()), o.hooks.QueueLength(record.GetService()))
	o.learnCold(b, time.Duration(record.GetColdMs())*time.Millisecond)
	o.openGate(b, record)
	o.markReplaced(record)
	if isReborn {
		o.countCrash(before, wasDraining, "started_again")
	} else {
		o.recordAlive(before)
	}
	if changed {
		o.Event(event.BackendServerChanged).WithField("instance", record.GetInstance()).WithField("number", record.GetNumber()).WithField("service", record.GetService()).WithField("version", record.GetVersion()).WithField("draining", record.GetDraining()).Info("backend server changed")
		o.hooks.Announce(record)
	}
}

// coldChanged reports whether a backend server whose cold time matters to other nodes has
// turned cold or is cold no more.
func (o *Owner) coldChanged(before, after *wire.Endpoint) bool {
	return (before.GetColdMs() > 0) != (after.GetColdMs() > 0) && o.hooks.ColdStart(after.GetService()) != nil
}

// markReplaced marks a backend server down if a newer one announces its address.
func (o *Owner) markReplaced(record *wire.Endpoint) {
	for _, b := range o.Backends() {
		old := b.Record()
		sameAddress := old.GetAddress() == record.GetAddress() && old.GetInstance() != record.GetInstance()
		if sameAddress && old.GetBornUnixMs() < record.GetBornUnixMs() {
			o.markDown(b)
			o.countCrash(b.currentIncarnation(), old.GetDraining(), "address_taken")
		}
	}
}

// sameAnnouncement reports whether two announcements differ at most in the
// remaining cold time and in their numbers. If one of them is a leave, the numbers
// must be equal as well.
func sameAnnouncement(a, b *wire.Endpoint) bool {
	a, b = proto.Clone(a).(*wire.Endpoint), proto.Clone(b).(*wire.Endpoint)
	a.ColdMs, b.ColdMs = 0, 0
	if a.GetNumber() < leaveNumber && b.GetNumber() < leaveNumber {
		a.Number, b.Number = 0, 0
	}
	return proto.Equal(a, b)
}

func (o *Owner) findOrAddBackend(record *wire.Endpoint) (*Backend, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b, known := o.backends[record.GetInstance()]
	if !known {
		b = &Backend{
			record:  record,
			gate:    admission.NewGate(o.Now, int(record.GetSlots()), o.hooks.QueueLength(record.GetService())),
			breaker: admission.NewBreaker(o.Now),
		}
		b.rateLimit.since = o.Now()
		b.upCtx, b.cancelUp = context.WithCancel(context.Background())
		b.beginIncarnation(record)
		b.client, b.close = backend.NewClient(record.GetAddress(), o.Now)
		b.gate.FinishBy(o.finishBy)
		o.backends[record.GetInstance()] = b
	}
	return b, known
}

// Backends returns the backend servers of this host, sorted by instance.
func (o *Owner) Backends() []*Backend {
	o.mu.RLock()
	defer o.mu.RUnlock()
	names := make([]string, 0, len(o.backends))
	for name := range o.backends {
		names = append(names, name)
	}
	slices.Sort(names)
	all := make([]*Backend, len(names))
	for i, name := range names {
		all[i] = o.backends[name]
	}
	return all
}

// Tick marks backend servers down whose last heartbeat is HeartbeatTimeout old,
// and removes those whose last heartbeat is ten times as old. It looks for crashes that no
// request in flight shows.
func (o *Owner) Tick() {
	const removeAfter = 10 * HeartbeatTimeout
	now := o.Now()
	for _, b := range o.Backends() {
		b.mu.Lock()
		sinceHeartbeat := now.Sub(b.lastSeen)
		name := b.record.GetInstance()
		b.mu.Unlock()
		switch {
		case sinceHeartbeat >= HeartbeatTimeout:
			if o.markDown(b) {
				o.checkCrash(b)
			}
		case b.currentIncarnation().hasUnanswered() && b.hasLostConnections():
			o.checkCrash(b)
		}
		if sinceHeartbeat >= removeAfter {
			o.mu.Lock()
			delete(o.backends, name)
			o.mu.Unlock()
			b.close()
		}
	}
}

// Republish broadcasts the records of all backend servers again, under this
// node's present incarnation.
func (o *Owner) Republish() {
	for _, b := range o.Backends() {
		o.hooks.Announce(b.Record())
	}
}

// DrainAll broadcasts that all backend servers of this host take no new requests.
func (o *Owner) DrainAll() {
	for _, b := range o.Backends() {
		record := proto.Clone(b.Record()).(*wire.Endpoint)
		record.Draining = true
		o.hooks.Announce(record)
	}
}

// markDown takes a backend server out of use and broadcasts that. It returns false
// if the backend server was down already.
func (o *Owner) markDown(b *Backend) bool {
	b.mu.Lock()
	if b.record.GetDown() {
		b.mu.Unlock()
		return false
	}
	record := proto.Clone(b.record).(*wire.Endpoint)
	record.Down = true
	b.record = record
	b.cold.unknown = true
	cancelUp := b.cancelUp
	b.mu.Unlock()
	cancelUp()
	o.Count(`hibiscusrock_backend_servers_down_total`)
	o.Event(event.BackendServerDown).WithField("instance", record.GetInstance()).Warn("backend server is down")
	o.hooks.Announce(record)
	return true
}

// recordRun counts a run and reports whether the backend server is still cold. A
// cold backend server is slow whatever its version, so the latency of such a run is
// not used to judge the version.
func (b *Backend) recordRun(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.runs == 0 {
		b.firstRun = now
	}
	b.runs++
	b.rateLimit.runs++
	return b.runs <= minColdRuns || now.Sub(b.firstRun) < minColdTime
}
