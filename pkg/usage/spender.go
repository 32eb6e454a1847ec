package usage

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// lifetimeShare is the part of the overage of a window for which an entry node may spend
	// a credit: credits that were handed out earlier add to those of a later window.
	lifetimeShare = 0.8
	// minLifetime lets a credit reach the request that asked for it.
	minLifetime = 50 * time.Millisecond
	// prefetchTime is the time of an account's demand for which an entry node asks credits
	// ahead, from minPrefetchDemand requests a second on. Less frequent requests ask for
	// one credit each.
	prefetchTime      = 150 * time.Millisecond
	minPrefetchDemand = 10.0
	maxWanted         = 256
	// demandWindow is the time constant of the demand of an account at an entry node.
	demandWindow = 500 * time.Millisecond
	// Bounds of the time for which an entry node refuses requests without asking again,
	// after there was no credit.
	minRefusalTime = 10 * time.Millisecond
	maxRefusalTime = 200 * time.Millisecond
)

// CreditLifetime returns the time for which a credit may be spent, so that a cap holds in
// every window with an overage, a fraction of the cap.
func CreditLifetime(window time.Duration, overage float64) time.Duration {
	return max(minLifetime, time.Duration(lifetimeShare*overage*float64(window)))
}

// Ask asks the granter of an account for credits. It returns an error if no granter can
// be reached.
type Ask func(ctx context.Context, account string, wanted int) (granted int, retryAfter time.Duration, err error)

// Spender admits the requests of accounts at an entry node by the credits that it gets. It
// is safe for concurrent use.
type Spender struct {
	now      func() time.Time
	ask      Ask
	lifetime time.Duration

	mu       sync.Mutex
	accounts map[string]*spending
}

// spending is the state of one account at an entry node.
type spending struct {
	credits   int
	expiresAt time.Time
	// demand is the number of requests a second, as of demandAt.
	demand   float64
	demandAt time.Time
	// waiting counts the requests that wait for the answer to the ask under way, which
	// closes answered.
	waiting  int
	answered chan struct{}
	// err is why no granter could be reached, until failedUntil.
	err         error
	failedUntil time.Time
	// refusedUntil is when the next credit may be there, if there was none.
	refusedUntil time.Time
}

// NewSpender returns a spender without credits, which may be spent for lifetime.
func NewSpender(now func() time.Time, ask Ask, lifetime time.Duration) *Spender {
	return &Spender{now: now, ask: ask, lifetime: lifetime, accounts: make(map[string]*spending)}
}

// Admit spends a credit of an account. It returns false and the time after which there may
// be one if the account has used up its cap, and an error if no granter can be reached.
func (s *Spender) Admit(ctx context.Context, account string) (admitted bool, retryAfter time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(account)
	a.arrive(s.now())
	for {
		now := s.now()
		switch {
		case a.take(now):
			return true, 0, nil
		case now.Before(a.refusedUntil):
			return false, a.refusedUntil.Sub(now), nil
		case now.Before(a.failedUntil):
			return false, 0, a.err
		}
		if a.answered != nil {
			err = s.await(ctx, a)
		} else {
			err = s.fetch(ctx, account, a)
		}
		if err != nil {
			return false, 0, err
		}
	}
}

// await waits for the answer to the ask of another request. The caller holds s.mu.
func (s *Spender) await(ctx context.Context, a *spending) error {
	answered := a.answered
	a.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		a.waiting--
	}()
	select {
	case <-answered:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fetch asks for credits for a request, those that wait and those to come. The caller holds
// s.mu.
func (s *Spender) fetch(ctx context.Context, account string, a *spending) error {
	wanted := 1 + a.waiting
	if a.demand >= minPrefetchDemand {
		wanted += int(a.demand * prefetchTime.Seconds())
	}
	a.answered = make(chan struct{})
	s.mu.Unlock()
	granted, retryAfter, err := s.ask(ctx, account, min(wanted, maxWanted))
	s.mu.Lock()
	close(a.answered)
	a.answered = nil
	now := s.now()
	if err != nil {
		// Those that wait would otherwise ask one after the other.
		if ctx.Err() == nil {
			a.err, a.failedUntil = err, now.Add(maxRefusalTime)
		}
		return err
	}
	if granted == 0 {
		a.refusedUntil = now.Add(max(minRefusalTime, min(retryAfter, maxRefusalTime)))
		return nil
	}
	if !now.Before(a.expiresAt) {
		a.credits = 0
	}
	a.credits += granted
	a.expiresAt = now.Add(s.lifetime)
	return nil
}

// Return gives a credit back that was spent on a request which has not run.
func (s *Spender) Return(account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts[account]; a != nil && s.now().Before(a.expiresAt) {
		a.credits++
	}
}

// account returns the state of an account. The caller holds s.mu.
func (s *Spender) account(name string) *spending {
	a := s.accounts[name]
	if a != nil {
		return a
	}
	if len(s.accounts) >= maxBuckets {
		for other, idle := range s.accounts {
			if idle.answered == nil && idle.waiting == 0 {
				delete(s.accounts, other)
				break
			}
		}
	}
	a = &spending{}
	s.accounts[name] = a
	return a
}

// take spends a credit if there is one.
func (a *spending) take(now time.Time) bool {
	if a.credits == 0 || !now.Before(a.expiresAt) {
		return false
	}
	a.credits--
	return true
}

// arrive counts a request.
func (a *spending) arrive(now time.Time) {
	decayed := a.demand * math.Exp(-now.Sub(a.demandAt).Seconds()/demandWindow.Seconds())
	a.demand = decayed + 1/demandWindow.Seconds()
	a.demandAt = now
}

// SpreadRetry returns a time between wait and twice wait, so that the callers of an account
// do not come back together.
func SpreadRetry(wait time.Duration) time.Duration {
	return wait + time.Duration(rand.Int64N(int64(max(wait, 1))))
}
