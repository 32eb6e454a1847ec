package store

import (
	"context"
	"time"
)

// Guard returns kv with checks of the era. A store that was restored gives its numbers
// out again, so without them a position of a watch or the condition of a write from
// before the restoration may match something else.
func (e *Eras) Guard(kv KV) KV {
	guarded := kv
	guarded.Watch = func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error) {
		events, next, err := kv.Watch(ctx, prefix, after, wait)
		if err == nil && EraOf(next) != EraOf(after) {
			return nil, 0, ErrCompacted
		}
		return events, next, err
	}
	guarded.Swap = func(ctx context.Context, modRevision int64, writes ...Write) (bool, KeyValue, error) {
		if e.isPast(modRevision) {
			current, _, err := kv.Get(ctx, writes[0].Key)
			return false, current, err
		}
		return kv.Swap(ctx, modRevision, writes...)
	}
	return guarded
}

// isPast reports whether a revision is of an earlier era. The revision 0 is of none.
func (e *Eras) isPast(revision int64) bool { return revision != 0 && EraOf(revision) < e.Newest() }
