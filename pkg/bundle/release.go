package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/keys"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const signingContext = "hibiscusrock release v1\n"

// Hash returns the SHA-256 hash of data.
func Hash(data []byte) []byte {
	sum := sha256.Sum256(data)
	return sum[:]
}

// Manifest lists the parts of one release: hash by service name.
type Manifest map[string][]byte

// Root returns the hash over the manifest's entries in order of name.
func (m Manifest) Root() []byte {
	h := sha256.New()
	for _, entry := range m.Entries() {
		h.Write([]byte(entry.GetName()))
		h.Write([]byte{0})
		h.Write(entry.GetHash())
	}
	return h.Sum(nil)
}

// Entries returns the manifest's entries in order of name.
func (m Manifest) Entries() []*wire.ManifestEntry {
	entries := make([]*wire.ManifestEntry, 0, len(m))
	for name, hash := range m {
		entries = append(entries, &wire.ManifestEntry{Name: name, Hash: hash})
	}
	slices.SortFunc(entries, func(a, b *wire.ManifestEntry) int { return compareNames(a.GetName(), b.GetName()) })
	return entries
}

// NewManifest returns the manifest that entries list.
func NewManifest(entries []*wire.ManifestEntry) Manifest {
	m := make(Manifest, len(entries))
	for _, entry := range entries {
		m[entry.GetName()] = entry.GetHash()
	}
	return m
}

// Next returns the manifest after a release that follows the one m belongs to.
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

// Document is a decoded signed release.
type Document struct {
	signed  *wire.SignedRelease
	release *wire.Release
	hash    []byte
}

// Open decodes a signed release without verifying its signatures.
func Open(signed *wire.SignedRelease) (*Document, error) {
	release := &wire.Release{}
	if err := proto.Unmarshal(signed.GetBody(), release); err != nil {
		return nil, fault.Wrap(err, fault.KindInvalid, "the release cannot be decoded", "fetch it again from the platform")
	}
	if release.GetSequence() == 0 || len(release.GetManifestRoot()) != sha256.Size {
		return nil, fault.New(fault.KindInvalid, "the release lacks a sequence or a manifest root", "put the bundle again")
	}
	return &Document{signed: signed, release: release, hash: Hash(signed.GetBody())}, nil
}

// Signed returns the signed form.
func (d *Document) Signed() *wire.SignedRelease { return d.signed }

// Release returns the decoded release.
func (d *Document) Release() *wire.Release { return d.release }

// Sequence returns the release's number.
func (d *Document) Sequence() uint64 {
	if d == nil {
		return 0
	}
	return d.release.GetSequence()
}

// Move returns the move of a service that the release carries, or nil.
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

// Hash returns the hash that the next release names as its parent.
func (d *Document) Hash() []byte {
	if d == nil {
		return nil
	}
	return d.hash
}

// ID returns the hash in hexadecimal, by which operators name a draft.
func (d *Document) ID() string { return hex.EncodeToString(d.hash) }

// Sign adds the key's signature, replacing an earlier one by the same signer.
func (d *Document) Sign(key *keys.Key) {
	signature := &wire.Signature{Signer: key.Name(), Value: key.Sign(signingMessage(d.signed.GetBody()))}
	d.signed.Signatures = slices.DeleteFunc(d.signed.Signatures, func(s *wire.Signature) bool { return s.GetSigner() == key.Name() })
	d.signed.Signatures = append(d.signed.Signatures, signature)
}

// Verify checks that enough signers of the ring signed the release.
func (d *Document) Verify(ring *keys.Ring) error {
	valid := make(map[string]bool)
	message := signingMessage(d.signed.GetBody())
	for _, s := range d.signed.GetSignatures() {
		if ring.Verify(s.GetSigner(), message, s.GetValue()) {
			valid[s.GetSigner()] = true
		}
	}
	if len(valid) < ring.Required() {
		return fault.New(fault.KindUnsigned, "the release has too few valid signatures", "sign it with 'hibiscusrock bundle sign' by as many signers as the settings require")
	}
	return nil
}

func signingMessage(body []byte) []byte {
	return append([]byte(signingContext), body...)
}

// Draft is a release under construction with the parts that it needs.
type Draft struct {
	document *Document
	manifest Manifest
	parts    map[string][]byte
}

// Document returns the unsigned release.
func (d *Draft) Document() *Document { return d.document }

// Manifest returns the complete list of parts.
func (d *Draft) Manifest() Manifest { return d.manifest }

// Parts returns the changed parts by hash in hexadecimal.
func (d *Draft) Parts() map[string][]byte { return d.parts }

// NewDraft makes the release that follows parent, whose manifest is given, out of b.
// Deadlines given as a duration count from now.
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
	for _, part := range b.Split() {
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
	if deadline.Sub(now) < MinimumMoveSeconds*time.Second {
		return nil, fault.New(fault.KindInvalid, "the deadline of the move of "+part.Name+" is too near or past", "set a later deadline")
	}
	return &wire.Move{
		Service:        part.Name,
		From:           part.Service.From(),
		To:             move.To,
		StartUnixMs:    now.UnixMilli(),
		DeadlineUnixMs: deadline.UnixMilli(),
		CanaryPermille: uint32(move.CanaryPercent * FullPermille / 100),
		Sequence:       sequence,
	}, nil
}
