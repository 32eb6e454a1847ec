package node

import (
	"context"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// table returns the table in force, or nil.
func (n *Node) table() *routing.Table {
	if n.snapshots != nil {
		return n.snapshots.Table()
	}
	return n.holder.Table()
}

// held returns the sequence of the newest configuration that this node holds.
func (n *Node) held() uint64 {
	if n.snapshots != nil {
		return n.snapshots.Sequence()
	}
	return n.holder.Held().Sequence()
}

// heldBy returns the sequence that a node was last heard to hold.
func (n *Node) heldBy(name string) uint64 {
	if n.snapshots != nil {
		return n.snapshots.HeldBy(name)
	}
	return n.holder.HeldBy(name)
}

// attach adds the newest configuration to a message, if it is small. Other data
// centres read a snapshot from the store themselves.
func (n *Node) attach(in *wire.ExchangeRequest, member *wire.Member) {
	if n.snapshots != nil {
		if member.GetDataCentre() != n.settings.DataCentre {
			return
		}
		if packed, err := n.snapshots.PackedFor(n.heldBy(member.GetNode())); err == nil && len(packed.GetContent()) <= largestPushed {
			in.Snapshot = packed
		}
		return
	}
	if held := n.holder.Held(); len(held.Signed().GetBody()) <= largestPushed {
		in.Release = held.Signed()
	}
}

// take takes in the configuration that a peer sent, or fetches it from address.
func (n *Node) take(ctx context.Context, address string, release *wire.SignedRelease, snapshot *wire.Snapshot) {
	switch {
	case n.snapshots != nil && snapshot != nil:
		n.takeSnapshot(ctx, address, snapshot)
	case n.snapshots == nil && release != nil:
		n.offer(ctx, release, n.peerSource(address))
	default:
		n.gossiper.pull(ctx, address)
	}
}

// takeSnapshot takes in a snapshot from a peer, and fetches one that fits when
// it is compressed against another than the one held.
func (n *Node) takeSnapshot(ctx context.Context, address string, packed *wire.Snapshot) {
	err := n.snapshots.OfferPacked(packed)
	if fault.Is(err, fault.KindMissing) {
		n.Count(`hibiscusrock_snapshot_base_missing_total`)
		n.gossiper.pull(ctx, address)
		return
	}
	n.noteOffer(err, packed.GetRevision(), "peer "+address)
}

// pullDelay is the time that the store's own news has before a newer
// configuration is fetched from another data centre, whose bytes are paid for.
const pullDelay = 500 * time.Millisecond

// mayPull decides whether to fetch a newer configuration that a peer mentioned.
func (n *Node) mayPull(member *wire.Member, sequence uint64) bool {
	if n.snapshots == nil || member.GetDataCentre() == n.settings.DataCentre {
		return true
	}
	return n.snapshots.KnownFor(sequence) >= pullDelay
}

// heard notes what a node holds.
func (n *Node) heard(name string, sequence uint64) {
	n.lastHeard.Store(n.Now().UnixNano())
	r := n.records.Get(gossip.PrefixMember + name)
	if n.snapshots != nil {
		if r != nil {
			n.snapshots.Heard(name, sequence)
		}
		return
	}
	n.starter.heard(name, sequence)
	if r != nil {
		n.holder.Heard(name, sequence, r.GetMember().GetDataCentre() == n.settings.DataCentre)
	}
}

// hostsService reports whether a backend server of the service runs on this host.
func (n *Node) hostsService(service string) bool {
	for _, b := range n.owner.Backends() {
		if b.Record().GetService() == service {
			return true
		}
	}
	return false
}
