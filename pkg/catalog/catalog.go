// Package catalog stores drafts, releases, their manifests and parts, and the
// reports on moves in the key-value store of the platform.
package catalog

import (
	"context"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/distribution"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/keys"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// checkpointInterval is the number of releases from one stored manifest to the
	// next; the manifests of the releases between are derived from their changes.
	checkpointInterval = 32
	writesPerBatch     = 64
	readsPerBatch      = 64
	maxSignAttempts    = 5
	maxListedKeys      = 1000
)

// Catalog reads and writes the documents that the platform stores.
type Catalog struct {
	client *store.Client
}

// New returns a catalog that reads and writes through client.
func New(client *store.Client) *Catalog { return &Catalog{client: client} }

// Decode decodes a signed release; it does not verify the signatures.
func Decode(data []byte) (*bundle.Document, error) {
	signed := &wire.SignedRelease{}
	if err := proto.Unmarshal(data, signed); err != nil {
		return nil, fault.Wrap(err, fault.KindInvalid, "the release cannot be decoded", "put the bundle again")
	}
	return bundle.Open(signed)
}

// Head returns the newest release and the store revision of its key, or nil and 0
// when there is no release yet.
func (c *Catalog) Head(ctx context.Context) (*bundle.Document, int64, error) {
	kv, found, err := c.client.Get(ctx, store.HeadKey)
	if err != nil || !found {
		return nil, 0, err
	}
	document, err := Decode(kv.Value)
	return document, kv.ModRevision, err
}

// Release returns the release with a sequence; an error of kind KindMissing when
// there is none.
func (c *Catalog) Release(ctx context.Context, sequence uint64) (*bundle.Document, error) {
	return c.document(ctx, store.ReleaseKey(sequence), fmt.Sprintf("release %d", sequence))
}

// Draft returns the draft with an identifier; an error of kind KindMissing when
// there is none.
func (c *Catalog) Draft(ctx context.Context, id string) (*bundle.Document, error) {
	return c.document(ctx, store.DraftKey(id), "draft "+id)
}

func (c *Catalog) document(ctx context.Context, key, name string) (*bundle.Document, error) {
	kv, found, err := c.client.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, fault.New(fault.KindMissing, "there is no "+name, "list the drafts and releases with 'hibiscusrock bundle list'")
	}
	return Decode(kv.Value)
}

// Manifest returns the whole manifest of a release: the last stored manifest at or
// before it, with the changes of the releases since. The document may be a draft.
func (c *Catalog) Manifest(ctx context.Context, document *bundle.Document) (bundle.Manifest, error) {
	if document == nil {
		return nil, nil
	}
	start := (document.Sequence()-1)/checkpointInterval*checkpointInterval + 1
	first, err := c.releaseAt(ctx, document, start)
	if err != nil {
		return nil, err
	}
	kv, found, err := c.client.Get(ctx, store.ManifestKey(first.Release().GetManifestRoot()))
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, fault.New(fault.KindMissing, fmt.Sprintf("the manifest of release %d is not on the platform", start), "put the bundle again")
	}
	entries := &wire.Manifest{}
	if err := proto.Unmarshal(kv.Value, entries); err != nil {
		return nil, fault.Wrap(err, fault.KindInvalid, fmt.Sprintf("the manifest of release %d cannot be decoded", start), "put the bundle again")
	}
	manifest := bundle.NewManifest(entries.GetEntries())
	for sequence := start + 1; sequence <= document.Sequence(); sequence++ {
		next, err := c.releaseAt(ctx, document, sequence)
		if err != nil {
			return nil, err
		}
		manifest = manifest.Next(next.Release())
	}
	return manifest, nil
}

// releaseAt returns document if it has the sequence, and else the release that the
// platform stores for it. A draft is not stored under its sequence.
func (c *Catalog) releaseAt(ctx context.Context, document *bundle.Document, sequence uint64) (*bundle.Document, error) {
	if sequence == document.Sequence() {
		return document, nil
	}
	return c.Release(ctx, sequence)
}

// Parts returns the encoded parts with the hashes, in the same order.
func (c *Catalog) Parts(ctx context.Context, hashes [][]byte) ([][]byte, error) {
	parts := make([][]byte, 0, len(hashes))
	for batch := range slices.Chunk(hashes, readsPerBatch) {
		keys := make([]string, len(batch))
		for i, hash := range batch {
			keys[i] = store.PartKey(hash)
		}
		values, err := c.client.GetMany(ctx, keys)
		if err != nil {
			return nil, err
		}
		if slices.ContainsFunc(values, func(value []byte) bool { return value == nil }) {
			return nil, fault.New(fault.KindMissing, "a part of the release is not on the platform", "put the bundle again")
		}
		parts = append(parts, values...)
	}
	return parts, nil
}

