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
	seedRenewal       = 10 * time.Second
	seedsRead         = 64
	firstJoinPause    = 100 * time.Millisecond
	largestJoinPause  = 5 * time.Second
	restartQuorum     = 16
	joinCheckInterval = 100 * time.Millisecond
)

// starter joins the fleet and decides when the node may enforce a release. A
// node keeps nothing over a restart, so before that it must have heard of any
// release that it may have enforced in an earlier life: from the platform,
// which knows all, or from the other nodes of its data centre.
type starter struct {
	*Node
	mu      sync.Mutex
	heardBy map[string]uint64
	started bool
	// registrar keeps this node's address on the platform and reads the others'.
	registrar *registrar
	platform  struct {
		answered bool
		sequence uint64
	}
}

func newStarter(n *Node) *starter {
	return &starter{Node: n, heardBy: make(map[string]uint64), registrar: newRegistrar(n.Common, registry{
		list: func(ctx context.Context) ([]store.KeyValue, error) {
			return n.platform.List(ctx, store.SeedPrefix, seedsRead)
		},
		grant:     n.platform.Grant,
		put:       n.platform.Put,
		keepAlive: n.platform.KeepAlive,
		revoke:    n.platform.Revoke,
	}, store.SeedKey(n.settings.DataCentre, n.settings.Node),
		func() []byte { return []byte(n.settings.AdvertiseAddress) },
		func(_ string, value []byte) (string, bool) { return string(value), true })}
}

// run joins through seeds until it has heard enough, then keeps the fleet
// joined. The platform is asked beside that, so that its outage delays nothing.
func (s *starter) run(ctx context.Context) {
	asked := loop(ctx, s.askUntilStarted)
	pauses := newJoinBackoff(largestJoinPause)
	for ctx.Err() == nil && !s.isStarted() {
		s.join(ctx)
		s.decide()
		common.Sleep(ctx, pauses.NextBackOff())
	}
	s.maintain(ctx)
	<-asked
}

func (s *starter) askUntilStarted(ctx context.Context) {
	pauses := newJoinBackoff(largestJoinPause)
	for ctx.Err() == nil && !s.isStarted() {
		s.registrar.read(ctx)
		s.askPlatform(ctx)
		common.Sleep(ctx, pauses.NextBackOff())
	}
}

func (s *starter) isStarted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// askPlatform reads the newest release and the seeds of the deployment.
func (s *starter) askPlatform(ctx context.Context) {
	kv, found, err := s.Node.platform.Get(ctx, store.HeadKey)
	if err != nil {
		return
	}
	sequence := uint64(0)
	if found {
		sequence = s.takeHead(ctx, kv)
	}
	s.mu.Lock()
	s.platform.answered = true
	s.platform.sequence = max(s.platform.sequence, sequence)
	s.mu.Unlock()
}

// join exchanges with the seeds that are not known as members yet, and while
// this node starts with all nodes of its data centre that it knows.
func (s *starter) join(ctx context.Context) {
	addresses := append(append([]string(nil), s.settings.Seeds...), s.registrar.addresses()...)
	done := map[string]bool{s.settings.AdvertiseAddress: true}
	for _, member := range s.members.All() {
		if s.isStarted() {
			done[member.GetAddress()] = true
		} else if member.GetDataCentre() == s.settings.DataCentre {
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
	s.gossiper.exchangeAll(ctx, targets)
}

// heard notes what a peer holds while this node starts.
func (s *starter) heard(node string, sequence uint64) {
	if node == s.settings.Node || node == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started {
		s.heardBy[node] = max(s.heardBy[node], sequence)
	}
}

// decide lets the node enforce once it has heard enough.
func (s *starter) decide() {
	// A node that a cut-off group takes for dead may hold the newest release.
	peers := s.members.Known()
	s.mu.Lock()
	floor := s.platform.sequence
	local := 0
	for _, member := range peers {
		if sequence, ok := s.heardBy[member.GetNode()]; ok {
			local++
			floor = max(floor, sequence)
		}
	}
	// A release in force here was held by two others, so all but one suffice.
	enough := s.platform.answered || (len(peers) > 0 && local >= max(1, min(len(peers)-1, restartQuorum)))
	ready := enough && !s.started
	if ready {
		s.started = true
		s.heardBy = nil
	}
	s.mu.Unlock()
	if ready {
		s.Event(event.NodeStarted).WithField("sequence", floor).Info("node joined")
		s.holder.Start(floor)
	}
}

// maintain keeps this node's address on the platform while it is a relay, so
// that starting nodes find it, and joins relays that it does not know yet, so
// that groups which started apart grow together.
func (s *starter) maintain(ctx context.Context) {
	pauses := newJoinBackoff(seedRenewal)
	for ctx.Err() == nil {
		if s.members.IsRelay() {
			s.registrar.renew(ctx)
			s.registrar.read(ctx)
			s.join(ctx)
		}
		common.Sleep(ctx, pauses.NextBackOff())
	}
}

func newJoinBackoff(largest time.Duration) backoff.BackOff {
	return &backoff.ExponentialBackOff{InitialInterval: firstJoinPause, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: largest}
}
