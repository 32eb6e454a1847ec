// Package node joins the parts of a node and gives them sockets.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/booking"
	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/config"
	"github.com/hibiscusrock/hibiscusrock/pkg/distribution"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/fleet"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/keys"
	"github.com/hibiscusrock/hibiscusrock/pkg/peer"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
	"github.com/hibiscusrock/hibiscusrock/pkg/quarantine"
	"github.com/hibiscusrock/hibiscusrock/pkg/request"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	headerTimeout     = 5 * time.Second
	idleCallerTimeout = 2 * time.Minute
	largestHeader     = 64 << 10
	// drainNotice is the time between the notice that this node stops and its
	// refusal of new work, in which other nodes hear of it.
	drainNotice = 500 * time.Millisecond
)

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

	cleanUps []func()
}

// New returns a node with the given settings, and its clean-up function.
func New(cm *common.Common, settings config.Settings) (*Node, func(), error) {
	ring, err := keys.NewRing(settings.Signers, settings.RequiredSignatures)
	if err != nil {
		return nil, nil, err
	}
	n := &Node{Common: cm, settings: settings}
	n.buildFleet()
	n.buildClients()
	n.holder = distribution.New(cm, ring,
		distribution.WithAlivePeers(n.countAlivePeers),
		distribution.WithHeld(n.releaseHeld),
		distribution.WithEnforced(n.releaseEnforced))
	n.buildRequests()
	n.moves = newMoves(n)
	n.gossiper = newGossiper(n)
	n.starter = newStarter(n)
	n.server, err = peer.NewServer(cm, []byte(settings.DeploymentSecret), &peerHandler{node: n})
	if err != nil {
		n.cleanUp()
		return nil, nil, err
	}
	n.publishGauges()
	return n, n.cleanUp, nil
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
	n.platform, cleanUp = store.NewClient(n.Common, n.settings.Platform.Endpoints, store.WithTimeout(n.settings.PlatformTimeout()))
	n.cleanUps = append(n.cleanUps, cleanUp)
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
	n.owner, cleanUp = request.NewOwner(n.Common, n.recorder, n.ward, claims, request.OwnerHooks{
		QueueLength: n.queueLength,
		Halted:      n.halted,
		Moving:      n.moving,
		Announce:    n.announce,
	})
	n.cleanUps = append(n.cleanUps, cleanUp)
	n.entry = request.NewEntry(n.Common, n.settings.Node, n.owner, n.ward, routing.NewPicker(n.Now, n.endpoints, n.settings.DataCentre), request.EntryHooks{
		Table:    n.holder.Table,
		Permille: n.permille,
		Halted:   n.halted,
		Address:  n.address,
		CallPeer: n.calls.Call,
	})
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
	n.Log().WithField("sequence", document.Sequence()).Info("release held")
	n.gossiper.wakeRelease()
}

func (n *Node) releaseEnforced(*routing.Table) { n.moves.wake() }

func (n *Node) queueLength(service string) int {
	if s := n.holder.Table().Service(service); s != nil {
		return s.QueueLength
	}
	return bundle.DefaultQueueLength
}

func (n *Node) halted(service, version string) bool { return n.moves.halt(service, version) != nil }

func (n *Node) moving(service, version string) bool {
	move := n.holder.Table().Move(service)
	return move != nil && move.GetTo() == version
}

func (n *Node) permille(move *wire.Move) int { return n.moves.permille(move) }

func (n *Node) address(name string) (string, bool) {
	r := n.records.Get(gossip.PrefixMember + name)
	if r == nil {
		return "", false
	}
	return r.GetMember().GetAddress(), true
}

// announce spreads a backend server of this host.
func (n *Node) announce(record *wire.Endpoint) {
	key := fleet.EndpointKey(n.settings.Node, record.GetInstance())
	epoch := n.members.Incarnation()
	step := uint64(0)
	if old := n.records.Get(key); old != nil && old.GetEpoch() == epoch {
		step = old.GetStep() + 1
	}
	n.records.Set(&wire.Record{Key: key, Epoch: epoch, Step: step, Body: &wire.Record_Endpoint{Endpoint: record}})
}

// Run serves until ctx ends, then stops gracefully: no request in flight is cut
// unless the stop timeout passes.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	callers := &http.Server{Handler: n.entry, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleCallerTimeout, MaxHeaderBytes: largestHeader}
	host := &http.Server{Handler: n.hostHandler(), ReadHeaderTimeout: headerTimeout}
	ended := []<-chan error{
		serveHTTP(callers, listeners.callers),
		serveHTTP(host, listeners.host),
		n.server.Serve(background, listeners.peers),
	}
	loops := n.startLoops(background)
	n.Log().Info("node started")
	err = waitForEnd(ctx, ended)
	n.stop(callers)
	stopBackground()
	for _, loop := range loops {
		<-loop
	}
	_ = host.Close()
	n.Log().Info("node stopped")
	return err
}

type listeners struct {
	callers, host, peers net.Listener
}

func (n *Node) listen() (listeners, error) {
	var l listeners
	for _, want := range []struct {
		address string
		to      *net.Listener
	}{{n.settings.CallerAddress, &l.callers}, {n.settings.HostAddress, &l.host}, {n.settings.PeerAddress, &l.peers}} {
		listener, err := net.Listen("tcp", want.address)
		if err != nil {
			return l, fault.Wrap(err, fault.KindUnavailable, "cannot listen on "+want.address, "free the port or change the address in the settings")
		}
		*want.to = listener
	}
	return l, nil
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
	n.Log().Info("node stopping")
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopTimeout())
	defer cancel()
	n.entry.BeginStop()
	n.owner.DrainAll()
	n.gossiper.flush(ctx)
	time.Sleep(drainNotice)
	var wg sync.WaitGroup
	for _, stop := range []func(context.Context) error{callers.Shutdown, n.owner.Stop} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := stop(ctx); err != nil {
				n.Log().WithError(err).Warn("requests were still in flight at the stop timeout")
			}
		}()
	}
	wg.Wait()
	n.members.Leave()
	n.gossiper.flush(ctx)
	n.starter.withdraw(ctx)
}

// startLoops starts the background loops; each closes its channel at its end.
func (n *Node) startLoops(ctx context.Context) []<-chan struct{} {
	n.members.Join()
	return []<-chan struct{}{
		loop(ctx, n.starter.run),
		loop(ctx, n.gossiper.run),
		loop(ctx, n.gossiper.runAddressed),
		loop(ctx, n.runProbes),
		loop(ctx, n.runHousekeeping),
		loop(ctx, n.runRelay),
		loop(ctx, n.moves.run),
	}
}

func loop(ctx context.Context, run func(context.Context)) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		run(ctx)
	}()
	return done
}
