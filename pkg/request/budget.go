package request

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	budgetShards            = 16
	defaultBurst            = 10.0
	defaultRetriesPerSecond = 1.0
	fullPercent             = 100
)

// Budget limits the retries of each service to a fraction of its requests. Each
// node counts its own requests only, so that the limit holds for the fleet
// however the traffic is distributed over the nodes.
type Budget struct {
	now func() time.Time
	// burst returns the number of retries that a service may make at once.
	burst func() float64
	// perSecond is the number of retries that a service earns without requests.
	perSecond float64
	// shared is set when burst is this node's part of the fleet's burst, which
	// may be less than one retry.
	shared bool
	random func() float64
	shards [budgetShards]budgetShard
}

type budgetShard struct {
	mu       sync.Mutex
	services map[string]*tokenBucket
}

// tokenBucket holds the retries that one service may make.
type tokenBucket struct {
	left      float64
	updatedAt time.Time
}

// NewBudget returns a budget for this node alone. Each service starts with a full
// burst and also earns retries with time.
func NewBudget(now func() time.Time) *Budget {
	return newBudget(now, func() float64 { return defaultBurst }, defaultRetriesPerSecond)
}

// Parts of the fleet's retry ratio and burst that are spent on the retries of
// requests. The rest is left for the calls that retried requests make in turn,
// which count as retries as well. If each request makes one call, about half of
// all retries are such calls.
const (
	usableRatioPart = 0.6
	usableBurstPart = 0.5
)

// NewSharedBudget returns this node's part of a budget that holds for the whole
// fleet. It earns by requests alone and starts empty, because an earlier
// incarnation of the node may have spent the burst already. The argument burst is
// the number of retries that the fleet may make at once; the function nodes
// returns the number of nodes.
func NewSharedBudget(now func() time.Time, burst float64, nodes func() int) *Budget {
	b := newBudget(now, func() float64 { return usableBurstPart * burst / float64(max(nodes(), 1)) }, 0)
	b.shared = true
	return b
}

func newBudget(now func() time.Time, burst func() float64, perSecond float64) *Budget {
	b := &Budget{now: now, burst: burst, perSecond: perSecond, random: rand.Float64}
	for i := range b.shards {
		b.shards[i].services = make(map[string]*tokenBucket)
	}
	return b
}

// update changes the bucket of a service under the lock of its shard.
func (b *Budget) update(service string, change func(*tokenBucket)) {
	sh := &b.shards[xxhash.Sum64String(service)%budgetShards]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	t := sh.services[service]
	if t == nil {
		t = &tokenBucket{updatedAt: b.now()}
		if !b.shared {
			t.left = b.burst()
		}
		sh.services[service] = t
	}
	change(t)
}

// Earn adds what one request allows: retryPercent hundredths of a retry.
func (b *Budget) Earn(service string, retryPercent int) {
	b.update(service, func(t *tokenBucket) {
		now := b.now()
		earned := b.usablePart()*float64(retryPercent)/fullPercent + now.Sub(t.updatedAt).Seconds()*b.perSecond
		if b.shared {
			// The cap is applied before the request's own part is added, so
			// that this part is left for the request's own retry.
			t.left = min(t.left, b.burst()) + earned
		} else {
			t.left = min(t.left+earned, b.burst())
		}
		t.updatedAt = now
	})
}

// usablePart returns the part of the retry ratio that requests may spend.
func (b *Budget) usablePart() float64 {
	if b.shared {
		return usableRatioPart
	}
	return 1
}

// Left returns the retries that a service may make now.
func (b *Budget) Left(service string) float64 {
	left := 0.0
	b.update(service, func(t *tokenBucket) { left = t.left })
	return left
}

// Spend takes one retry out of the budget, or returns false. A node whose part of
// the fleet's burst is less than one retry spends the rest of its bucket and
// retries with a probability equal to that rest, so that the fleet as a whole can
// still use its burst.
func (b *Budget) Spend(service string) bool {
	spent := false
	b.update(service, func(t *tokenBucket) {
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
