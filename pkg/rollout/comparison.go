package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// significance is the maximum probability of a false alarm in one test. A
	// comparison makes one test per cause and route, and one per cause over all
	// routes.
	significance = 3e-5
	// boundedSignificance is the same for a move under an exposure bound. It is
	// higher because breaking the bound costs more than rolling back a good version.
	boundedSignificance = 1e-4
	// suspicionLevel is the probability of a false alarm below which the share is
	// not raised further.
	suspicionLevel = 0.01
	// With fewer than minFailures failed requests the new version never counts as
	// worse by failures, and with fewer than minSlow slow ones never by latency.
	minFailures = 2
	minSlow     = 4
	// minTimedRequests is the number of latencies of the old version that a
	// comparison of latencies needs.
	minTimedRequests = 10
	// A request is slow when it took longer than the slowQuantile of the old version
	// by a margin. Several margins are compared: callers that wait for little longer than
	// a large one leave too few requests beyond it, and slower hosts bring many requests
	// beyond a small one. A quantile below the bucket minQuantileBucket, which ends at
	// 1.4 ms, is raised to it.
	slowQuantile        = 0.9
	smallMarginBuckets  = bucketsPerDoubling / 2
	mediumMarginBuckets = bucketsPerDoubling
	largeMarginBuckets  = bucketsPerDoubling + bucketsPerDoubling/2
	minQuantileBucket   = 5
	// The speeds of hosts are compared at hostQuantile, because a version that slows a part
	// of its requests changes low quantiles least, while a slower host changes all alike. The
	// quantile of the new version is raised by hostErrors standard errors, as it is often
	// known from few requests.
	hostQuantile = 0.2
	hostErrors   = 0.5
	// maxHostShift is by how much the requests of a good version may be slower
	// because its hosts are: a factor of two.
	maxHostShift = bucketsPerDoubling
	// Lower rates of the old version are raised to these, so that one stray event
	// on the new version is not significant after many requests without any event
	// on the old one.
	minFailureRate = 0.0005
	minSlowRate    = 0.02
	// priorEvents is the number of events, and of trials without an event, that
	// the prior adds to those of the old version.
	priorEvents = 0.5
)

// allRoutes stands for the sum over the routes.
const allRoutes = "all routes"

// Finding says in which way the new version is worse than the old one.
type Finding struct {
	// Cause is "failures" or "latency".
	Cause string
	// Route is the name of a route, or allRoutes for their sum.
	Route string
	// Figures gives the counts of both versions, for people.
	Figures string
}

// tally holds the number of events and of trials of both versions. The events are
// failed requests among all requests, or slow requests among those with a counted
// latency.
type tally struct {
	oldEvents, oldTrials uint64
	newEvents, newTrials uint64
	// minRate is a lower bound of the rate to expect on the new version, or 0.
	minRate float64
}

// criterion is one kind of event by which the versions are compared.
type criterion struct {
	cause string
	// minEvents bounds the events on the new version, and minRate the estimated
	// rate of events on the old one.
	minEvents uint64
	minRate   float64
	// slowFactor is how many times the slowQuantile of the old version a slow
	// request takes at least, or 0 when latency does not matter.
	slowFactor float64
	// count returns the tally of one route, or false when the old version has too
	// few requests to compare with.
	count    func(VersionCounts) (tally, bool)
	describe func(tally) string
}

var criteria = []criterion{
	{
		cause: "failures", minEvents: minFailures, minRate: minFailureRate,
		count: countFailures,
		describe: func(t tally) string {
			return fmt.Sprintf("%d of %d requests failed, against %d of %d on the old version", t.newEvents, t.newTrials, t.oldEvents, t.oldTrials)
		},
	},
	latencyCriterion(smallMarginBuckets),
	latencyCriterion(mediumMarginBuckets),
	latencyCriterion(largeMarginBuckets),
}

// latencyCriterion compares the requests that took longer than the old version's
// slowQuantile by a margin.
func latencyCriterion(margin int) criterion {
	factor := float64(BucketLimit(margin)) / float64(BucketLimit(0))
	return criterion{
		cause: "latency", minEvents: minSlow, minRate: minSlowRate, slowFactor: factor,
		count: func(s VersionCounts) (tally, bool) { return countSlow(s, margin) },
		describe: func(t tally) string {
			return fmt.Sprintf("%d of %d requests took over %.1f times as long as nine in ten on the old version, against %d of %d there", t.newEvents, t.newTrials, factor, t.oldEvents, t.oldTrials)
		},
	}
}

// Window holds the outcomes of both versions by route over a period in which the
// share did not change.
type Window map[string]VersionCounts

// Compare compares the new version with the old one, for each route and for all
// routes together. The expected events are computed for each window and route
// from the old version's rate there, so that a fault common to both versions
// does not count against the new one. Compare returns nil when the new version is
// not worse at the significance level.
func Compare(windows ...Window) *Finding { return compareAt(significance, windows) }

// LooksWorse reports whether the new version looks worse at suspicionLevel, which
// holds the share but does not roll the version back.
func LooksWorse(windows ...Window) bool { return compareAt(suspicionLevel, windows) != nil }

// Comparison holds the figures by which the versions are compared for one cause
// over all routes.
type Comparison struct {
	Cause string
	// SlowFactor is how many times as long as nine in ten requests of the old version
	// a slow request takes at least, or 0 when latency does not matter.
	SlowFactor float64
	// Events are failed or slow requests, Trials the requests that could have
	// been. Windows without enough requests on the old version are left out.
	NewEvents, NewTrials uint64
	OldEvents, OldTrials uint64
	// Expected is the number of events on the new version if it had the rates of
	// the old one.
	Expected float64
	// Chance is the probability of NewEvents or more if the new version were as
	// good as the old one.
	Chance float64
}

