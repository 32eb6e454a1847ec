package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
)

const (
	releaseLeaderLeaseTTL      = 6 * time.Second
	releaseLeaderRenewInterval = 2 * time.Second
	storeCallTimeout           = 500 * time.Millisecond
)

// election configures how the leader is elected: the key and lease in the store
// and the calls that reach it. In store mode the whole deployment has one
// leader, in release mode each data centre.
type election struct {
	key           string
	leaseTTL      time.Duration
	renewInterval time.Duration
	get           func(ctx context.Context, key string) (store.KeyValue, bool, error)
	swap          func(ctx context.Context, modRevision int64, writes ...store.Write) (bool, store.KeyValue, error)
	grant         func(ctx context.Context, ttl time.Duration) (int64, error)
	keepAlive     func(ctx context.Context, lease int64) (bool, error)
	revoke        func(ctx context.Context, lease int64) error
	// eligible reports whether this node may try to become the leader.
	eligible func() bool
	// onStepDown is called after this node stopped being the leader.
	onStepDown func()
}

// leadership is this node's part in the election of the leader, the one node
// that decides shares. Store keys, log events and fields, metrics and
// /debug/state call the leader the steward. The store revision at which the lease
// was taken is the epoch of the leader's decisions. While the store is out of
// reach nobody can take over the lease, so its holder goes on deciding; if another
// node takes it over all the same, the decisions of that node carry a higher epoch
// and win.
type leadership struct {
	*common.Common
	node     string
	election election
	leaseID  int64
	// renewed is when the store last confirmed the lease, in Unix nanoseconds.
	renewed  atomic.Int64
	epoch    atomic.Uint64
	nextCall time.Time
	// superseded is set when a record of a newer leader was received.
	superseded atomic.Bool
}

func newLeadership(cm *common.Common, node string, e election) *leadership {
	return &leadership{Common: cm, node: node, election: e}
}

func (l *leadership) isHeld() bool { return l.epoch.Load() != 0 }

// tick acquires, renews or gives up the lease; wanted reports whether there is
// anything to decide.
func (l *leadership) tick(ctx context.Context, wanted bool) {
	if l.superseded.Swap(false) && l.isHeld() {
		l.stepDown("a newer leader decides")
	}
	idle := !l.isHeld() && !(wanted && l.election.eligible())
	if idle || l.Now().Before(l.nextCall) {
		return
	}
	l.nextCall = l.Now().Add(common.Jittered(l.election.renewInterval))
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	switch {
	case l.isHeld() && !wanted:
		l.resign()
	case l.isHeld():
		l.renew(ctx)
	default:
		l.acquire(ctx)
	}
}

// acquire takes the lease unless another node has it. A key that names this node is of a
// lease that it holds no more, as after a restart or a restoration of the store.
func (l *leadership) acquire(ctx context.Context) {
	current, taken, err := l.election.get(ctx, l.election.key)
	if err != nil || taken && string(current.Value) != l.node {
		return
	}
	lease, err := l.election.grant(ctx, l.election.leaseTTL)
	if err != nil {
		return
	}
	swapped, kv, err := l.election.swap(ctx, current.ModRevision, store.Write{Key: l.election.key, Value: []byte(l.node), Lease: lease})
	if err != nil || !swapped {
		return
	}
	l.leaseID = lease
	l.renewed.Store(l.Now().UnixNano())
	l.epoch.Store(uint64(kv.ModRevision))
	l.Event(event.LeaderElected).WithField("epoch", kv.ModRevision).Info("this node is the leader")
}

func (l *leadership) renew(ctx context.Context) {
	alive, err := l.election.keepAlive(ctx, l.leaseID)
	switch {
	case err != nil:
	case alive:
		l.renewed.Store(l.Now().UnixNano())
	default:
		l.stepDown("the lease expired")
	}
}

// isStranded reports whether the lease may have expired because this node
// cannot reach the store.
func (l *leadership) isStranded() bool {
	return l.Now().Sub(time.Unix(0, l.renewed.Load())) > l.election.leaseTTL
}

// stepDown ends this node's leadership.
func (l *leadership) stepDown(cause string) {
	l.Count(`hibiscusrock_steward_stood_down_total`)
	l.Event(event.LeaderSteppedDown).WithField("cause", cause).Info("this node is no longer the leader")
	l.leaseID = 0
	l.epoch.Store(0)
	l.election.onStepDown()
}

// supersede ends this node's leadership at the next tick, because a newer
// leader decides.
func (l *leadership) supersede() { l.superseded.Store(true) }

// resign revokes the lease, so that another node need not wait for it to
// expire.
func (l *leadership) resign() {
	if !l.isHeld() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	_ = l.election.revoke(ctx, l.leaseID)
	l.stepDown("no rollout to decide, or the node is stopping")
}
