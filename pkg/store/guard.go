package store

import (
	"context"
	"slices"
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
		numbered := slices.Clone(writes)
		for i, w := range writes {
			number, ok := e.leaseNumber(w.Lease)
			if !ok {
				return false, KeyValue{}, ErrLeaseLost
			}
			numbered[i].Lease = number
		}
		return kv.Swap(ctx, modRevision, numbered...)
	}
	guarded.Put = func(ctx context.Context, key string, value []byte, lease int64) error {
		number, ok := e.leaseNumber(lease)
		if !ok {
			return ErrLeaseLost
		}
		return kv.Put(ctx, key, value, number)
	}
	e.guardLeases(&guarded, kv)
	return guarded
}

// guardLeases lets a lease end with the era in which it was granted: a restored store
// may have lost it, and may give its number to another lease. Leases are named by
// handles instead of the store's numbers.
func (e *Eras) guardLeases(guarded *KV, kv KV) {
	guarded.Grant = func(ctx context.Context, ttl time.Duration) (int64, error) {
		era, known := e.current()
		number, err := kv.Grant(ctx, ttl)
		if err != nil {
			return 0, err
		}
		if !known {
			era = e.Newest()
		}
		return e.addLease(number, era), nil
	}
	guarded.KeepAlive = func(ctx context.Context, lease int64) (bool, error) {
		number, ok := e.leaseNumber(lease)
		if ok {
			alive, err := kv.KeepAlive(ctx, number)
			// The answer may be the first one of another era.
			if _, ok = e.leaseNumber(lease); err != nil || alive && ok {
				return alive, err
			}
		}
		e.forgetLease(lease)
		return false, nil
	}
	guarded.Revoke = func(ctx context.Context, lease int64) error {
		defer e.forgetLease(lease)
		number, ok := e.leaseNumber(lease)
		if !ok {
			return nil
		}
		return kv.Revoke(ctx, number)
	}
}

// isPast reports whether a revision is of an earlier era. The revision 0 is of none.
func (e *Eras) isPast(revision int64) bool { return revision != 0 && EraOf(revision) < e.Newest() }
