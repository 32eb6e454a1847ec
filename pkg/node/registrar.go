package node

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
)

const registrationTTL = 30 * time.Second

// registry is the part of a key-value store in which nodes register their
// addresses for nodes that start.
type registry struct {
	list      func(ctx context.Context) ([]store.KeyValue, error)
	grant     func(ctx context.Context, ttl time.Duration) (int64, error)
	put       func(ctx context.Context, key string, value []byte, lease int64) error
	keepAlive func(ctx context.Context, lease int64) (bool, error)
	revoke    func(ctx context.Context, lease int64) error
}

// registrar keeps this node registered under a lease, and caches the addresses
// that it last read from the registry. Both modes use it.
type registrar struct {
	*common.Common
	registry registry
	key      string
	// encode returns this node's registration, decode the address in the
	// registration of any node.
	encode func() []byte
	decode func(key string, value []byte) (address string, ok bool)

	mu      sync.Mutex
	leaseID int64
	cached  []string
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
	for _, kv := range kvs {
		if address, ok := r.decode(kv.Key, kv.Value); ok {
			found = append(found, address)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cached = found
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
	if r.registry.put(ctx, r.key, r.encode(), lease) != nil {
		return false
	}
	r.setLease(lease)
	return true
}

// update writes the registration again after a change of its content, and
// reports whether that succeeded.
func (r *registrar) update(ctx context.Context) bool {
	r.mu.Lock()
	lease := r.leaseID
	r.mu.Unlock()
	return lease != 0 && r.registry.put(ctx, r.key, r.encode(), lease) == nil
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
