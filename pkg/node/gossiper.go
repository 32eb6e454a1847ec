package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/fleet"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	exchangeInterval       = time.Second
	broadcastInterval      = 100 * time.Millisecond
	compareInterval        = 2 * time.Second
	pushFanout             = 3
	maxBroadcastBytes      = 8 << 10
	maxCompareBytes        = 256 << 10
	maxPushedBytes         = 16 << 10
	fetchTimeout           = 10 * time.Second
	flushRounds            = 2
	maxConcurrentExchanges = 32
	directSendTimeout      = time.Second
	maxRelayQueueLength    = 256
)

// gossiper spreads gossip records and configurations by push and pull.
type gossiper struct {
	*Node
	woken            chan struct{}
	newConfiguration chan struct{}
	fetching         atomic.Bool
	relayQueue       chan *wire.Record
	mu               sync.Mutex
	lastCompare      time.Time
}

func newGossiper(n *Node) *gossiper {
	g := &gossiper{Node: n, woken: make(chan struct{}, 1), newConfiguration: make(chan struct{}, 1), relayQueue: make(chan *wire.Record, maxRelayQueueLength)}
	n.records.OnLocal(func(*wire.Record) { wake(g.woken) })
	return g
}

func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// notifyConfiguration wakes run to push a configuration that this node just
// received.
func (g *gossiper) notifyConfiguration() { wake(g.newConfiguration) }

// run exchanges records with peers: at once after a change, about every
// broadcastInterval while broadcasts are pending, and else about every
// exchangeInterval. It pushes a new configuration at once.
func (g *gossiper) run(ctx context.Context) {
	regular := time.NewTimer(common.Jittered(exchangeInterval))
	defer regular.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.newConfiguration:
			g.pushConfiguration(ctx)
		case <-g.woken:
			g.round(ctx, pushFanout)
			common.Sleep(ctx, broadcastInterval)
		case <-regular.C:
			g.round(ctx, 1)
			regular.Reset(g.nextInterval())
		}
	}
}

func (g *gossiper) nextInterval() time.Duration {
	if g.records.HasBroadcasts() {
		return common.Jittered(broadcastInterval)
	}
	return common.Jittered(exchangeInterval)
}

// round exchanges records with up to fanout random peers of this data centre
// and, on relays, with one node in each of up to fanout other data centres.
func (g *gossiper) round(ctx context.Context, fanout int) {
	targets := sample(g.members.Peers(), fanout)
	if g.members.IsRelay() {
		targets = append(targets, sample(g.remoteRelays(), fanout)...)
	}
	g.exchangeAll(ctx, addressesOf(targets))
}

// pushConfiguration exchanges with up to pushFanout peers of this data centre
// that lack the newest configuration. A relay in release mode also exchanges
// with one relay of each other data centre; in store mode each data centre reads
// the store itself.
func (g *gossiper) pushConfiguration(ctx context.Context) {
	sequence := g.heldSequence()
	var lacking []*wire.Member
	for _, member := range g.members.Peers() {
		if g.heldSequenceOf(member.GetNode()) < sequence {
			lacking = append(lacking, member)
		}
	}
	targets := sample(lacking, pushFanout)
	if g.members.IsRelay() && g.snapshots == nil {
		targets = append(targets, g.remoteRelays()...)
	}
	g.exchangeAll(ctx, addressesOf(targets))
}

func addressesOf(members []*wire.Member) []string {
	addresses := make([]string, len(members))
	for i, member := range members {
		addresses[i] = member.GetAddress()
	}
	return addresses
}

// remoteRelays returns one node of each other data centre, chosen at random
// among those that are relays there according to this node's members.
func (g *gossiper) remoteRelays() []*wire.Member {
	byDataCentre := make(map[string][]*wire.Member)
	for _, member := range g.members.Remote() {
		byDataCentre[member.GetDataCentre()] = append(byDataCentre[member.GetDataCentre()], member)
	}
	var chosen []*wire.Member
	for _, members := range byDataCentre {
		chosen = append(chosen, sample(fleet.Relays(members), 1)...)
	}
	return chosen
}

func sample(members []*wire.Member, n int) []*wire.Member {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(n, len(members))]
}

// exchangeAll exchanges with peers concurrently, at most maxConcurrentExchanges
// at a time. It returns the number of peers that answered.
func (g *gossiper) exchangeAll(ctx context.Context, addresses []string) int {
	var wg sync.WaitGroup
	var answered atomic.Int64
	slots := make(chan struct{}, maxConcurrentExchanges)
	for _, address := range addresses {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			defer g.Contain("exchange with a peer", nil)
			if g.exchange(ctx, address) == nil {
				answered.Add(1)
			}
		}()
	}
	wg.Wait()
	return int(answered.Load())
}

// queueForRelays queues a record that goes to the relays of this data centre
// only.
func (g *gossiper) queueForRelays(r *wire.Record) {
	if err := checkEncodable(r); err != nil {
		g.unencodable.report(r.GetKey(), err)
		return
	}
	select {
	case g.relayQueue <- r:
	default:
		g.Count(`hibiscusrock_evidence_lost_total{reason="queue_full"}`)
	}
}

