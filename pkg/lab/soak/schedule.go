// Package soak runs a whole deployment of real processes under a seeded
// schedule of overlapping faults, and checks what must always hold by what
// callers and backend servers saw.
package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault or of planned work.
type Kind string

// The kinds of entries of a schedule.
const (
	NodeKill       Kind = "node_kill"
	NodePause      Kind = "node_pause"
	NodeStop       Kind = "node_stop"
	BackendKill    Kind = "backend_kill"
	BackendStop    Kind = "backend_stop"
	LinkDelay      Kind = "link_delay"
	LinkReset      Kind = "link_reset"
	LinkSilence    Kind = "link_silence"
	LinkOneWay     Kind = "link_one_way"
	Partition      Kind = "partition"
	PlatformDown   Kind = "platform_down"
	PlatformSlow   Kind = "platform_slow"
	PlatformLost   Kind = "platform_lost"
	PlatformLapse  Kind = "platform_lapse"
	PlatformOneWay Kind = "platform_one_way"
	Release        Kind = "release"
)

var kinds = []Kind{
	NodeKill, NodePause, NodeStop, BackendKill, BackendStop, LinkDelay, LinkReset, LinkSilence, LinkOneWay,
	Partition, PlatformDown, PlatformSlow, PlatformLost, PlatformLapse, PlatformOneWay, Release,
}

// onNode reports whether an entry of the kind strikes one host.
func (k Kind) onNode() bool {
	switch k {
	case NodeKill, NodePause, NodeStop, BackendKill, BackendStop, LinkDelay, LinkReset, LinkSilence, LinkOneWay:
		return true
	}
	return false
}

// Entry is one fault or piece of planned work.
type Entry struct {
	At   time.Duration
	For  time.Duration
	Kind Kind
	// Host is the index of the host that an entry on a host strikes.
	Host int
}

// End returns the time at which the entry's effect is taken back.
func (e Entry) End() time.Duration { return e.At + e.For }

const (
	// meanPause between entries lets two or three overlap.
	meanPause = 700 * time.Millisecond
	shortest  = 200 * time.Millisecond
	longest   = 3 * time.Second
	// seriesPercent of the entries come three times in a row on hosts that
	// follow each other.
	seriesPercent = 15
	seriesLength  = 3
	seriesGap     = 400 * time.Millisecond
)

// NewSchedule returns the entries of a seed in order of time.
func NewSchedule(seed uint64, hosts int, length time.Duration) []Entry {
	random := rand.New(rand.NewPCG(seed, seed))
	var entries []Entry
	for at := meanPause; at < length; at += time.Duration(random.ExpFloat64() * float64(meanPause)) {
		e := Entry{
			At:   at,
			For:  shortest + time.Duration(random.Int64N(int64(longest-shortest))),
			Kind: kinds[random.IntN(len(kinds))],
			Host: random.IntN(hosts),
		}
		entries = append(entries, e)
		if e.Kind.onNode() && random.IntN(100) < seriesPercent {
			entries = append(entries, series(e, hosts)...)
		}
	}
	slices.SortStableFunc(entries, func(a, b Entry) int { return cmp.Compare(a.At, b.At) })
	return entries
}

// series returns the repetitions of an entry on the hosts that follow.
func series(e Entry, hosts int) []Entry {
	var more []Entry
	for i := 1; i < seriesLength; i++ {
		next := e
		next.At += time.Duration(i) * seriesGap
		next.Host = (e.Host + i) % hosts
		more = append(more, next)
	}
	return more
}
