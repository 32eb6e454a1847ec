// Package rollout moves traffic to a new version by a deadline, compares the
// new version with the old one, and rolls it back when it is worse.
package rollout

import (
	"math"
	"slices"
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
// node's host, by service, version and route. The counts only grow, except for
// those of running requests.
type Recorder struct {
	now    func() time.Time
	mu     sync.Mutex
	totals map[totalsKey]*recordedRoute
}

// recordedRoute holds the counts of one version on one route.
type recordedRoute struct {
	totals  *wire.RouteTotals
	running map[*Observation]struct{}
}

// NewRecorder returns an empty recorder that reads the time from now.
func NewRecorder(now func() time.Time) *Recorder {
	return &Recorder{now: now, totals: make(map[totalsKey]*recordedRoute)}
}

// Observation is one request that runs on a backend server. The first call of
// End, Abandon or Discard ends it; later calls do nothing.
type Observation struct {
	recorder *Recorder
	route    *recordedRoute
	started  time.Time
	cold     bool
	late     bool
	// answered is when the head of the answer arrived, if it is streamed.
	answered time.Time
}

// Request describes a request whose outcome is counted.
type Request struct {
	Service, Version, Route string
	// Cold is set if the backend server has just started. Its latency does not
	// depend on its version and is left out.
	Cold bool
	// Late is set if the objective of the request has passed already. Such requests
	// fail for lack of time, and versions with free slots get more of them, so
	// that their outcomes are left out.
	Late bool
}

// Start begins to observe a request that is sent to a backend server. Once
// maxCountedRoutes combinations of service, version and route are counted, requests
// of further combinations are ignored.
func (r *Recorder) Start(in Request) *Observation {
	o := &Observation{recorder: r, started: r.now(), cold: in.Cold, late: in.Late}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := totalsKey{service: in.Service, version: in.Version, route: in.Route}
	o.route = r.totals[key]
	if o.route == nil {
		if len(r.totals) >= maxCountedRoutes {
			return o
		}
		o.route = newRecordedRoute(in.Version, in.Route)
		r.totals[key] = o.route
	}
	o.route.running[o] = struct{}{}
	return o
}

func newRecordedRoute(version, route string) *recordedRoute {
	return &recordedRoute{
		totals:  &wire.RouteTotals{Version: version, Route: route, Latency: make([]uint64, latencyBuckets), Abandoned: make([]uint64, latencyBuckets)},
		running: make(map[*Observation]struct{}),
	}
}

// End counts the request as answered or failed.
func (o *Observation) End(failed bool) {
	o.finish(func(t *wire.RouteTotals, bucket int) {
		t.Requests++
		if failed {
			t.Failures++
		}
		if !o.cold {
			t.Latency[bucket]++
		}
	})
}

// Abandon counts the request as one whose outcome will never be known, because its
// caller left or its backend server went down. It took at least the time until now.
func (o *Observation) Abandon() {
	o.finish(func(t *wire.RouteTotals, bucket int) {
		if !o.cold {
			t.Abandoned[bucket]++
		}
	})
}

// Discard leaves the request out, because the backend server did not run it.
func (o *Observation) Discard() {
	o.recorder.mu.Lock()
	defer o.recorder.mu.Unlock()
	if o.route != nil {
		delete(o.route.running, o)
	}
}

func (o *Observation) finish(count func(t *wire.RouteTotals, bucket int)) {
	o.recorder.mu.Lock()
	defer o.recorder.mu.Unlock()
	if o.route == nil {
		return
	}
	if _, running := o.route.running[o]; !running {
		return
	}
	delete(o.route.running, o)
	if o.late {
		o.route.totals.Late++
		return
	}
	count(o.route.totals, LatencyBucket(o.took(o.recorder.now())))
}

// HeadArrived ends the time that counts as the latency of the request. The rest of
// its answer takes as long as its caller reads.
func (o *Observation) HeadArrived() {
	o.recorder.mu.Lock()
	defer o.recorder.mu.Unlock()
	o.answered = o.recorder.now()
}

func (o *Observation) took(now time.Time) time.Duration {
	if !o.answered.IsZero() {
		now = o.answered
	}
	return now.Sub(o.started)
}

// Totals returns a copy of a service's totals, one entry per version and route
// in no particular order.
func (r *Recorder) Totals(service string) []*wire.RouteTotals {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var totals []*wire.RouteTotals
	for key, route := range r.totals {
		if key.service == service {
			totals = append(totals, route.snapshot(now))
		}
	}
	return totals
}

func (r *recordedRoute) snapshot(now time.Time) *wire.RouteTotals {
	running := make([]uint64, latencyBuckets)
	for o := range r.running {
		if !o.cold && !o.late {
			running[LatencyBucket(o.took(now))]++
		}
	}
	t := r.totals
	return &wire.RouteTotals{
		Version: t.Version, Route: t.Route, Requests: t.Requests, Failures: t.Failures,
		Latency: trimBuckets(t.Latency), Abandoned: trimBuckets(t.Abandoned), Running: trimBuckets(running), Late: t.Late,
	}
}

// Progress holds what changes when there is new evidence.
type Progress struct {
	// Observed counts the requests that have ended, Failures those that failed.
	Observed, Failures uint64
	// Running is set while requests run.
	Running bool
}

// ProgressOf returns the progress of totals.
func ProgressOf(totals []*wire.RouteTotals) Progress {
	var sum Counts
	for _, t := range totals {
		sum.add(t)
	}
	return Progress{Observed: sum.Requests + sum.Abandoned.sum() + sum.Late, Failures: sum.Failures, Running: sum.Running.sum() > 0}
}

// trimBuckets returns a copy without the empty buckets at the end.
func trimBuckets(buckets []uint64) []uint64 {
	last := 0
	for i, n := range buckets {
		if n > 0 {
			last = i + 1
		}
	}
	return slices.Clone(buckets[:last])
}

// Counts holds the outcomes of one version on one route over a window.
type Counts struct {
	// Requests includes the failures and the requests without a counted latency.
	Requests uint64    `json:"requests"`
	Failures uint64    `json:"failures"`
	Latency  histogram `json:"latency"`
	// Abandoned counts requests whose outcome will never be known, and Running
	// those that run at the end of the window, by the time that they took so far.
	Abandoned histogram `json:"abandoned"`
	Running   histogram `json:"running"`
	// Late counts requests that are not in the other counts, because their objective
	// had passed when they began.
	Late uint64 `json:"late"`
}

// ended returns the number of requests that do not run any more.
func (c *Counts) ended() uint64 { return c.Requests + c.Late + c.Abandoned.sum() }

// received returns the number of requests that the version has received, as far as
// they are known.
func (c *Counts) received() uint64 { return c.ended() + c.Running.sum() }

// histogram counts requests by latency bucket.
type histogram [latencyBuckets]uint64

func (h *histogram) add(counts []uint64) {
	for i, n := range counts[:min(len(counts), latencyBuckets)] {
		h[i] += n
	}
}

func (h *histogram) minus(earlier histogram) histogram {
	var grown histogram
	for i := range h {
		grown[i] = growth(h[i], earlier[i])
	}
	return grown
}

// sum returns the number of requests in all buckets.
func (h *histogram) sum() uint64 { return h.above(-1) }

// above returns the number of requests in the buckets above the given one, which may
// lie beyond the last one.
func (h *histogram) above(bucket int) uint64 {
	n := uint64(0)
	for _, count := range h[min(bucket+1, latencyBuckets):] {
		n += count
	}
	return n
}

func (c *Counts) add(t *wire.RouteTotals) {
	c.Requests += t.GetRequests()
	c.Failures += t.GetFailures()
	c.Latency.add(t.GetLatency())
	c.Abandoned.add(t.GetAbandoned())
	c.Running.add(t.GetRunning())
	c.Late += t.GetLate()
}

// minus returns the growth of c since an earlier time. Of running requests it
// returns those of c.
func (c Counts) minus(earlier Counts) Counts {
	c.Requests = growth(c.Requests, earlier.Requests)
	c.Failures = min(growth(c.Failures, earlier.Failures), c.Requests)
	c.Latency = c.Latency.minus(earlier.Latency)
	c.Abandoned = c.Abandoned.minus(earlier.Abandoned)
	c.Late = growth(c.Late, earlier.Late)
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
	c.Latency.add(other.Latency[:])
	c.Abandoned.add(other.Abandoned[:])
	c.Running.add(other.Running[:])
	c.Late += other.Late
}

// slowerThan returns the number of requests that took, or have taken so far, longer
// than the upper limit of a bucket.
func (c *Counts) slowerThan(bucket int) uint64 {
	return c.Latency.above(bucket) + c.overdue(bucket)
}

// overdue returns the number of requests without an answer that ran longer than the
// upper limit of a bucket.
func (c *Counts) overdue(bucket int) uint64 {
	return c.Abandoned.above(bucket) + c.Running.above(bucket)
}

// slowerThanFraction is slowerThan for a limit between two buckets: of the requests in the
// bucket that holds it, a part counts.
func (c *Counts) slowerThanFraction(limit float64) float64 {
	bucket := int(math.Ceil(limit))
	below := float64(bucket) - limit
	inBucket := c.slowerThan(bucket-1) - c.slowerThan(bucket)
	return float64(c.slowerThan(bucket)) + below*float64(inBucket)
}

// timedRequests returns the number of requests whose latency was counted.
func (c *Counts) timedRequests() uint64 { return c.Latency.sum() }

// position returns the latency at a quantile, raised by a number of standard errors, as a
// position in the histogram: 2.5 is in the middle of bucket 3.
func (c *Counts) position(quantile, errors float64) float64 {
	all := float64(c.timedRequests())
	rank, n := quantile*all+errors*math.Sqrt(quantile*(1-quantile)*all), 0.0
	for bucket, count := range c.Latency {
		if count > 0 && n+float64(count) >= rank {
			return float64(bucket-1) + (rank-n)/float64(count)
		}
		n += float64(count)
	}
	return 0
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

// Snapshot holds the outcomes of both versions by route, as far as they were
// observed until one time.
type Snapshot struct {
	At     time.Time
	routes Window
}

// Since returns the growth by route since an earlier snapshot.
func (s Snapshot) Since(earlier Snapshot) Window {
	window := make(Window, len(s.routes))
	for route, sides := range s.routes {
		before := earlier.routes[route]
		window[route] = VersionCounts{Old: sides.Old.minus(before.Old), New: sides.New.minus(before.New)}
	}
	return window
}

// nodeTotals holds the totals of one owner node by route.
type nodeTotals map[string]VersionCounts

// groupByRoute groups totals by route. Those of the version "to" count as the new
// version's, all others as the old one's.
func groupByRoute(to string, totals []*wire.RouteTotals) nodeTotals {
	routes := make(nodeTotals)
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

// isBefore reports whether the totals may have grown into the later ones. They have
// not if the node was restarted in between, which resets its totals.
func (n nodeTotals) isBefore(later nodeTotals) bool {
	for route, sides := range n {
		grown := later[route]
		if grown.Old.ended() < sides.Old.ended() || grown.New.ended() < sides.New.ended() {
			return false
		}
	}
	return true
}

// withoutRunning returns a copy without the requests that run at the end of the
// window. They belong to the next window as well.
func (w Window) withoutRunning() Window {
	ended := make(Window, len(w))
	for route, sides := range w {
		sides.Old.Running, sides.New.Running = histogram{}, histogram{}
		ended[route] = sides
	}
	return ended
}
