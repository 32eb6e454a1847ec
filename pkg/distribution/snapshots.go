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

// Snapshots keeps and enforces the newest configuration snapshot of a store whose
// acknowledged writes are never lost. The acknowledged write replaces both the
// signature and the wait for other holders, so a snapshot is enforced as soon as
// it is complete and valid. The sequence in force never decreases.
type Snapshots struct {
	*common.Common
	decode     func(content []byte) (bundle.Snapshot, error)
	onEnforced func(*routing.Table)

	offerMu  sync.Mutex
	newest   atomic.Pointer[wire.Snapshot]
	enforced atomic.Pointer[routing.Table]
	packer   packer

	mu    sync.RWMutex
	peers map[string]uint64
	// newestAnnounced is the newest sequence that was passed to BehindFor.
	// behindSince is when BehindFor last found that this node held newestAnnounced
	// or a newer snapshot.
	newestAnnounced uint64
	behindSince     time.Time
}

var errStale = fault.New(fault.KindStale, "the snapshot is not newer than the one held", "")

// NewSnapshots returns a Snapshots without a snapshot. decode reads the content of one;
// onEnforced is called after a routing table came into force.
func NewSnapshots(cm *common.Common, decode func([]byte) (bundle.Snapshot, error), onEnforced func(*routing.Table)) *Snapshots {
	return &Snapshots{Common: cm, decode: decode, onEnforced: onEnforced, peers: make(map[string]uint64)}
}

// Offer enforces a snapshot that was read from the store if it is newer than the one
// held and valid. Nothing of a refused snapshot is kept. A snapshot whose store revision
// is not newer is refused with KindStale without decoding its content.
func (s *Snapshots) Offer(revision int64, content []byte) error {
	s.offerMu.Lock()
	defer s.offerMu.Unlock()
	if revision <= s.newest.Load().GetRevision() {
		return errStale
	}
	return s.enforce(revision, content)
}

// enforce enforces a snapshot if it is newer than the one held and valid. The caller
// holds s.offerMu.
func (s *Snapshots) enforce(revision int64, content []byte) error {
	decoded, err := s.decode(content)
	if err != nil {
		return s.refuse("undecodable", err)
	}
	sequence := decoded.Sequence
	if sequence <= s.Sequence() {
		return errStale
	}
	table, err := routing.NewSnapshotTable(decoded)
	if err != nil {
		return s.refuse("invalid", err)
	}
	snapshot := &wire.Snapshot{Sequence: sequence, Revision: revision, Content: decoded.Content}
	s.packer.add(snapshot)
	s.newest.Store(snapshot)
	s.enforced.Store(table)
	s.Count(`hibiscusrock_release_enforced_total`)
	s.onEnforced(table)
	return nil
}

// PackedFor returns the newest snapshot, compressed for a node that holds the
// snapshot with the given sequence, or nil when there is none.
func (s *Snapshots) PackedFor(held uint64) (*wire.Snapshot, error) { return s.packer.pack(held) }

// OfferPacked decompresses a snapshot that another node packed and enforces it if it is
// newer. Its revision does not tell: the other node may hold a newer snapshot that a
// restored store has lost. OfferPacked fails with KindMissing when this node does not
// keep the base of the snapshot.
func (s *Snapshots) OfferPacked(packed *wire.Snapshot) error {
	if packed.GetSequence() <= s.Sequence() {
		return errStale
	}
	content, err := s.packer.unpack(packed)
	if err != nil {
		return err
	}
	s.offerMu.Lock()
	defer s.offerMu.Unlock()
	return s.enforce(packed.GetRevision(), content)
}

func (s *Snapshots) refuse(reason string, err error) error {
	s.Count(`hibiscusrock_release_refused_total{reason="` + reason + `"}`)
	return err
}

// Table returns the routing table in force, or nil if there is none.
func (s *Snapshots) Table() *routing.Table { return s.enforced.Load() }

// Sequence returns the sequence of the snapshot in force, or 0 if there is none.
func (s *Snapshots) Sequence() uint64 { return s.newest.Load().GetSequence() }

// Newest returns the newest snapshot, uncompressed, or nil if there is none.
func (s *Snapshots) Newest() *wire.Snapshot { return s.newest.Load() }

// BehindFor records that a peer holds the given sequence and returns how long
// this node has been behind the newest sequence recorded.
func (s *Snapshots) BehindFor(sequence uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newestAnnounced <= s.Sequence() {
		s.behindSince = s.Now()
	}
	s.newestAnnounced = max(s.newestAnnounced, sequence)
	return s.Now().Sub(s.behindSince)
}

// RecordHeld records that a node announced that it holds the given sequence.
func (s *Snapshots) RecordHeld(node string, sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers[node] = max(sequence, s.peers[node])
}

// HeldBy returns the highest sequence that a node announced, or 0.
func (s *Snapshots) HeldBy(node string) uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.peers[node]
}

// Forget removes a node that died or left the fleet.
func (s *Snapshots) Forget(node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, node)
}
