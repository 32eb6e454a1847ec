package admission

import "time"

const (
	// longestWindow is the length of the periods over which the longest time is kept. A
	// time is used for one to two of them.
	longestWindow = 30 * time.Second
)

// longestFactor returns the multiple of the longest of a number of times that a further
// one hardly exceeds. Where the logarithm of the times has a standard deviation of 0.6,
// at most one in 100 does.
func longestFactor(samples int) time.Duration {
	const few, some = 4, 16
	switch {
	case samples >= some:
		return 2
	case samples >= few:
		return 4
	}
	return 8
}

// longestTime holds the longest time of the requests of one kind in this period and the
// one before.
type longestTime struct {
	began             time.Time
	current, previous time.Duration
	samples, earlier  int
}

// add records a request that ended at now and took the given time. Only one that
// succeeded counts as a sample: others may not have run.
func (l *longestTime) add(now time.Time, took time.Duration, succeeded bool) {
	l.advance(now)
	l.current = max(l.current, took)
	if succeeded {
		l.samples++
	}
}

func (l *longestTime) advance(now time.Time) {
	switch age := now.Sub(l.began); {
	case age < longestWindow:
		return
	case age < 2*longestWindow:
		l.previous, l.earlier = l.current, l.samples
	default:
		l.previous, l.earlier = 0, 0
	}
	l.began, l.current, l.samples = now, 0, 0
}

// bound returns a time that a further request of the kind hardly exceeds. It returns
// false if no request has succeeded.
func (l *longestTime) bound(now time.Time) (time.Duration, bool) {
	l.advance(now)
	samples := l.samples + l.earlier
	return longestFactor(samples) * max(l.current, l.previous), samples > 0
}
