package distribution

import (
	"bytes"
	"context"
	"fmt"
	"slices"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// Offer accepts a release if it is newer than the one held and passes every
// check, and enforces it once enough other nodes hold it. Missing manifests and
// parts are fetched from source. Nothing of a refused release is kept.
//
// The error is of KindStale for a release that is not newer, of KindConflict
// for a different release with the sequence of the one held, of KindUnsigned
// for missing or wrong signatures, and of KindMissing or KindInvalid for missing or
// altered content. Errors of source are returned unchanged.
func (h *Holder) Offer(ctx context.Context, signed *wire.SignedRelease, source Source) error {
	document, err := bundle.Open(signed)
	if err != nil {
		return h.refuse("undecodable", err)
	}
	h.offerMu.Lock()
	defer h.offerMu.Unlock()
	current := h.current()
	if document.Sequence() <= current.document.Sequence() {
		return h.refuseOlder(document, current)
	}
	if err := document.Verify(h.ring); err != nil {
		return h.refuse("signature", err)
	}
	next, err := h.fetchAndVerify(ctx, document, current, source)
	if err != nil {
		h.discardParts(current)
		return h.refuse(string(fault.KindOf(err)), err)
	}
	h.hold(next)
	return nil
}

// current returns the newest release held, or an empty one.
func (h *Holder) current() *verifiedRelease {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.newest == nil {
		return &verifiedRelease{}
	}
	return h.newest
}

func (h *Holder) refuse(reason string, err error) error {
	h.Count(`hibiscusrock_release_refused_total{reason="` + reason + `"}`)
	return err
}

// refuseOlder refuses a release that is not newer than the one held. Two
// different releases with the same sequence are a conflict.
func (h *Holder) refuseOlder(document *bundle.Document, current *verifiedRelease) error {
	if document.Sequence() == current.document.Sequence() && !bytes.Equal(document.Hash(), current.document.Hash()) {
		err := fault.New(fault.KindConflict, fmt.Sprintf("two different releases have the sequence %d", document.Sequence()), "the signing keys were used outside 'rollout start'; replace them and roll out again")
		return h.refuse("fork", err)
	}
	return h.refuse("older", fault.New(fault.KindStale, fmt.Sprintf("release %d is not newer than release %d, which is held", document.Sequence(), current.document.Sequence()), ""))
}

// fetchAndVerify fetches the manifest and the missing parts of a release, checks
// them, and builds the routing table.
func (h *Holder) fetchAndVerify(ctx context.Context, document *bundle.Document, current *verifiedRelease, source Source) (*verifiedRelease, error) {
	manifest, err := h.followChain(ctx, document, current, source)
	if err != nil {
		h.Count(`hibiscusrock_release_whole_manifest_total`)
		manifest, err = source.Manifest(ctx, document)
	}
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(manifest.Root(), document.Release().GetManifestRoot()) {
		return nil, fault.New(fault.KindInvalid, fmt.Sprintf("the manifest root does not match release %d", document.Sequence()), "put the bundle again")
	}
	parts, err := h.collectParts(ctx, manifest, source)
	if err != nil {
		return nil, err
	}
	if err := bundle.CheckConflicts(parts); err != nil {
		return nil, err
	}
	table, err := routing.NewTable(document, parts)
	if err != nil {
		return nil, err
	}
	return &verifiedRelease{document: document, manifest: manifest, table: table}, nil
}

// followChain derives the manifest of document from the manifest of the release
// held, by applying the changes of each release between the two in order.
func (h *Holder) followChain(ctx context.Context, document *bundle.Document, current *verifiedRelease, source Source) (bundle.Manifest, error) {
	gap := document.Sequence() - current.document.Sequence()
	if gap > maxHistoryLength || (current.document == nil && gap > 1) {
		return nil, fault.New(fault.KindMissing, fmt.Sprintf("too many releases lie between release %d, which is held, and release %d", current.document.Sequence(), document.Sequence()), "")
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

// nextManifest applies the changes of document to the manifest of its parent. It
// fails with KindConflict if document is not the direct successor of parent.
func nextManifest(manifest bundle.Manifest, parent, document *bundle.Document) (bundle.Manifest, error) {
	follows := document.Sequence() == parent.Sequence()+1 && bytes.Equal(document.Release().GetParentHash(), parent.Hash())
	if !follows {
		return nil, fault.New(fault.KindConflict, fmt.Sprintf("release %d is not the successor of release %d", document.Sequence(), parent.Sequence()), "")
	}
	return manifest.Next(document.Release()), nil
}

// collectParts returns the decoded parts of a manifest and fetches those that are missing.
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

// decodePart decodes and checks a part, which must hold the service that the
// manifest names. A part decoded for an earlier release is reused.
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
		return part, fault.New(fault.KindInvalid, "part "+entry.GetName()+" contains the service "+part.Name, "put the bundle again")
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
	for batch := range slices.Chunk(missing, maxPartsPerFetch) {
		parts, err := source.Parts(ctx, batch)
		if err != nil {
			return err
		}
		if err := h.storeParts(batch, parts); err != nil {
			return err
		}
	}
	return nil
}

// storeParts stores fetched parts if each of them matches its hash, and none otherwise.
func (h *Holder) storeParts(hashes, parts [][]byte) error {
	if len(parts) != len(hashes) {
		return fault.New(fault.KindMissing, fmt.Sprintf("the source returned %d parts of the %d requested", len(parts), len(hashes)), "wait for another source, or put the bundle again")
	}
	for i, data := range parts {
		if !bytes.Equal(bundle.Hash(data), hashes[i]) {
			return fault.New(fault.KindInvalid, fmt.Sprintf("the content of part %x does not match its hash", hashes[i]), "put the bundle again if every source returns the same content")
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, data := range parts {
		h.parts[string(hashes[i])] = data
	}
	return nil
}

// hold makes next the newest release held and drops the parts that it does not use.
func (h *Holder) hold(next *verifiedRelease) {
	h.keep(next)
	h.Count(`hibiscusrock_release_held_total`)
	h.onHeld(next.document)
	h.Tick()
}

func (h *Holder) keep(next *verifiedRelease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.newest = next
	sequence := next.document.Sequence()
	h.history[sequence] = next.document.Signed()
	delete(h.history, sequence-maxHistoryLength)
	h.dropUnusedParts(next.manifest)
}

// discardParts removes the parts that were fetched for a refused release.
func (h *Holder) discardParts(current *verifiedRelease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropUnusedParts(current.manifest)
}

// dropUnusedParts removes the parts that manifest does not name. The caller holds h.mu.
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
