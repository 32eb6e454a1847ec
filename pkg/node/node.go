// Package node joins the parts of a node and gives them sockets.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/booking"
	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/config"
	"github.com/hibiscusrock/hibiscusrock/pkg/distribution"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
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

const (
	headerTimeout     = 5 * time.Second
	idleCallerTimeout = 2 * time.Minute
	largestHeader     = 64 << 10
	// stopReserve is the part of the stop timeout that is left for the process
	// to end by itself.
	stopReserve = 150 * time.Millisecond
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
	self := &wire.Member{Node: n.settings.Node, DataCentre: n.settings.DataCentre, Address: n.settings.AdvertiseAddress}
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

// Run serves until ctx ends, then stops gracefully: no request in flight is cut
// unless the stop timeout passes.
func (n *Node) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	callers := &http.Server{Handler: n.entry, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleCallerTimeout, MaxHeaderBytes: largestHeader}
	host := &http.Server{Handler: n.hostHandler(), ReadHeaderTimeout: headerTimeout}
	ended, err := n.serveAll(background, callers, host)
	if err != nil {
		return err
	}
	loops := n.startLoops(background)
	n.ready.Store(true)
	n.Event(event.NodeStarted).WithField("sequence", n.held()).Info("node started")
	err = waitForEnd(ctx, ended)
	n.ready.Store(false)
	n.stop(callers)
	stopBackground()
	for _, loop := range loops {
		<-loop
	}
	_ = host.Close()
	n.Event(event.NodeStopped).Info("node stopped")
	return err
}

// serveAll listens on every address of the settings and starts the servers.
func (n *Node) serveAll(ctx context.Context, callers, host *http.Server) ([]<-chan error, error) {
	peers, err := listen(n.settings.PeerAddress)
	if err != nil {
		return nil, err
	}
	ended := []<-chan error{n.server.Serve(ctx, peers)}
	for _, served := range []struct {
		address string
		server  *http.Server
	}{
		{n.settings.CallerAddress, callers},
		{n.settings.HostAddress, host},
		{n.settings.ReadyAddress, host},
		{n.settings.MetricsAddress, host},
	} {
		if served.address == "" {
			continue
		}
		listener, err := listen(served.address)
		if err != nil {
			return nil, err
		}
		ended = append(ended, serveHTTP(served.server, listener))
	}
	return ended, nil
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.KindUnavailable, "cannot listen on "+address, "free the port or change the address in the settings")
	}
	return listener, nil
}

func serveHTTP(server *http.Server, listener net.Listener) <-chan error {
	done := make(chan error, 1)
	go func() {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		done <- err
	}()
	return done
}

// waitForEnd returns when ctx ends or any of the servers fails.
func waitForEnd(ctx context.Context, ended []<-chan error) error {
	failed := make(chan error, len(ended))
	for _, ch := range ended {
		go func() { failed <- <-ch }()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return fault.Wrap(err, fault.KindInternal, "a listener ended", "see the log")
	}
}

// stop drains this node: others hear of it first, then callers' requests and
// those of other nodes run to their end.
func (n *Node) stop(callers *http.Server) {
	n.Event(event.NodeStopping).Info("node stopping")
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopTimeout()-stopReserve)
	defer cancel()
	n.entry.BeginStop()
	n.owner.DrainAll()
	n.gossiper.flush(ctx)
	time.Sleep(n.settings.StopNotice())
	var wg sync.WaitGroup
	for _, stop := range []func(context.Context) error{callers.Shutdown, n.owner.Stop} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := stop(ctx); err != nil {
				n.Event(event.StopTimedOut).WithError(err).Warn("requests were still in flight at the stop timeout")
			}
		}()
	}
	wg.Wait()
	n.members.Leave()
	n.gossiper.flush(ctx)
	n.withdraw(ctx)
}

// withdraw removes this node from where starting nodes find it.
func (n *Node) withdraw(ctx context.Context) {
	if n.joiner != nil {
		n.joiner.registrar.withdraw(ctx)
		return
	}
	n.starter.registrar.withdraw(ctx)
}

// startLoops starts the background loops; each closes its channel at its end.
func (n *Node) startLoops(ctx context.Context) []<-chan struct{} {
	n.members.Join()
	loops := []<-chan struct{}{
		loop(ctx, n.gossiper.run),
		loop(ctx, n.gossiper.runAddressed),
		loop(ctx, n.runProbes),
		loop(ctx, n.runHousekeeping),
	}
	if n.link != nil {
		return append(loops, loop(ctx, n.joiner.run), loop(ctx, n.followStore), loop(ctx, n.rollouts.run))
	}
	return append(loops, loop(ctx, n.starter.run), loop(ctx, n.runRelay), loop(ctx, n.moves.run))
}

func loop(ctx context.Context, run func(context.Context)) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		run(ctx)
	}()
	return done
}
