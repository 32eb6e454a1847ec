package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/store"
)

const (
	stewardLease     = 6 * time.Second
	stewardRenewal   = 2 * time.Second
	platformPatience = 500 * time.Millisecond
)

// steward is this node's part in choosing the one node of the data centre that
// decides shares. The lease's revision is the epoch of its decisions. While
// the platform is out nobody can take the lease over, so its holder goes on;
// should another have it after all, its decisions carry a higher epoch and win.
type steward struct {
	*Node
	lease    int64
	epoch    atomic.Uint64
	nextCall time.Time
}

func newSteward(n *Node) *steward { return &steward{Node: n} }

func (s *steward) isActive() bool { return s.epoch.Load() != 0 }

// tick takes, renews or gives up the lease; wanted tells whether there is work.
func (s *steward) tick(ctx context.Context, wanted bool) {
	idle := !s.isActive() && !(wanted && s.members.IsRelay())
	if idle || s.Now().Before(s.nextCall) {
		return
	}
	s.nextCall = s.Now().Add(jittered(stewardRenewal))
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
	_, taken, err := s.platform.Get(ctx, store.StewardKey(s.settings.DataCentre))
	if err != nil || taken {
		return
	}
	lease, err := s.platform.Grant(ctx, stewardLease)
	if err != nil {
		return
	}
	swapped, kv, err := s.platform.Swap(ctx, 0, store.Write{Key: store.StewardKey(s.settings.DataCentre), Value: []byte(s.settings.Node), Lease: lease})
	if err != nil || !swapped {
		return
	}
	s.lease = lease
	s.epoch.Store(uint64(kv.ModRevision))
	s.Log().WithField("epoch", kv.ModRevision).Info("steward of the data centre")
}

func (s *steward) renew(ctx context.Context) {
	alive, err := s.platform.KeepAlive(ctx, s.lease)
	if err == nil && !alive {
		s.standDown("the lease lapsed")
	}
}

// standDown ends this node's decisions.
func (s *steward) standDown(cause string) {
	s.Count(`hibiscusrock_steward_stood_down_total`)
	s.Log().WithField("cause", cause).Info("no longer steward")
	s.lease = 0
	s.epoch.Store(0)
	for _, t := range s.moves.tracks {
		t.resumed = false
	}
}

// resign gives the lease back, so that another node need not wait for its end.
func (s *steward) resign() {
	if !s.isActive() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), platformPatience)
	defer cancel()
	_ = s.platform.Revoke(ctx, s.lease)
	s.standDown("no work or stopping")
}
