package store

import (
	"context"
	"errors"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
)

const (
	// defaultWatchWait is the time that a watch waits for changes unless WithWait is used.
	defaultWatchWait = 8 * time.Second
	// batchPause is the pause after a watch that reported changes, so that changes
	// in quick succession are received together.
	batchPause = 600 * time.Millisecond
	// noWatchPause is the time without a watch after which WithWait's function is
	// called again.
	noWatchPause = 300 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pauses between reads while the
	// store does not answer.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = time.Second
)

// errShorterWait ends a watch that waits for longer than one that begins now.
var errShorterWait = errors.New("a watch is to wait for less time")

// Follower reads all keys under a prefix and then reports their changes to callbacks.
type Follower struct {
	*common.Common
	kv     KV
	prefix string
	// onListed is called with all keys after they were read.
	onListed func([]KeyValue)
	// onChanged is called with the changes that a watch reports.
	onChanged func([]Event)
	// nextWait returns the time that the next watch waits for changes. 0 skips the
	// watch for noWatchPause.
	nextWait func() time.Duration
	// onReached is called after all keys were read, onLost when a read or a watch fails,
	// and onUnreadable when a read fails.
	onReached    func()
	onLost       func(error)
	onUnreadable func()
	// lastWait is the wait that was last logged.
	lastWait time.Duration
}

// FollowerOption configures a Follower in NewFollower.
type FollowerOption func(*Follower)

// WithListed sets the function that is called with all keys after they were read.
func WithListed(listed func([]KeyValue)) FollowerOption {
	return func(f *Follower) { f.onListed = listed }
}

// WithChanged sets the function that is called with the changes that a watch reports.
func WithChanged(changed func([]Event)) FollowerOption {
	return func(f *Follower) { f.onChanged = changed }
}

// WithWait sets the function that returns the time that the next watch waits for
// changes. This time bounds how long a broken connection stays undetected. 0
// skips the watch; the function is then called again after 300 ms. It is also called
// while a watch waits, and a shorter time ends the watch that has waited for it.
func WithWait(wait func() time.Duration) FollowerOption {
	return func(f *Follower) { f.nextWait = wait }
}

// WithReachability sets the functions that are called after all keys were read, and when
// a read or a watch fails.
func WithReachability(reached func(), lost func(error)) FollowerOption {
	return func(f *Follower) { f.onReached, f.onLost = reached, lost }
}

// WithUnreadable sets the function that is called when a read of all keys fails, as it
// does while the store does not answer. A watch also fails when its history is gone.
func WithUnreadable(unreadable func()) FollowerOption {
	return func(f *Follower) { f.onUnreadable = unreadable }
}

// NewFollower returns a follower of the keys under prefix. Run starts it.
func NewFollower(cm *common.Common, kv KV, prefix string, opts ...FollowerOption) *Follower {
	f := &Follower{
		Common:       cm,
		kv:           kv,
		prefix:       prefix,
		onListed:     func([]KeyValue) {},
		onChanged:    func([]Event) {},
		nextWait:     func() time.Duration { return defaultWatchWait },
		onReached:    func() {},
		onLost:       func(error) {},
		onUnreadable: func() {},
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Run follows the keys until ctx ends. When a watch fails, it reads all keys again
// after a pause, which doubles while the store does not answer.
func (f *Follower) Run(ctx context.Context) {
	pause := minRetryPause
	for ctx.Err() == nil {
		kvs, revision, err := f.kv.List(ctx, f.prefix)
		if err == nil {
			f.onReached()
			f.onListed(kvs)
			pause = minRetryPause
			err = f.watch(ctx, revision)
		} else if ctx.Err() == nil {
			f.onUnreadable()
		}
		if ctx.Err() != nil {
			return
		}
		f.onLost(err)
		common.Sleep(ctx, common.Jittered(pause))
		pause = min(2*pause, maxRetryPause)
	}
}

// watch reports the changes after revision until a watch fails or ctx ends.
func (f *Follower) watch(ctx context.Context, revision int64) error {
	for ctx.Err() == nil {
		wait := f.nextWait()
		f.logWait(wait)
		if wait == 0 {
			common.Sleep(ctx, noWatchPause)
			continue
		}
		events, next, err := f.watchOnce(ctx, revision, wait)
		if errors.Is(err, errShorterWait) {
			continue
		}
		if err != nil {
			f.Count(`hibiscusrock_store_watch_breaks_total`)
			return err
		}
		revision = next
		if len(events) > 0 {
			f.onChanged(events)
			common.Sleep(ctx, batchPause)
		}
	}
	return ctx.Err()
}

func (f *Follower) logWait(wait time.Duration) {
	if wait == f.lastWait {
		return
	}
	f.lastWait = wait
	f.Event(event.StoreWatchChanged).WithField("wait_ms", wait.Milliseconds()).Info("watch of the store changed")
}

// watchOnce runs one watch. It fails with errShorterWait if a watch that began now would
// wait for less time than this one has waited.
func (f *Follower) watchOnce(ctx context.Context, revision int64, wait time.Duration) ([]Event, int64, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	began := f.Now()
	ticker := time.NewTicker(noWatchPause)
	defer ticker.Stop()
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if next := f.nextWait(); next > 0 && next < wait && f.Now().Sub(began) >= next {
				cancel(errShorterWait)
			}
		}
	}()
	events, next, err := f.kv.Watch(ctx, f.prefix, revision, wait)
	if err != nil && errors.Is(context.Cause(ctx), errShorterWait) {
		err = errShorterWait
	}
	cancel(nil)
	<-checked
	return events, next, err
}
