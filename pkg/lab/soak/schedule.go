// Package soak runs a whole deployment of real processes under a seeded
// schedule of overlapping faults. It checks the guarantees of the system against
// the answers that callers received and the requests that backend servers ran.
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

// targetsHost reports whether an entry of the kind affects a single host.
func (k Kind) targetsHost() bool {
	switch k {
	case NodeKill, NodePause, NodeStop, BackendKill, BackendStop, LinkDelay, LinkReset, LinkSilence, LinkOneWay:
		return true
	}
	return false
}

// Entry is one fault or piece of planned work. At counts from the start of the
// schedule. Duration is that of the effect; NodeStop, BackendStop, LinkReset
// and Release don't use it.
type Entry struct {
	At       time.Duration
	Duration time.Duration
	Kind     Kind
	// Host is the index of the affected host. Partition and PlatformOneWay
	// use it to choose the data centres.
	Host int
}

// End returns the time from the start of the schedule at which the entry's
// effect ends.
func (e Entry) End() time.Duration { return e.At + e.Duration }

const (
	// meanInterval is the mean time between entries. It lets two or three overlap.
	meanInterval = 700 * time.Millisecond
	minDuration  = 200 * time.Millisecond
	maxDuration  = 3 * time.Second
	// seriesPercent of the entries that target a host are repeated on the next
	// hosts, so that seriesLength hosts are affected one after the other.
	seriesPercent = 15
	seriesLength  = 3
	seriesGap     = 400 * time.Millisecond
)

// NewSchedule returns the entries of a seed, sorted by time. The same arguments
// always give the same entries.
func NewSchedule(seed uint64, hosts int, length time.Duration) []Entry {
	random := rand.New(rand.NewPCG(seed, seed))
	var entries []Entry
	for at := meanInterval; at < length; at += time.Duration(random.ExpFloat64() * float64(meanInterval)) {
		e := Entry{
			At:       at,
			Duration: minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration))),
			Kind:     kinds[random.IntN(len(kinds))],
			Host:     random.IntN(hosts),
		}
		entries = append(entries, e)
		if e.Kind.targetsHost() && random.IntN(100) < seriesPercent {
			entries = append(entries, series(e, hosts)...)
		}
	}
	slices.SortStableFunc(entries, func(a, b Entry) int { return cmp.Compare(a.At, b.At) })
	return entries
}

// series returns the repetitions of an entry on the next hosts.
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
