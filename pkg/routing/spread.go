package routing

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	spreadShards = 16
	// maxSpreads bounds the choices kept in one shard; routes come and go.
	maxSpreads = 512
)

// Weighted is one alternative of a weighted choice.
type Weighted struct {
	Name   string
	Weight int
}

// Spread makes weighted choices whose shares hold in short runs as well: each
// alternative gathers its weight at every choice, and the one with the most
// credit is chosen and pays the sum of the weights.
type Spread struct {
	random func(n int) int
	shards [spreadShards]spreadShard
}

type spreadShard struct {
	mu      sync.Mutex
	choices map[string]map[string]int
}

// NewSpread returns a spread whose choices start at random points, so that many
// nodes do not begin with the same alternative.
func NewSpread(random func(n int) int) *Spread {
	s := &Spread{random: random}
	for i := range s.shards {
		s.shards[i].choices = make(map[string]map[string]int)
	}
	return s
}

// Choose returns one alternative of the choice named key, or "" when none has a weight.
func (s *Spread) Choose(key string, alternatives []Weighted) string {
	total := 0
	for _, a := range alternatives {
		total += a.Weight
	}
	if total <= 0 {
		return ""
	}
	sh := &s.shards[xxhash.Sum64String(key)%spreadShards]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	credits := sh.choices[key]
	if credits == nil {
		if len(sh.choices) >= maxSpreads {
			clear(sh.choices)
		}
		credits = s.start(alternatives, total)
		sh.choices[key] = credits
	}
	return next(credits, alternatives, total)
}

// start gives each alternative a random part of the credit it may have.
func (s *Spread) start(alternatives []Weighted, total int) map[string]int {
	credits := make(map[string]int, len(alternatives))
	for _, a := range alternatives {
		if a.Weight > 0 {
			credits[a.Name] = s.random(total) - total/2
		}
	}
	return credits
}

func next(credits map[string]int, alternatives []Weighted, total int) string {
	best := ""
	for _, a := range alternatives {
		if a.Weight <= 0 {
			delete(credits, a.Name)
			continue
		}
		// Weights change over time: credit from larger ones is cut.
		credits[a.Name] = min(max(credits[a.Name], -total), total) + a.Weight
		if best == "" || credits[a.Name] > credits[best] {
			best = a.Name
		}
	}
	credits[best] -= total
	return best
}
