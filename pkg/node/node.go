// Package node joins the parts of a node and gives them sockets.
package node

import (
	"net"
	"sync/atomic"

	"github.com/hibiscusrock/hibiscusrock/pkg/booking"
	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/config"
	"github.com/hibiscusrock/hibiscusrock/pkg/distribution"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/fleet"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/keys"
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

// WithConnection makes the node follow the users' store instead of signed releases.
func WithConnection(c *Connection) Option { return func(n *Node) { n.link = c } }

// Node is one process of the system.
type Node struct {
	*common.Common
	settings config.Settings

	records   *gossip.Store
	members   *fleet.Members
	endpoints *fleet.Endpoints
	holder    *distribution.Holder
	ward      *quarantine.Ward
	recorder  *rollout.Recorder
	owner     *request.Owner
	entry     *request.Entry
	platform  *store.Client
	control   *peer.Client
	calls     *peer.Client
	server    *peer.Server
	moves     *moves
	gossiper  *gossiper
	starter   *starter
	lease     *claimLease

	// link, snapshots, joiner and rollouts replace holder, starter and moves on
	// a node that follows the users' store.
	link      *Connection
	snapshots *distribution.Snapshots
	joiner    *joiner
	rollouts  *rollouts

	ready atomic.Bool
	// lastHeard is when a peer last answered or called, in Unix nanoseconds.
	lastHeard atomic.Int64
	cleanUps  []func()
}

// New returns a node with the given settings, and its clean-up function.
func New(cm *common.Common, settings config.Settings, opts ...Option) (*Node, func(), error) {
	n := &Node{Common: cm, settings: settings}
	for _, opt := range opts {
		opt(n)
	}
	n.buildFleet()
	n.buildClients()
	if n.link != nil {
		n.buildConnected()
	} else if err := n.buildReleases(); err != nil {
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

// buildReleases builds what a node needs that follows signed releases.
func (n *Node) buildReleases() error {
	ring, err := keys.NewRing(n.settings.Signers, n.settings.RequiredSignatures)
	if err != nil {
		return err
	}
	var cleanUp func()
	n.platform, cleanUp = store.NewClient(n.Common, n.settings.Platform.Endpoints, store.WithTimeout(n.settings.PlatformTimeout()))
	n.cleanUps = append(n.cleanUps, cleanUp)
	n.holder = distribution.New(n.Common, ring,
		distribution.WithAlivePeers(n.countAlivePeers),
		distribution.WithHeld(n.releaseHeld),
		distribution.WithEnforced(n.releaseEnforced))
	n.moves = newMoves(n)
	n.starter = newStarter(n)
	n.buildRequests()
	return nil
}

func (n *Node) buildFleet() {
	self := &wire.Member{Node: n.settings.Node, DataCentre: n.settings.DataCentre, Address: n.settings.AdvertiseAddress, LinkMbps: uint32(n.settings.LinkMbps)}
	n.records = gossip.New(gossip.WithClock(n.Now), gossip.WithAudience(func() int { return n.members.Len() }))
	n.members = fleet.NewMembers(n.Common, n.records, self)
	n.endpoints = fleet.NewEndpoints(n.records, n.members)
	n.ward = quarantine.NewWard(n.Common, n.records, n.settings.Node, n.members.Incarnation)
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

func (n *Node) buildRequests() {
	n.recorder = rollout.NewRecorder()
	n.lease = &claimLease{client: n.platform, now: n.Now}
	claims := booking.NewClaims(n.Common, booking.Store{
		Get:      n.platform.Get,
		Swap:     n.platform.Swap,
		DeleteIf: n.platform.DeleteIf,
		Lease:    n.lease.get,
	}, n.settings.Node)
	var cleanUp func()
	n.owner, cleanUp = request.NewOwner(n.Common, n.recorder, n.ward, request.OwnerHooks{
		QueueLength: n.queueLength,
		Halted:      n.halted,
		Moving:      n.moving,
		Announce:    n.announce,
	}, request.WithClaims(claims))
	n.cleanUps = append(n.cleanUps, cleanUp)
	n.entry = request.NewEntry(n.Common, n.settings.Node, n.owner, n.ward, n.newPicker(), request.EntryHooks{
		Table:    n.table,
		Shares:   n.shares,
		Standby:  n.standby,
		Address:  n.address,
		CallPeer: n.calls.Call,
	})
}

func (n *Node) newPicker() *routing.Picker {
	return routing.NewPicker(n.Now, n.endpoints, n.settings.DataCentre)
}

// shares returns the versions of a service with their shares.
func (n *Node) shares(table *routing.Table, service string) routing.Shares {
	move := table.Move(service)
	permille := 0
	if move != nil {
		permille = n.moves.permille(move)
	}
	return routing.CurrentShares(table.Service(service), move, permille, func(version string) bool { return n.halted(service, version) })
}

// standby returns the target of a service's move, which stands in when no other
// version has a backend server.
func (n *Node) standby(table *routing.Table, service string) string {
	move := table.Move(service)
	if move == nil || n.halted(service, move.GetTo()) {
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

func (n *Node) releaseHeld(document *bundle.Document) {
	n.Event(event.ReleaseHeld).WithField("sequence", document.Sequence()).Info("release held")
	n.gossiper.wakeRelease()
}

func (n *Node) releaseEnforced(*routing.Table) { n.moves.wake() }

func (n *Node) queueLength(service string) int {
	if s := n.table().Service(service); s != nil {
		return s.QueueLength
	}
	return bundle.DefaultQueueLength
}

func (n *Node) halted(service, version string) bool { return n.moves.halt(service, version) != nil }

func (n *Node) moving(service, version string) bool {
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

// announce spreads a backend server of this host.
func (n *Node) announce(record *wire.Endpoint) {
	record.Node, record.DataCentre = n.settings.Node, n.settings.DataCentre
	key := fleet.EndpointKey(n.settings.Node, record.GetInstance())
	epoch := n.members.Incarnation()
	step := uint64(0)
	if old := n.records.Get(key); old != nil && old.GetEpoch() == epoch {
		step = old.GetStep() + 1
	}
	n.records.Set(&wire.Record{Key: key, Epoch: epoch, Step: step, Body: &wire.Record_Endpoint{Endpoint: record}})
	if n.joiner != nil {
		wake(n.joiner.changed)
	}
}
