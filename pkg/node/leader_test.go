package node

import (
	"context"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
)

// TestLeaderTakesOwnKeyAgain guards against a deployment without a leader while the key of
// a lost lease still names the node that held it.
func TestLeaderTakesOwnKeyAgain(t *testing.T) {
	tests := map[string]struct {
		key  store.KeyValue
		want uint64
	}{
		"no leader":            {store.KeyValue{}, 8},
		"key of this node":     {store.KeyValue{Key: "steward", Value: []byte("self"), ModRevision: 7}, 8},
		"key of another node":  {store.KeyValue{Key: "steward", Value: []byte("other"), ModRevision: 7}, 0},
		"key without any node": {store.KeyValue{Key: "steward", ModRevision: 7}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLeadership(common.New(), "self", newTestElection(test.key))
			l.tick(t.Context(), true)
			if got := l.epoch.Load(); got != test.want {
				t.Errorf("got epoch %d, want %d", got, test.want)
			}
		})
	}
}

// newTestElection returns an election over a store that holds one key or none. A write
// gets the revision 8.
func newTestElection(held store.KeyValue) election {
	return election{
		key: "steward", leaseTTL: time.Second, renewInterval: time.Second,
		get:   func(context.Context, string) (store.KeyValue, bool, error) { return held, held.Key != "", nil },
		grant: func(context.Context, time.Duration) (int64, error) { return 1, nil },
		swap: func(_ context.Context, modRevision int64, writes ...store.Write) (bool, store.KeyValue, error) {
			if modRevision != held.ModRevision {
				return false, held, nil
			}
			return true, store.KeyValue{Key: writes[0].Key, Value: writes[0].Value, ModRevision: 8}, nil
		},
		eligible: func() bool { return true },
	}
}
