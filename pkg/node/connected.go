package node

import (
	"context"
	"net/http"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/distribution"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
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
