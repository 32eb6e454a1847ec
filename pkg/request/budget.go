package request

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	budgetShards     = 16
	budgetTokens     = 10.0
	tokensPerSecond  = 1.0
	percentOfRequest = 100
)

// Budget bounds the retries of each service to a part of its requests. Each
// node spends from its own requests alone, so that the bound holds for the
// fleet however its traffic is split.
type Budget struct {
	now func() time.Time
	// burst returns the retries that a service may make at once.
	burst     func() float64
	perSecond float64
	// shared is set when burst is a part of what the fleet may spend, which may
	// be less than one retry.
	shared bool
	random func() float64
	shards [budgetShards]budgetShard
}

type budgetShard struct {
	mu       sync.Mutex
	services map[string]*tokens
}

type tokens struct {
	left float64
	at   time.Time
}

// NewBudget returns a budget with a few retries in hand for each service.
func NewBudget(now func() time.Time) *Budget {
	return newBudget(now, func() float64 { return budgetTokens }, tokensPerSecond)
}

// Parts of the fleet's bounds that requests themselves may spend. The rest is
// for the calls that repeated requests make, which count as retries as well:
// where each request makes a call, both parts are nearly equal.
const (
	usableRatio = 0.6
	usableBurst = 0.5
)

// NewSharedBudget returns this node's part of a budget that holds for the whole
// fleet: it earns by requests alone and starts empty, since an earlier life of
// the node may have spent what there was. The fleet may make burst retries at
// once; the function nodes returns the number of nodes.
func NewSharedBudget(now func() time.Time, burst float64, nodes func() int) *Budget {
	b := newBudget(now, func() float64 { return usableBurst * burst / float64(max(nodes(), 1)) }, 0)
	b.shared = true
	return b
}

func newBudget(now func() time.Time, burst func() float64, perSecond float64) *Budget {
	b := &Budget{now: now, burst: burst, perSecond: perSecond, random: rand.Float64}
	for i := range b.shards {
		b.shards[i].services = make(map[string]*tokens)
	}
	return b
}

func (b *Budget) with(service string, change func(*tokens)) {
	sh := &b.shards[xxhash.Sum64String(service)%budgetShards]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	t := sh.services[service]
	if t == nil {
		t = &tokens{at: b.now()}
		if !b.shared {
			t.left = b.burst()
		}
		sh.services[service] = t
	}
	change(t)
}

// Earn adds the part of a retry that one request allows.
func (b *Budget) Earn(service string, retryPercent int) {
	b.with(service, func(t *tokens) {
		now := b.now()
		earned := b.usable()*float64(retryPercent)/percentOfRequest + now.Sub(t.at).Seconds()*b.perSecond
		if b.shared {
			// What a request itself earns stays for its own retries.
			t.left = min(t.left, b.burst()) + earned
		} else {
			t.left = min(t.left+earned, b.burst())
		}
		t.at = now
	})
}

func (b *Budget) usable() float64 {
	if b.shared {
		return usableRatio
	}
	return 1
}

// Left returns the retries that a service may make now.
func (b *Budget) Left(service string) float64 {
	left := 0.0
	b.with(service, func(t *tokens) { left = t.left })
	return left
}

// Spend takes one retry out of the budget, or returns false. A node whose part
// of the fleet's burst is less than one retry spends what it has on a chance of
// that size, so that the fleet as a whole spends what it may.
func (b *Budget) Spend(service string) bool {
	spent := false
	b.with(service, func(t *tokens) {
		switch {
		case t.left >= 1:
			t.left--
			spent = true
		case b.burst() < 1 && t.left > 0:
			spent = b.random() < t.left
			t.left = 0
		}
	})
	return spent
}
