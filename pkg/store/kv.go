package store

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted tells that the store no longer holds the history that a watch
// asked for; read the keys again.
var ErrCompacted = errors.New("the history is gone; read the keys again")

// Event is one change of a key.
type Event struct {
	KeyValue
	Removed bool
}

// KV is a connection to a key-value store with leases and watches whose
// acknowledged writes are never lost.
type KV struct {
	// Get returns the value of a key, and false when it does not exist.
	Get func(ctx context.Context, key string) (KeyValue, bool, error)
	// List returns every key that starts with prefix, and a revision from which
	// a watch misses nothing.
	List func(ctx context.Context, prefix string) ([]KeyValue, int64, error)
	// Watch returns the changes after a revision as soon as there are any, or
	// none after wait; and the revision to go on from. It fails with ErrCompacted.
	Watch func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Swap writes all of writes if the first key's revision is the one given; 0
	// asks that the key does not exist. When the revision was another, it
	// returns false and the present value.
	Swap func(ctx context.Context, modRevision int64, writes ...Write) (bool, KeyValue, error)
	// Grant makes a lease.
	Grant func(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease. It returns false when the lease has lapsed.
	KeepAlive func(ctx context.Context, lease int64) (bool, error)
	// Revoke ends a lease and removes its keys.
	Revoke func(ctx context.Context, lease int64) error
	// Put writes a key, bound to a lease unless lease is 0.
	Put func(ctx context.Context, key string, value []byte, lease int64) error
}
