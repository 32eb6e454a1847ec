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
	// in quick succession are received together. After a watch that waited for long it is
	// shorter, because such a watch confirms nothing newer than its beginning.
	batchPause    = 400 * time.Millisecond
	minBatchPause = 50 * time.Millisecond
	maxBatchAge   = time.Second
	// turnInterval is the time after which the functions of WithWait and WithCheck are
	// called again.
	turnInterval = 100 * time.Millisecond
	// minWatchWait is the shortest wait of a watch.
	minWatchWait = 100 * time.Millisecond
	// checkWait is the wait of a call that only asks for the changes until now.
	checkWait = 10 * time.Millisecond
	// minRetryPause and defaultRetryPause bound the pauses between reads while the
	// store does not answer.
	minRetryPause     = 100 * time.Millisecond
	defaultRetryPause = time.Second
)

// errOutdated ends a watch in whose place another call is due now.
var errOutdated = errors.New("another call is due in place of this watch")

// Follower reads all keys under a prefix and then reports their changes to callbacks.
type Follower struct {
	*common.Common
	kv     KV
	prefix string
	// onListed is called with all keys after they were read, and their revision.
	onListed func(kvs []KeyValue, revision int64)
	// onChanged is called with the changes that a watch reports.
	onChanged func([]Event)
	// onConfirmed is called after all changes up to a time and a revision were reported.
	onConfirmed func(at time.Time, revision int64)
	// nextWait returns the time that the next watch waits for changes. 0 skips the
	// watch for turnInterval.
	nextWait func() time.Duration
	// checkDue reports whether to ask for the changes after a revision at once.
	checkDue func() (after int64, due bool)
	// retryPause returns the longest pause between reads.
	retryPause func() time.Duration
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

// WithListed sets the function that is called with all keys after they were read, and with
// the revision from which on changes are reported.
func WithListed(listed func(kvs []KeyValue, revision int64)) FollowerOption {
	return func(f *Follower) { f.onListed = listed }
}

// WithChanged sets the function that is called with the changes that a watch reports.
func WithChanged(changed func([]Event)) FollowerOption {
	return func(f *Follower) { f.onChanged = changed }
}

// WithWait sets the function that returns the time that the next watch waits for
// changes. This time bounds how long a broken connection stays undetected. 0
// skips the watch; the function is then called again after 100 ms. It is also called
// while a watch waits, and a shorter time ends the watch that has waited for it.
func WithWait(wait func() time.Duration) FollowerOption {
	return func(f *Follower) { f.nextWait = wait }
}

// WithCheck sets the function that reports whether to ask the store at once for the changes
// after a revision, which may be newer than those that this follower has reported. It is
// called every 100 ms, also while a watch waits, which it then ends.
func WithCheck(due func() (after int64, due bool)) FollowerOption {
	return func(f *Follower) { f.checkDue = due }
}

// WithConfirmed sets the function that is called after all changes up to a time and a
// revision were reported.
func WithConfirmed(confirmed func(at time.Time, revision int64)) FollowerOption {
	return func(f *Follower) { f.onConfirmed = confirmed }
}

// WithRetryPause sets the function that returns the longest pause between reads while the
// store does not answer. The default is 1 s.
func WithRetryPause(pause func() time.Duration) FollowerOption {
	return func(f *Follower) { f.retryPause = pause }
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
		onListed:     func([]KeyValue, int64) {},
		onChanged:    func([]Event) {},
		nextWait:     func() time.Duration { return defaultWatchWait },
		onReached:    func() {},
		onLost:       func(error) {},
		onUnreadable: func() {},
		onConfirmed:  func(time.Time, int64) {},
		checkDue:     func() (int64, bool) { return 0, false },
		retryPause:   func() time.Duration { return defaultRetryPause },
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
		began := f.Now()
		kvs, revision, err := f.kv.List(ctx, f.prefix)
		if err == nil {
			f.onReached()
			f.onListed(kvs, revision)
			f.onConfirmed(began, revision)
			pause = minRetryPause
			err = f.watch(ctx, revision, began)
		} else if ctx.Err() == nil {
			f.onUnreadable()
		}
		if ctx.Err() != nil {
			return
		}
		f.onLost(err)
		common.Sleep(ctx, common.Jittered(pause))
		pause = min(2*pause, f.retryPause())
		f.awaitTurn(ctx)
	}
}

