package node

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/store"
)

// claimLease is the lease of this node's claims, in release mode. A lease is
// long and never renewed, so that a paused node loses no claim; new claims get
// a new lease after claimLeaseReplaceInterval.
type claimLease struct {
	client *store.Client
	now    func() time.Time

	mu      sync.Mutex
	id      int64
	granted time.Time
}

func (l *claimLease) get(ctx context.Context) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id != 0 && l.now().Sub(l.granted) < claimLeaseReplaceInterval {
		return l.id, nil
	}
	id, err := l.client.Grant(ctx, claimLeaseTTL)
	if err != nil {
		return 0, err
	}
	l.id, l.granted = id, l.now()
	return id, nil
}
