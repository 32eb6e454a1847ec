// Package node assembles a node from its parts and serves its listeners.
//
// A node runs in one of two modes. In release mode it enforces signed releases
// that it reads from the platform's key-value store through pkg/catalog, and
// works on the moves that they declare. In store mode, when the settings say
// "source": "store", it enforces snapshots of the users' store and works on the
// orders that operators write there. Files whose names begin with release_ or
// store_ belong to one mode; node.go builds a node of either mode, and the
// other files are shared.
package node

import (
	"net"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusrock/hibiscusrock/pkg/booking"
	"github.com/hibiscusrock/hibiscusrock/pkg/buffers"
	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/config"
	"github.com/hibiscusrock/hibiscusrock/pkg/distribution"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/fleet"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/hedge"
	"github.com/hibiscusrock/hibiscusrock/pkg/keys"
	"github.com/hibiscusrock/hibiscusrock/pkg/link"
	"github.com/hibiscusrock/hibiscusrock/pkg/listener"
	"github.com/hibiscusrock/hibiscusrock/pkg/peer"
	"github.com/hibiscusrock/hibiscusrock/pkg/quarantine"
	"github.com/hibiscusrock/hibiscusrock/pkg/request"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// Option changes a Node under construction.
type Option func(*Node)

// WithStoreAdapter puts the node in store mode.
func WithStoreAdapter(adapter *StoreAdapter) Option { return func(n *Node) { n.adapter = adapter } }

// Node is one process of the system: an entry node for the callers and an owner
// node for the backend servers of its host.
type Node struct {
	*common.Common
	// settings are those of the start, and live those whose changes take effect at once.
	settings config.Settings
	live     atomic.Pointer[config.Settings]

	// callerBuffers and peerBuffers bound the bytes that this node holds of what callers
	// and other nodes have sent.
	callerBuffers, peerBuffers *buffers.Pool

	records             *gossip.Store
	members             *fleet.Members
	endpoints           *fleet.Endpoints
	evacuations         *fleet.Evacuations
	unencodable         *unencodableRecords
	holder              *distribution.Holder
	crashTracker        *quarantine.CrashTracker
	recorder            *rollout.Recorder
	owner               *request.Owner
	entry               *request.Entry
	platform            *store.Client
	control             *peer.Client
	calls               *peer.Client
	server              *peer.Server
	moves               *releaseMoves
	gossiper            *gossiper
	usage               *usageCaps
	releaseBootstrapper *releaseBootstrapper
	lease               *claimLease

	// adapter, snapshots, freshness, storeBootstrapper and rollouts are set in store mode
	// only; holder, platform, moves, releaseBootstrapper and lease in release
	// mode only. platform is the key-value store of release mode and not part of
	// package platform, which serves store mode.
	adapter           *StoreAdapter
	snapshots         *distribution.Snapshots
	freshness         *distribution.Freshness
	storeBootstrapper *storeBootstrapper
	rollouts          *storeRollouts

	ready    atomic.Bool
	cleanUps []func()
}

// New returns a node with the given settings, and its clean-up function.
func New(cm *common.Common, settings config.Settings, opts ...Option) (*Node, func(), error) {
	n := &Node{Common: cm, settings: settings}
	n.live.Store(&settings)
	for _, opt := range opts {
		opt(n)
	}
	n.callerBuffers = n.newBuffers("callers", settings.CallerBufferBytes())
	n.peerBuffers = n.newBuffers("peers", settings.PeerBufferBytes())
	n.buildFleet()
	n.buildClients()
	n.usage = newUsageCaps(n)
	if n.adapter != nil {
		n.buildStoreMode()
	} else if err := n.buildReleaseMode(); err != nil {
		n.cleanUp()
		return nil, nil, err
	}
	n.gossiper = newGossiper(n)
	var err error
	n.server, err = peer.NewServer(cm, []byte(settings.DeploymentSecret), &peerHandler{node: n})
	if err != nil {
		n.cleanUp()
		return nil, nil, err
	}
	n.publishGauges()
	return n, n.cleanUp, nil
}

// buildReleaseMode builds the parts of a node that takes signed releases from
// the platform.
func (n *Node) buildReleaseMode() error {
	ring, err := keys.NewRing(n.settings.Signers, n.settings.RequiredSignatures)
	if err != nil {
		return err
	}
	var cleanUp func()
	n.platform, cleanUp = store.NewClient(n.Common, n.settings.Platform.Endpoints, store.WithTimeout(n.settings.PlatformTimeout()))
	n.cleanUps = append(n.cleanUps, cleanUp)
	n.holder = distribution.New(n.Common, ring,
		distribution.WithAlivePeers(n.countAlivePeers),
		distribution.WithHeld(n.onReleaseHeld),
		distribution.WithEnforced(n.onReleaseEnforced))
	n.moves = newReleaseMoves(n)
	n.releaseBootstrapper = newReleaseBootstrapper(n)
	n.buildReleaseRequests()
	return nil
}

// newBuffers returns a pool of a number of bytes for what an owner sends.
func (n *Node) newBuffers(owner string, max int64) *buffers.Pool {
	label := `{owner="` + owner + `"}`
	p := buffers.NewPool(n.Now, max, buffers.WithObservers(
		func() { n.Count(`hibiscusrock_buffers_evicted_total` + label) },
		func() { n.Count(`hibiscusrock_buffers_refused_total` + label) }))
	n.Metrics().NewGauge(`hibiscusrock_buffers_bytes`+label, func() float64 {
		used, _ := p.Used()
		return float64(used)
	})
	n.Metrics().NewGauge(`hibiscusrock_buffers_peak_bytes`+label, func() float64 {
		_, peak := p.Used()
		return float64(peak)
	})
	return p
}

func (n *Node) buildFleet() {
	self := &wire.Member{Node: n.settings.Node, DataCentre: n.settings.DataCentre, Address: n.settings.AdvertiseAddress, LinkMbps: uint32(n.settings.LinkMbps)}
	n.unencodable = newUnencodableRecords(n.Common)
	n.records = gossip.New(gossip.WithClock(n.Now), gossip.WithReceiverCount(func() int { return n.members.Len() }), gossip.WithUnencodable(n.unencodable.report))
	n.members = fleet.NewMembers(n.Common, n.records, self)
	n.endpoints = fleet.NewEndpoints(n.records, n.members)
	n.evacuations = fleet.NewEvacuations(n.records, n.Now, n.onEvacuation)
	n.crashTracker = quarantine.NewCrashTracker(n.Common, n.records, n.settings.Node, n.members.Incarnation)
}

func (n *Node) buildClients() {
	secret := []byte(n.settings.DeploymentSecret)
	host, _, _ := net.SplitHostPort(n.settings.PeerAddress)
	local := net.ParseIP(host)
	var cleanUp func()
	n.control, cleanUp = peer.NewClient(n.Common, secret, local)
	n.cleanUps = append(n.cleanUps, cleanUp)
	n.calls, cleanUp = peer.NewClient(n.Common, secret, local)
	n.cleanUps = append(n.cleanUps, cleanUp)
}

func (n *Node) buildReleaseRequests() {
	n.recorder = rollout.NewRecorder(n.Now)
	n.lease = &claimLease{client: n.platform, now: n.Now}
	claims := booking.NewClaims(n.Common, booking.Store{
		Get:      n.platform.Get,
		Swap:     n.platform.Swap,
		DeleteIf: n.platform.DeleteIf,
		Lease:    n.lease.get,
	}, n.settings.Node)
	var cleanUp func()
	n.owner, cleanUp = request.NewOwner(n.Common, n.recorder, n.crashTracker, request.OwnerHooks{
		QueueLength:  n.queueLength,
		Joined:       func() bool { return true },
		Halted:       n.isHalted,
		IsMoveTarget: n.isMoving,
		ColdStart:    n.coldStart,
		Announce:     n.announce,
	}, request.WithClaims(claims), request.WithPeerBuffers(n.peerBuffers), request.WithLink(link.NewPacer(n.Now, n.settings.LinkMbps)))
	n.cleanUps = append(n.cleanUps, cleanUp)
	n.entry = request.NewEntry(n.Common, n.settings.Node, n.owner, n.crashTracker, n.newPicker(), request.EntryHooks{
		Table:    n.table,
		Shares:   n.shares,
		Standby:  n.standby,
		Usage:    n.usage.spender,
		Address:  n.address,
		CallPeer: n.calls.Call,

		CallPeerWithBody: n.calls.CallWithBody,
	}, request.WithArrival(listener.Arrival), request.WithBuffers(n.callerBuffers), request.WithHedging(n.newHedging()))
}

func (n *Node) newHedging() *hedge.Policy {
	return hedge.NewPolicy(n.Now, n.settings.Hedging.Share, n.settings.Hedging.Quantile)
}

func (n *Node) newPicker() *routing.Picker {
	return routing.NewPicker(n.Now, n.endpoints, n.settings.DataCentre, routing.WithEvacuated(n.evacuations.IsActive), routing.WithNode(n.settings.Node), routing.WithRemoteCost(n.settings.RemoteCostPerKB))
}

// shares returns the versions of a service with their shares of its requests in
// permille, in release mode.
func (n *Node) shares(table *routing.Table, service string) routing.Shares {
	move := table.Move(service)
	permille := 0
	if move != nil {
		permille = n.moves.permille(move)
	}
	return routing.CurrentShares(table.Service(service), move, permille, func(version string) bool { return n.isHalted(service, version) })
}

// standby returns the target version of a service's move, which receives the
// requests when no other version has a backend server, in release mode. It
// returns "" if there is no move or its version was rolled back.
func (n *Node) standby(table *routing.Table, service string) string {
	move := table.Move(service)
	if move == nil || n.isHalted(service, move.GetTo()) {
		return ""
	}
	return move.GetTo()
}

func (n *Node) cleanUp() {
	for _, f := range n.cleanUps {
		f()
	}
}

func (n *Node) countAlivePeers() int {
	alive := 0
	for _, member := range n.members.Peers() {
		if member.GetState() == wire.MemberState_MEMBER_STATE_ALIVE {
			alive++
		}
	}
	return alive
}

func (n *Node) onReleaseHeld(document *bundle.Document) {
	n.Event(event.ReleaseHeld).WithField("sequence", document.Sequence()).Info("release held")
	n.gossiper.notifyConfiguration()
}

func (n *Node) onReleaseEnforced(*routing.Table) { n.moves.wake() }

func (n *Node) queueLength(service string) int {
	if s := n.table().Service(service); s != nil {
		return s.QueueLength
	}
	return bundle.DefaultQueueLength
}

// coldStart returns the limit for cold backend servers of a service, or nil.
func (n *Node) coldStart(service string) *bundle.ColdStart {
	if s := n.table().Service(service); s != nil {
		return s.ColdStart
	}
	return nil
}

func (n *Node) isHalted(service, version string) bool { return n.moves.halt(service, version) != nil }

func (n *Node) isMoving(service, version string) bool {
	move := n.holder.Table().Move(service)
	return move != nil && move.GetTo() == version
}

func (n *Node) address(name string) (string, bool) {
	r := n.records.Get(gossip.PrefixMember + name)
	if r == nil {
		return "", false
	}
	return r.GetMember().GetAddress(), true
}

// withOrigin returns the record of a backend server of this host with this node's name and
// data centre. It does not change the record, which others may read.
func (n *Node) withOrigin(record *wire.Endpoint) *wire.Endpoint {
	if record.GetNode() == n.settings.Node && record.GetDataCentre() == n.settings.DataCentre {
		return record
	}
	record = proto.Clone(record).(*wire.Endpoint)
	record.Node, record.DataCentre = n.settings.Node, n.settings.DataCentre
	return record
}

// announce publishes the record of a backend server of this host.
func (n *Node) announce(record *wire.Endpoint) {
	record = n.withOrigin(record)
	key := fleet.EndpointKey(n.settings.Node, record.GetInstance())
	epoch := n.members.Incarnation()
	step := uint64(0)
	if old := n.records.Get(key); old != nil && old.GetEpoch() == epoch {
		step = old.GetStep() + 1
	}
	n.records.Set(&wire.Record{Key: key, Epoch: epoch, Step: step, Body: &wire.Record_Endpoint{Endpoint: record}})
	if n.storeBootstrapper != nil {
		wake(n.storeBootstrapper.changed)
	}
}
