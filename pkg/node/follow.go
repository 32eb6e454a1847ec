package node

import (
	"context"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
)

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

// sinceHeard returns the time since a peer last answered or called.
func (n *Node) sinceHeard() time.Duration {
	return n.Now().Sub(time.Unix(0, n.lastHeard.Load()))
}
