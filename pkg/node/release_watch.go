package node

import (
	"context"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
)

const (
	// headPollInterval bounds the time for which a watch that stopped
	// delivering without an error stays unnoticed.
	headPollInterval          = 4 * time.Second
	relayCheckInterval        = time.Second
	claimLeaseTTL             = 48 * time.Hour
	claimLeaseReplaceInterval = 24 * time.Hour
)

// runRelay watches the newest release on the platform while this node is a
// relay. Its counterpart in store mode is followStore.
func (n *Node) runRelay(ctx context.Context) {
	for ctx.Err() == nil {
		if n.releaseBootstrapper.isStarted() && n.members.IsRelay() {
			n.watchHead(ctx)
		}
		common.Sleep(ctx, common.Jittered(relayCheckInterval))
	}
}

// watchHead watches the key of the newest release until the watch ends or this
// node is no longer a relay. It also reads the key every headPollInterval.
func (n *Node) watchHead(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changes := make(chan store.KeyValue, 1)
	ended := n.startTask(ctx, "watch of the newest release", func(ctx context.Context) {
		_ = n.platform.Watch(ctx, store.HeadKey, func(kv store.KeyValue) { replace(changes, kv) })
	})
	ticker := time.NewTicker(headPollInterval)
	defer ticker.Stop()
	for n.members.IsRelay() {
		select {
		case <-ctx.Done():
			return
		case <-ended:
			n.Count(`hibiscusrock_platform_watch_breaks_total`)
			return
		case kv := <-changes:
			// An empty value means that the watch has started. Earlier changes
			// are not reported, so the key is read.
			if kv.Key != "" {
				n.receiveHead(ctx, kv)
				continue
			}
			n.readHead(ctx)
		case <-ticker.C:
			n.readHead(ctx)
		}
	}
}

// replace puts kv into a channel of capacity one in place of the value in it.
func replace(ch chan store.KeyValue, kv store.KeyValue) {
	select {
	case <-ch:
	default:
	}
	ch <- kv
}

func (n *Node) readHead(ctx context.Context) {
	kv, found, err := n.platform.Get(ctx, store.HeadKey)
	if err == nil && found {
		n.receiveHead(ctx, kv)
	}
}
