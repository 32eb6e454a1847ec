package distribution

import (
	"math"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// Freshness keeps the newest evidence that the store held no configuration newer than the
// one that this node holds: its own reads of the store, and the evidence of peers that
// hold the same. It is safe for concurrent use.
type Freshness struct {
	now func() time.Time

	mu sync.Mutex
	// confirmedAt is the time of the evidence, zero if there is none.
	confirmedAt time.Time
	// revision is the store revision up to which all changes were reported to this node or
	// to the one that confirmed.
	revision int64
}

// NewFreshness returns a Freshness without evidence.
func NewFreshness(now func() time.Time) *Freshness { return &Freshness{now: now} }

// Confirm records that the store held nothing newer at a time, and the revision up to which
// all changes are known.
func (f *Freshness) Confirm(at time.Time, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
	f.revision = max(f.revision, revision)
}

// ConfirmBy records the evidence in a peer's answer to a message that was sent at a time.
// The time of the answer does not count, because the answer may have been delayed. The
// caller must hold at least the sequence that the peer holds.
func (f *Freshness) ConfirmBy(c *wire.Confirmation, sentAt time.Time) {
	if c != nil {
		f.Confirm(sentAt.Add(-time.Duration(c.GetAgeMs())*time.Millisecond), c.GetRevision())
	}
}

// Age returns the time since the last evidence, or the longest possible time if there is
// none.
func (f *Freshness) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmedAt.IsZero() {
		return math.MaxInt64
	}
	return f.now().Sub(f.confirmedAt)
}

// Revision returns the store revision up to which all changes are known, or 0.
func (f *Freshness) Revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// Confirmation returns the evidence for a peer, or nil if there is none or it is too old to
// be of use.
func (f *Freshness) Confirmation() *wire.Confirmation {
	age := f.Age()
	if age > math.MaxUint32*time.Millisecond {
		return nil
	}
	// Rounded up, so that evidence does not become newer on its way from node to node.
	return &wire.Confirmation{AgeMs: uint32((age + time.Millisecond - 1) / time.Millisecond), Revision: f.Revision()}
}
