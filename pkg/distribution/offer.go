package distribution

import (
	"bytes"
	"context"
	"slices"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

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
