package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/keys"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// signingContext precedes the signed bytes, so that a signature made for another
// purpose is not valid for a release.
const signingContext = "hibiscusrock release v1\n"

// Hash returns the SHA-256 hash of data.
func Hash(data []byte) []byte {
	sum := sha256.Sum256(data)
	return sum[:]
}

// Manifest maps the service names of one release to the SHA-256 hashes of their
// encoded parts.
type Manifest map[string][]byte

// Root returns the SHA-256 hash over the entries, ordered by name.
func (m Manifest) Root() []byte {
	h := sha256.New()
	for _, entry := range m.Entries() {
		h.Write([]byte(entry.GetName()))
		h.Write([]byte{0})
		h.Write(entry.GetHash())
	}
	return h.Sum(nil)
}

// Entries returns the entries, ordered by name.
func (m Manifest) Entries() []*wire.ManifestEntry {
	entries := make([]*wire.ManifestEntry, 0, len(m))
	for name, hash := range m {
		entries = append(entries, &wire.ManifestEntry{Name: name, Hash: hash})
	}
	slices.SortFunc(entries, func(a, b *wire.ManifestEntry) int { return compareNames(a.GetName(), b.GetName()) })
	return entries
}

// NewManifest returns the manifest that holds entries.
func NewManifest(entries []*wire.ManifestEntry) Manifest {
	m := make(Manifest, len(entries))
	for _, entry := range entries {
		m[entry.GetName()] = entry.GetHash()
	}
	return m
}

// Next returns the manifest of r, the release that follows the one of m.
func (m Manifest) Next(r *wire.Release) Manifest {
	next := make(Manifest, len(m)+len(r.GetChanged()))
	for name, hash := range m {
		next[name] = hash
	}
	for _, name := range r.GetRemoved() {
		delete(next, name)
	}
	for _, entry := range r.GetChanged() {
		next[entry.GetName()] = entry.GetHash()
	}
	return next
}

// Document holds a signed release and its decoded body. A nil Document stands for
// the state before the first release: its sequence is 0 and its hash nil.
type Document struct {
	signed  *wire.SignedRelease
	release *wire.Release
	hash    []byte
}

// Open decodes a signed release; it does not verify the signatures.
func Open(signed *wire.SignedRelease) (*Document, error) {
	release := &wire.Release{}
	if err := proto.Unmarshal(signed.GetBody(), release); err != nil {
		return nil, fault.Wrap(err, fault.KindInvalid, "the release cannot be decoded", "fetch it again from the platform")
	}
	if release.GetSequence() == 0 || len(release.GetManifestRoot()) != sha256.Size {
		return nil, fault.New(fault.KindInvalid, fmt.Sprintf("the release has sequence %d and a manifest root of %d bytes; it needs a sequence above 0 and a root of %d bytes", release.GetSequence(), len(release.GetManifestRoot()), sha256.Size), "put the bundle again")
	}
	return &Document{signed: signed, release: release, hash: Hash(signed.GetBody())}, nil
}

// Signed returns the release as encoded and signed.
func (d *Document) Signed() *wire.SignedRelease { return d.signed }

// Release returns the decoded body.
func (d *Document) Release() *wire.Release { return d.release }

// Sequence returns the number of the release: 1 for the first.
func (d *Document) Sequence() uint64 {
	if d == nil {
		return 0
	}
	return d.release.GetSequence()
}

// Move returns the release's move of a service, or nil.
func (d *Document) Move(service string) *wire.Move {
	if d == nil {
		return nil
	}
	for _, move := range d.release.GetMoves() {
		if move.GetService() == service {
			return move
		}
	}
	return nil
}

// Hash returns the SHA-256 hash of the signed bytes, which the next release
// carries as its parent hash.
func (d *Document) Hash() []byte {
	if d == nil {
		return nil
	}
	return d.hash
}

// ID returns the hash in hexadecimal, the identifier of a draft.
func (d *Document) ID() string { return hex.EncodeToString(d.hash) }

// Sign adds a signature by key and removes an earlier one by the same signer.
func (d *Document) Sign(key *keys.Key) {
	signature := &wire.Signature{Signer: key.Name(), Value: key.Sign(signingMessage(d.signed.GetBody()))}
	d.signed.Signatures = slices.DeleteFunc(d.signed.Signatures, func(s *wire.Signature) bool { return s.GetSigner() == key.Name() })
	d.signed.Signatures = append(d.signed.Signatures, signature)
}

