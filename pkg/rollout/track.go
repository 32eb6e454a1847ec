package rollout

import (
	"slices"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	denseHistory   = 5 * time.Second
	sparseInterval = 10 * time.Second
)

// Track keeps the recent snapshots of one move, out of which windows are cut.
type Track struct {
	sequence  uint64
	to        string
	snapshots []Snapshot
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

// Window returns the growth by route over the given time, but not from before since.
func (t *Track) Window(length time.Duration, since time.Time) map[string]Sides {
	if len(t.snapshots) == 0 {
		return nil
	}
	last := t.snapshots[len(t.snapshots)-1]
	start := last.At.Add(-length)
	if since.After(start) {
		start = since
	}
	first := t.snapshots[0]
	for _, s := range t.snapshots {
		if s.At.After(start) {
			break
		}
		first = s
	}
	return last.Since(first)
}

// Short returns the growth over the last seconds, not from before since.
func (t *Track) Short(since time.Time) map[string]Sides { return t.Window(shortWindow, since) }

// Stage returns the growth since the share changed, as far back as the track reaches.
func (t *Track) Stage(since time.Time) map[string]Sides { return t.Window(longWindow, since) }
