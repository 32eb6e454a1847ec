package node

import (
	"context"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
)

const (
	// headPollInterval bounds how long a watch that went silent stays unnoticed.
	headPollInterval  = 4 * time.Second
	relayCheck        = time.Second
	claimLeaseTTL     = 48 * time.Hour
	claimLeaseRenewal = 24 * time.Hour
)

// runRelay follows the platform's newest release while this node is a relay.
func (n *Node) runRelay(ctx context.Context) {
	for ctx.Err() == nil {
		if n.starter.isStarted() && n.members.IsRelay() {
			n.watchHead(ctx)
		}
		common.Sleep(ctx, common.Jittered(relayCheck))
	}
}

// watchHead watches the head until the watch breaks, this node is no longer a
// relay, or it is time to make sure that the watch still answers.
func (n *Node) watchHead(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changes := make(chan store.KeyValue, 1)
	ended := loop(ctx, func(ctx context.Context) {
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
			if kv.Key != "" {
				n.takeHead(ctx, kv)
				continue
			}
			n.readHead(ctx)
		case <-ticker.C:
			n.readHead(ctx)
		}
	}
}

// replace puts kv into a channel of length one in place of what it holds.
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
		n.takeHead(ctx, kv)
	}
}
