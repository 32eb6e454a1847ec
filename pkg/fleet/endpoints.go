package fleet

import (
	"cmp"
	"slices"
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
	// coldUntil is the time until which the backend server is slow after its start.
	coldUntil time.Time
	// seen is made when this node first uses the endpoint, since in a large
	// fleet it uses few.
	seen atomic.Pointer[Observed]
}

// Observed returns this node's measurements of the endpoint, which outlive a
// change of its record.
func (e *Endpoint) Observed() *Observed {
	if o := e.seen.Load(); o != nil {
		return o
	}
	e.seen.CompareAndSwap(nil, newObserved())
	return e.seen.Load()
}

// Record returns the endpoint as its owner node announced it.
func (e *Endpoint) Record() *wire.Endpoint { return e.record }

// IsCold reports whether the backend server is still slow after its start.
func (e *Endpoint) IsCold(now time.Time) bool { return now.Before(e.coldUntil) }

// Endpoints indexes the backend servers of the fleet by service.
type Endpoints struct {
	members *Members
	now     func() time.Time
	shards  [endpointShards]endpointShard
}

type endpointShard struct {
	mu       sync.RWMutex
	services map[string][]*Endpoint
}

// NewEndpoints returns an index that follows the endpoint records of store.
func NewEndpoints(store *gossip.Store, members *Members) *Endpoints {
	e := &Endpoints{members: members, now: members.Now}
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
	entry := &Endpoint{record: record, epoch: r.GetEpoch(), coldUntil: e.now().Add(time.Duration(record.GetColdMs()) * time.Millisecond)}
	for _, other := range old {
		if !sameEndpoint(other.record, record) {
			next = append(next, other)
			continue
		}
		entry.seen.Store(other.Observed())
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

// Versions returns the versions of which a service has endpoints that are
// alive, the one whose backend servers started first at the head.
func (e *Endpoints) Versions(service string) []string {
	oldest := make(map[string]int64)
	for _, entry := range e.Usable(service, func(*wire.Endpoint) bool { return true }) {
		version, born := entry.record.GetVersion(), entry.record.GetBornUnixMs()
		if first, ok := oldest[version]; !ok || born < first {
			oldest[version] = born
		}
	}
	versions := make([]string, 0, len(oldest))
	for version := range oldest {
		versions = append(versions, version)
	}
	slices.SortFunc(versions, func(a, b string) int { return cmp.Or(cmp.Compare(oldest[a], oldest[b]), cmp.Compare(a, b)) })
	return versions
}
