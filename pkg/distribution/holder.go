// Package distribution decides which release a node holds and which it
// enforces. A release is taken as a whole or not at all, and the enforced
// sequence never falls.
package distribution

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/keys"
	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// holdersBeforeEnforcing is the number of other nodes of the data centre that
	// must hold a release before a node enforces it, so that a restarted node
	// hears of it again.
	holdersBeforeEnforcing = 2
	// historyLength bounds the releases kept for nodes that are a little behind.
	historyLength = 64
	partsPerFetch = 64
)

// Source is where a release's documents are fetched from.
type Source struct {
	// Release returns the release with the given sequence.
	Release func(ctx context.Context, sequence uint64) (*wire.SignedRelease, error)
	// Manifest returns the whole manifest of a release.
	Manifest func(ctx context.Context, document *bundle.Document) (bundle.Manifest, error)
	// Parts returns the contents of parts by hash, in the order asked for.
	Parts func(ctx context.Context, hashes [][]byte) ([][]byte, error)
}

// held is one complete, verified release.
type held struct {
	document *bundle.Document
	manifest bundle.Manifest
	table    *routing.Table
}

// holding is what another node was last heard to hold.
type holding struct {
	sequence uint64
	// local is set for nodes of this data centre, which alone count for enforcing.
	local bool
}

// Holder keeps the newest release that this node holds and the one it enforces.
type Holder struct {
	*common.Common
	ring *keys.Ring

	// offering serializes the work on offered releases.
	offering sync.Mutex

	mu      sync.RWMutex
	newest  *held
	history map[uint64]*wire.SignedRelease
	// parts and decoded hold the parts of the newest release by hash; what is
	// decoded has passed its checks.
	parts    map[string][]byte
	decoded  map[string]bundle.Part
	peers    map[string]holding
	floor    uint64
	released bool

	enforced atomic.Pointer[routing.Table]
	// alivePeers tells how many other nodes of this data centre are alive.
	alivePeers func() int
	onHeld     func(*bundle.Document)
	onEnforced func(*routing.Table)
}

// Option changes a Holder under construction.
type Option func(*Holder)

// WithAlivePeers sets the function that counts the other nodes of the data centre.
func WithAlivePeers(count func() int) Option {
	return func(h *Holder) { h.alivePeers = count }
}

// WithHeld sets a function called after a new release is held.
func WithHeld(held func(*bundle.Document)) Option {
	return func(h *Holder) { h.onHeld = held }
}

// WithEnforced sets a function called after a table comes into force.
func WithEnforced(enforced func(*routing.Table)) Option {
	return func(h *Holder) { h.onEnforced = enforced }
}

// New returns a holder without a release that trusts the signers of ring.
func New(cm *common.Common, ring *keys.Ring, opts ...Option) *Holder {
	h := &Holder{
		Common:     cm,
		ring:       ring,
		history:    make(map[uint64]*wire.SignedRelease),
		parts:      make(map[string][]byte),
		decoded:    make(map[string]bundle.Part),
		peers:      make(map[string]holding),
		alivePeers: func() int { return 0 },
		onHeld:     func(*bundle.Document) {},
		onEnforced: func(*routing.Table) {},
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// Ring returns the signers that the holder trusts.
func (h *Holder) Ring() *keys.Ring { return h.ring }

// Table returns the table in force, or nil.
func (h *Holder) Table() *routing.Table { return h.enforced.Load() }

// Held returns the newest release held, or nil.
func (h *Holder) Held() *bundle.Document {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.newest == nil {
		return nil
	}
	return h.newest.document
}

// Manifest returns the manifest of the newest release held.
func (h *Holder) Manifest() bundle.Manifest {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.newest == nil {
		return nil
	}
	return h.newest.manifest
}

// Release returns a recent release by sequence; 0 and unknown ones give the newest.
func (h *Holder) Release(sequence uint64) *wire.SignedRelease {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if r, ok := h.history[sequence]; ok {
		return r
	}
	if h.newest == nil {
		return nil
	}
	return h.newest.document.Signed()
}

// Part returns the content of a part, or nil.
func (h *Holder) Part(hash []byte) []byte {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.parts[string(hash)]
}
