// Package usage keeps the usage caps of client accounts over the whole fleet. In each data
// centre one node, the granter of an account, hands out the data centre's part of the cap
// as credits, which entry nodes spend on requests. The package does no I/O.
package usage

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// initialCredits is what a granter starts with. A granter that restarts has forgotten
	// what it handed out, so it must not start with the whole burst.
	initialCredits = 1
	// maxBuckets bounds the accounts of a granter; idle ones are forgotten first.
	maxBuckets = 4096
)

// Cap is the part of an account's usage cap that a granter hands out.
type Cap struct {
	PerSecond, Burst float64
}

// Granter hands out credits of accounts. It is safe for concurrent use.
type Granter struct {
	now func() time.Time

	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket holds the credits of one account.
type bucket struct {
	credits   float64
	updatedAt time.Time
}

// NewGranter returns a granter without credits.
func NewGranter(now func() time.Time) *Granter {
	return &Granter{now: now, buckets: make(map[string]*bucket)}
}

// Take hands out up to wanted credits of an account and returns their number. If that is
// 0, it returns the time after which there is one.
func (g *Granter) Take(account string, c Cap, wanted int) (granted int, retryAfter time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.bucket(account, c)
	granted = min(wanted, int(b.credits))
	if granted > 0 {
		b.credits -= float64(granted)
		return granted, 0
	}
	return 0, time.Duration((1 - b.credits) / max(c.PerSecond, minPerSecond) * float64(time.Second))
}

// Retain forgets the accounts for which keep returns false. A node that another one has
// replaced as granter must not save up a burst meanwhile.
func (g *Granter) Retain(keep func(account string) bool) {
	g.mu.Lock()
	accounts := slices.Collect(maps.Keys(g.buckets))
	g.mu.Unlock()
	accounts = slices.DeleteFunc(accounts, keep)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, account := range accounts {
		delete(g.buckets, account)
	}
}

// Substitute returns the part of a cap that a node hands out which is asked in place of the
// granter. Others may still reach that, so both together must stay near the cap.
func (c Cap) Substitute() Cap {
	const share = 0.1
	return Cap{PerSecond: share * c.PerSecond, Burst: share * c.PerSecond}
}

// minPerSecond bounds the time that a refusal names.
const minPerSecond = 0.1

// bucket returns the bucket of an account with what it has earned until now. A lowered cap
// applies at once. The caller holds g.mu.
func (g *Granter) bucket(account string, c Cap) *bucket {
	now := g.now()
	b := g.buckets[account]
	if b == nil {
		g.makeRoom()
		b = &bucket{credits: min(initialCredits, c.Burst+c.PerSecond), updatedAt: now}
		g.buckets[account] = b
	}
	b.credits = min(b.credits+now.Sub(b.updatedAt).Seconds()*c.PerSecond, max(c.Burst, 1))
	b.updatedAt = now
	return b
}

// makeRoom forgets the account that was idle for longest, if there are too many. The caller
// holds g.mu.
func (g *Granter) makeRoom() {
	if len(g.buckets) < maxBuckets {
		return
	}
	idlest, at := "", time.Time{}
	for account, b := range g.buckets {
		if idlest == "" || b.updatedAt.Before(at) {
			idlest, at = account, b.updatedAt
		}
	}
	delete(g.buckets, idlest)
}
