package admission

import "time"

const (
	// meanWeight is the share of one sample in a mean, as a divisor.
	meanWeight = 8
	// maxKinds bounds the kinds of work with a mean of their own.
	maxKinds = 128
)

// estimates keeps the mean time that a backend server takes for each kind of work.
type estimates struct {
	kinds   map[string]time.Duration
	overall time.Duration
}

func newEstimates() estimates { return estimates{kinds: make(map[string]time.Duration)} }

func (e *estimates) add(kind string, took time.Duration) {
	e.overall = mean(e.overall, took)
	old, ok := e.kinds[kind]
	if ok || len(e.kinds) < maxKinds {
		e.kinds[kind] = mean(old, took)
	}
}

func mean(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/meanWeight
}

// expect returns the mean of a kind, or that of all kinds for an unknown one.
func (e *estimates) expect(kind string) time.Duration {
	if d, ok := e.kinds[kind]; ok {
		return d
	}
	return e.overall
}
