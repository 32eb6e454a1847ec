package node

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/catalog"
	"github.com/hibiscusrock/hibiscusrock/pkg/distribution"
	"github.com/hibiscusrock/hibiscusrock/pkg/platform"
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
		pause(ctx, jittered(relayCheck))
	}
}

// watchHead watches the head until the watch breaks, this node is no longer a
// relay, or it is time to make sure that the watch still answers.
func (n *Node) watchHead(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changes := make(chan platform.KeyValue, 1)
	ended := loop(ctx, func(ctx context.Context) {
		_ = n.platform.Watch(ctx, platform.HeadKey, func(kv platform.KeyValue) { replace(changes, kv) })
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
func replace(ch chan platform.KeyValue, kv platform.KeyValue) {
	select {
	case <-ch:
	default:
	}
	ch <- kv
}

func (n *Node) readHead(ctx context.Context) {
	kv, found, err := n.platform.Get(ctx, platform.HeadKey)
	if err == nil && found {
		n.takeHead(ctx, kv)
	}
}

// platformSource fetches a release's documents from the platform.
func (n *Node) platformSource() distribution.Source {
	return catalog.New(n.platform).Source()
}

// claimLease is the lease of this node's claims. It is long and never renewed,
// so that a paused node loses no claim.
type claimLease struct {
	client *platform.Client
	now    func() time.Time

	mu      sync.Mutex
	id      int64
	granted time.Time
}

func (l *claimLease) get(ctx context.Context) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id != 0 && l.now().Sub(l.granted) < claimLeaseRenewal {
		return l.id, nil
	}
	id, err := l.client.Grant(ctx, claimLeaseTTL)
	if err != nil {
		return 0, err
	}
	l.id, l.granted = id, l.now()
	return id, nil
}