// Source returns a source from which a node fetches releases of the catalog.
func (c *Catalog) Source() distribution.Source {
	return distribution.Source{
		Release: func(ctx context.Context, sequence uint64) (*wire.SignedRelease, error) {
			document, err := c.Release(ctx, sequence)
			if err != nil {
				return nil, err
			}
			return document.Signed(), nil
		},
		Manifest: c.Manifest,
		Parts:    c.Parts,
	}
}

// Bundle assembles the bundle of a release from its parts.
func (c *Catalog) Bundle(ctx context.Context, document *bundle.Document) (*bundle.Bundle, error) {
	manifest, err := c.Manifest(ctx, document)
	if err != nil {
		return nil, err
	}
	var hashes [][]byte
	for _, entry := range manifest.Entries() {
		hashes = append(hashes, entry.GetHash())
	}
	contents, err := c.Parts(ctx, hashes)
	if err != nil {
		return nil, err
	}
	var parts []bundle.Part
	for _, data := range contents {
		part, err := bundle.DecodePart(data)
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
	}
	return bundle.Join(document.Release().GetBundleName(), document.Release().GetDataCentres(), parts), nil
}

// Put stores a bundle as an unsigned draft of the release that follows the newest
// one. Deadlines of moves given as a duration count from now.
func (c *Catalog) Put(ctx context.Context, b *bundle.Bundle, author string, now time.Time) (*bundle.Document, error) {
	parent, _, err := c.Head(ctx)
	if err != nil {
		return nil, err
	}
	parentManifest, err := c.Manifest(ctx, parent)
	if err != nil {
		return nil, err
	}
	draft, err := bundle.NewDraft(b, parent, parentManifest, author, now)
	if err != nil {
		return nil, err
	}
	return draft.Document(), c.store(ctx, draft)
}

func (c *Catalog) store(ctx context.Context, draft *bundle.Draft) error {
	var writes []store.Write
	for id, data := range draft.Parts() {
		hash, _ := hex.DecodeString(id)
		writes = append(writes, store.Write{Key: store.PartKey(hash), Value: data})
	}
	for batch := range slices.Chunk(writes, writesPerBatch) {
		if err := c.putBatch(ctx, batch); err != nil {
			return err
		}
	}
	if draft.Document().Sequence()%checkpointInterval == 1 {
		data, err := proto.Marshal(&wire.Manifest{Entries: draft.Manifest().Entries()})
		if err != nil {
			return fault.Wrap(err, fault.KindInternal, "cannot encode the manifest", "")
		}
		if err := c.client.Put(ctx, store.ManifestKey(draft.Manifest().Root()), data, 0); err != nil {
			return err
		}
	}
	data, err := proto.Marshal(draft.Document().Signed())
	if err != nil {
		return fault.Wrap(err, fault.KindInternal, "cannot encode the draft", "")
	}
	return c.client.Put(ctx, store.DraftKey(draft.Document().ID()), data, 0)
}

// putBatch writes parts in one transaction. If that fails because the first key
// exists, it writes each alone: a key holds the hash of its part, so that writing
// a part again does not change it.
func (c *Catalog) putBatch(ctx context.Context, batch []store.Write) error {
	done, _, err := c.client.Swap(ctx, 0, batch...)
	if err != nil || done {
		return err
	}
	for _, w := range batch {
		if err := c.client.Put(ctx, w.Key, w.Value, 0); err != nil {
			return err
		}
	}
	return nil
}

// Sign adds a signature to a draft. It keeps signatures that others add at the
// same time: it reads the draft again when it changed, up to maxSignAttempts times.
func (c *Catalog) Sign(ctx context.Context, id string, key *keys.Key) (*bundle.Document, error) {
	for range maxSignAttempts {
		kv, found, err := c.client.Get(ctx, store.DraftKey(id))
		if err != nil {
			return nil, err
		}
		if !found {
			return nil, fault.New(fault.KindMissing, "there is no draft "+id, "put the bundle first")
		}
		document, err := Decode(kv.Value)
		if err != nil {
			return nil, err
		}
		document.Sign(key)
		data, err := proto.Marshal(document.Signed())
		if err != nil {
			return nil, fault.Wrap(err, fault.KindInternal, "cannot encode the draft", "")
		}
		swapped, _, err := c.client.Swap(ctx, kv.ModRevision, store.Write{Key: store.DraftKey(id), Value: data})
		if err != nil || swapped {
			return document, err
		}
	}
	return nil, fault.New(fault.KindConflict, fmt.Sprintf("the draft changed during each of %d attempts to sign it", maxSignAttempts), "sign again")
}

