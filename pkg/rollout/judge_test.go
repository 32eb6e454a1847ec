package rollout

import (
	"math"
	"testing"
	"time"
)

// counts returns outcomes of which slow ones took a second and the others a millisecond.
func counts(requests, failures, slow uint64) Counts {
	c := Counts{Requests: requests, Failures: failures}
	c.Latency[LatencyBucket(time.Millisecond)] = requests - slow
	c.Latency[LatencyBucket(time.Second)] = slow
	return c
}

func TestJudge(t *testing.T) {
	tests := map[string]struct {
		windows []Window
		cause   string
		route   string
	}{
		"nothing":                 {},
		"both spotless":           {windows: []Window{{"a": {counts(1000, 0, 0), counts(50, 0, 0)}}}},
		"one failure":             {windows: []Window{{"a": {counts(1000, 0, 0), counts(50, 1, 0)}}}},
		"fails at once":           {windows: []Window{{"a": {counts(200, 0, 0), counts(3, 3, 0)}}}, cause: "failures", route: "a"},
		"fails in part":           {windows: []Window{{"a": {counts(2000, 2, 0), counts(100, 10, 0)}}}, cause: "failures", route: "a"},
		"common trouble":          {windows: []Window{{"a": {counts(400, 80, 0), counts(40, 9, 0)}}}},
		"common trouble, few old": {windows: []Window{{"a": {counts(23, 2, 0), counts(13, 7, 0)}}}},
		"no old traffic":          {windows: []Window{{"a": {Counts{}, counts(50, 50, 0)}}}},
		"one of two routes": {windows: []Window{{
			"a": {counts(500, 0, 0), counts(30, 0, 0)},
			"b": {counts(500, 0, 0), counts(4, 4, 0)},
		}}, cause: "failures", route: "b"},
		"spread over stages": {windows: []Window{
			{"a": {counts(500, 0, 0), counts(25, 1, 0)}},
			{"a": {counts(500, 0, 0), counts(50, 2, 0)}},
			{"a": {counts(500, 0, 0), counts(100, 3, 0)}},
		}, cause: "failures", route: "a"},
		"trouble while the share was high": {windows: []Window{
			{"a": {counts(950, 0, 0), counts(50, 0, 0)}},
			{"a": {counts(500, 100, 0), counts(500, 100, 0)}},
		}},
		"slow":             {windows: []Window{{"a": {counts(500, 0, 0), counts(10, 0, 8)}}}, cause: "latency", route: "a"},
		"slow as the old":  {windows: []Window{{"a": {counts(500, 0, 250), counts(20, 0, 12)}}}},
		"a few slow calls": {windows: []Window{{"a": {counts(500, 0, 5), counts(100, 0, 3)}}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := Judge(test.windows...)
			if test.cause == "" {
				if got != nil {
					t.Errorf("got %+v, want no finding", *got)
				}
				return
			}
			if got == nil || got.Cause != test.cause || got.Route != test.route {
				t.Errorf("got %+v, want %s on %s", got, test.cause, test.route)
			}
		})
	}
}

// TestJudgeFalseAlarms: with equal rates the judge accuses at most one move in
// a hundred, over all its looks.
func TestJudgeFalseAlarms(t *testing.T) {
	const moves, looks = 1000, 40
	random := newRandom(1)
	alarms := 0
	for range moves {
		var window Sides
		for range looks {
			window.Old.plus(drawn(random, 20, 0.02))
			window.New.plus(drawn(random, 3, 0.02))
			if Judge(Window{"a": window}) != nil {
				alarms++
				break
			}
		}
	}
	if got, want := alarms, moves/100; got > want {
		t.Errorf("%d of %d moves with equal rates were accused, want at most %d", got, moves, want)
	}
}

func drawn(random func() float64, requests int, rate float64) Counts {
	failures := uint64(0)
	for range requests {
		if random() < rate {
			failures++
		}
	}
	return counts(uint64(requests), failures, 0)
}

func TestBetaBinomialTail(t *testing.T) {
	tests := map[string]struct {
		k, n uint64
		a, b float64
		want float64
	}{
		"all events":       {0, 10, 2, 3, 1},
		"uniform, half":    {5, 9, 1, 1, 0.5},
		"uniform, extreme": {9, 9, 1, 1, 0.1},
		"two of two":       {2, 2, 0.5, 100.5, 0.75 / (101 * 102)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := betaBinomialTail(test.k, test.n, test.a, test.b); math.Abs(got-test.want) > 1e-9 {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestLatencyBucket(t *testing.T) {
	for _, latency := range []time.Duration{0, time.Microsecond, time.Millisecond, 70 * time.Millisecond, time.Second, time.Hour} {
		bucket := LatencyBucket(latency)
		if bucket < latencyBuckets-1 && BucketLimit(bucket) < latency {
			t.Errorf("bucket %d of %v ends at %v", bucket, latency, BucketLimit(bucket))
		}
	}
}
