package node

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
)

const panicsCounter = `hibiscusrock_handler_panics_total`

// TestLoopGoesOnAfterPanic guards against a panic of a background loop that ends the
// process, and with it the requests of all callers, or leaves the node without the loop.
func TestLoopGoesOnAfterPanic(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	n := &Node{Common: common.New()}
	var runs atomic.Int64
	again := make(chan struct{})
	done := n.startLoop(ctx, "test", func(ctx context.Context) {
		if runs.Add(1) == 1 {
			panic("unexpected")
		}
		close(again)
		<-ctx.Done()
	})
	select {
	case <-again:
	case <-time.After(5 * loopRestartPause):
		t.Fatal("the loop did not start again")
	}
	cancel()
	<-done
	if got := n.Metrics().GetOrCreateCounter(panicsCounter).Get(); got != 1 {
		t.Errorf("got %d panics counted, want 1", got)
	}
}

// TestLoopEndsWhileItWaits guards against a stop that waits for a loop which keeps panicking.
func TestLoopEndsWhileItWaits(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	n := &Node{Common: common.New()}
	panicked := make(chan struct{}, 1)
	done := n.startLoop(ctx, "test", func(context.Context) {
		panicked <- struct{}{}
		panic("unexpected")
	})
	<-panicked
	cancel()
	select {
	case <-done:
	case <-time.After(loopRestartPause / 2):
		t.Error("the loop still waits to start again")
	}
}

// TestStoreKeyThatPanics guards against one key of the store whose processing panics, on
// all nodes and after each start again, and keeps them from the keys behind it.
func TestStoreKeyThatPanics(t *testing.T) {
	panics := map[string]func(*storeRollouts){
		"while it is decoded": func(r *storeRollouts) {
			r.adapter.DecodeOrder = func([]byte) (rollout.Order, error) { panic("unexpected") }
		},
		"while the order is tracked": func(r *storeRollouts) {
			r.Common = common.New(common.WithClock(func() time.Time { panic("unexpected") }))
		},
	}
	for name, fail := range panics {
		t.Run(name, func(t *testing.T) {
			r := newTestRollouts(t, "v1", "v2")
			r.rollouts = r
			cm, decode := r.Common, r.adapter.DecodeOrder
			fail(r)
			reporting := r.Common
			r.receiveOperatorKey(store.KeyValue{Key: "orders/quotes", ModRevision: 1})
			if got := reporting.Metrics().GetOrCreateCounter(panicsCounter).Get(); got != 1 {
				t.Errorf("got %d panics counted, want 1", got)
			}
			r.Common, r.adapter.DecodeOrder = cm, decode
			r.receiveOperatorKey(store.KeyValue{Key: "orders/quotes", ModRevision: 2})
			if r.orders.newest["quotes"] == nil {
				t.Error("the order behind the key that panicked was not received")
			}
		})
	}
}
