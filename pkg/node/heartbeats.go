package node

import (
	"context"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/fleet"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// leaveNotice bounds the time for which the answer to a leaving backend server
// waits until other nodes know of it.
const leaveNotice = 300 * time.Millisecond

// takeHeartbeat takes an announcement of the backend server on this host in. A
// node that was restarted learns from its peers what it was told before.
func (n *Node) takeHeartbeat(ctx context.Context, record *wire.Endpoint) {
	if n.joiner.hold(record) {
		return
	}
	record.Node, record.DataCentre = n.settings.Node, n.settings.DataCentre
	key := fleet.EndpointKey(n.settings.Node, record.GetInstance())
	if n.owner.Heartbeat(record, n.records.Get(key).GetEndpoint()) {
		n.tellOthers(ctx)
	}
}

// takeLeave takes a backend server out of use, as its last word.
func (n *Node) takeLeave(ctx context.Context, instance string, born int64) {
	if n.owner.Leave(instance, born) {
		n.tellOthers(ctx)
	}
}

// tellOthers spreads what was just announced before the announcement is
// answered, since this node may forget it at any moment.
func (n *Node) tellOthers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveNotice)
	defer cancel()
	registered := loop(ctx, func(ctx context.Context) { n.joiner.registrar.update(ctx) })
	n.gossiper.round(ctx, pushFanout)
	<-registered
}
