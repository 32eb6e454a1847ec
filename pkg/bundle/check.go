package bundle

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// anyMethod stands for the methods of a route that matches all of them.
var anyMethod = []string{"*"}

// Problems lists faults of a bundle, one text each that starts with the field.
type Problems []string

func (p *Problems) add(format string, args ...any) { *p = append(*p, fmt.Sprintf(format, args...)) }

func (p *Problems) checkName(field, name string) {
	if !namePattern.MatchString(name) {
		p.add("%s: %q is not a name of 1 to 63 lower-case letters, digits, dots, dashes or underscores", field, name)
	}
}

func (p *Problems) checkRange(field string, value, low, high int) {
	if value < low || value > high {
		p.add("%s: %d is outside %d to %d", field, value, low, high)
	}
}

// Check returns an error of kind KindInvalid that lists every fault of the
// bundle, or nil.
func (b *Bundle) Check() error {
	problems := b.Problems()
	return problems.err()
}

func (p *Problems) err() error {
	if len(*p) == 0 {
		return nil
	}
	return fault.New(fault.KindInvalid, "the bundle has "+fmt.Sprint(len(*p))+" faults:\n  "+strings.Join(*p, "\n  "), "correct each and run 'hibiscusrock bundle check' again")
}

// Problems returns every fault of the bundle.
func (b *Bundle) Problems() Problems {
	var p Problems
	p.checkName("name", b.Name)
	if len(b.DataCentres) == 0 {
		p.add("data_centres: none is named")
	}
	for i, dc := range b.DataCentres {
		p.checkName(fmt.Sprintf("data_centres[%d]", i), dc)
		if slices.Contains(b.DataCentres[:i], dc) {
			p.add("data_centres[%d]: %q is named twice", i, dc)
		}
	}
	for _, part := range b.Parts() {
		p.checkService("services."+part.Name, part.Name, &part.Service)
	}
	p.checkRoutes(b)
	return p
}

// Check returns an error of kind KindInvalid that lists every fault of the part
// considered alone, or nil. CheckConflicts finds the conflicts between parts.
func (p *Part) Check() error {
	var problems Problems
	problems.checkService("services."+p.Name, p.Name, &p.Service)
	for i := range p.Routes {
		field := fmt.Sprintf("services.%s.routes[%d]", p.Name, i)
		problems.checkRoute(field, &p.Routes[i])
		if p.Routes[i].Service != p.Name {
			problems.add("%s.service: a route in the part of service %q names service %q", field, p.Name, p.Routes[i].Service)
		}
	}
	return problems.err()
}

// CheckConflicts returns an error of kind KindInvalid that lists the conflicts
// between parts that are valid alone, or nil: route names used twice and routes
// that match the same requests.
func CheckConflicts(parts []Part) error {
	var problems Problems
	names := make(map[string]bool, len(parts))
	matches := make(map[string]string, len(parts))
	for i := range parts {
		for j := range parts[i].Routes {
			r := &parts[i].Routes[j]
			if names[r.Name] {
				problems.add("route %q: the name is used twice", r.Name)
			}
			names[r.Name] = true
			problems.checkOverlap(r.Name, r, matches)
		}
	}
	return problems.err()
}

func (p *Problems) checkService(field, name string, s *Service) {
	p.checkName(field, name)
	p.checkRange(field+".queue_length", s.QueueLength, 1, 10000)
	p.checkRange(field+".retry_percent", s.RetryPercent, 0, 100)
	if s.ColdStart != nil && !(s.ColdStart.PerSecond > 0) {
		p.add("%s.cold_start.per_second: %v is not above 0", field, s.ColdStart.PerSecond)
	}
	total := 0
	for version, percent := range s.SharePercent {
		p.checkName(field+".share_percent", version)
		p.checkRange(field+".share_percent."+version, percent, 0, 100)
		total += percent
	}
	if total != 100 {
		p.add("%s.share_percent: adds up to %d, not 100", field, total)
	}
	if s.Move != nil {
		p.checkMove(field+".move", s)
	}
}

