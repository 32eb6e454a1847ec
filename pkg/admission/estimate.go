package admission

import "time"

const (
	// meanWeight is the share of one sample in a mean, as a divisor.
	meanWeight = 8
	// maxKinds bounds the kinds of work with a mean of their own.
	maxKinds = 128
	// spreadFactor times the mean deviation above the mean covers about three of
	// four requests of the usual spread of work. More of it lets requests of
	// widely spread work wait that would still be on time.
	spreadFactor = 0.6
)

// estimate is the mean time of one kind of work and its mean deviation.
type estimate struct {
	mean      time.Duration
	deviation time.Duration
}

func (e estimate) add(took time.Duration) estimate {
	if e.mean == 0 {
		return estimate{mean: took}
	}
	off := took - e.mean
	e.mean += off / meanWeight
	e.deviation += (off.Abs() - e.deviation) / meanWeight
	return e
}

// long returns the time within which three of four requests are answered.
func (e estimate) long() time.Duration {
	return e.mean + time.Duration(spreadFactor*float64(e.deviation))
}

// estimates keeps the time that a backend server takes for each kind of work.
type estimates struct {
	kinds   map[string]estimate
	overall estimate
}

func newEstimates() estimates { return estimates{kinds: make(map[string]estimate)} }

func (e *estimates) add(kind string, took time.Duration) {
	e.overall = e.overall.add(took)
	old, ok := e.kinds[kind]
	if ok || len(e.kinds) < maxKinds {
		e.kinds[kind] = old.add(took)
	}
}

// expect returns the estimate of a kind. For an unknown one it is what is usual
// for the kind, or else that of all kinds.
func (e *estimates) expect(kind string, usual time.Duration) estimate {
	if d, ok := e.kinds[kind]; ok {
		return d
	}
	if usual > 0 {
		return estimate{mean: usual}
	}
	return e.overall
}
