// Package rollout moves traffic to a new version by a deadline, compares the
// new version with the old one, and rolls it back when it is worse.
package rollout

import (
	"math"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// Bucket b of the latency histogram ends at firstBucketMillis milliseconds
	// times 2 to the power b/bucketsPerDoubling; the last bucket has no upper limit.
	latencyBuckets     = 40
	firstBucketMillis  = 0.25
	bucketsPerDoubling = 2
	evidenceShards     = 16
	maxCountedRoutes   = 512
)

// LatencyBucket returns the histogram bucket that holds a latency.
func LatencyBucket(latency time.Duration) int {
	millis := float64(latency) / float64(time.Millisecond)
	if millis <= firstBucketMillis {
		return 0
	}
	bucket := int(math.Ceil(bucketsPerDoubling * math.Log2(millis/firstBucketMillis)))
	return min(bucket, latencyBuckets-1)
}

// BucketLimit returns the upper limit of a bucket.
func BucketLimit(bucket int) time.Duration {
	return time.Duration(firstBucketMillis * math.Pow(2, float64(bucket)/bucketsPerDoubling) * float64(time.Millisecond))
}

type totalsKey struct {
	service, version, route string
}

// Recorder counts the outcomes of requests to the backend servers on this
// node's host, by service, version and route. The counts only grow.
type Recorder struct {
	mu     sync.Mutex
	totals map[totalsKey]*wire.RouteTotals
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{totals: make(map[totalsKey]*wire.RouteTotals)} }

// Record counts one request that ran. The latency of a cold backend server, one
// that has just started, does not depend on its version and is left out. Once
// maxCountedRoutes combinations of service, version and route are counted,
// requests of further combinations are ignored.
func (r *Recorder) Record(service, version, route string, failed, cold bool, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := totalsKey{service: service, version: version, route: route}
	t := r.totals[key]
	if t == nil {
		if len(r.totals) >= maxCountedRoutes {
			return
		}
		t = &wire.RouteTotals{Version: version, Route: route, Latency: make([]uint64, latencyBuckets)}
		r.totals[key] = t
	}
	t.Requests++
	if failed {
		t.Failures++
	}
	if !cold {
		t.Latency[LatencyBucket(latency)]++
	}
}

// Totals returns a copy of a service's totals, one entry per version and route
// in no particular order.
func (r *Recorder) Totals(service string) []*wire.RouteTotals {
	r.mu.Lock()
	defer r.mu.Unlock()
	var totals []*wire.RouteTotals
	for key, t := range r.totals {
		if key.service == service {
			totals = append(totals, trimLatency(t))
		}
	}
	return totals
}

// trimLatency returns a copy of totals without the empty latency buckets at the end.
func trimLatency(t *wire.RouteTotals) *wire.RouteTotals {
	last := 0
	for i, n := range t.Latency {
		if n > 0 {
			last = i + 1
		}
	}
	latency := make([]uint64, last)
	copy(latency, t.Latency)
	return &wire.RouteTotals{Version: t.Version, Route: t.Route, Requests: t.Requests, Failures: t.Failures, Latency: latency}
}

// Counts holds the outcomes of one version on one route over a window.
type Counts struct {
	// Requests includes the failures and the requests without a counted latency.
	Requests uint64                 `json:"requests"`
	Failures uint64                 `json:"failures"`
	Latency  [latencyBuckets]uint64 `json:"latency"`
}

func (c *Counts) add(t *wire.RouteTotals) {
	c.Requests += t.GetRequests()
	c.Failures += t.GetFailures()
	for i, n := range t.GetLatency() {
		if i < latencyBuckets {
			c.Latency[i] += n
		}
	}
}

// minus returns the growth of c since an earlier snapshot. A restart of a node
// resets its totals, so a total that is lower than before counts as no growth.
func (c Counts) minus(earlier Counts) Counts {
	c.Requests = growth(c.Requests, earlier.Requests)
	c.Failures = min(growth(c.Failures, earlier.Failures), c.Requests)
	for i := range c.Latency {
		c.Latency[i] = growth(c.Latency[i], earlier.Latency[i])
	}
	return c
}

func growth(now, before uint64) uint64 {
	if now < before {
		return 0
	}
	return now - before
}

func (c *Counts) plus(other Counts) {
	c.Requests += other.Requests
	c.Failures += other.Failures
	for i := range c.Latency {
		c.Latency[i] += other.Latency[i]
	}
}

// slowerThan returns the number of requests that took longer than the upper
// limit of a bucket.
func (c *Counts) slowerThan(bucket int) uint64 {
	n := uint64(0)
	for i := bucket + 1; i < latencyBuckets; i++ {
		n += c.Latency[i]
	}
	return n
}

// timedRequests returns the number of requests whose latency was counted.
func (c *Counts) timedRequests() uint64 {
	n := uint64(0)
	for _, count := range c.Latency {
		n += count
	}
	return n
}

// quantileBucket returns the bucket that holds the given latency quantile, a
// number from 0 to 1.
func (c *Counts) quantileBucket(quantile float64) int {
	target := uint64(math.Ceil(quantile * float64(c.timedRequests())))
	n := uint64(0)
	for i, count := range c.Latency {
		n += count
		if n >= target {
			return i
		}
	}
	return latencyBuckets - 1
}

func (c *Counts) quantiles() Quantiles {
	return Quantiles{Median: BucketLimit(c.quantileBucket(0.5)), P90: BucketLimit(c.quantileBucket(0.9))}
}

// VersionCounts holds the outcomes of the old and the new version on one route.
type VersionCounts struct {
	Old Counts `json:"old"`
	New Counts `json:"new"`
}

// Snapshot holds the totals of each owner node at one time.
type Snapshot struct {
	At time.Time
	// nodes holds the totals by node and route.
	nodes map[string]map[string]VersionCounts
}

// NewSnapshot groups the evidence of all owner nodes by node and route. Totals
// of the version "to" count as the new version's, all others as the old one's.
func NewSnapshot(at time.Time, to string, evidence []*wire.Evidence) Snapshot {
	s := Snapshot{At: at, nodes: make(map[string]map[string]VersionCounts, len(evidence))}
	for _, e := range evidence {
		s.nodes[e.GetNode()] = groupByRoute(to, e.GetTotals())
	}
	return s
}

func groupByRoute(to string, totals []*wire.RouteTotals) map[string]VersionCounts {
	routes := make(map[string]VersionCounts)
	for _, t := range totals {
		sides := routes[t.GetRoute()]
		if t.GetVersion() == to {
			sides.New.add(t)
		} else {
			sides.Old.add(t)
		}
		routes[t.GetRoute()] = sides
	}
	return routes
}

// Since returns the growth by route since an earlier snapshot. A node that the
// earlier snapshot lacks is left out, because its totals may include requests
// from long before that snapshot.
func (s Snapshot) Since(earlier Snapshot) Window {
	window := make(Window)
	for node, routes := range s.nodes {
		before, ok := earlier.nodes[node]
		if !ok {
			continue
		}
		for route, sides := range routes {
			sum := window[route]
			sum.Old.plus(sides.Old.minus(before[route].Old))
			sum.New.plus(sides.New.minus(before[route].New))
			window[route] = sum
		}
	}
	return window
}
