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
	return guarded
}
