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

// TestConfirmationOfEmptyWatch guards against evidence that is taken to be newer than it
// can be: an answer that comes before the wait is over may have left the store at any time
// since the watch began, and been delayed since.
func TestConfirmationOfEmptyWatch(t *testing.T) {
	const wait = time.Second
	tests := map[string]struct {
		wait, took time.Duration
		// want is the time of the evidence since the watch began.
		want time.Duration
	}{
		"the whole wait":                    {wait, wait, wait},
		"a wait of a part of a millisecond": {wait + 900*time.Microsecond, wait, wait},
		"delayed after the wait":            {wait, wait + 300*time.Millisecond, wait},
		"before the wait is over":           {wait, wait - 300*time.Millisecond, 0},
		"at once":                           {wait, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := evidenceOfEmptyWatch(t, test.wait, test.took); got != test.want {
				t.Errorf("got evidence of %v after the watch began, want %v", got, test.want)
			}
		})
	}
}

// evidenceOfEmptyWatch runs one watch, which takes a time and reports no changes. It returns
// the time of its evidence since it began.
func evidenceOfEmptyWatch(t *testing.T, wait, took time.Duration) time.Duration {
	t.Helper()
	start := time.Unix(1000, 0)
	now := start
	ctx, cancel := context.WithCancel(t.Context())
	watches := 0
	kv := KV{
		List: func(context.Context, string) ([]KeyValue, int64, error) { return nil, 7, nil },
		Watch: func(context.Context, string, int64, time.Duration) ([]Event, int64, error) {
			if watches++; watches > 1 {
				cancel()
				return nil, 0, ctx.Err()
			}
			now = now.Add(took)
			return nil, 7, nil
		},
	}
	var confirmed time.Time
	f := NewFollower(
		common.New(common.WithClock(func() time.Time { return now })), kv, "",
		WithWait(func() time.Duration { return wait }),
		WithConfirmed(func(at time.Time, _ int64) { confirmed = at }),
	)
	f.Run(ctx)
	return confirmed.Sub(start)
}