func (p *Problems) checkMove(field string, s *Service) {
	p.checkName(field+".to", s.Move.To)
	p.checkRange(field+".canary_percent", s.Move.CanaryPercent, 1, MaxCanaryPercent)
	if s.SharePercent[s.Move.To] != 0 {
		p.add("%s.to: %q already has a share", field, s.Move.To)
	}
	if (s.Move.CompleteBy == nil) == (s.Move.CompleteWithinSeconds == 0) {
		p.add("%s: give either complete_by or complete_within_seconds", field)
	}
	if s.Move.CompleteBy == nil && s.Move.CompleteWithinSeconds != 0 {
		p.checkRange(field+".complete_within_seconds", s.Move.CompleteWithinSeconds, MinMoveSeconds, 30*24*3600)
	}
}

func (p *Problems) checkRoutes(b *Bundle) {
	names := make(map[string]bool)
	matches := make(map[string]string)
	perService := make(map[string]int)
	for i := range b.Routes {
		r := &b.Routes[i]
		field := fmt.Sprintf("routes[%d]", i)
		p.checkRoute(field, r)
		if _, ok := b.Services[r.Service]; !ok {
			p.add("%s.service: no service is named %q", field, r.Service)
		}
		if names[r.Name] {
			p.add("%s.name: %q is used twice", field, r.Name)
		}
		names[r.Name] = true
		p.checkOverlap(field, r, matches)
		perService[r.Service]++
		if perService[r.Service] == MaxRoutesPerService+1 {
			p.add("%s: service %q has more than %d routes", field, r.Service, MaxRoutesPerService)
		}
	}
}

func (p *Problems) checkRoute(field string, r *Route) {
	p.checkName(field+".name", r.Name)
	if !strings.HasPrefix(r.PathPrefix, "/") {
		p.add("%s.path_prefix: %q does not start with /", field, r.PathPrefix)
	}
	p.checkRange(field+".timeout_ms", r.TimeoutMS, 10, 600000)
	p.checkRange(field+".max_body_bytes", r.MaxBodyBytes, 0, MaxBodyBytes)
	p.checkRange(field+".priority", r.Priority, 0, MaxPriority)
	p.checkRange(field+".max_attempts", r.MaxAttempts, 0, 100)
	p.checkRange(field+".objective_ms", r.ObjectiveMS, 0, 600000)
	p.checkSplit(field+".split", r)
	for _, status := range r.ShedStatuses {
		p.checkRange(field+".shed_statuses", status, 400, 599)
	}
	for _, method := range r.Methods {
		if method == "" || method != strings.ToUpper(method) {
			p.add("%s.methods: %q is not an upper-case method", field, method)
		}
	}
}

func (p *Problems) checkSplit(field string, r *Route) {
	if len(r.Split) == 0 {
		return
	}
	total, own := 0, false
	for i, target := range r.Split {
		p.checkRange(fmt.Sprintf("%s[%d].weight", field, i), target.Weight, 0, 1000000)
		total += target.Weight
		own = own || target.Service == r.Service
	}
	if total == 0 {
		p.add("%s: the weights add up to 0", field)
	}
	if !own {
		p.add("%s: does not include the route's service %q", field, r.Service)
	}
}

// checkOverlap reports a route with the host, method and path prefix of an
// earlier one; matches holds the name of the earlier route by these three.
func (p *Problems) checkOverlap(field string, r *Route, matches map[string]string) {
	methods := r.Methods
	if len(methods) == 0 {
		methods = anyMethod
	}
	for _, method := range methods {
		match := r.Host + " " + method + " " + strings.TrimSuffix(r.PathPrefix, "/")
		if other, ok := matches[match]; ok {
			p.add("%s: matches the same requests as route %q", field, other)
		}
		matches[match] = r.Name
	}
}
