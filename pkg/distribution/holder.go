// Package distribution decides which release a node holds and which it
// enforces. A release is taken as a whole or not at all, and the enforced
// sequence never falls.
package distribution

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
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
	peers    map[string]uint64
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
		peers:      make(map[string]uint64),
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

// Offer takes a release in if it is newer than the one held and passes every
// check. Nothing of a refused release is kept.
func (h *Holder) Offer(ctx context.Context, signed *wire.SignedRelease, source Source) error {
	document, err := bundle.Open(signed)
	if err != nil {
		return h.refuse("undecodable", err)
	}
	h.offering.Lock()
	defer h.offering.Unlock()
	current := h.current()
	if document.Sequence() <= current.document.Sequence() {
		return h.refuseOlder(document, current)
	}
	if err := document.Verify(h.ring); err != nil {
		return h.refuse("signature", err)
	}
	next, err := h.complete(ctx, document, current, source)
	if err != nil {
		h.discardParts(current)
		return h.refuse(string(fault.KindOf(err)), err)
	}
	h.hold(next)
	return nil
}

func (h *Holder) current() *held {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.newest == nil {
		return &held{}
	}
	return h.newest
}

func (h *Holder) refuse(reason string, err error) error {
	h.Count(`hibiscusrock_release_refused_total{reason="` + reason + `"}`)
	return err
}

func (h *Holder) refuseOlder(document *bundle.Document, current *held) error {
	if document.Sequence() == current.document.Sequence() && !bytes.Equal(document.Hash(), current.document.Hash()) {
		err := fault.New(fault.KindConflict, "two releases share one sequence", "the signing keys were used outside 'rollout start'; replace them and roll out again")
		return h.refuse("fork", err)
	}
	return h.refuse("older", fault.New(fault.KindStale, "the release is not newer than the one held", ""))
}

// complete fetches and checks everything that document needs.
func (h *Holder) complete(ctx context.Context, document *bundle.Document, current *held, source Source) (*held, error) {
	manifest, err := h.followChain(ctx, document, current, source)
	if err != nil {
		h.Count(`hibiscusrock_release_whole_manifest_total`)
		manifest, err = source.Manifest(ctx, document)
	}
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(manifest.Root(), document.Release().GetManifestRoot()) {
		return nil, fault.New(fault.KindInvalid, "the manifest does not fit the release", "put the bundle again")
	}
	parts, err := h.collectParts(ctx, manifest, source)
	if err != nil {
		return nil, err
	}
	if err := bundle.CheckTogether(parts); err != nil {
		return nil, err
	}
	table, err := routing.NewTable(document, parts)
	if err != nil {
		return nil, err
	}
	return &held{document: document, manifest: manifest, table: table}, nil
}

// followChain derives the manifest from the one held by walking the releases between.
func (h *Holder) followChain(ctx context.Context, document *bundle.Document, current *held, source Source) (bundle.Manifest, error) {
	gap := document.Sequence() - current.document.Sequence()
	if gap > historyLength || (current.document == nil && gap > 1) {
		return nil, fault.New(fault.KindMissing, "too many releases lie between", "")
	}
	manifest, parent := current.manifest, current.document
	for parent.Sequence()+1 < document.Sequence() {
		signed, err := source.Release(ctx, parent.Sequence()+1)
		if err != nil {
			return nil, err
		}
		between, err := bundle.Open(signed)
		if err != nil {
			return nil, err
		}
		if err := between.Verify(h.ring); err != nil {
			return nil, err
		}
		if manifest, err = nextManifest(manifest, parent, between); err != nil {
			return nil, err
		}
		parent = between
	}
	return nextManifest(manifest, parent, document)
}

func nextManifest(manifest bundle.Manifest, parent, document *bundle.Document) (bundle.Manifest, error) {
	follows := document.Sequence() == parent.Sequence()+1 && bytes.Equal(document.Release().GetParentHash(), parent.Hash())
	if !follows {
		return nil, fault.New(fault.KindConflict, "the release does not follow the one held", "")
	}
	return manifest.Next(document.Release()), nil
}

func (h *Holder) collectParts(ctx context.Context, manifest bundle.Manifest, source Source) ([]bundle.Part, error) {
	entries := manifest.Entries()
	if err := h.fetchMissing(ctx, entries, source); err != nil {
		return nil, err
	}
	parts := make([]bundle.Part, 0, len(entries))
	for _, entry := range entries {
		part, err := h.decodePart(entry)
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
	}
	return parts, nil
}

