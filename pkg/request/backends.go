package request

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusrock/hibiscusrock/pkg/admission"
	"github.com/hibiscusrock/hibiscusrock/pkg/backend"
	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// HeartbeatTimeout is the time after which a backend server that stopped
// announcing itself counts as down.
const HeartbeatTimeout = 3 * time.Second

// A backend server is cold in its first runs and in the time after the first.
const (
	coldRuns = 3
	coldTime = time.Second
)

// healthWeight is the share of one outcome in a backend server's rate of
// failures, as a divisor.
const healthWeight = 8

// health is the rate at which a backend server lately failed requests itself.
type health struct {
	mu   sync.Mutex
	rate float64
}

func (h *health) add(failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sample := 0.0
	if failed {
		sample = 1
	}
	h.rate += (sample - h.rate) / healthWeight
}

func (h *health) failing() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rate
}

// Backend is one backend server on this node's host.
type Backend struct {
	mu       sync.Mutex
	record   *wire.Endpoint
	lastSeen time.Time
	life     uint64
	// firstRun and runs tell a cold backend server from a warm one.
	firstRun time.Time
	runs     int
	// up ends when the backend server is found down.
	up     context.Context
	fell   context.CancelFunc
	client *backend.Client
	close  func()

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

func (b *Backend) isDown() bool { return b.Record().GetDown() }

// serves reports whether the backend server is up and of the service and version
// that a request is for.
func (b *Backend) serves(in *wire.CallRequest) bool {
	record := b.Record()
	return record.GetService() == in.GetService() && record.GetVersion() == in.GetVersion() && !record.GetDown()
}

// untilDown returns a context for a request. That of an idempotent request
// ends when the backend server is found down, so that another can run it.
func (b *Backend) untilDown(ctx context.Context, idempotent bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if !idempotent {
		return ctx, cancel
	}
	b.mu.Lock()
	up := b.up
	b.mu.Unlock()
	stop := context.AfterFunc(up, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// report adds what another request like this one would meet to an answer.
func (b *Backend) report(work admission.Work, answer *wire.CallAnswer) {
	forecast := b.gate.Forecast(work)
	answer.InFlight = int32(b.gate.InFlight())
	answer.WaitMicros = forecast.Wait.Microseconds()
	answer.WorkMicros = forecast.Work.Microseconds()
	answer.FailingPermille = uint32(b.health.failing() * bundle.FullPermille)
}

// Announce takes an announcement of a backend server on this host, which is
// also its heartbeat.
func (o *Owner) Announce(record *wire.Endpoint) {
	b, known := o.backendFor(record)
	b.mu.Lock()
	changed := !known || !sameAnnouncement(b.record, record)
	if known && (b.record.GetDown() || b.record.GetBornUnixMs() != record.GetBornUnixMs()) {
		b.life++
		b.runs = 0
		b.up, b.fell = context.WithCancel(context.Background())
	}
	if known && b.record.GetAddress() != record.GetAddress() {
		b.close()
		b.client, b.close = backend.NewClient(record.GetAddress(), o.Now)
	}
	b.record = record
	b.lastSeen = o.Now()
	b.mu.Unlock()
	b.gate.Resize(int(record.GetSlots()), o.hooks.QueueLength(record.GetService()))
	if record.GetDraining() {
		b.gate.Close(verdict.Refuse(verdict.NotRun, verdict.Draining))
	} else {
		b.gate.Open()
	}
	o.supersede(record)
	if changed {
		o.Event(event.BackendServerChanged).WithField("instance", record.GetInstance()).WithField("number", record.GetNumber()).WithField("service", record.GetService()).WithField("version", record.GetVersion()).WithField("draining", record.GetDraining()).Info("backend server changed")
		o.hooks.Announce(record)
	}
}

// supersede marks backend servers down whose address a younger one announces.
func (o *Owner) supersede(record *wire.Endpoint) {
	for _, b := range o.Backends() {
		old := b.Record()
		sameAddress := old.GetAddress() == record.GetAddress() && old.GetInstance() != record.GetInstance()
		if sameAddress && old.GetBornUnixMs() < record.GetBornUnixMs() {
			o.markDown(b)
		}
	}
}

// sameAnnouncement reports whether two announcements differ in nothing but the
// time that a cold backend server has left and their numbers.
func sameAnnouncement(a, b *wire.Endpoint) bool {
	a, b = proto.Clone(a).(*wire.Endpoint), proto.Clone(b).(*wire.Endpoint)
	a.ColdMs, b.ColdMs = 0, 0
	if a.GetNumber() < leftNumber && b.GetNumber() < leftNumber {
		a.Number, b.Number = 0, 0
	}
	return proto.Equal(a, b)
}

func (o *Owner) backendFor(record *wire.Endpoint) (*Backend, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b, known := o.backends[record.GetInstance()]
	if !known {
		b = &Backend{
			record:  record,
			gate:    admission.NewGate(o.Now, int(record.GetSlots()), o.hooks.QueueLength(record.GetService())),
			breaker: admission.NewBreaker(o.Now),
		}
		b.up, b.fell = context.WithCancel(context.Background())
		b.client, b.close = backend.NewClient(record.GetAddress(), o.Now)
		o.backends[record.GetInstance()] = b
	}
	return b, known
}

// Backends returns the backend servers of this host in order of name.
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

// Tick marks backend servers down that stopped announcing themselves, and
// forgets those that stay down.
func (o *Owner) Tick() {
	const forgetAfter = 10 * HeartbeatTimeout
	now := o.Now()
	for _, b := range o.Backends() {
		b.mu.Lock()
		silent := now.Sub(b.lastSeen)
		name := b.record.GetInstance()
		b.mu.Unlock()
		if silent >= HeartbeatTimeout {
			o.markDown(b)
		}
		if silent >= forgetAfter {
			o.mu.Lock()
			delete(o.backends, name)
			o.mu.Unlock()
			b.close()
		}
	}
}

// Republish spreads all backend servers again, under this node's present incarnation.
func (o *Owner) Republish() {
	for _, b := range o.Backends() {
		o.hooks.Announce(b.Record())
	}
}

// DrainAll announces that all backend servers of this host take no new work.
func (o *Owner) DrainAll() {
	for _, b := range o.Backends() {
		record := proto.Clone(b.Record()).(*wire.Endpoint)
		record.Draining = true
		o.hooks.Announce(record)
	}
}

// markDown takes a backend server out of use and reports whether it was in use.
func (o *Owner) markDown(b *Backend) bool {
	b.mu.Lock()
	if b.record.GetDown() {
		b.mu.Unlock()
		return false
	}
	record := proto.Clone(b.record).(*wire.Endpoint)
	record.Down = true
	b.record = record
	fell := b.fell
	b.mu.Unlock()
	fell()
	o.Count(`hibiscusrock_backend_servers_down_total`)
	o.Event(event.BackendServerDown).WithField("instance", record.GetInstance()).Warn("backend server is down")
	o.hooks.Announce(record)
	return true
}

// isCold counts a run and reports whether it is one of the backend server's
// first, which are slow on any version.
func (b *Backend) isCold(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.runs == 0 {
		b.firstRun = now
	}
	b.runs++
	return b.runs <= coldRuns || now.Sub(b.firstRun) < coldTime
}

func (b *Backend) currentLife() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.record.GetInstance() + "/" + strconv.FormatUint(b.life, 10)
}
