package quarantine

import (
	"cmp"
	"slices"
)

// Suspect is a request that a backend server had been given when it crashed.
type Suspect struct {
	Fingerprint string
	// RequestID is logged.
	RequestID string
	// Answered is set if the answer was complete shortly before the crash.
	Answered bool
	// Repeated is set if an earlier attempt of the request ended in a crash.
	Repeated bool
}

// Awaits reports whether the marks of an earlier crash have not reached this node yet, which
// it needs to tell the suspects of a crash apart.
func (t *CrashTracker) Awaits(suspects []Suspect) bool {
	if len(suspects) < 2 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(suspects, func(s Suspect) bool { return s.Repeated && len(t.marks[s.Fingerprint]) == 0 })
}

// distinct returns one suspect of each fingerprint, one without an answer if there is one.
func distinct(suspects []Suspect) []Suspect {
	sorted := slices.Clone(suspects)
	slices.SortStableFunc(sorted, func(a, b Suspect) int {
		if a.Fingerprint == b.Fingerprint && a.Answered != b.Answered {
			return map[bool]int{true: 1, false: -1}[a.Answered]
		}
		return cmp.Compare(a.Fingerprint, b.Fingerprint)
	})
	return slices.CompactFunc(sorted, func(a, b Suspect) bool { return a.Fingerprint == b.Fingerprint })
}

// weighted is a suspect that gets a mark of the given weight.
type weighted struct {
	Suspect
	weight uint32
}

// likely returns the suspects that get a mark. Those against which most is known explain a
// crash; if nothing is known against any, all may be the cause. One without an answer is
// more likely than one with. One that is alone the most likely weighs culpritWeight, unless
// it is presumed harmless: a request that is sent often is at work in many crashes.
func (t *CrashTracker) likely(suspects []Suspect) []weighted {
	suspects = t.withoutHarmless(suspects)
	known := t.known(suspects)
	most := slices.Max(known)
	var unanswered, answered []weighted
	for i, s := range suspects {
		switch {
		case known[i] < most:
		case s.Answered:
			answered = append(answered, weighted{s, 1})
		default:
			unanswered = append(unanswered, weighted{s, 1})
		}
	}
	all := append(unanswered, answered...)
	switch {
	case len(all) == 1:
		return t.weighCulprit(all)
	case most > 0 && len(unanswered) > 0:
		return unanswered
	}
	return all
}

// withoutHarmless returns the suspects without those that were answered and are presumed
// harmless, if others were not answered. A request that is sent often has just been answered
// in most crashes.
func (t *CrashTracker) withoutHarmless(suspects []Suspect) []Suspect {
	if !slices.ContainsFunc(suspects, func(s Suspect) bool { return !s.Answered }) {
		return suspects
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(suspects, func(s Suspect) bool { return s.Answered && t.isPresumedHarmless(s.Fingerprint) })
}

// known returns the weight of what is known against each suspect, which is 0 for one that
// is presumed harmless.
func (t *CrashTracker) known(suspects []Suspect) []int {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := make([]int, len(suspects))
	for i, s := range suspects {
		suspicion := t.suspicionOf(s.Fingerprint)
		if !suspicion.presumedHarmless && !t.isPresumedHarmless(s.Fingerprint) {
			known[i] = suspicion.weight
		}
	}
	return known
}

func (t *CrashTracker) weighCulprit(only []weighted) []weighted {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isPresumedHarmless(only[0].Fingerprint) {
		only[0].weight = culpritWeight
	}
	return only
}
