package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// askAge is the age of the evidence that the configuration is the newest one from which
	// a node asks peers for newer evidence. It exceeds firstWatchWait, within which those
	// that watch the store have some.
	askAge = 1300 * time.Millisecond
	// checkAge is the age of that evidence from which a node asks the store itself. The time
	// within which a change has to be in force also covers the call to the store.
	checkAge   = 1600 * time.Millisecond
	askTimeout = 250 * time.Millisecond
	// askInterval is the pause after an ask, and overdueAskInterval the one after the node
	// has begun to ask the store itself.
	askInterval        = 100 * time.Millisecond
	overdueAskInterval = 500 * time.Millisecond
	// watcherRetryPause and otherRetryPause are the longest pauses between reads of a store
	// that does not answer.
	watcherRetryPause = time.Second
	otherRetryPause   = 2 * time.Second
	// maxRetriesPerSecond bounds the calls of all nodes together to a store that none of
	// them reaches.
	maxRetriesPerSecond = 1000
)

// keepConfirmed asks peers whether the configuration in force is still the newest one,
// whenever the evidence for that is older than askAge.
func (n *Node) keepConfirmed(ctx context.Context) {
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	asked := 0
	var lastAsked time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		age := n.freshness.Age()
		if age < askAge {
			asked = 0
			continue
		}
		if age > checkAge && n.Now().Sub(lastAsked) < overdueAskInterval {
			continue
		}
		lastAsked = n.Now()
		n.askPeer(ctx, asked)
		asked++
	}
}

// askPeer asks a peer of this data centre for evidence: first those that watch the store,
// then others at random.
func (n *Node) askPeer(ctx context.Context, asked int) {
	peer := n.peerToAsk(asked)
	if peer == nil {
		return
	}
	sentAt := n.Now()
	out, err := n.control.Ping(ctx, peer.GetAddress(), askTimeout, &wire.PingRequest{Node: n.settings.Node, Sequence: n.heldSequence()})
	if err != nil {
		n.Count(`hibiscusrock_freshness_asks_failed_total`)
		return
	}
	n.Count(`hibiscusrock_freshness_asks_total`)
	n.recordContact(out.GetNode(), out.GetSequence())
	if out.GetSequence() > n.heldSequence() {
		n.gossiper.pull(ctx, peer.GetAddress())
	}
	n.receiveConfirmation(out.GetSequence(), out.GetConfirmation(), sentAt)
}

func (n *Node) peerToAsk(asked int) *wire.Member {
	if watchers := n.otherWatchers(); asked < len(watchers) {
		return watchers[asked]
	}
	if peers := sample(n.members.Peers(), 1); len(peers) > 0 {
		return peers[0]
	}
	return nil
}

// otherWatchers returns the nodes of this data centre that watch the store according to
// this node's members. Each node asks one of those with a short wait first.
func (n *Node) otherWatchers() []*wire.Member {
	candidates := slices.DeleteFunc(n.members.Peers(), func(member *wire.Member) bool {
		return member.GetState() != wire.MemberState_MEMBER_STATE_ALIVE || member.GetStoreLost()
	})
	slices.SortFunc(candidates, func(a, b *wire.Member) int { return compareForTask("watch", a, b) })
	short := min(shortWatchers(n.countAlivePeers()+1), len(candidates))
	rand.Shuffle(short, func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(len(candidates), max(short, watchersPerDataCentre))]
}

// receiveConfirmation processes a peer's sequence and evidence, which it sent in answer to a
// message that was sent at a time.
func (n *Node) receiveConfirmation(sequence uint64, c *wire.Confirmation, sentAt time.Time) {
	if n.freshness != nil && sequence <= n.heldSequence() {
		n.freshness.ConfirmBy(c, sentAt)
	}
}

// confirmed returns the sequence that this node holds and the evidence that it is the newest
// one, or nil.
func (n *Node) confirmed() (*wire.Confirmation, uint64) {
	if n.freshness == nil {
		return nil, n.heldSequence()
	}
	// In this order, because evidence of a newer sequence would not hold for an older one.
	confirmation := n.freshness.Confirmation()
	return confirmation, n.heldSequence()
}

// checkDue reports whether this node has to ask the store for changes at once, and the
// revision after which.
func (n *Node) checkDue() (after int64, due bool) {
	return n.freshness.Revision(), n.freshness.Age() > checkAge
}

// retryPause returns the longest pause between reads of a store that does not answer. Nodes
// that watch for others retry soonest.
func (n *Node) retryPause() time.Duration {
	if n.watchTurn() {
		return watcherRetryPause
	}
	return max(otherRetryPause, time.Duration(n.members.Len())*time.Second/maxRetriesPerSecond)
}

// storeUnreadable announces to peers that this node cannot reach the store, if they may rely
// on it.
func (n *Node) storeUnreadable() {
	if n.watchTurn() {
		n.members.AnnounceStoreLost(true)
	}
}
