package node

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/usage"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	creditsTimeout = 150 * time.Millisecond
	// granterAvoidTime is the time for which a granter that did not answer is not asked.
	granterAvoidTime = time.Second
	// emptyLenderTime is the time for which a data centre that had no credits of an account
	// to lend is not asked for them.
	emptyLenderTime = 50 * time.Millisecond
	// maxUnknownTime is the wait that a refusal names for an account that is not known yet.
	maxUnknownTime = 200 * time.Millisecond
	// maxAvoided bounds the names that are kept for it.
	maxAvoided = 4096
	// maxGranterAttempts bounds the nodes that are asked for one request, in order of rank.
	maxGranterAttempts = 2
)

// usageCaps keeps the usage caps of client accounts, as entry node and as granter.
type usageCaps struct {
	*Node
	spender *usage.Spender
	granter *usage.Granter
	// substitute hands out credits in place of a granter that others cannot reach.
	substitute *usage.Granter

	mu sync.Mutex
	// avoided holds the nodes that did not answer, and the time until which they are not asked.
	avoided map[string]time.Time
}

func newUsageCaps(n *Node) *usageCaps {
	u := &usageCaps{Node: n, granter: usage.NewGranter(n.Now), substitute: usage.NewGranter(n.Now), avoided: make(map[string]time.Time)}
	u.spender = usage.NewSpender(n.Now, u.ask, usage.CreditLifetime(n.settings.UsageWindow(), n.settings.Usage.Overage))
	return u
}

// part returns this data centre's part of an account's cap. It returns false if the account
// is not known.
func (u *usageCaps) part(account string) (usage.Cap, bool) {
	a := u.table().Account(account)
	if a == nil {
		return usage.Cap{}, false
	}
	n := float64(len(u.dataCentres()))
	return usage.Cap{PerSecond: a.RatePerSecond / n, Burst: a.Burst / n}, true
}

// dataCentres returns all data centres of the deployment, sorted.
func (u *usageCaps) dataCentres() []string {
	all := slices.Clone(u.settings.DataCentres)
	if len(all) == 0 {
		for _, member := range u.members.All() {
			all = append(all, member.GetDataCentre())
		}
	}
	all = append(all, u.settings.DataCentre)
	slices.Sort(all)
	return slices.Compact(all)
}

// granters returns the nodes of a data centre in the order in which they are asked for the
// credits of an account, without those that did not answer lately.
func (u *usageCaps) granters(account, dataCentre string) []*wire.Member {
	var members []*wire.Member
	for _, member := range u.members.All() {
		if member.GetDataCentre() == dataCentre && isAlive(member) && !u.isAvoided(member.GetNode()) {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b *wire.Member) int {
		return cmp.Compare(granterRank(account, a.GetNode()), granterRank(account, b.GetNode()))
	})
	return members
}

func (u *usageCaps) isAvoided(node string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.Now().Before(u.avoided[node])
}

// avoid keeps a node, or a data centre, from being asked for a time.
func (u *usageCaps) avoid(name string, d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.Now()
	if len(u.avoided) >= maxAvoided {
		maps.DeleteFunc(u.avoided, func(_ string, until time.Time) bool { return now.After(until) })
	}
	u.avoided[name] = now.Add(d)
}

// ask asks the granter of this data centre for credits.
func (u *usageCaps) ask(ctx context.Context, account string, wanted int) (int, time.Duration, error) {
	granters := u.granters(account, u.settings.DataCentre)
	for _, member := range granters[:min(len(granters), maxGranterAttempts)] {
		if member.GetNode() == u.settings.Node {
			return u.grant(ctx, account, wanted)
		}
		out, err := u.request(ctx, member, &wire.TakeCreditsRequest{Account: account, Wanted: uint32(wanted)})
		if err == nil {
			return int(out.GetGranted()), time.Duration(out.GetRetryAfterMs()) * time.Millisecond, nil
		}
		if ctx.Err() != nil {
			return 0, 0, ctx.Err()
		}
	}
	return 0, 0, fault.New(fault.KindUnavailable, "no granter of the account "+account+" answers", "check the nodes of the data centre")
}

