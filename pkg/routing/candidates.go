package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/fleet"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// Candidate is an endpoint that a request may be sent to, with what decides about it.
type Candidate struct {
	Endpoint *fleet.Endpoint
	// Cost is the expected loss at the endpoint, as a fraction of the value of an answer,
	// without the random part.
	Cost float64
	// Expected is the expected time until the answer, including Wait.
	Expected, Wait time.Duration
	// Busy is the estimated number of requests that run or wait there.
	Busy int
	// ReportAge is the age of the load report, negative without one.
	ReportAge time.Duration
	// Excluded says why the endpoint is not considered, or is empty.
	Excluded string
}

// Candidates returns all endpoints of a service and version in the order in which they
// would be chosen now, those that are excluded last. It chooses none.
func (p *Picker) Candidates(need Need) []Candidate {
	now := p.now()
	all := p.endpoints.All(need.Service, func(r *wire.Endpoint) bool { return r.GetVersion() == need.Version })
	meanWork := p.meanWork(need, all, now)
	reachable := p.reachable(p.endpoints.Usable(need.Service, func(r *wire.Endpoint) bool { return r.GetVersion() == need.Version }))
	var candidates []Candidate
	for _, e := range all {
		choice := p.estimate(need, e, meanWork, now)
		candidates = append(candidates, Candidate{
			Endpoint: e, Cost: choice.Cost, Expected: choice.Expected, Wait: choice.State.Wait, Busy: choice.State.Busy, ReportAge: choice.State.Age,
			Excluded: p.excluded(e, reachable, now),
		})
	}
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(boolCompare(a.Excluded != "", b.Excluded != ""), cmp.Compare(a.Cost, b.Cost))
	})
	return candidates
}

// excluded returns why an endpoint is not considered, or "".
func (p *Picker) excluded(e *fleet.Endpoint, reachable []*fleet.Endpoint, now time.Time) string {
	switch {
	case p.evacuated(e.Record().GetDataCentre()):
		return "its data centre is evacuated"
	case e.Record().GetDraining():
		return "it is draining"
	case slices.Contains(reachable, e):
		return ""
	case p.endpoints.Suspected(e):
		return "its node is suspected to be dead"
	case e.LoadStats().Avoided(now):
		return "its node did not answer lately"
	case p.isRemote(e) && p.reachability.isUnreachable(e.Record().GetDataCentre()):
		return "its data centre cannot be reached"
	}
	return "its node is gone"
}

func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
