// Package distribution decides which release a node holds and which one it
// enforces. A release is accepted as a whole or not at all, and the sequence in
// force never decreases.
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
	// minHolders is the number of other nodes of the data centre that must hold a
	// release before a node enforces it, so that a restarted node learns of the
	// release again. If fewer nodes are alive, all of them must hold the release.
	minHolders = 2
	// maxHistoryLength bounds the releases kept for nodes that fetch the releases
	// between the one they hold and the newest.
	maxHistoryLength = 64
	maxPartsPerFetch = 64
)

// Source fetches the documents of a release, for example from a peer or from
// the platform.
type Source struct {
	// Release returns the release with the given sequence.
	Release func(ctx context.Context, sequence uint64) (*wire.SignedRelease, error)
	// Manifest returns the complete manifest of a release.
	Manifest func(ctx context.Context, document *bundle.Document) (bundle.Manifest, error)
	// Parts returns the content of the part with each hash, in the order of hashes.
	Parts func(ctx context.Context, hashes [][]byte) ([][]byte, error)
}

// verifiedRelease is a complete release that passed every check.
type verifiedRelease struct {
	document *bundle.Document
	manifest bundle.Manifest
	table    *routing.Table
}

// announcedRelease is the release that another node last announced to hold.
type announcedRelease struct {
	sequence uint64
	// local is set for nodes of this data centre. Only these count towards minHolders.
	local bool
}

// Holder keeps the newest release that this node holds and the routing table of
// the release that it enforces.
type Holder struct {
	*common.Common
	ring *keys.Ring

	// offerMu serializes calls of Offer.
	offerMu sync.Mutex

	mu      sync.RWMutex
	newest  *verifiedRelease
	history map[uint64]*wire.SignedRelease
	// parts and decoded hold the encoded and the decoded parts of the newest
	// release by hash. During Offer they also hold the parts of the offered
	// release. A part is added to decoded after it passed its checks.
	parts   map[string][]byte
	decoded map[string]bundle.Part
	peers   map[string]announcedRelease
	floor   uint64
	started bool

	enforced atomic.Pointer[routing.Table]
	// alivePeers returns the number of other nodes of this data centre that are alive.
	alivePeers func() int
	onHeld     func(*bundle.Document)
	onEnforced func(*routing.Table)
}

// Option configures a Holder in New.
type Option func(*Holder)

// WithAlivePeers sets the function that counts the other nodes of this data
// centre that are alive. Without it the count is 0.
func WithAlivePeers(count func() int) Option {
	return func(h *Holder) { h.alivePeers = count }
}

// WithHeld sets a function that is called after Offer accepted a release.
func WithHeld(held func(*bundle.Document)) Option {
	return func(h *Holder) { h.onHeld = held }
}

// WithEnforced sets a function that is called after a routing table came into force.
func WithEnforced(enforced func(*routing.Table)) Option {
	return func(h *Holder) { h.onEnforced = enforced }
}

// New returns an empty holder that accepts releases signed by the signers of ring.
func New(cm *common.Common, ring *keys.Ring, opts ...Option) *Holder {
	h := &Holder{
		Common:     cm,
		ring:       ring,
		history:    make(map[uint64]*wire.SignedRelease),
		parts:      make(map[string][]byte),
		decoded:    make(map[string]bundle.Part),
		peers:      make(map[string]announcedRelease),
		alivePeers: func() int { return 0 },
		onHeld:     func(*bundle.Document) {},
		onEnforced: func(*routing.Table) {},
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// Ring returns the trusted signers.
func (h *Holder) Ring() *keys.Ring { return h.ring }

// Table returns the routing table in force, or nil if there is none.
func (h *Holder) Table() *routing.Table { return h.enforced.Load() }

// Held returns the newest release held, or nil if there is none.
func (h *Holder) Held() *bundle.Document {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.newest == nil {
		return nil
	}
	return h.newest.document
}

// Manifest returns the manifest of the newest release held, or nil if there is none.
func (h *Holder) Manifest() bundle.Manifest {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.newest == nil {
		return nil
	}
	return h.newest.manifest
}

// Release returns the release with the given sequence if it is in the history.
// Otherwise, and for sequence 0, it returns the newest release held, or nil if
// there is none.
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

// Part returns the encoded part with the given hash, or nil if the newest release lacks it.
func (h *Holder) Part(hash []byte) []byte {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.parts[string(hash)]
}
