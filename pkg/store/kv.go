package store

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted means that the store no longer keeps the changes after the revision
// that a watch requested. Read the keys again.
var ErrCompacted = errors.New("the store no longer keeps the changes that the watch requested; read the keys again")

// ErrLeaseLost means that a write was to be bound to a lease of before the store was
// restored from a copy. Create another lease.
var ErrLeaseLost = errors.New("the lease is of before the store was restored; create another lease")

// Event is one change of a key. Removed is set if the key was removed.
type Event struct {
	KeyValue
	Removed bool
}

// KV is the set of operations on a key-value store with leases and watches. An
// acknowledged write must never be lost.
type KV struct {
	// Get returns the value of a key. It returns false if the key does not exist.
	Get func(ctx context.Context, key string) (KeyValue, bool, error)
	// List returns all keys that start with prefix, and the revision after which a
	// watch reports every later change.
	List func(ctx context.Context, prefix string) ([]KeyValue, int64, error)
	// Watch returns the changes since revision after as soon as there are any, or no
	// changes when wait has passed, and the revision to pass to the next Watch. It
	// fails with ErrCompacted if the store no longer keeps these changes, or was restored
	// from a copy since.
	Watch func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Swap writes all of writes in one transaction if the first key's revision is
	// modRevision, where 0 means that the key does not exist. Otherwise it writes
	// nothing and returns false and the first key's current value.
	Swap func(ctx context.Context, modRevision int64, writes ...Write) (bool, KeyValue, error)
	// Grant creates a lease and returns its identifier.
	Grant func(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease. It returns false if the lease has expired.
	KeepAlive func(ctx context.Context, lease int64) (bool, error)
	// Revoke ends a lease, which removes the keys bound to it.
	Revoke func(ctx context.Context, lease int64) error
	// Put writes a key. The key is removed when lease ends, unless lease is 0.
	Put func(ctx context.Context, key string, value []byte, lease int64) error
}