// Start makes a signed draft the newest release. Of several operators that start
// drafts for the same sequence one succeeds, and the others get an error of kind
// KindConflict. Starting the newest release again succeeds without effect.
func (c *Catalog) Start(ctx context.Context, id string) (*bundle.Document, error) {
	document, err := c.Draft(ctx, id)
	if err != nil {
		return nil, err
	}
	head, revision, err := c.Head(ctx)
	if err != nil {
		return nil, err
	}
	if slices.Equal(head.Hash(), document.Hash()) {
		return document, nil
	}
	if document.Sequence() != head.Sequence()+1 || !slices.Equal(document.Release().GetParentHash(), head.Hash()) {
		return nil, conflict(head)
	}
	data, err := proto.Marshal(document.Signed())
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInternal, "cannot encode the release", "")
	}
	swapped, present, err := c.client.Swap(ctx, revision,
		store.Write{Key: store.HeadKey, Value: data},
		store.Write{Key: store.ReleaseKey(document.Sequence()), Value: data})
	if err != nil {
		return c.confirmStart(ctx, document, err)
	}
	if !swapped {
		other, err := Decode(present.Value)
		if err != nil {
			return nil, err
		}
		return nil, conflict(other)
	}
	return document, nil
}

// confirmStart reads the newest release after a write that failed with cause: the
// write may have taken effect although its answer was lost. It returns the cause
// if the document is not the newest release.
func (c *Catalog) confirmStart(ctx context.Context, document *bundle.Document, cause error) (*bundle.Document, error) {
	head, _, err := c.Head(ctx)
	if err != nil {
		return nil, fault.Wrap(cause, fault.KindUnavailable, "it is not known whether the rollout started", "run 'hibiscusrock rollout start' with the same draft again; it is safe to repeat")
	}
	if slices.Equal(head.Hash(), document.Hash()) {
		return document, nil
	}
	return nil, cause
}

func conflict(head *bundle.Document) error {
	message := fmt.Sprintf("release %d by %s came first", head.Sequence(), head.Release().GetAuthor())
	return fault.New(fault.KindConflict, message, "put the bundle again, so that it follows that release, and have it signed")
}

// PutEarlier stores the contents of an earlier release, without its moves, as a new
// draft.
func (c *Catalog) PutEarlier(ctx context.Context, sequence uint64, author string, now time.Time) (*bundle.Document, error) {
	earlier, err := c.Release(ctx, sequence)
	if err != nil {
		return nil, err
	}
	b, err := c.Bundle(ctx, earlier)
	if err != nil {
		return nil, err
	}
	for name, s := range b.Services {
		s.Move = nil
		b.Services[name] = s
	}
	return c.Put(ctx, b, author, now)
}

// Releases returns the releases, newest first; of more than 1000 only those with
// the lowest sequences.
func (c *Catalog) Releases(ctx context.Context) ([]*bundle.Document, error) {
	return c.list(ctx, store.ReleasePrefix)
}

// Drafts returns the drafts, newest first; of more than 1000 only those with the
// lowest identifiers.
func (c *Catalog) Drafts(ctx context.Context) ([]*bundle.Document, error) {
	return c.list(ctx, store.DraftPrefix)
}

func (c *Catalog) list(ctx context.Context, prefix string) ([]*bundle.Document, error) {
	kvs, err := c.client.List(ctx, prefix, maxListedKeys)
	if err != nil {
		return nil, err
	}
	documents := make([]*bundle.Document, 0, len(kvs))
	for _, kv := range kvs {
		document, err := Decode(kv.Value)
		if err != nil {
			return nil, err
		}
		documents = append(documents, document)
	}
	slices.SortStableFunc(documents, func(a, b *bundle.Document) int {
		return int(b.Release().GetCreatedUnixMs() - a.Release().GetCreatedUnixMs())
	})
	return documents, nil
}

// Report is the status of the move of one service in one data centre.
type Report struct {
	Sequence   uint64    `json:"sequence"`
	DataCentre string    `json:"data_centre"`
	Service    string    `json:"service"`
	Version    string    `json:"version"`
	State      string    `json:"state"`
	Permille   int       `json:"permille"`
	Note       string    `json:"note"`
	At         time.Time `json:"at"`
	// Begun is the time at which the new version could first take traffic, and Since
	// the time of the last change of its share. A new leader continues the move from
	// them.
	Begun time.Time `json:"begun"`
	Since time.Time `json:"since"`
	// Halt is set once the version was rolled back (state taken_back).
	Halt *HaltReport `json:"halt,omitempty"`
}

// HaltReport holds the reason for which a version was rolled back and the
// figures that show it.
type HaltReport struct {
	Cause      string    `json:"cause"`
	Route      string    `json:"route"`
	Figures    string    `json:"figures"`
	DataCentre string    `json:"data_centre"`
	At         time.Time `json:"at"`
}

func reportKey(r Report) string { return store.StatusKey(r.Sequence, r.DataCentre, r.Service) }

func reportPrefix(sequence uint64) string {
	key := store.StatusKey(sequence, "", "")
	return strings.TrimSuffix(key, "/")
}
