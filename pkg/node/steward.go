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
	stewardLease     = 6 * time.Second
	stewardRenewal   = 2 * time.Second
	platformPatience = 500 * time.Millisecond
)

// election is where and how a steward is chosen.
type election struct {
	key       string
	lease     time.Duration
	renewal   time.Duration
	get       func(ctx context.Context, key string) (store.KeyValue, bool, error)
	swap      func(ctx context.Context, modRevision int64, writes ...store.Write) (bool, store.KeyValue, error)
	grant     func(ctx context.Context, ttl time.Duration) (int64, error)
	keepAlive func(ctx context.Context, lease int64) (bool, error)
	revoke    func(ctx context.Context, lease int64) error
	// eligible reports whether this node may stand.
	eligible func() bool
	// stoodDown is called after this node's decisions ended.
	stoodDown func()
}

// steward is this node's part in choosing the one node that decides shares. The
// lease's revision is the epoch of its decisions. While the store is out nobody
// can take the lease over, so its holder goes on; should another have it after
// all, its decisions carry a higher epoch and win.
type steward struct {
	*common.Common
	node     string
	election election
	lease    int64
	// renewed is when the store last confirmed the lease, in Unix nanoseconds.
	renewed  atomic.Int64
	epoch    atomic.Uint64
	nextCall time.Time
	// superseded is set when a newer steward was heard of.
	superseded atomic.Bool
}

func newSteward(cm *common.Common, node string, e election) *steward {
	return &steward{Common: cm, node: node, election: e}
}

func (s *steward) isActive() bool { return s.epoch.Load() != 0 }

// tick takes, renews or gives up the lease; wanted tells whether there is work.
func (s *steward) tick(ctx context.Context, wanted bool) {
	if s.superseded.Swap(false) && s.isActive() {
		s.standDown("a newer steward decides")
	}
	idle := !s.isActive() && !(wanted && s.election.eligible())
	if idle || s.Now().Before(s.nextCall) {
		return
	}
	s.nextCall = s.Now().Add(common.Jittered(s.election.renewal))
	ctx, cancel := context.WithTimeout(ctx, platformPatience)
	defer cancel()
	switch {
	case s.isActive() && !wanted:
		s.resign()
	case s.isActive():
		s.renew(ctx)
	default:
		s.acquire(ctx)
	}
}

func (s *steward) acquire(ctx context.Context) {
	_, taken, err := s.election.get(ctx, s.election.key)
	if err != nil || taken {
		return
	}
	lease, err := s.election.grant(ctx, s.election.lease)
	if err != nil {
		return
	}
	swapped, kv, err := s.election.swap(ctx, 0, store.Write{Key: s.election.key, Value: []byte(s.node), Lease: lease})
	if err != nil || !swapped {
		return
	}
	s.lease = lease
	s.renewed.Store(s.Now().UnixNano())
	s.epoch.Store(uint64(kv.ModRevision))
	s.Event(event.StewardElected).WithField("epoch", kv.ModRevision).Info("steward elected")
}

func (s *steward) renew(ctx context.Context) {
	alive, err := s.election.keepAlive(ctx, s.lease)
	switch {
	case err != nil:
	case alive:
		s.renewed.Store(s.Now().UnixNano())
	default:
		s.standDown("the lease lapsed")
	}
}

// isStranded reports whether the lease may have lapsed because this node cannot
// reach the store.
func (s *steward) isStranded() bool {
	return s.Now().Sub(time.Unix(0, s.renewed.Load())) > s.election.lease
}

// standDown ends this node's decisions.
func (s *steward) standDown(cause string) {
	s.Count(`hibiscusrock_steward_stood_down_total`)
	s.Event(event.StewardStoodDown).WithField("cause", cause).Info("no longer steward")
	s.lease = 0
	s.epoch.Store(0)
	s.election.stoodDown()
}

// supersede ends this node's decisions at the next tick, because a newer
// steward decides.
func (s *steward) supersede() { s.superseded.Store(true) }

// resign gives the lease back, so that another node need not wait for its end.
func (s *steward) resign() {
	if !s.isActive() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), platformPatience)
	defer cancel()
	_ = s.election.revoke(ctx, s.lease)
	s.standDown("no work or stopping")
}
