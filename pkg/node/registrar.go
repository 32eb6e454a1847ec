package node

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
)

const (
	registrationTTL = 30 * time.Second
	// maxRegistrationWrites bounds the writes of one update. A write fails once when
	// the key's revision is not known, or another write of this node came first.
	maxRegistrationWrites = 3
)

// registry is the part of a key-value store in which nodes register their
// addresses for nodes that start.
type registry struct {
	list      func(ctx context.Context) ([]store.KeyValue, error)
	grant     func(ctx context.Context, ttl time.Duration) (int64, error)
	swap      func(ctx context.Context, modRevision int64, writes ...store.Write) (bool, store.KeyValue, error)
	keepAlive func(ctx context.Context, lease int64) (bool, error)
	revoke    func(ctx context.Context, lease int64) error
}

// registrar keeps this node registered under a lease, and caches the addresses
// that it last read from the registry. Both modes use it.
type registrar struct {
	*common.Common
	registry registry
	key      string
	// encode returns this node's registration, or nothing if it cannot be encoded; decode
	// the address in the registration of any node.
	encode func() []byte
	decode func(key string, value []byte) (address string, ok bool)

	mu      sync.Mutex
	leaseID int64
	cached  []string
	// revision is that of this node's key when it was last read or written, and
	// written the content that the store confirmed.
	revision int64
	written  []byte
}

func newRegistrar(cm *common.Common, r registry, key string, encode func() []byte, decode func(string, []byte) (string, bool)) *registrar {
	return &registrar{Common: cm, registry: r, key: key, encode: encode, decode: decode}
}

// addresses returns the addresses that were last read.
func (r *registrar) addresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cached
}

// read reads the addresses of all nodes and reports whether the registry
// answered.
func (r *registrar) read(ctx context.Context) bool {
	kvs, err := r.registry.list(ctx)
	if err != nil {
		return false
	}
	var found []string
	revision := int64(0)
	for _, kv := range kvs {
		if address, ok := r.decode(kv.Key, kv.Value); ok {
			found = append(found, address)
		}
		if kv.Key == r.key {
			revision = kv.ModRevision
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cached = found
	r.revision = max(r.revision, revision)
	return true
}

// renew renews the lease, or writes the registration under a new one when there
// is none. It reports whether the store confirmed the registration.
func (r *registrar) renew(ctx context.Context) bool {
	r.mu.Lock()
	lease := r.leaseID
	r.mu.Unlock()
	if lease != 0 {
		alive, err := r.registry.keepAlive(ctx, lease)
		if alive || err != nil {
			return alive
		}
		r.Event(event.RegistrationLapsed).Warn("the lease of the registration expired, registering again")
		r.setLease(0)
	}
	lease, err := r.registry.grant(ctx, registrationTTL)
	if err != nil {
		return false
	}
	if !r.write(ctx, lease) {
		return false
	}
	r.setLease(lease)
	return true
}

// update writes the registration again if its content has changed, and reports
// whether the store has the present content.
func (r *registrar) update(ctx context.Context) bool {
	r.mu.Lock()
	lease, written := r.leaseID, r.written
	r.mu.Unlock()
	if lease == 0 {
		return false
	}
	return bytes.Equal(written, r.encode()) || r.write(ctx, lease)
}

// write writes the registration if the key is as this node last read or wrote it.
// A write whose answer was lost may take effect later; by the condition it then
// cannot replace one that was made after it.
func (r *registrar) write(ctx context.Context, lease int64) bool {
	for range maxRegistrationWrites {
		r.mu.Lock()
		revision := r.revision
		r.mu.Unlock()
		content := r.encode()
		if len(content) == 0 {
			return false
		}
		written, current, err := r.registry.swap(ctx, revision, store.Write{Key: r.key, Value: content, Lease: lease})
		if err != nil {
			return false
		}
		r.mu.Lock()
		r.revision = current.ModRevision
		if written {
			r.written = content
		}
		r.mu.Unlock()
		if written {
			return true
		}
	}
	return false
}

func (r *registrar) setLease(lease int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaseID = lease
}

// withdraw removes the registration when the node stops.
func (r *registrar) withdraw(ctx context.Context) {
	r.mu.Lock()
	lease := r.leaseID
	r.mu.Unlock()
	if lease != 0 {
		_ = r.registry.revoke(ctx, lease)
	}
}
