package distribution

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// Snapshots keeps the newest configuration of a store whose acknowledgement is
// the sign-off. Such a store loses nothing, so that a snapshot is enforced as
// soon as it is whole; the enforced sequence never falls.
type Snapshots struct {
	*common.Common
	decode  func(content []byte) (uint64, []bundle.Part, error)
	changed func(*routing.Table)

	offering sync.Mutex
	newest   atomic.Pointer[wire.Snapshot]
	enforced atomic.Pointer[routing.Table]
	packer   packer

	mu    sync.RWMutex
	peers map[string]uint64
	// behind is the newest sequence heard of that is not held, since when.
	behind      uint64
	behindSince time.Time
}

var errStale = fault.New(fault.KindStale, "the snapshot is not newer than the one held", "")

// NewSnapshots returns an empty holder. The function decode reads a snapshot's
// content; changed is called after a table comes into force.
func NewSnapshots(cm *common.Common, decode func([]byte) (uint64, []bundle.Part, error), changed func(*routing.Table)) *Snapshots {
	return &Snapshots{Common: cm, decode: decode, changed: changed, peers: make(map[string]uint64)}
}

// Offer takes a snapshot in if it is newer than the one held and whole. Nothing
// of a refused snapshot is kept. The store revision tells one that is not newer
// without reading it.
func (s *Snapshots) Offer(revision int64, content []byte) error {
	s.offering.Lock()
	defer s.offering.Unlock()
	if revision <= s.newest.Load().GetRevision() {
		return errStale
	}
	sequence, parts, err := s.decode(content)
	if err != nil {
		return s.refuse("undecodable", err)
	}
	if sequence <= s.Sequence() {
		return errStale
	}
	table, err := routing.NewSnapshotTable(sequence, parts)
	if err != nil {
		return s.refuse("invalid", err)
	}
	snapshot := &wire.Snapshot{Sequence: sequence, Revision: revision, Content: content}
	s.packer.add(snapshot)
	s.newest.Store(snapshot)
	s.enforced.Store(table)
	s.Count(`hibiscusrock_release_enforced_total`)
	s.changed(table)
	return nil
}

// PackedFor returns the newest snapshot as it travels to a node that holds the
// given sequence, or nil when there is none.
func (s *Snapshots) PackedFor(held uint64) (*wire.Snapshot, error) { return s.packer.pack(held) }

// OfferPacked takes in a snapshot that another node packed. It fails with
// KindMissing when the snapshot is packed against one that this node lacks.
func (s *Snapshots) OfferPacked(packed *wire.Snapshot) error {
	if packed.GetRevision() <= s.newest.Load().GetRevision() {
		return errStale
	}
	content, err := s.packer.unpack(packed)
	if err != nil {
		return err
	}
	return s.Offer(packed.GetRevision(), content)
}

func (s *Snapshots) refuse(reason string, err error) error {
	s.Count(`hibiscusrock_release_refused_total{reason="` + reason + `"}`)
	return err
}

// Table returns the table in force, or nil.
func (s *Snapshots) Table() *routing.Table { return s.enforced.Load() }

// Sequence returns the number of the snapshot in force, or 0.
func (s *Snapshots) Sequence() uint64 { return s.newest.Load().GetSequence() }

// Newest returns the newest snapshot, or nil.
func (s *Snapshots) Newest() *wire.Snapshot { return s.newest.Load() }

// KnownFor returns the time for which this node has known that it lacks a
// sequence or one before it.
func (s *Snapshots) KnownFor(sequence uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behind <= s.Sequence() {
		s.behindSince = s.Now()
	}
	s.behind = max(s.behind, sequence)
	return s.Now().Sub(s.behindSince)
}

// Heard records that a node holds a sequence.
func (s *Snapshots) Heard(node string, sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers[node] = max(sequence, s.peers[node])
}

// HeldBy returns the sequence that a node was last heard to hold.
func (s *Snapshots) HeldBy(node string) uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.peers[node]
}

// Forget drops a node that is gone or has started again.
func (s *Snapshots) Forget(node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, node)
}
