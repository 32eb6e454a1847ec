package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/request"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	probeInterval        = time.Second
	probeTimeout         = 500 * time.Millisecond
	indirectProbes       = 3
	indirectProbeTimeout = time.Second
	housekeepingInterval = 250 * time.Millisecond
)

// runProbes probes the nodes of this data centre in random order, one each
// probeInterval. In store mode each round also contacts members that died or left.
func (n *Node) runProbes(ctx context.Context) {
	var order []*wire.Member
	for ctx.Err() == nil {
		common.Sleep(ctx, common.Jittered(probeInterval))
		if len(order) == 0 {
			order = n.members.Peers()
			rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		}
		if len(order) > 0 {
			n.probe(ctx, order[0])
			order = order[1:]
		}
		if n.storeBootstrapper != nil {
			n.storeBootstrapper.contactGoneMembers(ctx)
		}
	}
}

// probe suspects a member that answers neither a direct ping nor one through
// another node.
func (n *Node) probe(ctx context.Context, member *wire.Member) {
	in := &wire.PingRequest{Node: n.settings.Node, Sequence: n.heldSequence()}
	sentAt := n.Now()
	out, err := n.control.Ping(ctx, member.GetAddress(), probeTimeout, in)
	if err == nil {
		n.recordContact(out.GetNode(), out.GetSequence())
		n.receiveConfirmation(out.GetSequence(), out.GetConfirmation(), sentAt)
		return
	}
	n.Count(`hibiscusrock_probe_failures_total`)
	if ctx.Err() != nil || n.probeIndirectly(ctx, member) {
		return
	}
	n.members.Suspect(member.GetNode())
}

func (n *Node) probeIndirectly(ctx context.Context, member *wire.Member) bool {
	helpers := sample(n.members.Peers(), indirectProbes+1)
	reached := make(chan bool, len(helpers))
	sent := 0
	for _, helper := range helpers {
		if helper.GetNode() == member.GetNode() || sent == indirectProbes {
			continue
		}
		sent++
		go func() {
			defer n.Contain("indirect probe", func() { reached <- false })
			out, err := n.control.Ping(ctx, helper.GetAddress(), indirectProbeTimeout, &wire.PingRequest{TargetAddress: member.GetAddress()})
			reached <- err == nil && out.GetReached()
		}()
	}
	for range sent {
		if <-reached {
			return true
		}
	}
	return false
}

// runHousekeeping applies timeouts and removes expired records every
// housekeepingInterval. It publishes the records of this host's backend servers
// again when this node's incarnation number has changed.
func (n *Node) runHousekeeping(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	incarnation := n.members.Incarnation()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.members.Tick()
		n.owner.Tick()
		n.evacuations.Tick()
		n.usage.tick()
		if n.holder != nil {
			n.holder.Tick()
		}
		if now := n.members.Incarnation(); now != incarnation {
			incarnation = now
			n.owner.Republish()
		}
		n.sweep()
	}
}

// sweep removes expired gossip records and the state that was derived from them.
func (n *Node) sweep() {
	for _, r := range n.records.Sweep() {
		n.members.Forget(r)
		n.crashTracker.Forget(r)
		if member := r.GetMember(); member != nil {
			n.forgetHeld(member.GetNode())
		}
	}
}

// forgetHeld drops the recorded sequence of a node that is gone.
func (n *Node) forgetHeld(name string) {
	if n.snapshots != nil {
		n.snapshots.Forget(name)
		return
	}
	n.holder.Forget(name)
}

// runColdChecks asks the backend servers of this host for their cold time, as far as the
// configuration limits requests to cold ones.
func (n *Node) runColdChecks(ctx context.Context) {
	for common.Sleep(ctx, request.ColdCheckInterval) {
		n.owner.CheckCold(ctx)
	}
}
