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

// Version chooses a version at random by share. Versions in excluded are
// left out as long as another version has a share.
func (s Shares) Version(random func(n int) int, excluded []string) string {
	versions := make([]string, 0, len(s))
	total := 0
	for version, permille := range s {
		if permille > 0 && !slices.Contains(excluded, version) {
			versions = append(versions, version)
			total += permille
		}
	}
	if total == 0 {
		return ""
	}
	slices.Sort(versions)
	n := random(total)
	for _, version := range versions {
		n -= s[version]
		if n < 0 {
			return version
		}
	}
	return versions[len(versions)-1]
}

// Picker picks a backend server for a request.
type Picker struct {
	endpoints  *fleet.Endpoints
	dataCentre string
	random     func(n int) int
	now        func() time.Time
}

// NewPicker returns a picker that prefers backend servers of dataCentre.
func NewPicker(now func() time.Time, endpoints *fleet.Endpoints, dataCentre string) *Picker {
	return &Picker{endpoints: endpoints, dataCentre: dataCentre, random: rand.IntN, now: now}
}

// Pick returns a usable backend server of a version, or nil. Those already
// tried are left out. Backend servers of this data centre go before others, and
// those on nodes that are under suspicion or lately unreachable come last.
func (p *Picker) Pick(service, version string, tried []*fleet.Endpoint) *fleet.Endpoint {
	usable := p.endpoints.Usable(service, func(r *wire.Endpoint) bool {
		return r.GetVersion() == version && !wasTried(r, tried)
	})
	if len(usable) == 0 {
		return nil
	}
	best := p.bestGroup(usable)
	if len(best) == 1 {
		return best[0]
	}
	i := p.random(len(best))
	j := p.random(len(best) - 1)
	if j >= i {
		j++
	}
	if best[j].Load() < best[i].Load() {
		return best[j]
	}
	return best[i]
}

func wasTried(r *wire.Endpoint, tried []*fleet.Endpoint) bool {
	return slices.ContainsFunc(tried, func(e *fleet.Endpoint) bool {
		return e.Record().GetNode() == r.GetNode() && e.Record().GetInstance() == r.GetInstance()
	})
}

func (p *Picker) bestGroup(usable []*fleet.Endpoint) []*fleet.Endpoint {
	const groups = 3
	var byGroup [groups][]*fleet.Endpoint
	now := p.now()
	for _, e := range usable {
		group := 1
		switch {
		case p.endpoints.Suspected(e) || e.Avoided(now):
			group = 2
		case e.Record().GetDataCentre() == p.dataCentre:
			group = 0
		}
		byGroup[group] = append(byGroup[group], e)
	}
	for _, group := range byGroup {
		if len(group) > 0 {
			return group
		}
	}
	return nil
}