// awaitTurn waits until this follower is to watch or to check.
func (f *Follower) awaitTurn(ctx context.Context) {
	for f.nextWait() == 0 {
		if _, due := f.checkDue(); due || !common.Sleep(ctx, turnInterval) {
			return
		}
	}
}

// watch reports the changes after revision, which is that of confirmedAt, until a watch or a
// check fails or ctx ends.
func (f *Follower) watch(ctx context.Context, revision int64, confirmedAt time.Time) error {
	for ctx.Err() == nil {
		if after, due := f.checkDue(); due {
			if err := f.check(ctx, max(after, revision)); err != nil {
				return err
			}
			continue
		}
		wait := f.nextWait()
		f.logWait(wait)
		if wait == 0 {
			common.Sleep(ctx, turnInterval)
			continue
		}
		// The store counts whole milliseconds, and an answer before the wait is over shows less.
		wait = max(minWatchWait, wait-f.Now().Sub(confirmedAt)).Truncate(time.Millisecond)
		began := f.Now()
		events, next, err := f.watchOnce(ctx, revision, wait)
		if errors.Is(err, errOutdated) {
			continue
		}
		if err != nil {
			f.Count(`hibiscusrock_store_watch_breaks_total`)
			return err
		}
		revision = next
		confirmedAt = began
		if len(events) > 0 {
			f.onChanged(events)
			f.onConfirmed(confirmedAt, revision)
			common.Sleep(ctx, max(minBatchPause, min(batchPause, maxBatchAge-f.Now().Sub(began))))
			continue
		}
		confirmedAt = f.confirmedByWaiting(began, wait)
		f.onConfirmed(confirmedAt, revision)
	}
	return ctx.Err()
}

// check reports the changes after a revision without waiting for further ones. It leaves the
// revision after which this follower watches as it is, so that a change which another
// follower lost on its way is still reported here later.
func (f *Follower) check(ctx context.Context, after int64) error {
	f.Count(`hibiscusrock_store_checks_total`)
	began := f.Now()
	events, next, err := f.kv.Watch(ctx, f.prefix, after, checkWait)
	if err != nil {
		return err
	}
	if len(events) > 0 {
		f.onChanged(events)
	}
	f.onConfirmed(began, next)
	return nil
}

// confirmedByWaiting returns the time up to which a watch without changes, which just ended,
// shows that there were none.
func (f *Follower) confirmedByWaiting(began time.Time, wait time.Duration) time.Time {
	if f.Now().Sub(began) < wait {
		// The answer may have left the store at any time since the watch began.
		return began
	}
	return began.Add(wait)
}

func (f *Follower) logWait(wait time.Duration) {
	if wait == f.lastWait {
		return
	}
	f.lastWait = wait
	f.Event(event.StoreWatchChanged).WithField("wait_ms", wait.Milliseconds()).Info("watch of the store changed")
}

// watchOnce runs one watch. It fails with errOutdated if a check is due, or if a watch that
// began now would wait for less time than this one has waited.
func (f *Follower) watchOnce(ctx context.Context, revision int64, wait time.Duration) ([]Event, int64, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	began := f.Now()
	ticker := time.NewTicker(turnInterval)
	defer ticker.Stop()
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		defer f.Contain("check of a watch", nil)
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			_, due := f.checkDue()
			next := f.nextWait()
			if due || next > 0 && next < wait && f.Now().Sub(began) >= next {
				cancel(errOutdated)
			}
		}
	}()
	events, next, err := f.kv.Watch(ctx, f.prefix, revision, wait)
	if err != nil && errors.Is(context.Cause(ctx), errOutdated) {
		err = errOutdated
	}
	cancel(nil)
	<-checked
	return events, next, err
}
