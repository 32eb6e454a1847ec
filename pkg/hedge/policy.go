// Package hedge decides when a request that may be repeated is sent to a second backend
// server because the first one is slow to answer. It does no I/O.
package hedge

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minSamples is the number of answers of a kind that show how long it usually takes.
	minSamples = 50
	// window is the time after which answers are forgotten, in two steps.
	window = 10 * time.Second
	// maxKinds bounds the kinds of request whose answer times are kept.
	maxKinds = 64
	// Answer times are kept in milliseconds, to two digits.
	maxTime           = time.Minute
	significantDigits = 2
	// usualQuantile of the answers show what a second attempt usually takes.
	usualQuantile = 0.75
	// maxSaved bounds the second attempts that a service saves up while it needs none.
	maxSaved = 5.0
)

// Policy answers the load in which a few answers take much longer than most, on a slow
// machine or behind a long request, while others have room. It is safe for concurrent use.
type Policy struct {
	now func() time.Time
	// share is the part of a service's requests that may get a second attempt.
	share    float64
	quantile float64

	mu    sync.Mutex
	kinds map[string]*answerTimes
	// saved holds the second attempts that each service may make.
	saved map[string]float64
}

// answerTimes holds the answer times of one kind.
type answerTimes struct {
	current, previous *hdrhistogram.Histogram
	began             time.Time
}

// NewPolicy returns a policy that allows second attempts for a share of the requests of each
// service, each after the time in which a quantile of the answers of its kind, both from 0
// to 1, have arrived. A share of 0 allows none.
func NewPolicy(now func() time.Time, share, quantile float64) *Policy {
	return &Policy{now: now, share: share, quantile: quantile, kinds: make(map[string]*answerTimes), saved: make(map[string]float64)}
}

// IsOn reports whether second attempts are allowed at all.
func (p *Policy) IsOn() bool { return p != nil && p.share > 0 }

// Observe records the time in which a first attempt of a kind was answered, and that a
// service got a request.
func (p *Policy) Observe(service, kind string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.saved[service] = min(p.saved[service]+p.share, maxSaved)
	if t := p.times(kind); t != nil {
		_ = t.current.RecordValue(min(took, maxTime).Milliseconds())
	}
}

// times returns the answer times of a kind, or nil if there are too many kinds. The caller
// holds p.mu.
func (p *Policy) times(kind string) *answerTimes {
	now := p.now()
	t := p.kinds[kind]
	if t == nil {
		if len(p.kinds) >= maxKinds {
			return nil
		}
		t = &answerTimes{current: newHistogram(), previous: newHistogram(), began: now}
		p.kinds[kind] = t
	}
	if now.Sub(t.began) >= window/2 {
		t.current, t.previous, t.began = t.previous, t.current, now
		t.current.Reset()
	}
	return t
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxTime.Milliseconds(), significantDigits)
}

// Delay returns the time after which a request of a kind gets a second attempt, if its answer
// has its full value within objective: the quantile, or earlier if a second attempt would be
// late otherwise, but no earlier than most answers arrive. It returns false if too few answers
// show what is usual.
func (p *Policy) Delay(kind string, objective time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.kinds[kind]
	if t == nil {
		return 0, false
	}
	if t.current.TotalCount()+t.previous.TotalCount() < minSamples {
		return 0, false
	}
	delay, usual := t.at(p.quantile), t.at(usualQuantile)
	if inTime := objective - usual; inTime < delay {
		delay = max(inTime, min(usual, delay))
	}
	return delay, true
}

// at returns the time in which a quantile of the answers have arrived.
func (t *answerTimes) at(quantile float64) time.Duration {
	const percent = 100
	longest := int64(0)
	for _, h := range []*hdrhistogram.Histogram{t.current, t.previous} {
		if h.TotalCount() >= minSamples/2 {
			longest = max(longest, h.ValueAtQuantile(quantile*percent))
		}
	}
	return time.Duration(longest+1) * time.Millisecond
}

// Spend takes one second attempt out of what a service may make, or returns false.
func (p *Policy) Spend(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.saved[service] < 1 {
		return false
	}
	p.saved[service]--
	return true
}
