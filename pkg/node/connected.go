package node

import (
	"cmp"
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/distribution"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/request"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// Connection is what a node needs of the users' platform: its store, the names
// of its headers and keys, and the forms of its documents.
type Connection struct {
	KV      store.KV
	Headers request.Headers
	// OperatorPrefix starts the keys that operators write; the configuration
	// and the orders are among them.
	OperatorPrefix   string
	ConfigurationKey string
	OrderPrefix      string
	// StatusPrefix starts the keys that tell operators where orders stand.
	StatusPrefix string
	// DecodeConfiguration returns the version of a configuration and its parts.
	DecodeConfiguration func(content []byte) (uint64, []bundle.Part, error)
	DecodeOrder         func(content []byte) (rollout.Order, error)
	EncodeStatus        func(rollout.Status) ([]byte, error)
	DecodeStatus        func(content []byte) (rollout.Status, error)
	// Register adds the platform's calls to the handler for this host.
	Register func(*http.ServeMux, HostCalls)
}

// HostCalls is what the backend server of this host and the platform may ask of a node.
type HostCalls struct {
	// Heartbeat takes an announcement in, which holds the start of the backend
	// server's life and its number. It returns once a leave that it brings is
	// known beyond this node, as far as that is possible.
	Heartbeat func(ctx context.Context, record *wire.Endpoint)
	// Leave takes a backend server out of use, as its last word.
	Leave func(ctx context.Context, instance string, born int64)
	// Ready reports whether this node serves callers.
	Ready func() bool
	// Refused counts a call that could not be read.
	Refused func(reason string, err error)
}

// buildConnected builds what a node needs that follows the users' store.
func (n *Node) buildConnected() {
	n.snapshots = distribution.NewSnapshots(n.Common, n.link.DecodeConfiguration, n.snapshotEnforced)
	n.joiner = newJoiner(n)
	n.rollouts = newRollouts(n)
	n.buildConnectedRequests()
}

func (n *Node) buildConnectedRequests() {
	n.recorder = rollout.NewRecorder()
	var cleanUp func()
	n.owner, cleanUp = request.NewOwner(n.Common, n.recorder, n.ward, request.OwnerHooks{
		QueueLength: n.queueLength,
		Halted: func(service, version string) bool {
			return !n.joiner.hasJoined() || n.rollouts.halted(service, version)
		},
		Moving:   n.rollouts.moving,
		Announce: n.announce,
	}, request.WithOwnerHeaders(n.link.Headers))
	n.cleanUps = append(n.cleanUps, cleanUp)
	n.entry = request.NewEntry(n.Common, n.settings.Node, n.owner, n.ward, n.newPicker(), request.EntryHooks{
		Table:    n.table,
		Shares:   func(_ *routing.Table, service string) routing.Shares { return n.rollouts.shares(service) },
		Standby:  func(*routing.Table, string) string { return "" },
		Address:  n.address,
		CallPeer: n.calls.Call,
	},
		request.WithHeaders(n.link.Headers),
		request.WithCaller(n.settings.CallerService),
		request.WithBudget(request.NewSharedBudget(n.Now, n.settings.Retries.Burst, n.members.Len)))
}

// followStore follows what the operators write.
func (n *Node) followStore(ctx context.Context) {
	follower := store.NewFollower(n.Common, n.link.KV, n.link.OperatorPrefix,
		store.WithListed(func(kvs []store.KeyValue) {
			for _, kv := range kvs {
				n.takeOperatorKey(kv)
			}
		}),
		store.WithChanged(func(events []store.Event) {
			for _, event := range events {
				if !event.Removed {
					n.takeOperatorKey(event.KeyValue)
				}
			}
		}),
		store.WithWait(n.watchWait),
		store.WithReach(n.joiner.storeReached, n.joiner.storeLost))
	follower.Run(ctx)
}

const (
	// checkWait bounds the time for which the whole deployment can miss a change
	// because watches went silent; it is well below the time in which a change
	// has to be in force.
	checkWait = 800 * time.Millisecond
	// spareCheckWait is the same for the node that stands in for the first.
	spareCheckWait = 2 * time.Second
	// watchers is the number of nodes of each data centre that watch, so that one
	// may fail; watcherWait is their wait.
	watchers    = 2
	watcherWait = 20 * time.Second
	// lonelyTime is the time without a word from a peer after which a node
	// watches by itself.
	lonelyTime = 1200 * time.Millisecond
)

// watchWait returns how long this node's next watch waits. One node looks often
// and a few of each data centre wait long; the others hear from them.
func (n *Node) watchWait() time.Duration {
	rank, local := n.ranks("watch")
	switch {
	case rank == 0 || n.sinceHeard() > lonelyTime:
		return checkWait
	case rank == 1:
		return spareCheckWait
	case local < watchers:
		return watcherWait
	}
	return 0
}

func (n *Node) takeOperatorKey(kv store.KeyValue) {
	switch {
	case kv.Key == n.link.ConfigurationKey:
		n.offerSnapshot(kv.ModRevision, kv.Value, "store")
	case strings.HasPrefix(kv.Key, n.link.OrderPrefix):
		n.rollouts.takeOrder(kv)
	}
}

// offerSnapshot brings a configuration into force if it is newer.
func (n *Node) offerSnapshot(revision int64, content []byte, from string) {
	n.noteOffer(n.snapshots.Offer(revision, content), revision, from)
}

// noteOffer logs what became of an offered configuration.
func (n *Node) noteOffer(err error, revision int64, from string) {
	if fault.Is(err, fault.KindStale) {
		return
	}
	fields := logrus.Fields{"revision": revision, "from": from, "sequence": n.held()}
	if err != nil {
		n.Event(event.ConfigurationRefused).WithFields(fields).WithError(err).Warn("configuration refused")
		return
	}
	n.Event(event.ConfigurationInForce).WithFields(fields).Info("configuration in force")
}

func (n *Node) snapshotEnforced(*routing.Table) { n.gossiper.wakeRelease() }

// hostCalls returns what the platform may ask of this node.
func (n *Node) hostCalls() HostCalls {
	return HostCalls{
		Heartbeat: n.takeHeartbeat,
		Leave:     n.takeLeave,
		Ready:     n.isReady,
		Refused: func(reason string, err error) {
			n.Count(`hibiscusrock_announcements_refused_total{reason="` + reason + `"}`)
			n.Event(event.AnnouncementRefused).WithField("reason", reason).WithError(err).Warn("announcement refused")
		},
	}
}

func (n *Node) isReady() bool { return n.ready.Load() && n.table() != nil }

// ranks returns this node's rank for a task among the live nodes of the
// deployment and of its data centre, in an order of its own for each task.
// Hosts on wider links come first.
func (n *Node) ranks(task string) (all, local int) {
	own := n.members.Self()
	for _, member := range n.members.All() {
		alive := member.GetState() == wire.MemberState_MEMBER_STATE_ALIVE
		if !alive || compareForTask(task, member, own) >= 0 {
			continue
		}
		all++
		if member.GetDataCentre() == n.settings.DataCentre {
			local++
		}
	}
	return all, local
}

// compareForTask returns a negative number when a goes before b for a task.
func compareForTask(task string, a, b *wire.Member) int {
	hash := func(m *wire.Member) uint64 { return xxhash.Sum64String(task + "/" + m.GetNode()) }
	return cmp.Or(cmp.Compare(b.GetLinkMbps(), a.GetLinkMbps()), cmp.Compare(hash(a), hash(b)))
}

// sinceHeard returns the time since a peer last answered or called.
func (n *Node) sinceHeard() time.Duration {
	return n.Now().Sub(time.Unix(0, n.lastHeard.Load()))
}
