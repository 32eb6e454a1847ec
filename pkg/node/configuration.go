package node

import (
	"context"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// table returns the routing table in force, or nil.
func (n *Node) table() *routing.Table {
	if n.snapshots != nil {
		return n.snapshots.Table()
	}
	return n.holder.Table()
}

// heldSequence returns the sequence of the newest configuration that this node
// holds.
func (n *Node) heldSequence() uint64 {
	if n.snapshots != nil {
		return n.snapshots.Sequence()
	}
	return n.holder.Held().Sequence()
}

// heldSequenceOf returns the sequence of the newest configuration that a node
// reported to hold.
func (n *Node) heldSequenceOf(name string) uint64 {
	if n.snapshots != nil {
		return n.snapshots.HeldBy(name)
	}
	return n.holder.HeldBy(name)
}

// attach adds the newest configuration to a message if it has at most
// maxPushedBytes. A snapshot is not sent to other data centres: they read it
// from the store themselves.
func (n *Node) attach(in *wire.ExchangeRequest, member *wire.Member) {
	if n.snapshots != nil {
		if member.GetDataCentre() != n.settings.DataCentre {
			return
		}
		if packed, err := n.snapshots.PackedFor(n.heldSequenceOf(member.GetNode())); err == nil && len(packed.GetContent()) <= maxPushedBytes {
			in.Snapshot = packed
		}
		return
	}
	if held := n.holder.Held(); len(held.Signed().GetBody()) <= maxPushedBytes {
		in.Release = held.Signed()
	}
}

// receiveConfiguration processes the configuration that a peer sent, or fetches
// it from address if the message has none.
func (n *Node) receiveConfiguration(ctx context.Context, address string, release *wire.SignedRelease, snapshot *wire.Snapshot) {
	switch {
	case n.snapshots != nil && snapshot != nil:
		n.receiveSnapshot(ctx, address, snapshot)
	case n.snapshots == nil && release != nil:
		n.offer(ctx, release, n.peerSource(address))
	default:
		n.gossiper.pull(ctx, address)
	}
}

// receiveSnapshot processes a snapshot from a peer. If it is compressed against
// a snapshot that this node does not hold, it fetches one that it can
// decompress.
func (n *Node) receiveSnapshot(ctx context.Context, address string, packed *wire.Snapshot) {
	err := n.snapshots.OfferPacked(packed)
	if fault.Is(err, fault.KindMissing) {
		n.Count(`hibiscusrock_snapshot_base_missing_total`)
		n.gossiper.pull(ctx, address)
		return
	}
	n.logOffer(err, packed.GetRevision(), "peer "+address)
}

// remotePullDelay is the time for a newer configuration to arrive from the
// store before it is fetched from another data centre. Traffic between data
// centres is charged by the byte.
const remotePullDelay = 500 * time.Millisecond

// mayPull reports whether to fetch a newer configuration from member, which sent
// the sequence that it holds.
func (n *Node) mayPull(member *wire.Member, sequence uint64) bool {
	if n.snapshots == nil || member.GetDataCentre() == n.settings.DataCentre {
		return true
	}
	return n.snapshots.BehindFor(sequence) >= remotePullDelay
}

// recordContact records that a node answered or called, and the sequence that
// it holds.
func (n *Node) recordContact(name string, sequence uint64) {
	r := n.records.Get(gossip.PrefixMember + name)
	if n.snapshots != nil {
		if r != nil {
			n.snapshots.RecordHeld(name, sequence)
		}
		return
	}
	n.releaseBootstrapper.recordHeld(name, sequence)
	if r != nil {
		n.holder.RecordHeld(name, sequence, r.GetMember().GetDataCentre() == n.settings.DataCentre)
	}
}

// hostsService reports whether a backend server of the service runs on this
// host.
func (n *Node) hostsService(service string) bool {
	for _, b := range n.owner.Backends() {
		if b.Record().GetService() == service {
			return true
		}
	}
	return false
}