func (h *Holder) decodePart(entry *wire.ManifestEntry) (bundle.Part, error) {
	id := string(entry.GetHash())
	h.mu.RLock()
	part, ok := h.decoded[id]
	data := h.parts[id]
	h.mu.RUnlock()
	if ok {
		return part, nil
	}
	part, err := bundle.DecodePart(data)
	if err != nil {
		return part, err
	}
	if part.Name != entry.GetName() {
		return part, fault.New(fault.KindInvalid, "part "+entry.GetName()+" holds the service "+part.Name, "put the bundle again")
	}
	if err := part.Check(); err != nil {
		return part, err
	}
	h.mu.Lock()
	h.decoded[id] = part
	h.mu.Unlock()
	return part, nil
}

func (h *Holder) fetchMissing(ctx context.Context, entries []*wire.ManifestEntry, source Source) error {
	var missing [][]byte
	for _, entry := range entries {
		if h.Part(entry.GetHash()) == nil {
			missing = append(missing, entry.GetHash())
		}
	}
	for batch := range slices.Chunk(missing, partsPerFetch) {
		parts, err := source.Parts(ctx, batch)
		if err != nil {
			return err
		}
		if err := h.keepParts(batch, parts); err != nil {
			return err
		}
	}
	return nil
}

func (h *Holder) keepParts(hashes, parts [][]byte) error {
	if len(parts) != len(hashes) {
		return fault.New(fault.KindMissing, "the source lacks parts of the release", "wait for another source, or put the bundle again")
	}
	for i, data := range parts {
		if !bytes.Equal(bundle.Hash(data), hashes[i]) {
			return fault.New(fault.KindInvalid, "a part was altered", "put the bundle again if every source gives the same")
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, data := range parts {
		h.parts[string(hashes[i])] = data
	}
	return nil
}

func (h *Holder) hold(next *held) {
	h.mu.Lock()
	h.newest = next
	sequence := next.document.Sequence()
	h.history[sequence] = next.document.Signed()
	delete(h.history, sequence-historyLength)
	h.dropUnusedParts(next.manifest)
	h.mu.Unlock()
	h.Count(`hibiscusrock_release_held_total`)
	h.onHeld(next.document)
	h.Tick()
}

// discardParts drops what was fetched for a refused release.
func (h *Holder) discardParts(current *held) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropUnusedParts(current.manifest)
}

func (h *Holder) dropUnusedParts(manifest bundle.Manifest) {
	if len(h.parts) == len(manifest) {
		return
	}
	used := make(map[string]bool, len(manifest))
	for _, hash := range manifest {
		used[string(hash)] = true
	}
	for id := range h.parts {
		if !used[id] {
			delete(h.parts, id)
			delete(h.decoded, id)
		}
	}
}

// Heard records that a node of this data centre holds a sequence.
func (h *Holder) Heard(node string, sequence uint64) {
	h.mu.Lock()
	changed := h.peers[node] != sequence
	h.peers[node] = sequence
	h.mu.Unlock()
	if changed {
		h.Tick()
	}
}

// Forget drops a node that is gone.
func (h *Holder) Forget(node string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.peers, node)
}

// HeldBy returns the sequence that a node was last heard to hold.
func (h *Holder) HeldBy(node string) uint64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.peers[node]
}

// Start allows enforcing, from the given sequence on. Until then the node only
// collects, so that a restart cannot bring an older release back into force.
func (h *Holder) Start(floor uint64) {
	h.mu.Lock()
	h.floor = max(h.floor, floor)
	h.released = true
	h.mu.Unlock()
	h.Tick()
}

// Tick enforces the newest release once enough other nodes hold it.
func (h *Holder) Tick() {
	need := min(holdersBeforeEnforcing, h.alivePeers())
	h.mu.Lock()
	next := h.enforceable(need)
	if next != nil {
		h.enforced.Store(next.table)
	}
	h.mu.Unlock()
	if next == nil {
		return
	}
	h.Count(`hibiscusrock_release_enforced_total`)
	h.Log().WithField("sequence", next.document.Sequence()).Info("release in force")
	h.onEnforced(next.table)
}

func (h *Holder) enforceable(need int) *held {
	next := h.newest
	if next == nil || !h.released || next.document.Sequence() < h.floor {
		return nil
	}
	if next.document.Sequence() <= h.enforced.Load().Sequence() {
		return nil
	}
	holders := 0
	for _, sequence := range h.peers {
		if sequence >= next.document.Sequence() {
			holders++
		}
	}
	if holders < need {
		return nil
	}
	return next
}
