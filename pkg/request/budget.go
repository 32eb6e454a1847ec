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

// Budget bounds the retries of each service to a part of its requests.
type Budget struct {
	now    func() time.Time
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
	b := &Budget{now: now}
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
		t = &tokens{left: budgetTokens, at: b.now()}
		sh.services[service] = t
	}
	change(t)
}

// Earn adds the part of a retry that one request allows.
func (b *Budget) Earn(service string, retryPercent int) {
	b.with(service, func(t *tokens) {
		now := b.now()
		earned := float64(retryPercent)/percentOfRequest + now.Sub(t.at).Seconds()*tokensPerSecond
		t.left = min(t.left+earned, budgetTokens)
		t.at = now
	})
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
