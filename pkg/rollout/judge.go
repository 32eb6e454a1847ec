package rollout

import (
	"fmt"
	"math"
	"slices"
)

const (
	// significance is the chance of a false alarm that one look may have.
	significance      = 1e-4
	fewestFailures    = 2
	fewestSlow        = 4
	fewestForLatency  = 10
	slowQuantile      = 0.9
	slowBuckets       = bucketsPerDoubling
	lowestSlowRate    = 0.05
	lowestFailureRate = 0.005
	priorRequests     = 2.0
	fastestBaseBucket = 5
)

// Finding is the reason for which a version is worse than the old one.
type Finding struct {
	Cause   string
	Route   string
	Figures string
}

// Judge compares the new version with the old one, route by route and over all
// routes, in one window of time. It returns nil when the new version is not
// worse beyond chance.
func Judge(window map[string]Sides) *Finding {
	routes := sortedRoutes(window)
	for _, route := range routes {
		if finding := judgeSides(route, window[route]); finding != nil {
			return finding
		}
	}
	return judgeTogether(routes, window)
}

// judgeTogether adds the failures of all routes up and compares them with what
// the old version's rate on each route lets expect.
func judgeTogether(routes []string, window map[string]Sides) *Finding {
	var all Sides
	expected := 0.0
	for _, route := range routes {
		sides := window[route]
		expected += failureRate(sides.Old) * float64(sides.New.Requests)
		all.Old.plus(sides.Old)
		all.New.plus(sides.New)
	}
	if all.New.Failures < fewestFailures || !exceeds(all.New.Failures, all.New.Requests, expected/float64(all.New.Requests)) {
		return nil
	}
	return failureFinding("all routes", all)
}

// failureRate estimates a rate of failures, cautiously where requests are few.
func failureRate(c Counts) float64 {
	return max((float64(c.Failures)+0.5)/(float64(c.Requests)+priorRequests), lowestFailureRate)
}

func failureFinding(route string, s Sides) *Finding {
	figures := fmt.Sprintf("%d of %d requests failed, against %d of %d on the old version", s.New.Failures, s.New.Requests, s.Old.Failures, s.Old.Requests)
	return &Finding{Cause: "failures", Route: route, Figures: figures}
}

func sortedRoutes(window map[string]Sides) []string {
	routes := make([]string, 0, len(window))
	for route := range window {
		routes = append(routes, route)
	}
	slices.Sort(routes)
	return routes
}

func judgeSides(route string, s Sides) *Finding {
	if finding := judgeFailures(route, s); finding != nil {
		return finding
	}
	return judgeLatency(route, s)
}

func judgeFailures(route string, s Sides) *Finding {
	if s.New.Failures < fewestFailures || !exceeds(s.New.Failures, s.New.Requests, failureRate(s.Old)) {
		return nil
	}
	return failureFinding(route, s)
}

func judgeLatency(route string, s Sides) *Finding {
	if s.New.Requests < fewestForLatency || s.Old.Requests < fewestForLatency {
		return nil
	}
	limit := max(s.Old.quantileBucket(slowQuantile), fastestBaseBucket) + slowBuckets
	slow := s.New.over(limit)
	if slow < fewestSlow {
		return nil
	}
	expected := max((float64(s.Old.over(limit))+0.5)/(float64(s.Old.Requests)+priorRequests), lowestSlowRate)
	if !exceeds(slow, s.New.Requests, expected) {
		return nil
	}
	figures := fmt.Sprintf("%d of %d requests took over %v, against %d of %d on the old version", slow, s.New.Requests, BucketLimit(limit), s.Old.over(limit), s.Old.Requests)
	return &Finding{Cause: "latency", Route: route, Figures: figures}
}

// exceeds reports whether k or more events in n trials are too unlikely for
// chance when each has the given rate.
func exceeds(k, n uint64, rate float64) bool {
	if float64(k) <= rate*float64(n) {
		return false
	}
	return binomialTail(k, n, rate) < significance
}

// binomialTail returns the probability of k or more events in n trials.
func binomialTail(k, n uint64, rate float64) float64 {
	if rate >= 1 {
		return 1
	}
	term := math.Exp(logBinomial(n, k) + float64(k)*math.Log(rate) + float64(n-k)*math.Log1p(-rate))
	tail := term
	for i := k; i < n && term > tail*1e-9; i++ {
		term *= float64(n-i) / float64(i+1) * rate / (1 - rate)
		tail += term
	}
	return tail
}

func logBinomial(n, k uint64) float64 {
	a, _ := math.Lgamma(float64(n) + 1)
	b, _ := math.Lgamma(float64(k) + 1)
	c, _ := math.Lgamma(float64(n-k) + 1)
	return a - b - c
}
