package quarantine

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// presumptionPeriod is the time after a run that a backend server outlived in which
	// the request is presumed harmless; minBriefSurvivals runs that one outlived briefly
	// count as much.
	presumptionPeriod = time.Minute
	minBriefSurvivals = 5
	maxSurvivors      = 4096
)

// survivor is a request of which backend servers of this node outlived runs.
type survivor struct {
	// at is when that was last the case, briefly or not.
	at    time.Time
	brief int
	// outlived is set once it was not brief.
	outlived bool
}

// RecordSurvival records that a backend server outlived a run of a request. It counts
// in favour of the request against the marks with the given keys, which were known
// when the run began.
func (t *CrashTracker) RecordSurvival(fingerprint string, marks []string) {
	t.addSurvivor(fingerprint, func(s *survivor) { s.outlived = true })
	for _, key := range marks {
		old := t.store.Get(key)
		if old.GetCrash() == nil || old.GetCrash().GetSurvived() >= maxSurvivals {
			continue
		}
		r := proto.Clone(old).(*wire.Record)
		r.Step++
		r.GetCrash().Survived++
		t.store.Set(r)
	}
}

// RecordBriefSurvival records that a backend server outlived a run of a request for so
// short a time that the request may crash it yet.
func (t *CrashTracker) RecordBriefSurvival(fingerprint string) {
	t.addSurvivor(fingerprint, func(s *survivor) { s.brief++ })
}

func (t *CrashTracker) addSurvivor(fingerprint string, change func(*survivor)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.survivors[fingerprint]
	if !known && len(t.survivors) >= maxSurvivors {
		t.dropOldSurvivors()
	}
	if t.Now().Sub(s.at) >= presumptionPeriod {
		s = survivor{}
	}
	s.at = t.Now()
	change(&s)
	t.survivors[fingerprint] = s
}

// dropOldSurvivors drops the survivors older than presumptionPeriod. When that leaves
// no room, it drops all of them.
func (t *CrashTracker) dropOldSurvivors() {
	before := t.Now().Add(-presumptionPeriod)
	for fingerprint, s := range t.survivors {
		if s.at.Before(before) {
			delete(t.survivors, fingerprint)
		}
	}
	if len(t.survivors) >= maxSurvivors {
		clear(t.survivors)
	}
}

// isPresumedHarmless reports whether backend servers of this node outlived runs of the
// request within presumptionPeriod. The caller holds t.mu.
func (t *CrashTracker) isPresumedHarmless(fingerprint string) bool {
	s := t.survivors[fingerprint]
	return (s.outlived || s.brief >= minBriefSurvivals) && t.Now().Sub(s.at) < presumptionPeriod
}
