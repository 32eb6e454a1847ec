package request

import (
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
	shards    [budgetShards]budgetShard
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

// NewSharedBudget returns a budget whose burst is this node's part of what the
// fleet may spend, and which earns by requests alone.
func NewSharedBudget(now func() time.Time, burst func() float64) *Budget {
	return newBudget(now, burst, 0)
}

func newBudget(now func() time.Time, burst func() float64, perSecond float64) *Budget {
	b := &Budget{now: now, burst: burst, perSecond: perSecond}
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
		t = &tokens{left: b.burst(), at: b.now()}
		sh.services[service] = t
	}
	change(t)
}

// Earn adds the part of a retry that one request allows.
func (b *Budget) Earn(service string, retryPercent int) {
	b.with(service, func(t *tokens) {
		now := b.now()
		earned := float64(retryPercent)/percentOfRequest + now.Sub(t.at).Seconds()*b.perSecond
		t.left = min(t.left+earned, b.burst())
		t.at = now
	})
}

// Left returns the retries that a service may make now.
func (b *Budget) Left(service string) float64 {
	left := 0.0
	b.with(service, func(t *tokens) { left = t.left })
	return left
}

// Spend takes one retry out of the budget, or returns false.
func (b *Budget) Spend(service string) bool {
	spent := false
	b.with(service, func(t *tokens) {
		if t.left >= 1 {
			t.left--
			spent = true
		}
	})
	return spent
}
