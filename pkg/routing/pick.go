package routing

import (
	"math"
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
	// remoteDelay is the round trip to another data centre of the region.
	remoteDelay = 3 * time.Millisecond
	// crowding is the part of its work by which a request is slowed at a full
	// backend server.
	crowding = 0.5
)

// Costs of an endpoint, in parts of the worth of an answer that is on time.
const (
	// remoteCost is paid for a request between data centres, and remoteCostPerKB
	// for each kilobyte of it and its answer.
	remoteCost      = 0.04
	remoteCostPerKB = 0.015
	// slowCost is paid for an answer that takes the whole objective.
	slowCost = 0.02
	// lateSlope is how steeply the chance to be late grows with the expected
	// time; it fits work whose logarithm is spread by about 0.6.
	lateSlope = 3
	// noise spreads choices between endpoints of nearly equal cost, so that
	// nodes with the same view do not all choose the same one.
	noise = 0.01
	// shortestWait is accepted anywhere, because asking elsewhere takes as long.
	shortestWait = 10 * time.Millisecond
	// waitSteps bounds the search for the wait at which another endpoint is
	// better, to a part in 2^waitSteps of the objective.
	waitSteps = 6
)

// Need is what a request asks of a backend server.
type Need struct {
	Service string
	Version string
	// Kind groups requests of like cost.
	Kind string
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// Objective is the whole time within which an answer has its full value, and
	// Left what is left of it.
	Objective time.Duration
	Left      time.Duration
	// Usual is the time that the kind is thought to take before any was
	// measured, or 0.
	Usual time.Duration
	// Kilobytes is the size of an answer with what goes with it.
	Kilobytes float64
}

// Choice is an endpoint for a request.
type Choice struct {
	Endpoint *fleet.Endpoint
	// Cost is what is lost with the endpoint, in parts of the worth of an answer.
	Cost float64
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
	reach      *reach
}

// NewPicker returns a picker that prefers backend servers of dataCentre.
func NewPicker(now func() time.Time, endpoints *fleet.Endpoints, dataCentre string) *Picker {
	return &Picker{endpoints: endpoints, dataCentre: dataCentre, random: rand.Float64, now: now, reach: newReach(now)}
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
		best.MaxWait = p.maxWait(need, best, second.Cost)
	}
	return best
}

// maxWait returns the longest wait at which a choice costs no more than limit.
func (p *Picker) maxWait(need Need, c Choice, limit float64) time.Duration {
	served := c.Expected - c.State.Wait
	low, high := c.State.Wait, c.State.Wait+need.Objective
	for range waitSteps {
		middle := (low + high) / 2
		if p.lost(need, c.Endpoint, served+middle, c.State.Failing) <= limit {
			low = middle
		} else {
			high = middle
		}
	}
	return max(low, shortestWait)
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
	expected := wait + time.Duration(float64(work)*(1+crowding*min(full, 1)*min(full, 1)))
	if p.isRemote(e) {
		expected += remoteDelay
	}
	state.Wait = wait
	cost := p.lost(need, e, expected, state.Failing) + noise*p.random()
	return Choice{Endpoint: e, Cost: cost, Expected: expected, State: state}
}

func (p *Picker) isRemote(e *fleet.Endpoint) bool {
	return e.Record().GetDataCentre() != p.dataCentre
}

// lost returns the part of an answer's worth that is lost at an endpoint: by
// the chance to be late or to fail, by bytes between data centres, and a little
// by time alone.
func (p *Picker) lost(need Need, e *fleet.Endpoint, expected time.Duration, failing float64) float64 {
	lost := failing + slowCost*float64(expected)/float64(max(need.Objective, 1))
	if p.isRemote(e) {
		lost += remoteCost + remoteCostPerKB*need.Kilobytes
	}
	if need.Left > 0 {
		lost += 1 / (1 + math.Pow(float64(need.Left)/float64(max(expected, 1)), lateSlope))
	}
	return lost
}

// Unreachable notes that the node of an endpoint could not be reached.
func (p *Picker) Unreachable(e *fleet.Endpoint) {
	e.Observed().Avoid(p.now().Add(avoidTime))
	p.reach.failed(e.Record().GetDataCentre(), e.Record().GetNode())
}

// Answered notes an answer of the node of an endpoint.
func (p *Picker) Answered(e *fleet.Endpoint) {
	if p.isRemote(e) {
		p.reach.answered(e.Record().GetDataCentre())
	}
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
		cut := p.isRemote(e) && p.reach.isCut(e.Record().GetDataCentre())
		if !cut && !p.endpoints.Suspected(e) && !e.Observed().Avoided(now) {
			reachable = append(reachable, e)
		}
	}
	if len(reachable) == 0 {
		return usable
	}
	return reachable
}
