package quarantine

import "time"

const (
	// blockWeight is the weight of open marks from which on a request is blocked: two
	// crashes of which at least one has no other likely cause, or three.
	blockWeight = 3
	// A request with at most trialMarks open marks is blocked for trialDelay, after which
	// it may show that it was not the cause.
	trialMarks = 3
	trialDelay = time.Minute
	// A request that never was the only likely cause is blocked survivalGrace after its
	// first mark at the earliest, so that runs that are under way can clear it.
	survivalGrace = 3 * time.Second
	// The block of a request that is presumed harmless lasts minTrialDelay at first; each
	// further mark multiplies that by trialDelayFactor.
	minTrialDelay    = 2 * time.Second
	trialDelayFactor = 4
	maxSurvivals     = 64
)

// suspicion sums up the marks against a request that no runs have cleared.
type suspicion struct {
	weight, marks int
	// first and last are when the first and the last mark was received.
	first, last time.Time
	// presumedHarmless is set if one of the marks has it, and isCulprit if one of them has
	// culpritWeight.
	presumedHarmless, isCulprit bool
}

// suspicionOf returns what is known against a request. The caller holds t.mu.
func (t *CrashTracker) suspicionOf(fingerprint string) suspicion {
	var s suspicion
	byKey := t.marks[fingerprint]
	for _, m := range byKey {
		crash := m.record.GetCrash()
		if crash.GetSurvived() >= survivalsNeeded(len(byKey), crash.GetPresumedHarmless()) {
			continue
		}
		if s.marks == 0 || m.seen.Before(s.first) {
			s.first = m.seen
		}
		if m.seen.After(s.last) {
			s.last = m.seen
		}
		s.weight += int(crash.GetWeight())
		s.marks++
		s.presumedHarmless = s.presumedHarmless || crash.GetPresumedHarmless()
		s.isCulprit = s.isCulprit || crash.GetWeight() >= culpritWeight
	}
	return s
}

// survivalsNeeded returns the number of runs that clear a mark against a request with
// the given number of marks. It grows, so that a request that crashes only some of
// the backend servers that run it is blocked as well.
func survivalsNeeded(marks int, isPresumedHarmless bool) uint32 {
	if isPresumedHarmless {
		return uint32(min(marks, maxSurvivals))
	}
	return uint32(min(2*marks-1, maxSurvivals))
}

// mayBeCleared reports whether runs that are under way may show that the request was merely
// beside the cause of the crashes.
func (s suspicion) mayBeCleared() bool { return s.presumedHarmless || !s.isCulprit }

// blockedUntil returns when the block of a request ends, or the zero time.
func (s suspicion) blockedUntil(now time.Time) time.Time {
	switch {
	case s.weight < blockWeight || s.mayBeCleared() && now.Sub(s.first) < survivalGrace:
		return time.Time{}
	case s.presumedHarmless:
		delay := minTrialDelay
		for range s.marks - blockWeight {
			delay = min(trialDelayFactor*delay, markRetention)
		}
		return s.last.Add(delay)
	case s.marks <= trialMarks:
		return s.last.Add(trialDelay)
	}
	return s.last.Add(markRetention)
}
