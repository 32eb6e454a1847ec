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

// Shares maps each version of a service to its part of the traffic, in permille.
type Shares map[string]int

// CurrentShares returns the shares of a service. During a move, the new version
// receives movePermille and the configured versions divide the rest by their
// percentages. A halted version receives nothing: when it is the new version,
// the configured versions divide all of the traffic; when it is a configured
// version, its share is not given to another. A nil move means that no move is
// in progress.
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

// Alternatives returns the versions with a share above 0, sorted by name and
// without those in excluded.
func (s Shares) Alternatives(excluded []string) []Alternative {
	alternatives := make([]Alternative, 0, len(s))
	for version, permille := range s {
		if permille > 0 && !slices.Contains(excluded, version) {
			alternatives = append(alternatives, Alternative{Name: version, Weight: permille})
		}
	}
	slices.SortFunc(alternatives, func(a, b Alternative) int { return compareNames(a.Name, b.Name) })
	return alternatives
}

// NotAbove returns the other versions whose share is not above that of a version.
func (s Shares) NotAbove(version string) []string {
	var others []string
	for other, permille := range s {
		if other != version && permille <= s[version] {
			others = append(others, other)
		}
	}
	return others
}

// compareNames orders distinct names; it never returns 0.
func compareNames(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

const (
	bytesPerKilobyte = 1000
	// defaultWork is the assumed work time of a kind of request for which there
	// is neither a report nor a configured usual time.
	defaultWork = 100 * time.Millisecond
	// coldFactor multiplies the expected work time on a backend server that has
	// just started.
	coldFactor = 2
	// remoteDelay is the round-trip time to another data centre of the region.
	remoteDelay = 3 * time.Millisecond
	// contentionFactor is the part of its work time by which a request is slowed
	// down on a backend server whose slots are all busy. The slowdown grows with
	// the square of the utilisation.
	contentionFactor = 0.5
)

// Costs of an endpoint, as fractions of the value of an answer that is on time.
const (
	// remoteCost is the cost of a request to another data centre, without its bytes.
	remoteCost = 0.04
	// slowCost is the cost of an answer that takes the whole objective. The cost
	// is proportional to the expected time.
	slowCost = 0.02
	// lateExponent is the exponent of the log-logistic curve that gives the
	// probability of a late answer from the ratio of the remaining time to the
	// expected time. It fits work times whose logarithm has a standard deviation
	// of about 0.6.
	lateExponent = 3
	// maxRandomCost bounds the random cost added to each endpoint, so that nodes
	// with the same view do not all choose the same one of several endpoints with
	// nearly equal costs.
	maxRandomCost = 0.01
	// minMaxWait is the lower bound of Choice.MaxWait: trying another endpoint
	// takes as long as this wait.
	minMaxWait = 10 * time.Millisecond
	// waitSearchSteps is the number of bisection steps in the search for
	// Choice.MaxWait. The result is exact to Objective / 2^waitSearchSteps.
	waitSearchSteps = 6
)

// Need describes a request and what it requires of a backend server.
type Need struct {
	Service string
	Version string
	// Kind groups requests of similar work time, such as those of one route.
	Kind string
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// Objective is the total time within which an answer has its full value.
	Objective time.Duration
	// Remaining is the remaining part of Objective.
	Remaining time.Duration
	// Usual is the configured work time of the kind, which is used until an
	// endpoint has reported one; 0 means that none is configured.
	Usual time.Duration
	// Kilobytes is the expected traffic between nodes for the request and its
	// answer.
	Kilobytes float64
	// BodyBytes is the length of a body that is sent in parts, or 0.
	BodyBytes int64
}

// Choice is the endpoint chosen for a request.
type Choice struct {
	Endpoint *fleet.Endpoint
	// Cost is the expected loss at the endpoint, as a fraction of the value of an
	// answer, plus a small random cost.
	Cost float64
	// MaxWait is the wait for a slot above which another endpoint is better; 0
	// when there is no other endpoint.
	MaxWait time.Duration
	// Expected is the expected time until the answer, including the wait.
	Expected time.Duration
	// State holds the reported load of the endpoint with the expected wait.
	State fleet.LoadEstimate
}

// Picker picks a backend server for each request by its expected cost. It is
// safe for concurrent use.
type Picker struct {
	endpoints    *fleet.Endpoints
	dataCentre   string
	random       func() float64
	now          func() time.Time
	reachability *reachability
	evacuated    func(dataCentre string) bool
	node         string
	// remoteCostPerKB is the cost of a kilobyte between data centres, as a fraction of the
	// value of an answer.
	remoteCostPerKB float64
}

// DefaultRemoteCostPerKB is used unless another cost is set.
const DefaultRemoteCostPerKB = 0.015

// PickerOption configures a Picker.
type PickerOption func(*Picker)

// WithEvacuated sets the function that reports whether the backend servers of a data
// centre get no requests, by order of the operators.
func WithEvacuated(evacuated func(dataCentre string) bool) PickerOption {
	return func(p *Picker) { p.evacuated = evacuated }
}

// WithNode sets the name of the picker's node, whose own endpoints get bodies without a link.
func WithNode(node string) PickerOption { return func(p *Picker) { p.node = node } }

// WithRemoteCost sets the cost of a kilobyte between data centres, as a fraction of the value
// of an answer.
func WithRemoteCost(perKB float64) PickerOption {
	return func(p *Picker) { p.remoteCostPerKB = perKB }
}

// NewPicker returns a picker on a node of dataCentre. Backend servers of other
// data centres have a higher cost.
func NewPicker(now func() time.Time, endpoints *fleet.Endpoints, dataCentre string, opts ...PickerOption) *Picker {
	p := &Picker{
		endpoints: endpoints, dataCentre: dataCentre, random: rand.Float64, now: now, reachability: newReachability(now),
		evacuated: func(string) bool { return false }, remoteCostPerKB: DefaultRemoteCostPerKB,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Pick returns the usable backend server of need.Version with the lowest
// expected cost, or false when there is none. Backend servers in tried are left
// out. Those on nodes that are suspected or were recently unreachable are chosen
// only when there is no other.
func (p *Picker) Pick(need Need, tried []*fleet.Endpoint) (Choice, bool) {
	usable := p.endpoints.Usable(need.Service, func(r *wire.Endpoint) bool {
		return r.GetVersion() == need.Version && !wasTried(r, tried) && !p.evacuated(r.GetDataCentre())
	})
	if len(usable) == 0 {
		return Choice{}, false
	}
	return p.best(need, p.reachable(usable)), true
}

// best returns the endpoint with the lowest cost. Its MaxWait is the wait at
// which the second best endpoint would cost the same.
func (p *Picker) best(need Need, endpoints []*fleet.Endpoint) Choice {
	now := p.now()
	meanWork := p.meanWork(need, endpoints, now)
	var best, second Choice
	for _, e := range endpoints {
		c := p.cost(need, e, meanWork, now)
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

// maxWait returns, by bisection, the longest wait at which the expected loss of
// a choice is at most limit.
func (p *Picker) maxWait(need Need, c Choice, limit float64) time.Duration {
	serviceTime := c.Expected - c.State.Wait
	low, high := c.State.Wait, c.State.Wait+need.Objective
	for range waitSearchSteps {
		middle := (low + high) / 2
		if p.expectedLoss(need, c.Endpoint, serviceTime+middle, c.State.FailureRate) <= limit {
			low = middle
		} else {
			high = middle
		}
	}
	return max(low, minMaxWait)
}

// meanWork returns the mean reported work time of the request's kind over
// endpoints. Without any report it returns the configured usual time or
// defaultWork.
func (p *Picker) meanWork(need Need, endpoints []*fleet.Endpoint, now time.Time) time.Duration {
	total, n := time.Duration(0), time.Duration(0)
	for _, e := range endpoints {
		if work := e.LoadStats().Estimate(now, need.Kind, need.Priority).Work; work > 0 {
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

// cost returns the choice of endpoint e with its expected cost, plus a small random cost,
// and time.
func (p *Picker) cost(need Need, e *fleet.Endpoint, meanWork time.Duration, now time.Time) Choice {
	choice := p.estimate(need, e, meanWork, now)
	choice.Cost += maxRandomCost * p.random()
	return choice
}

// estimate returns the choice of endpoint e with its expected cost and time.
// meanWork replaces the work time when e has not reported one.
func (p *Picker) estimate(need Need, e *fleet.Endpoint, meanWork time.Duration, now time.Time) Choice {
	state := e.LoadStats().Estimate(now, need.Kind, need.Priority)
	work := state.Work
	if work == 0 {
		work = meanWork
		if e.IsCold(now) {
			work *= coldFactor
		}
	}
	slots := float64(max(e.Record().GetSlots(), 1))
	utilisation := float64(state.Busy+1) / slots
	wait := state.Wait
	if utilisation > 1 {
		wait = max(wait, time.Duration((utilisation-1)*float64(work)))
	}
	expected := wait + time.Duration(float64(work)*(1+contentionFactor*min(utilisation, 1)*min(utilisation, 1)))
	if p.isRemote(e) {
		expected += remoteDelay
	}
	expected += p.transferTime(need, e, state)
	state.Wait = wait
	return Choice{Endpoint: e, Cost: p.expectedLoss(need, e, expected, state.FailureRate), Expected: expected, State: state}
}

// transferTime returns the time until the body of a request has arrived at the node of an
// endpoint.
func (p *Picker) transferTime(need Need, e *fleet.Endpoint, state fleet.LoadEstimate) time.Duration {
	if need.BodyBytes == 0 || e.Record().GetNode() == p.node {
		return 0
	}
	transfer := state.LinkWait
	if mbps := p.endpoints.LinkMbps(e); mbps > 0 {
		const bitsPerByte, mega = 8, 1e6
		transfer += time.Duration(float64(need.BodyBytes) * bitsPerByte / (mbps * mega) * float64(time.Second))
	}
	return transfer
}

func (p *Picker) isRemote(e *fleet.Endpoint) bool {
	return e.Record().GetDataCentre() != p.dataCentre
}

// expectedLoss returns the expected loss at an endpoint, as a fraction of the
// value of an answer. It adds the probabilities of a failure (failureRate) and of
// a late answer, the cost of traffic between data centres, and a small cost that
// is proportional to the expected time.
func (p *Picker) expectedLoss(need Need, e *fleet.Endpoint, expected time.Duration, failureRate float64) float64 {
	loss := failureRate + slowCost*float64(expected)/float64(max(need.Objective, 1))
	if p.isRemote(e) {
		loss += remoteCost + p.remoteCostPerKB*(need.Kilobytes+float64(need.BodyBytes)/bytesPerKilobyte)
	}
	if need.Remaining > 0 {
		loss += 1 / (1 + math.Pow(float64(need.Remaining)/float64(max(expected, 1)), lateExponent))
	}
	return loss
}

// RecordUnreachable records that the node of an endpoint could not be reached. The
// endpoint is avoided for avoidTime.
func (p *Picker) RecordUnreachable(e *fleet.Endpoint) {
	e.LoadStats().Avoid(p.now().Add(avoidTime))
	p.reachability.recordFailure(e.Record().GetDataCentre(), e.Record().GetNode())
}

// RecordAnswer records that the node of an endpoint answered, which shows that its
// data centre is reachable.
func (p *Picker) RecordAnswer(e *fleet.Endpoint) {
	if p.isRemote(e) {
		p.reachability.recordAnswer(e.Record().GetDataCentre())
	}
}

func wasTried(r *wire.Endpoint, tried []*fleet.Endpoint) bool {
	return slices.ContainsFunc(tried, func(e *fleet.Endpoint) bool {
		return e.Record().GetNode() == r.GetNode() && e.Record().GetInstance() == r.GetInstance()
	})
}

// reachable returns the endpoints whose nodes are neither suspected, nor avoided
// after a failure, nor in an unreachable data centre. When there is none it
// returns all of usable.
func (p *Picker) reachable(usable []*fleet.Endpoint) []*fleet.Endpoint {
	now := p.now()
	var reachable []*fleet.Endpoint
	for _, e := range usable {
		dataCentreUnreachable := p.isRemote(e) && p.reachability.isUnreachable(e.Record().GetDataCentre())
		if !dataCentreUnreachable && !p.endpoints.Suspected(e) && !e.LoadStats().Avoided(now) {
			reachable = append(reachable, e)
		}
	}
	if len(reachable) == 0 {
		return usable
	}
	return reachable
}
