package routing

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	roundRobinShards = 16
	// maxKeysPerShard bounds the keys whose credits one shard holds, because keys
	// of removed routes are not deleted. A full shard is cleared.
	maxKeysPerShard = 512
)

// Alternative is one possible result of a weighted choice. An alternative with a
// weight of 0 is never chosen.
type Alternative struct {
	Name   string
	Weight int
}

// WeightedRoundRobin makes weighted choices by smooth weighted round robin, so
// that the shares also hold over short runs of choices. At every choice each
// alternative gains its weight as credit; the alternative with the most credit is
// chosen and loses the sum of all weights. WeightedRoundRobin is safe for
// concurrent use.
type WeightedRoundRobin struct {
	random func(n int) int
	shards [roundRobinShards]roundRobinShard
}

type roundRobinShard struct {
	mu sync.Mutex
	// credits holds the credit of each alternative by key of the choice.
	credits map[string]map[string]int
}

// NewWeightedRoundRobin returns a WeightedRoundRobin whose credits start at random
// values, so that nodes which start together do not all choose the same
// alternative first. random(n) returns a number from 0 to n-1.
func NewWeightedRoundRobin(random func(n int) int) *WeightedRoundRobin {
	w := &WeightedRoundRobin{random: random}
	for i := range w.shards {
		w.shards[i].credits = make(map[string]map[string]int)
	}
	return w
}

// Choose returns the name of the next alternative for key, or "" when the
// weights sum to 0. The alternatives of a key and their weights may change
// between calls.
func (w *WeightedRoundRobin) Choose(key string, alternatives []Alternative) string {
	total := 0
	for _, a := range alternatives {
		total += a.Weight
	}
	if total <= 0 {
		return ""
	}
	sh := &w.shards[xxhash.Sum64String(key)%roundRobinShards]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	credits := sh.credits[key]
	if credits == nil {
		if len(sh.credits) >= maxKeysPerShard {
			clear(sh.credits)
		}
		credits = w.newCredits(alternatives, total)
		sh.credits[key] = credits
	}
	return next(credits, alternatives, total)
}

// newCredits returns a random initial credit for each alternative, between
// -total/2 and total/2.
func (w *WeightedRoundRobin) newCredits(alternatives []Alternative, total int) map[string]int {
	credits := make(map[string]int, len(alternatives))
	for _, a := range alternatives {
		if a.Weight > 0 {
			credits[a.Name] = w.random(total) - total/2
		}
	}
	return credits
}

// next adds the weights to credits, returns the alternative with the most credit
// and takes total from it.
func next(credits map[string]int, alternatives []Alternative, total int) string {
	best := ""
	for _, a := range alternatives {
		if a.Weight <= 0 {
			delete(credits, a.Name)
			continue
		}
		// Weights may have changed: limit credit gained with larger weights.
		credits[a.Name] = min(max(credits[a.Name], -total), total) + a.Weight
		if best == "" || credits[a.Name] > credits[best] {
			best = a.Name
		}
	}
	credits[best] -= total
	return best
}
