package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// joinPatience is the time after which a node that hears of nobody serves
	// by what it knows.
	joinPatience = time.Second
	// registrationPeriod is a third of what the lease allows for.
	registrationPeriod = seedLease / 3
	// lonelyPeriod is the pause between reads of the registry while no peer answers.
	lonelyPeriod = time.Second
	// adoptTime is the time after a start in which what others know of this
	// host goes before what it says itself.
	adoptTime = 2 * time.Second
	// joinFanout bounds the nodes that a starting node calls at once; the rest
	// it hears of from them.
	joinFanout = 16
)

// joiner finds the other nodes through the users' store and keeps this node
// where others find it.
type joiner struct {
	*Node
	registrar *registrar
	joined    atomic.Bool
	begun     time.Time
	// changed wakes the registration after a change of this host's backend servers.
	changed chan struct{}

	mu        sync.Mutex
	reachable bool
	// held are heartbeats that came before this node had joined.
	held []*wire.Endpoint
}

func newJoiner(n *Node) *joiner {
	kv := n.link.KV
	j := &joiner{Node: n, begun: n.Now(), changed: make(chan struct{}, 1)}
	j.registrar = newRegistrar(n.Common, registry{
		list: func(ctx context.Context) ([]store.KeyValue, error) {
			kvs, _, err := kv.List(ctx, store.SeedPrefix)
			return kvs, err
		},
		grant:     kv.Grant,
		put:       kv.Put,
		keepAlive: kv.KeepAlive,
		revoke:    kv.Revoke,
	}, store.SeedKey(n.settings.DataCentre, n.settings.Node), j.encode, j.decode)
	n.records.OnChange(j.observe)
	return j
}

// encode returns the registration of this node and its backend servers.
func (j *joiner) encode() []byte {
	r := &wire.Registration{Address: j.settings.AdvertiseAddress}
	for _, b := range j.owner.Backends() {
		r.BackendServers = append(r.BackendServers, b.Record())
	}
	data, err := proto.Marshal(r)
	if err != nil {
		j.Event(event.RegistrationFailed).WithError(err).Error("registration cannot be encoded")
	}
	return data
}

// decode reads a registration. This node's own one is of its life before a
// restart, and tells of the backend servers that still run.
func (j *joiner) decode(key string, value []byte) (string, bool) {
	var r wire.Registration
	if err := proto.Unmarshal(value, &r); err != nil || r.GetAddress() == "" {
		j.Count(`hibiscusrock_registrations_refused_total`)
		return "", false
	}
	if key == j.registrar.key {
		for _, record := range r.GetBackendServers() {
			j.adopt(record)
		}
	}
	return r.GetAddress(), true
}

// observe takes over what peers know of this host's backend servers from this
// node's life before a restart.
func (j *joiner) observe(r *wire.Record) {
	record := r.GetEndpoint()
	if record.GetNode() == j.settings.Node && r.GetEpoch() != j.members.Incarnation() {
		j.adopt(record)
	}
}

// adopt uses a backend server of an earlier life of this node until its own
// heartbeats say more. A backend server that is another one by now refuses.
func (j *joiner) adopt(record *wire.Endpoint) {
	if j.Now().Sub(j.begun) > adoptTime || record.GetDown() {
		return
	}
	if j.owner.Adopt(record) {
		j.Event(event.BackendServerAdopted).WithField("instance", record.GetInstance()).WithField("draining", record.GetDraining()).Info("backend server of an earlier life adopted")
	}
}

// hasJoined reports whether this node has heard from the deployment what it may
// have been told before a restart.
func (j *joiner) hasJoined() bool { return j.joined.Load() }

// hold keeps a heartbeat until this node has joined. What it says may be older
// than what others were told, and must not replace that before it is known.
func (j *joiner) hold(record *wire.Endpoint) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.joined.Load() {
		return false
	}
	j.held = append(j.held, record)
	return true
}

// join lets this node serve and takes the held heartbeats in.
func (j *joiner) join(ctx context.Context, cause string) {
	j.mu.Lock()
	held := j.held
	j.held = nil
	before := j.joined.Swap(true)
	j.mu.Unlock()
	if before {
		return
	}
	j.Event(event.NodeJoined).WithFields(logrus.Fields{
		"cause": cause, "after_ms": j.Now().Sub(j.begun).Milliseconds(), "members": j.members.Len(),
	}).Info("node joined")
	for _, record := range held {
		j.takeHeartbeat(ctx, record)
	}
}

// run registers this node, joins the others and keeps both up.
func (j *joiner) run(ctx context.Context) {
	registered := loop(ctx, j.register)
	patience := time.AfterFunc(joinPatience, func() { j.join(ctx, "patience") })
	defer patience.Stop()
	pauses := newJoinBackoff(lonelyPeriod)
	for ctx.Err() == nil {
		if j.joined.Load() && j.countAlivePeers() > 0 {
			common.Sleep(ctx, common.Jittered(lonelyPeriod))
			continue
		}
		if j.registrar.read(ctx) && j.callAll(ctx) && !j.joined.Load() {
			j.join(ctx, "peers")
		}
		common.Sleep(ctx, pauses.NextBackOff())
	}
	<-registered
}

// register keeps this node's address in the store.
func (j *joiner) register(ctx context.Context) {
	pauses := newJoinBackoff(lonelyPeriod)
	for ctx.Err() == nil {
		if !j.registrar.renew(ctx) {
			common.Sleep(ctx, pauses.NextBackOff())
			continue
		}
		pauses.Reset()
		j.awaitChange(ctx)
	}
}

// awaitChange waits until the lease has to be renewed, and writes the
// registration again when it changes before.
func (j *joiner) awaitChange(ctx context.Context) {
	timer := time.NewTimer(common.Jittered(registrationPeriod))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-j.changed:
			if !j.registrar.update(ctx) {
				return
			}
		}
	}
}

// callAll exchanges with some of the registered nodes. It reports whether one
// of them answered, or there is none.
func (j *joiner) callAll(ctx context.Context) bool {
	var targets []string
	for _, address := range j.registrar.addresses() {
		if address != j.settings.AdvertiseAddress {
			targets = append(targets, address)
		}
	}
	rand.Shuffle(len(targets), func(a, b int) { targets[a], targets[b] = targets[b], targets[a] })
	return j.gossiper.exchangeAll(ctx, targets[:min(len(targets), joinFanout)]) > 0 || len(targets) == 0
}

// storeReached notes that the store answers.
func (j *joiner) storeReached() { j.noteStore(true, nil) }

// storeLost notes that the store does not answer.
func (j *joiner) storeLost(err error) { j.noteStore(false, err) }

func (j *joiner) noteStore(reachable bool, err error) {
	j.mu.Lock()
	changed := j.reachable != reachable
	j.reachable = reachable
	j.mu.Unlock()
	if !changed {
		return
	}
	log := j.Event(event.StoreLost)
	if reachable {
		log = j.Event(event.StoreReached)
	}
	log.WithError(err).Info("store reachability changed")
}

// callGone tries nodes that are taken for dead at their last address, so that
// one that was cut off or started again without the store hears of the others.
func (j *joiner) callGone(ctx context.Context) {
	var gone []*wire.Member
	for _, member := range j.members.All() {
		if member.GetState() == wire.MemberState_MEMBER_STATE_DEAD {
			gone = append(gone, member)
		}
	}
	j.gossiper.exchangeAll(ctx, addressesOf(sample(gone, 1)))
}