// Quantiles holds the latencies at quantiles of one version's requests. They are
// the upper limits of histogram buckets.
type Quantiles struct {
	Median, P90 time.Duration
}

// LatencyQuantiles returns the quantiles of both versions over all routes.
func LatencyQuantiles(windows ...Window) (oldVersion, newVersion Quantiles) {
	var sum VersionCounts
	for _, window := range windows {
		for _, sides := range window {
			sum.Old.plus(sides.Old)
			sum.New.plus(sides.New)
		}
	}
	return sum.Old.quantiles(), sum.New.quantiles()
}

// Comparisons returns the figures for each cause.
func Comparisons(windows ...Window) []Comparison {
	var comparisons []Comparison
	for _, c := range criteria {
		_, all := c.sum(windows)
		comparisons = append(comparisons, Comparison{
			Cause: c.cause, SlowFactor: c.slowFactor,
			NewEvents: all.newEvents, NewTrials: all.newTrials,
			OldEvents: all.oldEvents, OldTrials: all.oldTrials,
			Expected: all.expected, Chance: all.chance(),
		})
	}
	return comparisons
}

func compareAt(level float64, windows []Window) *Finding {
	for _, c := range criteria {
		if finding := c.compare(level, windows); finding != nil {
			return finding
		}
	}
	return nil
}

// tallySum is the sum of the tallies of several windows and routes.
type tallySum struct {
	tally
	// expected is the number of events on the new version if it had the rates of
	// the old one.
	expected float64
}

func (s *tallySum) add(t tally, rate float64) {
	s.oldEvents += t.oldEvents
	s.oldTrials += t.oldTrials
	s.newEvents += t.newEvents
	s.newTrials += t.newTrials
	s.expected += rate * float64(t.newTrials)
}

func (c criterion) compare(level float64, windows []Window) *Finding {
	byRoute, all := c.sum(windows)
	for _, route := range slices.Sorted(maps.Keys(byRoute)) {
		if c.isWorse(level, byRoute[route]) {
			return &Finding{Cause: c.cause, Route: route, Figures: c.describe(byRoute[route].tally)}
		}
	}
	if c.isWorse(level, all) {
		return &Finding{Cause: c.cause, Route: allRoutes, Figures: c.describe(all.tally)}
	}
	return nil
}

// sum returns the sums over the windows of each route and of all routes. Routes of
// a window on which the old version has too few requests are left out.
func (c criterion) sum(windows []Window) (byRoute map[string]*tallySum, all *tallySum) {
	byRoute, all = make(map[string]*tallySum), &tallySum{}
	for _, window := range windows {
		for route, sides := range window {
			t, ok := c.count(sides)
			if !ok {
				continue
			}
			if byRoute[route] == nil {
				byRoute[route] = &tallySum{}
			}
			byRoute[route].add(t, c.rate(t))
			all.add(t, c.rate(t))
		}
	}
	return byRoute, all
}

// rate estimates the old version's rate of events. The prior is priorEvents
// events and as many trials without an event.
func (c criterion) rate(t tally) float64 {
	return max((float64(t.oldEvents)+priorEvents)/(float64(t.oldTrials)+2*priorEvents), c.minRate, t.minRate)
}

// isWorse reports whether the new version would have this many events with a
// probability below level if it were as good as the old one. The old version's
// rate is an estimate from a limited number of trials, so the number of events
// follows a beta-binomial distribution.
func (c criterion) isWorse(level float64, s *tallySum) bool {
	if s.newEvents < c.minEvents || float64(s.newEvents) <= s.expected {
		return false
	}
	return s.chance() < level
}

// chance returns the probability of at least this many events on the new version
// if it were as good as the old one.
func (s *tallySum) chance() float64 {
	if s.newTrials == 0 {
		return 1
	}
	rate := s.expected / float64(s.newTrials)
	weight := float64(s.oldTrials) + 2*priorEvents
	return betaBinomialTail(s.newEvents, s.newTrials, rate*weight, (1-rate)*weight)
}

func countFailures(s VersionCounts) (tally, bool) {
	t := tally{oldEvents: s.Old.Failures, oldTrials: s.Old.Requests, newEvents: s.New.Failures, newTrials: s.New.Requests}
	return t, t.oldTrials > 0
}

// countSlow counts the requests slower than the old version's slowQuantile by a
// margin, including those that have run as long without an answer. Trials are these
// and the other requests with a counted latency. Hosts differ in speed: as many
// requests are expected to be slow as would be on the old version if its hosts were
// slower by the difference at hostQuantile, but by at most maxHostShift.
func countSlow(s VersionCounts, margin int) (tally, bool) {
	if s.Old.timedRequests() < minTimedRequests {
		return tally{}, false
	}
	limit := max(s.Old.quantileBucket(slowQuantile), minQuantileBucket) + margin
	t := tally{
		oldEvents: s.Old.slowerThan(limit),
		oldTrials: s.Old.timedRequests() + s.Old.overdue(limit),
		newEvents: s.New.slowerThan(limit),
		newTrials: s.New.timedRequests() + s.New.overdue(limit),
	}
	shift := min(max(s.New.position(hostQuantile, hostErrors)-s.Old.position(hostQuantile, 0), 0), maxHostShift)
	t.minRate = s.Old.slowerThanFraction(float64(limit)-shift) / float64(t.oldTrials)
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
