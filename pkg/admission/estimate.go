package admission

import "time"

const (
	// meanDivisor is the inverse weight of one sample in a moving mean: each
	// sample moves the mean by 1/meanDivisor of the difference.
	meanDivisor = 8
	// maxKinds bounds the kinds of work that have an estimate of their own.
	maxKinds = 128
	// deviationFactor times the mean deviation, added to the mean, covers about
	// three of four requests when work times vary as usual. With a larger factor,
	// requests whose work time varies widely are treated as late, and wait longer,
	// although they would still be on time.
	deviationFactor = 0.6
)

// estimate holds the moving mean of the time of one kind of work and its moving
// mean absolute deviation.
type estimate struct {
	mean      time.Duration
	deviation time.Duration
}

// add returns the estimate updated with a request that took the given time.
func (e estimate) add(took time.Duration) estimate {
	if e.mean == 0 {
		return estimate{mean: took}
	}
	difference := took - e.mean
	e.mean += difference / meanDivisor
	e.deviation += (difference.Abs() - e.deviation) / meanDivisor
	return e
}

// p75 returns the time within which about three of four requests are answered.
func (e estimate) p75() time.Duration {
	return e.mean + time.Duration(deviationFactor*float64(e.deviation))
}

// estimates holds the time that a backend server takes for each kind of work,
// and for all kinds together.
type estimates struct {
	kinds   map[string]estimate
	overall estimate
	longest map[string]*longestTime
}

func newEstimates() estimates {
	return estimates{kinds: make(map[string]estimate), longest: make(map[string]*longestTime)}
}

// addLongest records a request of a kind that ended at now and took the given time.
func (e *estimates) addLongest(kind string, now time.Time, took time.Duration, succeeded bool) {
	l, ok := e.longest[kind]
	if !ok && len(e.longest) < maxKinds {
		l = &longestTime{began: now}
		e.longest[kind] = l
	}
	if l != nil {
		l.add(now, took, succeeded)
	}
}

// bound returns a time that a request of a kind hardly exceeds. It returns false if
// that is not known.
func (e *estimates) bound(kind string, now time.Time) (time.Duration, bool) {
	l, ok := e.longest[kind]
	if !ok {
		return 0, false
	}
	return l.bound(now)
}

func (e *estimates) add(kind string, took time.Duration) {
	e.overall = e.overall.add(took)
	old, ok := e.kinds[kind]
	if ok || len(e.kinds) < maxKinds {
		e.kinds[kind] = old.add(took)
	}
}

// expect returns the estimate of a kind. For a kind without requests so far it
// returns the configured usual time, or the estimate of all kinds when usual is 0.
func (e *estimates) expect(kind string, usual time.Duration) estimate {
	if known, ok := e.kinds[kind]; ok {
		return known
	}
	if usual > 0 {
		return estimate{mean: usual}
	}
	return e.overall
}
