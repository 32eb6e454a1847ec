package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
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

	mu        sync.Mutex
	reachable bool
}

func newJoiner(n *Node) *joiner {
	kv := n.link.KV
	r := newRegistrar(n.Common, registry{
		list: func(ctx context.Context) ([]store.KeyValue, error) {
			kvs, _, err := kv.List(ctx, store.SeedPrefix)
			return kvs, err
		},
		grant:     kv.Grant,
		put:       kv.Put,
		keepAlive: kv.KeepAlive,
		revoke:    kv.Revoke,
	}, store.SeedKey(n.settings.DataCentre, n.settings.Node), n.settings.AdvertiseAddress)
	return &joiner{Node: n, registrar: r, begun: n.Now()}
}

// hasJoined reports whether this node has heard from the deployment what it may
// have been told before a restart.
func (j *joiner) hasJoined() bool {
	return j.joined.Load() || j.Now().Sub(j.begun) > joinPatience
}

// run registers this node, joins the others and keeps both up.
func (j *joiner) run(ctx context.Context) {
	registered := loop(ctx, j.register)
	pauses := newJoinBackoff(lonelyPeriod)
	for ctx.Err() == nil {
		if j.countAlivePeers() > 0 {
			j.joined.Store(true)
			if !common.Sleep(ctx, jittered(lonelyPeriod)) {
				break
			}
			continue
		}
		if j.registrar.read(ctx) {
			j.callAll(ctx)
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
		common.Sleep(ctx, jittered(registrationPeriod))
	}
}

// callAll exchanges with some of the registered nodes.
func (j *joiner) callAll(ctx context.Context) {
	var targets []string
	for _, address := range j.registrar.addresses() {
		if address != j.settings.AdvertiseAddress {
			targets = append(targets, address)
		}
	}
	rand.Shuffle(len(targets), func(a, b int) { targets[a], targets[b] = targets[b], targets[a] })
	j.gossiper.exchangeAll(ctx, targets[:min(len(targets), joinFanout)])
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
	log := j.Log().WithField("event", "store_lost")
	if reachable {
		log = j.Log().WithField("event", "store_reached")
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
