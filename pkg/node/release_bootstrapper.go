package node

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
)

const (
	seedRenewInterval = 10 * time.Second
	maxSeedsRead      = 64
	minJoinPause      = 100 * time.Millisecond
	maxJoinPause      = 5 * time.Second
	maxStartQuorum    = 16
	joinCheckInterval = 100 * time.Millisecond
)

// releaseBootstrapper joins the fleet in release mode and decides when the node
// may enforce a release. A node keeps no state over a restart. Before it
// enforces a release it must therefore learn of any release that an earlier
// incarnation of it may have enforced: from the platform, which has all of
// them, or from the other nodes of its data centre. Its counterpart in store
// mode is storeBootstrapper.
type releaseBootstrapper struct {
	*Node
	mu             sync.Mutex
	sequenceByPeer map[string]uint64
	started        bool
	// registrar registers this node's address on the platform and reads those
	// of the other nodes.
	registrar *registrar
	platform  struct {
		answered bool
		sequence uint64
	}
}

func newReleaseBootstrapper(n *Node) *releaseBootstrapper {
	return &releaseBootstrapper{Node: n, sequenceByPeer: make(map[string]uint64), registrar: newRegistrar(n.Common, registry{
		list: func(ctx context.Context) ([]store.KeyValue, error) {
			return n.platform.List(ctx, store.SeedPrefix, maxSeedsRead)
		},
		grant:     n.platform.Grant,
		swap:      n.platform.Swap,
		keepAlive: n.platform.KeepAlive,
		revoke:    n.platform.Revoke,
	}, store.SeedKey(n.settings.DataCentre, n.settings.Node),
		func() []byte { return []byte(n.settings.AdvertiseAddress) },
		func(_ string, value []byte) (string, bool) { return string(value), true })}
}

// run joins through seeds until enough nodes or the platform have answered, then
// maintains the seeds. The platform is polled concurrently, so that an outage of
// the platform does not delay the join.
func (b *releaseBootstrapper) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	polling := b.startLoop(ctx, "first read of the platform", b.pollPlatform)
	defer func() {
		cancel()
		<-polling
	}()
	pauses := newJoinBackoff(maxJoinPause)
	for ctx.Err() == nil && !b.isStarted() {
		b.join(ctx)
		b.startOnQuorum()
		common.Sleep(ctx, pauses.NextBackOff())
	}
	b.maintainSeeds(ctx)
}

func (b *releaseBootstrapper) pollPlatform(ctx context.Context) {
	pauses := newJoinBackoff(maxJoinPause)
	for ctx.Err() == nil && !b.isStarted() {
		b.registrar.read(ctx)
		b.readPlatform(ctx)
		common.Sleep(ctx, pauses.NextBackOff())
	}
}

func (b *releaseBootstrapper) isStarted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.started
}

// readPlatform reads the newest release from the platform.
func (b *releaseBootstrapper) readPlatform(ctx context.Context) {
	kv, found, err := b.Node.platform.Get(ctx, store.HeadKey)
	if err != nil {
		return
	}
	sequence := uint64(0)
	if found {
		sequence = b.receiveHead(ctx, kv)
	}
	b.mu.Lock()
	b.platform.answered = true
	b.platform.sequence = max(b.platform.sequence, sequence)
	b.mu.Unlock()
}

// join exchanges records with the seeds that are not known as members yet and,
// while this node has not started, with all nodes of its data centre that it
// knows.
func (b *releaseBootstrapper) join(ctx context.Context) {
	addresses := append(append([]string(nil), b.settings.Seeds...), b.registrar.addresses()...)
	done := map[string]bool{b.settings.AdvertiseAddress: true}
	for _, member := range b.members.All() {
		if b.isStarted() {
			done[member.GetAddress()] = true
		} else if member.GetDataCentre() == b.settings.DataCentre {
			addresses = append(addresses, member.GetAddress())
		}
	}
	var targets []string
	for _, address := range addresses {
		if !done[address] {
			done[address] = true
			targets = append(targets, address)
		}
	}
	b.gossiper.exchangeAll(ctx, targets)
}

// recordHeld records the sequence of the newest release that a peer holds,
// while this node has not started.
func (b *releaseBootstrapper) recordHeld(node string, sequence uint64) {
	if node == b.settings.Node || node == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.started {
		b.sequenceByPeer[node] = max(b.sequenceByPeer[node], sequence)
	}
}

// startOnQuorum lets the node enforce releases once the platform or enough
// peers have reported the newest release that they hold.
func (b *releaseBootstrapper) startOnQuorum() {
	// Members that count as dead are included: a node that is only cut off from
	// this group may hold the newest release.
	peers := b.members.PeersWithDead()
	b.mu.Lock()
	minSequence := b.platform.sequence
	reported := 0
	for _, member := range peers {
		if sequence, ok := b.sequenceByPeer[member.GetNode()]; ok {
			reported++
			minSequence = max(minSequence, sequence)
		}
	}
	// An earlier incarnation enforced a release only after two other nodes held
	// it, or all that were alive if these were fewer. All peers but one therefore
	// suffice when two held it: one of the two is among them. At most
	// maxStartQuorum peers are required.
	enough := b.platform.answered || (len(peers) > 0 && reported >= max(1, min(len(peers)-1, maxStartQuorum)))
	ready := enough && !b.started
	if ready {
		b.started = true
		b.sequenceByPeer = nil
	}
	b.mu.Unlock()
	if ready {
		b.Event(event.NodeStarted).WithField("sequence", minSequence).Info("node joined")
		b.holder.Start(minSequence)
	}
}

// maintainSeeds keeps this node's address on the platform while it is a relay,
// so that starting nodes find it. It also joins relays that it does not know
// yet, so that groups of nodes which started apart merge.
func (b *releaseBootstrapper) maintainSeeds(ctx context.Context) {
	pauses := newJoinBackoff(seedRenewInterval)
	for ctx.Err() == nil {
		if b.members.IsRelay() {
			b.registrar.renew(ctx)
			b.registrar.read(ctx)
			b.join(ctx)
		}
		common.Sleep(ctx, pauses.NextBackOff())
	}
}

func newJoinBackoff(maxPause time.Duration) backoff.BackOff {
	return &backoff.ExponentialBackOff{InitialInterval: minJoinPause, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: maxPause}
}
