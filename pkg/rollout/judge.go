package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

const (
	// significance is the chance of a false alarm that one look may have.
	significance = 3e-5
	// pacedSignificance is the same for a move under an exposure bound, whose
	// breach costs more than a good version taken back.
	pacedSignificance = 3e-4
	// suspicion is the chance at which a share is not raised further.
	suspicion         = 0.01
	fewestFailures    = 2
	fewestSlow        = 4
	fewestForLatency  = 10
	slowQuantile      = 0.9
	slowBuckets       = bucketsPerDoubling
	fastestBaseBucket = 5
	// Rates below these count as these, so that one stray event on the new
	// version does not weigh against a long spotless record of the old one.
	lowestFailureRate = 0.0005
	lowestSlowRate    = 0.05
	priorEvents       = 0.5
)

// Finding is the reason for which a version is worse than the old one.
type Finding struct {
	Cause   string
	Route   string
	Figures string
}

// tally holds events out of trials on both versions of one route.
type tally struct {
	oldEvents, oldTrials uint64
	newEvents, newTrials uint64
}

// criterion is one way in which a version can be worse.
type criterion struct {
	cause      string
	few        uint64
	lowestRate float64
	count      func(Sides) (tally, bool)
	describe   func(tally) string
}

var criteria = []criterion{
	{
		cause: "failures", few: fewestFailures, lowestRate: lowestFailureRate,
		count: countFailures,
		describe: func(t tally) string {
			return fmt.Sprintf("%d of %d requests failed, against %d of %d on the old version", t.newEvents, t.newTrials, t.oldEvents, t.oldTrials)
		},
	},
	{
		cause: "latency", few: fewestSlow, lowestRate: lowestSlowRate,
		count: countSlow,
		describe: func(t tally) string {
			return fmt.Sprintf("%d of %d requests took over twice the old version's time, against %d of %d there", t.newEvents, t.newTrials, t.oldEvents, t.oldTrials)
		},
	},
}

// Window holds the outcomes of both versions by route over one stretch of time
// in which the share did not change.
type Window map[string]Sides

// Judge compares the new version with the old one, route by route and over all
// routes. Each window and route is measured by its own rate of the old version,
// so that a trouble common to both versions does not count against the new one.
// It returns nil when the new version is not worse beyond chance.
func Judge(windows ...Window) *Finding { return judgeAt(significance, windows) }

// Suspect reports whether the new version looks worse, though not beyond chance.
func Suspect(windows ...Window) bool { return judgeAt(suspicion, windows) != nil }

func judgeAt(level float64, windows []Window) *Finding {
	for _, c := range criteria {
		if finding := c.judge(level, windows); finding != nil {
			return finding
		}
	}
	return nil
}

// sum adds tallies up, with the events that the old version's rates let expect.
type sum struct {
	tally
	expected float64
}

func (s *sum) add(t tally, rate float64) {
	s.oldEvents += t.oldEvents
	s.oldTrials += t.oldTrials
	s.newEvents += t.newEvents
	s.newTrials += t.newTrials
	s.expected += rate * float64(t.newTrials)
}

func (c criterion) judge(level float64, windows []Window) *Finding {
	byRoute := make(map[string]*sum)
	var all sum
	for _, window := range windows {
		for route, sides := range window {
			t, ok := c.count(sides)
			if !ok {
				continue
			}
			if byRoute[route] == nil {
				byRoute[route] = &sum{}
			}
			byRoute[route].add(t, c.rate(t))
			all.add(t, c.rate(t))
		}
	}
	for _, route := range slices.Sorted(maps.Keys(byRoute)) {
		if c.isWorse(level, byRoute[route]) {
			return &Finding{Cause: c.cause, Route: route, Figures: c.describe(byRoute[route].tally)}
		}
	}
	if c.isWorse(level, &all) {
		return &Finding{Cause: c.cause, Route: "all routes", Figures: c.describe(all.tally)}
	}
	return nil
}

// rate estimates the old version's rate of events.
func (c criterion) rate(t tally) float64 {
	return max((float64(t.oldEvents)+priorEvents)/(float64(t.oldTrials)+2*priorEvents), c.lowestRate)
}

// isWorse reports whether the events on the new version are too many for
// chance, given a rate that is known only as well as the old version's trials
// allow: the events then follow a beta-binomial distribution.
func (c criterion) isWorse(level float64, s *sum) bool {
	if s.newEvents < c.few || float64(s.newEvents) <= s.expected {
		return false
	}
	rate := s.expected / float64(s.newTrials)
	weight := float64(s.oldTrials) + 2*priorEvents
	return betaBinomialTail(s.newEvents, s.newTrials, rate*weight, (1-rate)*weight) < level
}

func countFailures(s Sides) (tally, bool) {
	t := tally{oldEvents: s.Old.Failures, oldTrials: s.Old.Requests, newEvents: s.New.Failures, newTrials: s.New.Requests}
	return t, t.oldTrials > 0
}

// countSlow counts requests that took over twice the time in which the old
// version answers nine of ten.
func countSlow(s Sides) (tally, bool) {
	t := tally{oldTrials: s.Old.timed(), newTrials: s.New.timed()}
	if t.oldTrials < fewestForLatency {
		return t, false
	}
	limit := max(s.Old.quantileBucket(slowQuantile), fastestBaseBucket) + slowBuckets
	t.oldEvents = s.Old.over(limit)
	t.newEvents = s.New.over(limit)
	return t, true
}

// betaBinomialTail returns the probability of k or more events in n trials
// whose rate follows a beta distribution with parameters a and b.
func betaBinomialTail(k, n uint64, a, b float64) float64 {
	term := math.Exp(logBinomial(n, k) + logBeta(float64(k)+a, float64(n-k)+b) - logBeta(a, b))
	tail := term
	for i := k; i < n; i++ {
		left := float64(n - i)
		term *= left / float64(i+1) * (float64(i) + a) / (left - 1 + b)
		tail += term
	}
	return tail
}

func logBinomial(n, k uint64) float64 {
	return -math.Log(float64(n)+1) - logBeta(float64(n-k)+1, float64(k)+1)
}

func logBeta(a, b float64) float64 {
	x, _ := math.Lgamma(a)
	y, _ := math.Lgamma(b)
	z, _ := math.Lgamma(a + b)
	return x + y - z
}