// runRelayQueue sends queued records to the relays. The records that wait in the
// queue at the same time are sent in one message.
func (g *gossiper) runRelayQueue(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-g.relayQueue:
			g.sendToRelays(ctx, g.drainRelayQueue(r))
		}
	}
}

func (g *gossiper) drainRelayQueue(first *wire.Record) []*wire.Record {
	records := []*wire.Record{first}
	for {
		select {
		case r := <-g.relayQueue:
			records = append(records, r)
		default:
			return records
		}
	}
}

func (g *gossiper) sendToRelays(ctx context.Context, records []*wire.Record) {
	in := g.baseRequest(records)
	for _, member := range fleet.Relays(append(g.members.Peers(), g.members.Self())) {
		if member.GetNode() != g.settings.Node {
			g.sendMessage(ctx, member.GetAddress(), in)
		}
	}
}

// sendTo sends a record to one node only.
func (g *gossiper) sendTo(ctx context.Context, address string, record *wire.Record) {
	if err := checkEncodable(record); err != nil {
		g.unencodable.report(record.GetKey(), err)
		return
	}
	g.sendMessage(ctx, address, g.baseRequest([]*wire.Record{record}))
}

func (g *gossiper) sendMessage(ctx context.Context, address string, in *wire.ExchangeRequest) {
	ctx, cancel := context.WithTimeout(ctx, directSendTimeout)
	defer cancel()
	if _, err := g.control.Exchange(ctx, address, in); err != nil {
		g.Count(`hibiscusrock_evidence_lost_total{reason="unreachable"}`)
	}
}

// exchange sends new records to a peer and applies those it returns, fetches
// its configuration if that is newer, and repairs the differences that remain.
func (g *gossiper) exchange(ctx context.Context, address string) error {
	member := g.memberAt(address)
	in := g.newExchange(member)
	sentAt := g.Now()
	out, err := g.control.Exchange(ctx, address, in)
	if err != nil {
		g.Count(`hibiscusrock_gossip_failures_total`)
		return err
	}
	g.Count(`hibiscusrock_gossip_exchanges_total`)
	g.records.Apply(out.GetRecords(), true)
	g.recordContact(out.GetNode(), out.GetSequence())
	if out.GetSequence() > g.heldSequence() && g.mayPull(member, out.GetSequence()) {
		g.pull(ctx, address)
	}
	g.receiveConfirmation(out.GetSequence(), out.GetConfirmation(), sentAt)
	if out.GetDigest() != g.records.Digest() {
		g.repair(ctx, address, member != nil && fleet.IsGone(member))
	}
	return nil
}

// newExchange returns a message with the new records for a peer, and with the
// newest configuration if the peer lacks it. A peer that is not known as a
// member of this data centre is sent durable records only.
func (g *gossiper) newExchange(member *wire.Member) *wire.ExchangeRequest {
	remote := member.GetDataCentre() != g.settings.DataCentre
	in := g.baseRequest(g.records.Broadcasts(maxBroadcastBytes, remote))
	in.Digest = g.records.Digest()
	if member != nil && g.heldSequenceOf(member.GetNode()) < in.GetSequence() {
		g.attach(in, member)
	}
	return in
}

// baseRequest returns a message with records and the sequence that this node
// holds.
func (g *gossiper) baseRequest(records []*wire.Record) *wire.ExchangeRequest {
	return &wire.ExchangeRequest{Node: g.settings.Node, DataCentre: g.settings.DataCentre, Records: records, Sequence: g.heldSequence()}
}

// memberAt returns the member with an address, or nil.
func (g *gossiper) memberAt(address string) *wire.Member {
	for _, member := range g.members.All() {
		if member.GetAddress() == address {
			return member
		}
	}
	return nil
}

// repair fetches the records in which this node and a peer differ, and sends
// this node's own. It compares with peers at most once every compareInterval,
// unless this node knows no other member or the peer has come back.
func (g *gossiper) repair(ctx context.Context, address string, isBack bool) {
	g.mu.Lock()
	due := g.Now().Sub(g.lastCompare) >= compareInterval || g.members.Len() <= 1 || isBack
	if due {
		g.lastCompare = g.Now()
	}
	g.mu.Unlock()
	if !due {
		return
	}
	g.Count(`hibiscusrock_gossip_repairs_total`)
	out, err := g.control.Compare(ctx, address, &wire.CompareRequest{Buckets: g.records.Buckets()})
	if err != nil {
		return
	}
	g.records.Apply(out.GetRecords(), false)
	records, _ := g.records.InBuckets(out.GetDiffering(), maxCompareBytes)
	if len(records) == 0 {
		return
	}
	own := g.baseRequest(records)
	own.Digest = g.records.Digest()
	_, _ = g.control.Exchange(ctx, address, own)
}

// flush pushes this node's new records to peers before it stops.
func (g *gossiper) flush(ctx context.Context) {
	for range flushRounds {
		g.round(ctx, pushFanout)
	}
}
