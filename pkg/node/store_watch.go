package node

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
)

// followStore watches the keys that operators write in the users' store, and reads them
// whenever neither the store nor a peer has confirmed lately what this node holds. Its
// counterpart in release mode is runRelay.
func (n *Node) followStore(ctx context.Context) {
	follower := store.NewFollower(n.Common, n.adapter.KV, n.adapter.OperatorPrefix,
		store.WithListed(n.receiveOperatorKeys),
		store.WithChanged(func(events []store.Event) {
			for _, event := range events {
				if event.Removed {
					n.receiveRemoval(event.KeyValue)
				} else {
					n.receiveOperatorKey(event.KeyValue)
				}
			}
		}),
		store.WithConfirmed(n.freshness.Confirm),
		store.WithWait(n.watchWait),
		store.WithCheck(n.checkDue),
		store.WithRetryPause(n.retryPause),
		store.WithReachability(n.storeBootstrapper.storeReached, n.storeBootstrapper.storeLost),
		store.WithUnreadable(n.storeUnreadable))
	follower.Run(ctx)
}

const (
	// firstWatchWait is the wait of the first nodes of each data centre, whose evidence the
	// others rely on.
	firstWatchWait = 1200 * time.Millisecond
	// spareWatchWait is the wait of the other nodes that watch. They only have to notice
	// changes without delay.
	spareWatchWait = 20 * time.Second
)

// maxEvacuatedNameBytes bounds the name of a data centre in a key.
const maxEvacuatedNameBytes = 200

// watchWait returns how long this node's next watch waits, or 0 for a node that does not
// watch, because it receives changes from others of its data centre.
func (n *Node) watchWait() time.Duration {
	rank, nodes := n.watchRank(), n.countAlivePeers()+1
	switch {
	case rank < shortWatchers(nodes):
		return firstWatchWait
	case rank < watchers(nodes):
		return spareWatchWait
	}
	return 0
}

// receiveOperatorKey processes a key that operators write. A panic is reported and leaves
// what this node holds as it is.
func (n *Node) receiveOperatorKey(kv store.KeyValue) {
	defer n.Contain("key "+kv.Key+" of the store", nil)
	switch {
	case kv.Key == n.adapter.ConfigurationKey:
		n.offerSnapshot(kv.ModRevision, kv.Value, "store")
	case strings.HasPrefix(kv.Key, n.adapter.OrderPrefix):
		n.rollouts.receiveOrder(kv)
	case n.evacuatedBy(kv.Key) != "":
		n.evacuations.Receive(n.evacuatedBy(kv.Key), kv.ModRevision, true)
	}
}

// receiveOperatorKeys processes all keys that operators have written up to a revision.
func (n *Node) receiveOperatorKeys(kvs []store.KeyValue, revision int64) {
	var evacuated []string
	for _, kv := range kvs {
		n.receiveOperatorKey(kv)
		if dataCentre := n.evacuatedBy(kv.Key); dataCentre != "" {
			evacuated = append(evacuated, dataCentre)
		}
	}
	n.evacuations.ReceiveAll(evacuated, revision)
}

// receiveRemoval processes the removal of a key that operators had written.
func (n *Node) receiveRemoval(kv store.KeyValue) {
	if dataCentre := n.evacuatedBy(kv.Key); dataCentre != "" {
		n.evacuations.Receive(dataCentre, kv.ModRevision, false)
	}
}

// evacuatedBy returns the data centre whose evacuation a key orders, or "".
func (n *Node) evacuatedBy(key string) string {
	dataCentre, ok := strings.CutPrefix(key, n.adapter.EvacuationPrefix)
	if !ok || n.adapter.EvacuationPrefix == "" || len(dataCentre) > maxEvacuatedNameBytes {
		return ""
	}
	return dataCentre
}

// onEvacuation puts an order to evacuate a data centre, or its end, into effect.
func (n *Node) onEvacuation(dataCentre string, active bool) {
	n.Event(event.DataCentreEvacuated).WithField("data_centre_evacuated", dataCentre).WithField("active", active).Info("evacuation of a data centre ordered or ended")
	if dataCentre == n.settings.DataCentre {
		n.owner.SetEvacuated(active)
	}
}

// offerSnapshot puts a configuration in force if it is newer than the present
// one; from names its source for the log.
func (n *Node) offerSnapshot(revision int64, content []byte, from string) {
	err := n.snapshots.Offer(revision, content)
	n.logOffer(err, revision, from)
	if fault.Is(err, fault.KindStale) {
		n.logSkipped(revision, content, from)
	}
}

// logOffer logs whether an offered configuration came into force or was
// refused.
func (n *Node) logOffer(err error, revision int64, from string) {
	if fault.Is(err, fault.KindStale) {
		return
	}
	fields := logrus.Fields{"revision": store.NumberOf(revision), "era": store.EraOf(revision), "from": from, "sequence": n.heldSequence()}
	if err != nil {
		n.Event(event.ConfigurationRefused).WithFields(fields).WithError(err).Warn("configuration refused")
		return
	}
	n.Event(event.ConfigurationInForce).WithFields(fields).Info("configuration in force")
}

// logSkipped logs a configuration that was not used although it differs from the one in
// force.
func (n *Node) logSkipped(revision int64, content []byte, from string) {
	held := n.snapshots.Newest()
	if revision == held.GetRevision() || bytes.Equal(content, held.GetContent()) {
		return
	}
	n.Event(event.ConfigurationSkipped).WithFields(logrus.Fields{
		"revision": store.NumberOf(revision), "era": store.EraOf(revision), "from": from,
		"sequence": held.GetSequence(), "held_revision": store.NumberOf(held.GetRevision()), "held_era": store.EraOf(held.GetRevision()),
	}).Info("configuration skipped")
}

func (n *Node) onSnapshotEnforced(*routing.Table) {
	n.owner.ApplyColdLimits()
	n.gossiper.notifyConfiguration()
}
