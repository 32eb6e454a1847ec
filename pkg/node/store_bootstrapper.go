package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/fleet"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// joinTimeout is the time after which a node that has reached no other node
	// serves with the state it has.
	joinTimeout = time.Second
	// registrationInterval renews the registration three times in the lifetime
	// of its lease.
	registrationInterval = registrationTTL / 3
	// isolatedRetryInterval is the pause between reads of the registry while no
	// peer answers.
	isolatedRetryInterval = time.Second
	// adoptionPeriod is the time after a start in which this node adopts
	// backend servers of this host from the registry and from the records of
	// other nodes. In this time such a record replaces a heartbeat received since
	// the start if the record is of a later announcement. The reason is that this
	// node lost at the restart what it knew, and a delayed heartbeat may be older
	// than the record. Records that arrive after this time are not adopted.
	adoptionPeriod = 2 * time.Second
	// minRegistered is the number of registered nodes from which a node that reached
	// some of them delays its own registration for up to firstRegistrationDelay, until
	// a backend server of its host is known, so that one write is enough.
	minRegistered          = 8
	firstRegistrationDelay = 2 * time.Second
	// updateDelay collects changes of this host's backend servers in one write. A
	// leave is written at once by propagateLeave.
	updateDelay = time.Second
	// maxJoinFanout bounds the nodes that a starting node contacts at once; it
	// learns of the others from them.
	maxJoinFanout = 16
)

// storeBootstrapper joins the deployment in store mode: it finds the other
// nodes through the users' store, registers this node there, and lets it serve
// once it has received the state of the others. Its counterpart in release mode
// is releaseBootstrapper.
type storeBootstrapper struct {
	*Node
	registrar *registrar
	joined    atomic.Bool
	startedAt time.Time
	// changed wakes the registration after a change of this host's backend
	// servers.
	changed chan struct{}
	// joinTried is closed after the first attempt to join through registered nodes.
	joinTried     chan struct{}
	joinTriedOnce sync.Once
	// reachedPeers is set if that attempt reached one of at least minRegistered.
	reachedPeers atomic.Bool

	mu        sync.Mutex
	reachable bool
	// queued holds the heartbeats that arrived before this node had joined.
	queued []*wire.Endpoint
}

func newStoreBootstrapper(n *Node) *storeBootstrapper {
	kv := n.adapter.KV
	b := &storeBootstrapper{Node: n, startedAt: n.Now(), changed: make(chan struct{}, 1), joinTried: make(chan struct{})}
	b.registrar = newRegistrar(n.Common, registry{
		list: func(ctx context.Context) ([]store.KeyValue, error) {
			kvs, _, err := kv.List(ctx, store.SeedPrefix)
			return kvs, err
		},
		grant:     kv.Grant,
		swap:      kv.Swap,
		keepAlive: kv.KeepAlive,
		revoke:    kv.Revoke,
	}, store.SeedKey(n.settings.DataCentre, n.settings.Node), b.encode, b.decode)
	n.records.OnChange(b.observe)
	return b
}

// encode returns the registration of this node and its backend servers, without those whose
// records cannot be encoded.
func (b *storeBootstrapper) encode() []byte {
	r := &wire.Registration{Address: b.settings.AdvertiseAddress}
	for _, server := range b.owner.Backends() {
		record := b.withOrigin(server.Record())
		if err := checkEncodable(record); err != nil {
			b.unencodable.report(fleet.EndpointKey(record.GetNode(), record.GetInstance()), err)
			continue
		}
		r.BackendServers = append(r.BackendServers, record)
	}
	data, err := proto.Marshal(r)
	if err != nil {
		b.Event(event.RegistrationFailed).WithError(err).Error("registration cannot be encoded")
	}
	return data
}

// decode returns the address in a registration. If the registration is this
// node's own, an earlier incarnation wrote it, and the backend servers that it
// lists may still run: they are adopted.
func (b *storeBootstrapper) decode(key string, value []byte) (string, bool) {
	var r wire.Registration
	if err := proto.Unmarshal(value, &r); err != nil || r.GetAddress() == "" {
		b.Count(`hibiscusrock_registrations_refused_total`)
		return "", false
	}
	if key == b.registrar.key {
		for _, record := range r.GetBackendServers() {
			b.adopt(record)
		}
	}
	return r.GetAddress(), true
}

// observe adopts the backend servers of this host that peers know from an
// earlier incarnation of this node.
func (b *storeBootstrapper) observe(r *wire.Record) {
	record := r.GetEndpoint()
	if record.GetNode() == b.settings.Node && r.GetEpoch() != b.members.Incarnation() {
		b.adopt(record)
	}
}

// adopt uses a backend server known to an earlier incarnation of this node
// until its own heartbeats arrive. Requests name the instance that they are
// meant for, so another backend server that has since taken over the address
// refuses them.
func (b *storeBootstrapper) adopt(record *wire.Endpoint) {
	if b.Now().Sub(b.startedAt) > adoptionPeriod || record.GetDown() || !b.isOwn(record) {
		return
	}
	if b.owner.Adopt(record) {
		b.Event(event.BackendServerAdopted).WithField("instance", record.GetInstance()).WithField("draining", record.GetDraining()).Info("backend server known to an earlier incarnation of this node adopted")
	}
}

// isOwn reports whether a record is one that this node may have published. One of a
// backend server that left before it announced itself has no address.
func (b *storeBootstrapper) isOwn(record *wire.Endpoint) bool {
	_, err := netip.ParseAddrPort(record.GetAddress())
	isUsable := err == nil || record.GetDraining()
	return record.GetNode() == b.settings.Node && record.GetInstance() != "" && common.IsFieldValue(record.GetInstance()) && isUsable
}

