package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// denseHistory is the age up to which all snapshots are kept. Of older ones,
	// those are dropped whose neighbours are at most sparseInterval apart.
	denseHistory   = 5 * time.Second
	sparseInterval = 10 * time.Second
	maxPastStages  = 8
)

// History keeps the recent snapshots of one move. The difference of two snapshots
// is the window of outcomes between them. It is not safe for concurrent use.
type History struct {
	sequence uint64
	to       string
	// totals holds the newest totals of each node, grown the sum of their growth. What
	// a node had counted before its first evidence is not in it.
	totals map[string]nodeTotals
	grown  Window
	// earlierOnNew counts the requests on the new version that are not in grown.
	earlierOnNew uint64
	snapshots    []Snapshot
	// since is the time of the last change of the share.
	since time.Time
	// past holds one window for each of the last stages before that change.
	past []Window
	// base is the last snapshot not after since. Windows of the present stage do
	// not begin before it.
	base Snapshot
}

// NewHistory returns an empty history of a move.
func NewHistory(move *wire.Move) *History {
	return &History{sequence: move.GetSequence(), to: move.GetTo(), totals: make(map[string]nodeTotals), grown: make(Window)}
}

// Add appends a snapshot made of the evidence for this move, and drops snapshots
// that no window needs.
func (h *History) Add(at time.Time, evidence []*wire.Evidence) {
	h.grown = h.grown.withoutRunning()
	for _, e := range evidence {
		if e.GetSequence() == h.sequence {
			h.addTotals(e.GetNode(), groupByRoute(h.to, e.GetTotals()))
		}
	}
	h.snapshots = append(h.snapshots, Snapshot{At: at, routes: maps.Clone(h.grown)})
	for len(h.snapshots) > 2 && at.Sub(h.snapshots[1].At) > longWindow {
		h.snapshots = h.snapshots[1:]
	}
	h.thin(at)
}

// addTotals adds the growth of a node's totals since its last evidence.
func (h *History) addTotals(node string, totals nodeTotals) {
	before, known := h.totals[node]
	h.totals[node] = totals
	if !known {
		before = totals
		for _, sides := range totals {
			h.earlierOnNew += sides.New.ended()
		}
	}
	restarted := !before.isBefore(totals)
	for route, sides := range totals {
		base := before[route]
		if restarted {
			base = VersionCounts{}
		}
		sum := h.grown[route]
		sum.Old.plus(sides.Old.minus(base.Old))
		sum.New.plus(sides.New.minus(base.New))
		h.grown[route] = sum
	}
}

// thin drops at most one snapshot older than denseHistory, the first one whose
// neighbours are at most sparseInterval apart.
func (h *History) thin(at time.Time) {
	for i := 1; i+1 < len(h.snapshots); i++ {
		if at.Sub(h.snapshots[i+1].At) < denseHistory {
			return
		}
		if h.snapshots[i+1].At.Sub(h.snapshots[i-1].At) <= sparseInterval {
			h.snapshots = slices.Delete(h.snapshots, i, i+1)
			return
		}
	}
}

// StartStage sets the time at which the present share came into force. When the time
// differs from the last call's, the stage before ends and its window is kept.
func (h *History) StartStage(since time.Time) {
	if since.Equal(h.since) {
		return
	}
	base := h.lastSnapshotAt(since)
	if !h.since.IsZero() {
		h.past = append(h.past, h.windowUntil(base, longWindow).withoutRunning())
		h.past = h.past[max(0, len(h.past)-maxPastStages):]
	}
	h.since = since
	h.base = base
}

// lastSnapshotAt returns the last snapshot not after a time, or the first
// snapshot when all are later.
func (h *History) lastSnapshotAt(at time.Time) Snapshot {
	var found Snapshot
	for i, s := range h.snapshots {
		if i > 0 && s.At.After(at) {
			break
		}
		found = s
	}
	return found
}

// OnNew returns the number of requests on the new version, including those that nodes
// had counted before their first evidence.
func (h *History) OnNew() uint64 {
	n := h.earlierOnNew
	for _, sides := range h.grown {
		n += sides.New.received()
	}
	return n
}

// window returns the outcomes of the last length of time at the present share.
func (h *History) window(length time.Duration) Window {
	if len(h.snapshots) == 0 {
		return nil
	}
	return h.windowUntil(h.snapshots[len(h.snapshots)-1], length)
}

// windowUntil returns the outcomes of a length of time until a snapshot, cut off at
// the start of the present stage: outcomes at different shares are not mixed.
func (h *History) windowUntil(last Snapshot, length time.Duration) Window {
	start := last.At.Add(-length)
	if h.since.After(start) {
		return last.Since(h.base)
	}
	return last.Since(h.lastSnapshotAt(start))
}

// Short returns the outcomes of the last shortWindow at the present share.
func (h *History) Short() Window { return h.window(shortWindow) }

// Stage returns the outcomes of the last longWindow at the present share.
func (h *History) Stage() Window { return h.window(longWindow) }

// Stages returns the outcomes of the last stages, oldest first. The last window
// is the present stage's.
func (h *History) Stages() []Window { return append(slices.Clone(h.past), h.Stage()) }
