package store

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
)

// TestWatchIsShortened guards against a node that becomes responsible for noticing changes
// in time and stays in a watch that it began with a long wait.
func TestWatchIsShortened(t *testing.T) {
	const long, short = 20 * time.Second, 400 * time.Millisecond
	var wait atomic.Int64
	wait.Store(int64(long))
	began := make(chan int64, 100)
	kv := KV{
		List: func(context.Context, string) ([]KeyValue, int64, error) { return nil, 7, nil },
		Watch: func(ctx context.Context, _ string, after int64, wait time.Duration) ([]Event, int64, error) {
			began <- after
			if !common.Sleep(ctx, wait) {
				return nil, 0, ctx.Err()
			}
			return nil, after, nil
		},
	}
	lost := 0
	f := NewFollower(common.New(), kv, "", WithWait(func() time.Duration { return time.Duration(wait.Load()) }), WithReachability(func() {}, func(error) { lost++ }))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	<-began
	wait.Store(int64(short))
	select {
	case after := <-began:
		if after != 7 {
			t.Errorf("the next watch goes on after revision %d, want 7", after)
		}
	case <-time.After(4 * short):
		t.Errorf("the long watch still waits after %v", 4*short)
	}
	cancel()
	<-done
	if lost != 0 {
		t.Errorf("the store counted as lost %d times, want 0", lost)
	}
}