// hasJoined reports whether this node has received from the deployment what an
// earlier incarnation may have been sent, or has waited joinTimeout for it.
func (b *storeBootstrapper) hasJoined() bool { return b.joined.Load() }

// queueUntilJoined queues a heartbeat while this node has not joined, and
// reports whether it did. The heartbeat may be older than what other nodes know
// of the backend server, and must not replace that before this node has
// received it.
func (b *storeBootstrapper) queueUntilJoined(record *wire.Endpoint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.joined.Load() {
		return false
	}
	b.queued = append(b.queued, record)
	return true
}

// completeJoin lets this node serve and processes the queued heartbeats.
func (b *storeBootstrapper) completeJoin(ctx context.Context, cause string) {
	b.mu.Lock()
	queued := b.queued
	b.queued = nil
	before := b.joined.Swap(true)
	b.mu.Unlock()
	if before {
		return
	}
	b.Event(event.NodeJoined).WithFields(logrus.Fields{
		"cause": cause, "after_ms": b.Now().Sub(b.startedAt).Milliseconds(), "members": b.members.Len(),
	}).Info("node joined")
	for _, record := range queued {
		b.receiveHeartbeat(ctx, record)
	}
}

// run registers this node, joins the other nodes, and joins again whenever no
// peer is alive.
func (b *storeBootstrapper) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	registering := b.startLoop(ctx, "registration", b.keepRegistered)
	defer func() {
		cancel()
		<-registering
	}()
	timeout := time.AfterFunc(joinTimeout, func() { b.completeJoin(ctx, "patience") })
	defer timeout.Stop()
	pauses := newJoinBackoff(isolatedRetryInterval)
	if b.join(ctx) {
		b.reachedPeers.Store(len(b.registrar.addresses()) >= minRegistered)
	}
	b.joinTriedOnce.Do(func() { close(b.joinTried) })
	for ctx.Err() == nil {
		if b.joined.Load() && b.countAlivePeers() > 0 {
			common.Sleep(ctx, common.Jittered(isolatedRetryInterval))
			continue
		}
		common.Sleep(ctx, pauses.NextBackOff())
		b.join(ctx)
	}
}

// join exchanges records with registered nodes and reports whether one answered or
// there is none.
func (b *storeBootstrapper) join(ctx context.Context) bool {
	if !b.registrar.read(ctx) || !b.exchangeWithRegistered(ctx) {
		return false
	}
	b.completeJoin(ctx, "peers")
	return true
}

// awaitBackendServer delays the first registration while others are registered.
func (b *storeBootstrapper) awaitBackendServer(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-b.joinTried:
	}
	if !b.reachedPeers.Load() {
		return
	}
	timer := time.NewTimer(firstRegistrationDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-b.changed:
	}
}

// keepRegistered keeps this node registered in the store.
func (b *storeBootstrapper) keepRegistered(ctx context.Context) {
	b.awaitBackendServer(ctx)
	pauses := newJoinBackoff(isolatedRetryInterval)
	upToDate := true
	for ctx.Err() == nil {
		if !b.registrar.renew(ctx) || !upToDate && !b.registrar.update(ctx) {
			common.Sleep(ctx, pauses.NextBackOff())
			continue
		}
		pauses.Reset()
		upToDate = b.updateUntilRenewal(ctx)
	}
}

// updateUntilRenewal waits until the lease has to be renewed, and writes the
// registration again when a backend server changes before that. It returns false if
// that failed.
func (b *storeBootstrapper) updateUntilRenewal(ctx context.Context) bool {
	timer := time.NewTimer(common.Jittered(registrationInterval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return true
		case <-timer.C:
			return true
		case <-b.changed:
			if !common.Sleep(ctx, updateDelay) || !b.registrar.update(ctx) {
				return false
			}
		}
	}
}

// exchangeWithRegistered exchanges records with up to maxJoinFanout registered
// nodes. It reports whether one of them answered or there is none.
func (b *storeBootstrapper) exchangeWithRegistered(ctx context.Context) bool {
	var targets []string
	for _, address := range b.registrar.addresses() {
		if address != b.settings.AdvertiseAddress {
			targets = append(targets, address)
		}
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return b.gossiper.exchangeAll(ctx, targets[:min(len(targets), maxJoinFanout)]) > 0 || len(targets) == 0
}

// storeReached records that the store answers.
func (b *storeBootstrapper) storeReached() {
	b.members.AnnounceStoreLost(false)
	b.setReachable(true, nil)
}

// storeLost records that the store does not answer.
func (b *storeBootstrapper) storeLost(err error) { b.setReachable(false, err) }

func (b *storeBootstrapper) setReachable(reachable bool, err error) {
	b.mu.Lock()
	changed := b.reachable != reachable
	b.reachable = reachable
	b.mu.Unlock()
	if !changed {
		return
	}
	log := b.Event(event.StoreLost)
	if reachable {
		log = b.Event(event.StoreReached)
	}
	log.WithError(err).Info("store reachability changed")
}

// contactGoneMembers exchanges records with one node of this data centre and one of
// the others that died or left, at its last known address. A node that was cut off, or
// was restarted without the store, so learns of the others and of the configuration.
// In a data centre that is cut off only nodes of the same one can be reached.
func (b *storeBootstrapper) contactGoneMembers(ctx context.Context) {
	local, remote := b.members.Gone()
	b.gossiper.exchangeAll(ctx, addressesOf(append(sample(local, 1), sample(remote, 1)...)))
}