func (u *usageCaps) request(ctx context.Context, member *wire.Member, in *wire.TakeCreditsRequest) (*wire.TakeCreditsResponse, error) {
	out, err := u.control.TakeCredits(ctx, member.GetAddress(), creditsTimeout, in)
	if err != nil && ctx.Err() == nil {
		u.Count(`hibiscusrock_usage_granter_failures_total`)
		u.avoid(member.GetNode(), granterAvoidTime)
	}
	return out, err
}

// grant hands out credits of this data centre's part of a cap, and borrows what is missing
// from the parts of others. A lender takes the credits out of its part before it answers,
// so that a lost answer loses credits and never doubles them.
func (u *usageCaps) grant(ctx context.Context, account string, wanted int) (int, time.Duration, error) {
	granted, retryAfter := u.take(account, wanted)
	if granted > 0 {
		return granted, 0, nil
	}
	for _, dataCentre := range u.dataCentres() {
		if dataCentre == u.settings.DataCentre || u.isAvoided(lenderName(dataCentre, "")) || u.isAvoided(lenderName(dataCentre, account)) {
			continue
		}
		granted += u.borrow(ctx, dataCentre, account, wanted-granted)
		if granted >= wanted {
			break
		}
	}
	return granted, retryAfter, nil
}

// take takes credits out of this data centre's part of a cap, or of the small part of a
// substitute if another node is the granter.
func (u *usageCaps) take(account string, wanted int) (granted int, retryAfter time.Duration) {
	part, ok := u.part(account)
	switch {
	case !ok:
		return 0, maxUnknownTime
	case u.isGranter(account):
		return u.granter.Take(account, part, wanted)
	}
	return u.substitute.Take(account, part.Substitute(), wanted)
}

// isGranter reports whether this node is the granter of an account in its data centre.
func (u *usageCaps) isGranter(account string) bool {
	own := granterRank(account, u.settings.Node)
	for _, member := range u.members.All() {
		if member.GetDataCentre() == u.settings.DataCentre && isAlive(member) && granterRank(account, member.GetNode()) < own {
			return false
		}
	}
	return true
}

// tick forgets what this node has saved up as granter of accounts that have another one.
func (u *usageCaps) tick() { u.granter.Retain(u.isGranter) }

func isAlive(member *wire.Member) bool {
	return member.GetState() == wire.MemberState_MEMBER_STATE_ALIVE
}

func granterRank(account, node string) uint64 { return xxhash.Sum64String(account + "/" + node) }

// borrow asks the granter of another data centre for credits and returns their number.
func (u *usageCaps) borrow(ctx context.Context, dataCentre, account string, wanted int) int {
	granters := u.granters(account, dataCentre)
	if len(granters) == 0 {
		return 0
	}
	out, err := u.request(ctx, granters[0], &wire.TakeCreditsRequest{Account: account, Wanted: uint32(wanted), Borrowed: true})
	switch {
	case err != nil:
		u.avoid(lenderName(dataCentre, ""), granterAvoidTime)
	case out.GetGranted() == 0:
		u.avoid(lenderName(dataCentre, account), emptyLenderTime)
	}
	return int(out.GetGranted())
}

// lenderName names a data centre, as the lender of an account's credits or of all.
func lenderName(dataCentre, account string) string {
	return "data centre " + dataCentre + " " + account
}

// TakeCredits implements wire.DRPCPeerServer.
func (p *peerHandler) TakeCredits(ctx context.Context, in *wire.TakeCreditsRequest) (*wire.TakeCreditsResponse, error) {
	u := p.node.usage
	wanted := int(in.GetWanted())
	if !in.GetBorrowed() {
		granted, retryAfter, err := u.grant(ctx, in.GetAccount(), wanted)
		return &wire.TakeCreditsResponse{Granted: uint32(granted), RetryAfterMs: retryAfter.Milliseconds()}, err
	}
	granted, retryAfter := u.take(in.GetAccount(), wanted)
	return &wire.TakeCreditsResponse{Granted: uint32(granted), RetryAfterMs: retryAfter.Milliseconds()}, nil
}
