package node

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
)

const (
	seedLease         = 30 * time.Second
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
	lease   int64
	// seeds are the addresses last read from the platform.
	seeds    []string
	platform struct {
		answered bool
		sequence uint64
	}
}

func newStarter(n *Node) *starter { return &starter{Node: n, heardBy: make(map[string]uint64)} }

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
		s.readSeeds(ctx)
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

// readSeeds reads the seeds of the deployment from the platform.
func (s *starter) readSeeds(ctx context.Context) {
	kvs, err := s.Node.platform.List(ctx, store.SeedPrefix, seedsRead)
	if err != nil {
		return
	}
	var seeds []string
	for _, kv := range kvs {
		seeds = append(seeds, string(kv.Value))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = seeds
}

// join exchanges with the seeds that are not known as members yet, and while
// this node starts with all nodes of its data centre that it knows.
func (s *starter) join(ctx context.Context) {
	s.mu.Lock()
	addresses := append(append([]string(nil), s.settings.Seeds...), s.seeds...)
	s.mu.Unlock()
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
		s.Log().WithField("floor", floor).Info("node joined")
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
			s.renewSeed(ctx)
			s.readSeeds(ctx)
			s.join(ctx)
		}
		common.Sleep(ctx, pauses.NextBackOff())
	}
}

func newJoinBackoff(largest time.Duration) backoff.BackOff {
	return &backoff.ExponentialBackOff{InitialInterval: firstJoinPause, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: largest}
}

func (s *starter) renewSeed(ctx context.Context) {
	if s.lease != 0 {
		alive, err := s.Node.platform.KeepAlive(ctx, s.lease)
		if alive || err != nil {
			return
		}
	}
	lease, err := s.Node.platform.Grant(ctx, seedLease)
	if err != nil {
		return
	}
	key := store.SeedKey(s.settings.DataCentre, s.settings.Node)
	if s.Node.platform.Put(ctx, key, []byte(s.settings.AdvertiseAddress), lease) == nil {
		s.lease = lease
	}
}

// withdraw removes this node's seed when it stops.
func (s *starter) withdraw(ctx context.Context) {
	if s.lease != 0 {
		_ = s.Node.platform.Revoke(ctx, s.lease)
	}
}