// Verify returns an error of kind KindUnsigned unless as many signers of the ring
// as the ring requires have signed the release.
func (d *Document) Verify(ring *keys.Ring) error {
	valid := make(map[string]bool)
	message := signingMessage(d.signed.GetBody())
	for _, s := range d.signed.GetSignatures() {
		if ring.Verify(s.GetSigner(), message, s.GetValue()) {
			valid[s.GetSigner()] = true
		}
	}
	if len(valid) < ring.Required() {
		return fault.New(fault.KindUnsigned, fmt.Sprintf("the release has too few valid signatures: %d of %d", len(valid), ring.Required()), "sign it with 'hibiscusrock bundle sign' by as many signers as the settings require")
	}
	return nil
}

func signingMessage(body []byte) []byte {
	return append([]byte(signingContext), body...)
}

// Draft holds an unsigned release, its manifest and the parts that it changes.
type Draft struct {
	document *Document
	manifest Manifest
	parts    map[string][]byte
}

// Document returns the unsigned release.
func (d *Draft) Document() *Document { return d.document }

// Manifest returns the manifest of all parts, the unchanged ones included.
func (d *Draft) Manifest() Manifest { return d.manifest }

// Parts returns the encoded changed parts, by hash in hexadecimal.
func (d *Draft) Parts() map[string][]byte { return d.parts }

// NewDraft returns the release of b that follows parent; parent and its manifest
// are nil for the first release. Deadlines given as a duration count from now. The
// move of a service that is unchanged since parent keeps its start and deadline.
func NewDraft(b *Bundle, parent *Document, parentManifest Manifest, author string, now time.Time) (*Draft, error) {
	if err := b.Check(); err != nil {
		return nil, err
	}
	d := &Draft{manifest: make(Manifest), parts: make(map[string][]byte)}
	release := &wire.Release{
		Sequence:      parent.Sequence() + 1,
		ParentHash:    parent.Hash(),
		CreatedUnixMs: now.UnixMilli(),
		Author:        author,
		BundleName:    b.Name,
		DataCentres:   b.DataCentres,
	}
	for _, part := range b.Parts() {
		if err := d.addPart(release, &part, parent, parentManifest, now); err != nil {
			return nil, err
		}
	}
	for name := range parentManifest {
		if _, ok := d.manifest[name]; !ok {
			release.Removed = append(release.Removed, name)
		}
	}
	slices.Sort(release.Removed)
	release.ManifestRoot = d.manifest.Root()
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(release)
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInternal, "cannot encode the release", "")
	}
	d.document, err = Open(&wire.SignedRelease{Body: body})
	return d, err
}

func (d *Draft) addPart(release *wire.Release, part *Part, parent *Document, parentManifest Manifest, now time.Time) error {
	data, err := part.Encode()
	if err != nil {
		return err
	}
	hash := Hash(data)
	d.manifest[part.Name] = hash
	changed := !bytes.Equal(parentManifest[part.Name], hash)
	if changed {
		release.Changed = append(release.Changed, &wire.ManifestEntry{Name: part.Name, Hash: hash})
		d.parts[hex.EncodeToString(hash)] = data
	}
	if part.Service.Move == nil {
		return nil
	}
	move := parent.Move(part.Name)
	if changed || move == nil {
		move, err = newMove(part, release.GetSequence(), now)
	}
	release.Moves = append(release.Moves, move)
	return err
}

func newMove(part *Part, sequence uint64, now time.Time) (*wire.Move, error) {
	move := part.Service.Move
	deadline := now.Add(time.Duration(move.CompleteWithinSeconds) * time.Second)
	if move.CompleteBy != nil {
		deadline = *move.CompleteBy
	}
	if deadline.Sub(now) < MinMoveSeconds*time.Second {
		return nil, fault.New(fault.KindInvalid, fmt.Sprintf("the deadline of the move of %s, %s, is past or less than %d seconds away", part.Name, deadline.Format(time.RFC3339), MinMoveSeconds), "set a later deadline")
	}
	return &wire.Move{
		Service:        part.Name,
		From:           part.Service.MoveFrom(),
		To:             move.To,
		StartUnixMs:    now.UnixMilli(),
		DeadlineUnixMs: deadline.UnixMilli(),
		CanaryPermille: uint32(move.CanaryPercent * FullPermille / 100),
		Sequence:       sequence,
	}, nil
}
