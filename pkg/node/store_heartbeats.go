package node

import (
	"context"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/fleet"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// maxLeaveWait bounds how long the answer to a leaving backend server waits
// until other nodes know that it leaves.
const maxLeaveWait = 300 * time.Millisecond

// receiveHeartbeat processes a heartbeat of the backend server on this host.
// The records of peers supply what an earlier incarnation of this node knew of
// the backend server.
func (n *Node) receiveHeartbeat(ctx context.Context, record *wire.Endpoint) {
	if n.storeBootstrapper.queueUntilJoined(record) {
		return
	}
	record.Node, record.DataCentre = n.settings.Node, n.settings.DataCentre
	key := fleet.EndpointKey(n.settings.Node, record.GetInstance())
	if n.owner.Heartbeat(record, n.records.Get(key).GetEndpoint()) {
		n.propagateLeave(ctx)
	}
}

// receiveLeave takes a backend server out of use for the rest of its
// incarnation.
func (n *Node) receiveLeave(ctx context.Context, instance string, born int64) {
	if n.owner.Leave(instance, born) {
		n.propagateLeave(ctx)
	}
}

// propagateLeave sends a leave to other nodes and to the registry before it is
// acknowledged, since this node may stop at any moment and keeps no state.
func (n *Node) propagateLeave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxLeaveWait)
	defer cancel()
	updating := n.startTask(ctx, "registration", func(ctx context.Context) { n.storeBootstrapper.registrar.update(ctx) })
	n.gossiper.round(ctx, pushFanout)
	<-updating
}
