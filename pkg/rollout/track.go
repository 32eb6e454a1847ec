package rollout

import (
	"slices"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	denseHistory   = 5 * time.Second
	sparseInterval = 10 * time.Second
	stagesKept     = 8
)

// Track keeps the recent snapshots of one move, out of which windows are cut.
type Track struct {
	sequence  uint64
	to        string
	snapshots []Snapshot
	// since is the time of the last change of the share, and past holds what
	// happened between the changes before.
	since time.Time
	past  []Window
	// base is the last snapshot before the share changed.
	base Snapshot
}

// NewTrack returns an empty track of a move.
func NewTrack(move *wire.Move) *Track {
	return &Track{sequence: move.GetSequence(), to: move.GetTo()}
}

// Add appends a snapshot made of the evidence and drops those that no window needs.
func (t *Track) Add(at time.Time, evidence []*wire.Evidence) {
	var own []*wire.Evidence
	for _, e := range evidence {
		if e.GetSequence() == t.sequence {
			own = append(own, e)
		}
	}
	t.snapshots = append(t.snapshots, NewSnapshot(at, t.to, own))
	for len(t.snapshots) > 2 && at.Sub(t.snapshots[1].At) > longWindow {
		t.snapshots = t.snapshots[1:]
	}
	t.thin(at)
}

// thin drops one older snapshot whose neighbours are close enough in time.
func (t *Track) thin(at time.Time) {
	for i := 1; i+1 < len(t.snapshots); i++ {
		if at.Sub(t.snapshots[i+1].At) < denseHistory {
			return
		}
		if t.snapshots[i+1].At.Sub(t.snapshots[i-1].At) <= sparseInterval {
			t.snapshots = slices.Delete(t.snapshots, i, i+1)
			return
		}
	}
}

// Begin tells the time at which the present share came into force. When it is
// new, the stage before is closed and kept.
func (t *Track) Begin(since time.Time) {
	if since.Equal(t.since) {
		return
	}
	if !t.since.IsZero() {
		t.past = append(t.past, t.window(longWindow))
		t.past = t.past[max(0, len(t.past)-stagesKept):]
	}
	t.since = since
	t.base = t.before(since)
}

// before returns the last snapshot not after a time, or the first there is.
func (t *Track) before(at time.Time) Snapshot {
	var found Snapshot
	for i, s := range t.snapshots {
		if i > 0 && s.At.After(at) {
			break
		}
		found = s
	}
	return found
}

// window returns the growth by route over the given time, but not from before
// the present share came into force.
func (t *Track) window(length time.Duration) Window {
	if len(t.snapshots) == 0 {
		return nil
	}
	last := t.snapshots[len(t.snapshots)-1]
	start := last.At.Add(-length)
	if t.since.After(start) {
		return last.Since(t.base)
	}
	return last.Since(t.before(start))
}

// Short returns the growth over the last seconds at the present share.
func (t *Track) Short() Window { return t.window(shortWindow) }

// Stage returns the growth at the present share, as far back as the track reaches.
func (t *Track) Stage() Window { return t.window(longWindow) }

// Stages returns the growth at the present share and at those before.
func (t *Track) Stages() []Window { return append(slices.Clone(t.past), t.Stage()) }
