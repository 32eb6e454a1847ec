package fleet

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const endpointShards = 16

// Endpoint is a backend server as seen from an entry node, with what this node
// observed of it.
type Endpoint struct {
	record *wire.Endpoint
	epoch  uint64
	// seen is made when this node first uses the endpoint, since in a large
	// fleet it uses few.
	seen atomic.Pointer[observed]
}

// observed holds an entry node's own measurements of one backend server, which
// outlive a change of its record.
type observed struct {
	inFlight      atomic.Int32
	reported      atomic.Int32
	latencyMicros atomic.Int64
	// avoidUntil is the Unix time in milliseconds until which the endpoint's
	// node counts as unreachable from here.
	avoidUntil atomic.Int64
}

const latencyWeight = 8

func (e *Endpoint) observed() *observed {
	if o := e.seen.Load(); o != nil {
		return o
	}
	e.seen.CompareAndSwap(nil, &observed{})
	return e.seen.Load()
}

// Record returns the endpoint as its owner node announced it.
func (e *Endpoint) Record() *wire.Endpoint { return e.record }

// Begin counts a call that this node sends to the endpoint.
func (e *Endpoint) Begin() { e.observed().inFlight.Add(1) }

// End counts the end of a call.
func (e *Endpoint) End() { e.observed().inFlight.Add(-1) }

// Avoid notes that the endpoint's node could not be reached, for use until the given time.
func (e *Endpoint) Avoid(until time.Time) { e.observed().avoidUntil.Store(until.UnixMilli()) }

// Avoided reports whether the endpoint's node lately could not be reached.
func (e *Endpoint) Avoided(now time.Time) bool {
	o := e.seen.Load()
	return o != nil && now.UnixMilli() < o.avoidUntil.Load()
}

// Observe keeps the owner's in-flight count and the latency of an answer in microseconds.
func (e *Endpoint) Observe(inFlight int32, latencyMicros int64) {
	e.observed().reported.Store(inFlight)
	old := e.observed().latencyMicros.Load()
	if old == 0 {
		old = latencyMicros
	}
	e.observed().latencyMicros.Store(old + (latencyMicros-old)/latencyWeight)
}

// Load estimates the work that waits at the endpoint, for comparisons between
// endpoints of one service: busy slots per slot, weighted by latency.
func (e *Endpoint) Load() float64 {
	busy := float64(max(e.observed().inFlight.Load(), e.observed().reported.Load())) + 1
	latency := float64(e.observed().latencyMicros.Load()) + 1000
	return busy * latency / float64(max(e.record.GetSlots(), 1))
}

// Endpoints indexes the backend servers of the fleet by service.
type Endpoints struct {
	members *Members
	shards  [endpointShards]endpointShard
}

type endpointShard struct {
	mu       sync.RWMutex
	services map[string][]*Endpoint
}

// NewEndpoints returns an index that follows the endpoint records of store.
func NewEndpoints(store *gossip.Store, members *Members) *Endpoints {
	e := &Endpoints{members: members}
	for i := range e.shards {
		e.shards[i].services = make(map[string][]*Endpoint)
	}
	store.OnChange(e.observe)
	return e
}

// EndpointKey returns the key of a backend server's record.
func EndpointKey(node, instance string) string {
	return gossip.PrefixEndpoint + node + "/" + instance
}

func (e *Endpoints) shard(service string) *endpointShard {
	return &e.shards[xxhash.Sum64String(service)%endpointShards]
}

func (e *Endpoints) observe(r *wire.Record) {
	record := r.GetEndpoint()
	if record == nil || !strings.HasPrefix(r.GetKey(), gossip.PrefixEndpoint) {
		return
	}
	sh := e.shard(record.GetService())
	sh.mu.Lock()
	defer sh.mu.Unlock()
	old := sh.services[record.GetService()]
	next := make([]*Endpoint, 0, len(old)+1)
	entry := &Endpoint{record: record, epoch: r.GetEpoch()}
	for _, other := range old {
		if !sameEndpoint(other.record, record) {
			next = append(next, other)
			continue
		}
		entry.seen.Store(other.observed())
	}
	if !record.GetDown() {
		next = append(next, entry)
	}
	sh.services[record.GetService()] = next
}

func sameEndpoint(a, b *wire.Endpoint) bool {
	return a.GetNode() == b.GetNode() && a.GetInstance() == b.GetInstance()
}

// Usable returns the endpoints of a service that may take new work: not
// draining, not down, and on a node that is alive in the life that announced them.
func (e *Endpoints) Usable(service string, want func(*wire.Endpoint) bool) []*Endpoint {
	sh := e.shard(service)
	sh.mu.RLock()
	all := sh.services[service]
	sh.mu.RUnlock()
	var usable []*Endpoint
	for _, entry := range all {
		if !entry.record.GetDraining() && want(entry.record) && e.isHosted(entry) {
			usable = append(usable, entry)
		}
	}
	return usable
}

func (e *Endpoints) isHosted(entry *Endpoint) bool {
	state, epoch, known := e.members.State(entry.record.GetNode())
	return known && !isGone(state) && entry.epoch >= epoch
}

// Suspected reports whether the endpoint's node failed its last probe.
func (e *Endpoints) Suspected(entry *Endpoint) bool {
	state, _, _ := e.members.State(entry.record.GetNode())
	return state == wire.MemberState_MEMBER_STATE_SUSPECT
}

// Count returns the number of usable endpoints of a service and version; an
// empty version counts all.
func (e *Endpoints) Count(service, version, dataCentre string) int {
	return len(e.Usable(service, func(r *wire.Endpoint) bool {
		return (version == "" || r.GetVersion() == version) && (dataCentre == "" || r.GetDataCentre() == dataCentre)
	}))
}
