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

// Endpoint is a backend server as an entry node sees it: the record that its owner
// node announced, and what this node knows of its load.
type Endpoint struct {
	record *wire.Endpoint
	epoch  uint64
	// coldUntil is the time until which the backend server is slow because it has just started.
	coldUntil time.Time
	// loadStats is allocated on first use to save memory: in a large fleet a node
	// uses few of the endpoints.
	loadStats atomic.Pointer[LoadStats]
}

// LoadStats returns what this node knows of the endpoint's load. A change of the
// endpoint's record does not reset the load.
func (e *Endpoint) LoadStats() *LoadStats {
	if stats := e.loadStats.Load(); stats != nil {
		return stats
	}
	e.loadStats.CompareAndSwap(nil, newLoadStats())
	return e.loadStats.Load()
}

// Record returns the record that the endpoint's owner node announced.
func (e *Endpoint) Record() *wire.Endpoint { return e.record }

// IsCold reports whether the backend server is still slow because it has just started.
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

// NewEndpoints returns an index that is updated with each change of an endpoint record in store.
func NewEndpoints(store *gossip.Store, members *Members) *Endpoints {
	e := &Endpoints{members: members, now: members.Now}
	for i := range e.shards {
		e.shards[i].services = make(map[string][]*Endpoint)
	}
	store.OnChange(e.applyRecord)
	return e
}

// EndpointKey returns the key of the record of a backend server on the host of node.
func EndpointKey(node, instance string) string {
	return gossip.PrefixEndpoint + node + "/" + instance
}

func (e *Endpoints) shard(service string) *endpointShard {
	return &e.shards[xxhash.Sum64String(service)%endpointShards]
}

// applyRecord replaces the endpoint of a changed record, or removes it when the
// backend server is down.
func (e *Endpoints) applyRecord(r *wire.Record) {
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
		entry.loadStats.Store(other.LoadStats())
	}
	if !record.GetDown() {
		next = append(next, entry)
	}
	sh.services[record.GetService()] = next
}

func sameEndpoint(a, b *wire.Endpoint) bool {
	return a.GetNode() == b.GetNode() && a.GetInstance() == b.GetInstance()
}

// Usable returns the endpoints of a service that accept new work and for which
// want returns true. Such an endpoint is neither draining nor down, and its node
// is alive, or only suspected to be dead, in the incarnation that announced it.
func (e *Endpoints) Usable(service string, want func(*wire.Endpoint) bool) []*Endpoint {
	sh := e.shard(service)
	sh.mu.RLock()
	all := sh.services[service]
	sh.mu.RUnlock()
	var usable []*Endpoint
	for _, entry := range all {
		if !entry.record.GetDraining() && want(entry.record) && e.isOnLiveNode(entry) {
			usable = append(usable, entry)
		}
	}
	return usable
}

// All returns the endpoints of a service for which want returns true, also those that accept
// no new work.
func (e *Endpoints) All(service string, want func(*wire.Endpoint) bool) []*Endpoint {
	sh := e.shard(service)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	var all []*Endpoint
	for _, entry := range sh.services[service] {
		if want(entry.record) {
			all = append(all, entry)
		}
	}
	return all
}

// isOnLiveNode reports whether the endpoint's node is neither dead nor left and has
// not restarted since it announced the endpoint.
func (e *Endpoints) isOnLiveNode(entry *Endpoint) bool {
	state, epoch, known := e.members.State(entry.record.GetNode())
	return known && !isGone(state) && entry.epoch >= epoch
}

// Suspected reports whether the endpoint's node is suspected to be dead after a failed probe.
func (e *Endpoints) Suspected(entry *Endpoint) bool {
	state, _, _ := e.members.State(entry.record.GetNode())
	return state == wire.MemberState_MEMBER_STATE_SUSPECT
}

// LinkMbps returns the bandwidth of the link of an endpoint's host in Mbit/s, or 0 if it is
// not known.
func (e *Endpoints) LinkMbps(entry *Endpoint) float64 {
	return float64(e.members.linkMbps(entry.record.GetNode()))
}

// Count returns the number of usable endpoints of a service. An empty version or
// dataCentre counts the endpoints of all versions or data centres.
func (e *Endpoints) Count(service, version, dataCentre string) int {
	return len(e.Usable(service, func(r *wire.Endpoint) bool {
		return (version == "" || r.GetVersion() == version) && (dataCentre == "" || r.GetDataCentre() == dataCentre)
	}))
}

// Versions returns the versions of which a service has usable endpoints, ordered by
// the start time of the oldest backend server of each version.
func (e *Endpoints) Versions(service string) []string {
	starts := make(map[string]int64)
	for _, entry := range e.Usable(service, func(*wire.Endpoint) bool { return true }) {
		version, born := entry.record.GetVersion(), entry.record.GetBornUnixMs()
		if first, ok := starts[version]; !ok || born < first {
			starts[version] = born
		}
	}
	versions := make([]string, 0, len(starts))
	for version := range starts {
		versions = append(versions, version)
	}
	slices.SortFunc(versions, func(a, b string) int { return cmp.Or(cmp.Compare(starts[a], starts[b]), cmp.Compare(a, b)) })
	return versions
}
