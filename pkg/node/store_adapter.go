package node

import (
	"context"
	"net/http"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/distribution"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/link"
	"github.com/hibiscusrock/hibiscusrock/pkg/listener"
	"github.com/hibiscusrock/hibiscusrock/pkg/request"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// StoreAdapter connects a node in store mode to the users' platform: its
// key-value store, its header names and key prefixes, and the encoding of its
// documents.
type StoreAdapter struct {
	KV store.KV
	// Era returns the newest known era of the store.
	Era     func() int64
	Headers request.Headers
	// OperatorPrefix is the prefix of the keys that operators write,
	// ConfigurationKey and those under OrderPrefix among them.
	OperatorPrefix   string
	ConfigurationKey string
	OrderPrefix      string
	// EvacuationPrefix is the prefix of the keys that each order the evacuation of the
	// data centre in the rest of the key, as long as the key exists.
	EvacuationPrefix string
	// StatusPrefix is the prefix of the keys that hold the status of orders for
	// operators.
	StatusPrefix        string
	DecodeConfiguration func(content []byte) (bundle.Snapshot, error)
	DecodeOrder         func(content []byte) (rollout.Order, error)
	EncodeStatus        func(rollout.Status) ([]byte, error)
	DecodeStatus        func(content []byte) (rollout.Status, error)
	// Register adds the handlers of the platform's calls to the mux that serves
	// this host.
	Register func(*http.ServeMux, HostCalls)
}

// HostCalls are the functions of a node that the backend server of this host
// and the platform may call.
type HostCalls struct {
	// Heartbeat processes the heartbeat of a backend server, which carries the
	// start of the server's incarnation and the number of the heartbeat within
	// that incarnation. If the heartbeat says that the backend server leaves, the call returns once
	// other nodes know of it, as far as that is possible within maxLeaveWait.
	Heartbeat func(ctx context.Context, record *wire.Endpoint)
	// Leave takes a backend server out of use for the rest of its incarnation,
	// which started at born in Unix milliseconds, or 0 if that is unknown.
	Leave func(ctx context.Context, instance string, born int64)
	// Ready reports whether this node serves callers.
	Ready func() bool
	// Refused counts and logs a call that could not be decoded.
	Refused func(reason string, err error)
}

// buildStoreMode builds the parts of a node that takes snapshots from the
// users' store.
func (n *Node) buildStoreMode() {
	n.snapshots = distribution.NewSnapshots(n.Common, n.adapter.DecodeConfiguration, n.onSnapshotEnforced)
	n.freshness = distribution.NewFreshness(n.Now)
	n.storeBootstrapper = newStoreBootstrapper(n)
	n.rollouts = newStoreRollouts(n)
	n.buildStoreRequests()
}

func (n *Node) buildStoreRequests() {
	n.recorder = rollout.NewRecorder(n.Now)
	var cleanUp func()
	n.owner, cleanUp = request.NewOwner(n.Common, n.recorder, n.crashTracker, request.OwnerHooks{
		QueueLength:  n.queueLength,
		Joined:       n.storeBootstrapper.hasJoined,
		Halted:       n.rollouts.isHalted,
		IsMoveTarget: n.rollouts.isMoving,
		ColdStart:    n.coldStart,
		Announce:     n.announce,
	}, request.WithOwnerHeaders(n.adapter.Headers), request.WithPeerBuffers(n.peerBuffers), request.WithLink(link.NewPacer(n.Now, n.settings.LinkMbps)))
	n.cleanUps = append(n.cleanUps, cleanUp)
	n.entry = request.NewEntry(n.Common, n.settings.Node, n.owner, n.crashTracker, n.newPicker(), request.EntryHooks{
		Table:    n.table,
		Shares:   func(_ *routing.Table, service string) routing.Shares { return n.rollouts.shares(service) },
		Standby:  func(*routing.Table, string) string { return "" },
		Usage:    n.usage.spender,
		Address:  n.address,
		CallPeer: n.calls.Call,

		CallPeerWithBody: n.calls.CallWithBody,
	},
		request.WithArrival(listener.Arrival), request.WithBuffers(n.callerBuffers), request.WithHedging(n.newHedging()),
		request.WithHeaders(n.adapter.Headers),
		request.WithCaller(n.settings.CallerService),
		request.WithBudget(request.NewSharedBudget(n.Now, n.settings.Retries.Burst, n.members.Len)))
}

// hostCalls returns the functions that the platform may call.
func (n *Node) hostCalls() HostCalls {
	return HostCalls{
		Heartbeat: n.receiveHeartbeat,
		Leave:     n.receiveLeave,
		Ready:     n.isReady,
		Refused: func(reason string, err error) {
			n.Count(`hibiscusrock_announcements_refused_total{reason="` + reason + `"}`)
			n.Event(event.AnnouncementRefused).WithField("reason", reason).WithError(err).Warn("announcement refused")
		},
	}
}

func (n *Node) isReady() bool { return n.ready.Load() && n.table() != nil }
