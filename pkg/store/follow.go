package store

import (
	"context"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
)

const (
	// watchWait is how long a watch waits unless an option says otherwise.
	watchWait = 8 * time.Second
	// batchPause lets changes that come in quick succession arrive in one answer.
	batchPause = 600 * time.Millisecond
	// Pauses between reads while the store does not answer.
	// idlePause is the time between questions whether to watch.
	idlePause    = 300 * time.Millisecond
	firstRetry   = 100 * time.Millisecond
	largestRetry = time.Second
)

// Follower keeps a view of all keys under a prefix.
type Follower struct {
	*common.Common
	kv     KV
	prefix string
	// listed is called with every key after a read of them all.
	listed func([]KeyValue)
	// changed is called with the changes that a watch reports.
	changed func([]Event)
	// wait returns how long the next watch waits; 0 does without one for now.
	wait func() time.Duration
	// reached is called when the store answers, and lost when it stops doing so.
	reached func()
	lost    func(error)
}

// FollowerOption changes a Follower under construction.
type FollowerOption func(*Follower)

// WithListed sets the function that takes in a read of all keys.
func WithListed(listed func([]KeyValue)) FollowerOption {
	return func(f *Follower) { f.listed = listed }
}

// WithChanged sets the function that takes in changes.
func WithChanged(changed func([]Event)) FollowerOption {
	return func(f *Follower) { f.changed = changed }
}

// WithWait sets the function that tells how long the next watch waits, which
// bounds the time that a silent watch stays unnoticed. 0 does without a watch
// for idlePause.
func WithWait(wait func() time.Duration) FollowerOption {
	return func(f *Follower) { f.wait = wait }
}

// WithReach sets functions that hear whether the store answers.
func WithReach(reached func(), lost func(error)) FollowerOption {
	return func(f *Follower) { f.reached, f.lost = reached, lost }
}

// NewFollower returns a follower of the keys under prefix.
func NewFollower(cm *common.Common, kv KV, prefix string, opts ...FollowerOption) *Follower {
	f := &Follower{
		Common:  cm,
		kv:      kv,
		prefix:  prefix,
		listed:  func([]KeyValue) {},
		changed: func([]Event) {},
		wait:    func() time.Duration { return watchWait },
		reached: func() {},
		lost:    func(error) {},
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Run follows the keys until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := firstRetry
	for ctx.Err() == nil {
		kvs, revision, err := f.kv.List(ctx, f.prefix)
		if err == nil {
			f.reached()
			f.listed(kvs)
			pause = firstRetry
			err = f.watch(ctx, revision)
		}
		if ctx.Err() != nil {
			return
		}
		f.lost(err)
		common.Sleep(ctx, common.Jittered(pause))
		pause = min(2*pause, largestRetry)
	}
}

// watch passes changes on until the watch breaks.
func (f *Follower) watch(ctx context.Context, revision int64) error {
	for ctx.Err() == nil {
		wait := f.wait()
		if wait == 0 {
			common.Sleep(ctx, idlePause)
			continue
		}
		events, next, err := f.kv.Watch(ctx, f.prefix, revision, wait)
		if err != nil {
			f.Count(`hibiscusrock_store_watch_breaks_total`)
			return err
		}
		revision = next
		if len(events) > 0 {
			f.changed(events)
			common.Sleep(ctx, batchPause)
		}
	}
	return ctx.Err()
}
