package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/fleet"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// Shares says what part of a service's traffic each version receives, in permille.
type Shares map[string]int

// CurrentShares returns the shares of a service. While a move is on, the new
// version takes movePermille and the others share the rest; a halted version
// takes nothing.
func CurrentShares(s *bundle.Service, move *wire.Move, movePermille int, halted func(version string) bool) Shares {
	shares := make(Shares, len(s.SharePercent)+1)
	rest := bundle.FullPermille
	if move != nil && !halted(move.GetTo()) {
		shares[move.GetTo()] = movePermille
		rest -= movePermille
	}
	for version, percent := range s.SharePercent {
		if !halted(version) {
			shares[version] += percent * rest / 100
		}
	}
	return shares
}

// Alternatives returns the versions with a share, in order of name. Versions
// in excluded are left out.
func (s Shares) Alternatives(excluded []string) []Weighted {
	alternatives := make([]Weighted, 0, len(s))
	for version, permille := range s {
		if permille > 0 && !slices.Contains(excluded, version) {
			alternatives = append(alternatives, Weighted{Name: version, Weight: permille})
		}
	}
	slices.SortFunc(alternatives, func(a, b Weighted) int { return compareNames(a.Name, b.Name) })
	return alternatives
}

func compareNames(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

const (
	// defaultWork stands for the time of a kind of work of which nothing is known.
	defaultWork = 100 * time.Millisecond
	// coldFactor is how much longer a backend server takes just after its start.
	coldFactor = 2
	// remoteCost is the part of a request's latency objective that an answer
	// from another data centre may come later than one from this data centre:
	// bytes between data centres are paid for.
	remoteCost = 0.4
	// remoteDelay is the round trip to another data centre of the region.
	remoteDelay = 3 * time.Millisecond
	// crowding is the part of its work by which a request is slowed at a full
	// backend server.
	crowding = 0.5
	// noise spreads choices between endpoints of nearly equal cost, so that
	// nodes with the same view do not all choose the same one.
	noise = 0.05
	// waitSlack is added to the wait that the next best endpoint would cost.
	waitSlack = 15 * time.Millisecond
)

// Need is what a request asks of a backend server.
type Need struct {
	Service string
	Version string
	// Kind groups requests of like cost.
	Kind string
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// Objective is the whole time within which an answer has its full value.
	Objective time.Duration
	// Usual is the time that the kind is thought to take before any was
	// measured, or 0.
	Usual time.Duration
}

// Choice is an endpoint for a request.
type Choice struct {
	Endpoint *fleet.Endpoint
	// Cost is the expected time to an answer, with the handicaps of the endpoint.
	Cost time.Duration
	// MaxWait is the wait for a slot beyond which another endpoint is better; 0
	// when there is no other.
	MaxWait time.Duration
	// Expected is the expected time to an answer.
	Expected time.Duration
	State    fleet.State
}

// Picker picks a backend server for a request.
type Picker struct {
	endpoints  *fleet.Endpoints
	dataCentre string
	random     func() float64
	now        func() time.Time
}

// NewPicker returns a picker that prefers backend servers of dataCentre.
func NewPicker(now func() time.Time, endpoints *fleet.Endpoints, dataCentre string) *Picker {
	return &Picker{endpoints: endpoints, dataCentre: dataCentre, random: rand.Float64, now: now}
}

// Pick returns the usable backend server of a version that answers soonest by
// what this node knows, or false. Those already tried are left out; those on
// nodes under suspicion or lately unreachable come last.
func (p *Picker) Pick(need Need, tried []*fleet.Endpoint) (Choice, bool) {
	usable := p.endpoints.Usable(need.Service, func(r *wire.Endpoint) bool {
		return r.GetVersion() == need.Version && !wasTried(r, tried)
	})
	if len(usable) == 0 {
		return Choice{}, false
	}
	return p.best(need, p.reachable(usable)), true
}

// best returns the cheapest endpoint. It accepts the wait by which the next
// best would cost as much.
func (p *Picker) best(need Need, endpoints []*fleet.Endpoint) Choice {
	now := p.now()
	known := p.meanWork(need, endpoints, now)
	var best, second Choice
	for _, e := range endpoints {
		c := p.cost(need, e, known, now)
		switch {
		case best.Endpoint == nil || c.Cost < best.Cost:
			best, second = c, best
		case second.Endpoint == nil || c.Cost < second.Cost:
			second = c
		}
	}
	if second.Endpoint != nil {
		best.MaxWait = best.State.Wait + second.Cost - best.Cost + waitSlack
	}
	return best
}

// meanWork returns the mean time for a kind of work over the endpoints that
// reported one.
func (p *Picker) meanWork(need Need, endpoints []*fleet.Endpoint, now time.Time) time.Duration {
	total, n := time.Duration(0), time.Duration(0)
	for _, e := range endpoints {
		if work := e.Observed().State(now, need.Kind, need.Priority).Work; work > 0 {
			total += work
			n++
		}
	}
	if n == 0 && need.Usual > 0 {
		return need.Usual
	}
	if n == 0 {
		return defaultWork
	}
	return total / n
}

func (p *Picker) cost(need Need, e *fleet.Endpoint, meanWork time.Duration, now time.Time) Choice {
	state := e.Observed().State(now, need.Kind, need.Priority)
	work := state.Work
	if work == 0 {
		work = meanWork
		if e.IsCold(now) {
			work *= coldFactor
		}
	}
	slots := float64(max(e.Record().GetSlots(), 1))
	full := float64(state.Busy+1) / slots
	wait := state.Wait
	if full > 1 {
		wait = max(wait, time.Duration((full-1)*float64(work)))
	}
	expected := float64(wait) + float64(work)*(1+crowding*min(full, 1)*min(full, 1))
	cost := expected
	if e.Record().GetDataCentre() != p.dataCentre {
		expected += float64(remoteDelay)
		cost = expected + remoteCost*float64(need.Objective)
	}
	cost += state.Failing * float64(need.Objective)
	cost *= 1 + noise*p.random()
	state.Wait = wait
	return Choice{Endpoint: e, Cost: time.Duration(cost), Expected: time.Duration(expected), State: state}
}

func wasTried(r *wire.Endpoint, tried []*fleet.Endpoint) bool {
	return slices.ContainsFunc(tried, func(e *fleet.Endpoint) bool {
		return e.Record().GetNode() == r.GetNode() && e.Record().GetInstance() == r.GetInstance()
	})
}

// reachable returns the endpoints whose nodes answer as far as this node knows,
// or all when there is none.
func (p *Picker) reachable(usable []*fleet.Endpoint) []*fleet.Endpoint {
	now := p.now()
	var reachable []*fleet.Endpoint
	for _, e := range usable {
		if !p.endpoints.Suspected(e) && !e.Observed().Avoided(now) {
			reachable = append(reachable, e)
		}
	}
	if len(reachable) == 0 {
		return usable
	}
	return reachable
}
