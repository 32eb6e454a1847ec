// Package bundle defines the operators' bundle of routes and traffic shares,
// its checks, its parts by service and the signed releases that carry it.
package bundle

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/config"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
)

// Limits and defaults of a bundle.
const (
	FullPermille          = 1000
	MaxCanaryPercent      = 5
	DefaultCanaryPercent  = 5
	DefaultTimeoutMS      = 2000
	DefaultMaxBodyBytes   = 1 << 20
	LargestBodyBytes      = 3 << 20
	DefaultQueueLength    = 16
	DefaultRetryPercent   = 10
	DefaultMaxAttempts    = 5
	MaxPriority           = 15
	MinimumMoveSeconds    = 5
	LargestPartBytes      = 512 << 10
	LargestRoutesPerGroup = 256
)

// Bundle is one complete configuration, as operators write it.
type Bundle struct {
	// Name tells the bundle apart in listings.
	Name string `json:"name"`
	// DataCentres lists the data centres that must report before a move is done.
	DataCentres []string `json:"data_centres"`
	// Services holds the services that routes may name.
	Services map[string]Service `json:"services"`
	// Routes sends requests to services.
	Routes []Route `json:"routes"`
}

// Service describes the backend servers of one service.
type Service struct {
	// SharePercent gives the percentage of traffic by version; it adds up to 100.
	SharePercent map[string]int `json:"share_percent"`
	// Move shifts all traffic to a new version by a deadline.
	Move *Move `json:"move,omitempty"`
	// QueueLength bounds the requests that wait for a slot at one backend server.
	QueueLength int `json:"queue_length,omitempty"`
	// RetryPercent bounds retries to this percentage of requests.
	RetryPercent int `json:"retry_percent,omitempty"`
}

// Move asks for a change of version. Exactly one of the two deadlines is set.
type Move struct {
	To                    string     `json:"to"`
	CompleteWithinSeconds int        `json:"complete_within_seconds,omitempty"`
	CompleteBy            *time.Time `json:"complete_by,omitempty"`
	// CanaryPercent is the share of the new version before it is judged.
	CanaryPercent int `json:"canary_percent,omitempty"`
}

// Route sends matching requests to a service. The first route that matches in
// order of host, then longest path prefix, applies.
type Route struct {
	Name string `json:"name"`
	// Host matches the request's host without its port; empty matches all.
	Host string `json:"host,omitempty"`
	// PathPrefix matches whole path segments.
	PathPrefix string `json:"path_prefix"`
	// Methods lists the methods that match; empty matches all.
	Methods []string `json:"methods,omitempty"`
	Service string   `json:"service"`
	// TimeoutMS bounds a call, retries included.
	TimeoutMS int `json:"timeout_ms,omitempty"`
	// Idempotent overrides what the method says about running a request twice.
	Idempotent *bool `json:"idempotent,omitempty"`
	// MaxBodyBytes bounds the request body.
	MaxBodyBytes int `json:"max_body_bytes,omitempty"`
	// ShedStatuses lists the statuses by which the backend server says that it
	// shed the request before running it.
	ShedStatuses []int `json:"shed_statuses,omitempty"`
	// Split shares the route's requests out over several services by weight;
	// Service is one of them.
	Split []Target `json:"split,omitempty"`
	// Priority ranks the route's requests at a backend server; 0 goes first.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// ObjectiveMS is the time within which an answer has its full value; the
	// timeout if it is 0.
	ObjectiveMS int `json:"objective_ms,omitempty"`
}

// Target is one service of a split route.
type Target struct {
	Service string `json:"service"`
	// Weight is the service's part of the sum of all weights.
	Weight int `json:"weight"`
}

// Parse reads a bundle in JSON with comments and fills in its defaults.
func Parse(file string, data []byte) (*Bundle, error) {
	b := &Bundle{}
	if err := config.Decode(file, data, b); err != nil {
		return nil, err
	}
	b.fillDefaults()
	return b, nil
}

func (b *Bundle) fillDefaults() {
	for name, s := range b.Services {
		if s.QueueLength == 0 {
			s.QueueLength = DefaultQueueLength
		}
		if s.RetryPercent == 0 {
			s.RetryPercent = DefaultRetryPercent
		}
		if s.Move != nil && s.Move.CanaryPercent == 0 {
			s.Move.CanaryPercent = DefaultCanaryPercent
		}
		b.Services[name] = s
	}
	for i := range b.Routes {
		r := &b.Routes[i]
		if r.TimeoutMS == 0 {
			r.TimeoutMS = DefaultTimeoutMS
		}
		if r.MaxBodyBytes == 0 {
			r.MaxBodyBytes = DefaultMaxBodyBytes
		}
		if r.MaxAttempts == 0 {
			r.MaxAttempts = DefaultMaxAttempts
		}
	}
}

// IsIdempotent reports whether a request by method may run more than once.
func (r *Route) IsIdempotent(method string) bool {
	if r.Idempotent != nil {
		return *r.Idempotent
	}
	return slices.Contains([]string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"}, method)
}

// Timeout returns the time that a call on the route may take.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMS) * time.Millisecond }

// Services returns the services that the route's requests may go to.
func (r *Route) Services() []string {
	if len(r.Split) == 0 {
		return []string{r.Service}
	}
	services := make([]string, len(r.Split))
	for i, target := range r.Split {
		services[i] = target.Service
	}
	return services
}

// Objective returns the time within which an answer has its full value.
func (r *Route) Objective() time.Duration {
	if r.ObjectiveMS == 0 {
		return r.Timeout()
	}
	return time.Duration(r.ObjectiveMS) * time.Millisecond
}

// usualPart is the part of a latency objective that the work takes where
// operators leave the customary room for waits.
const usualPart = 3

// UsualWork returns the time that a backend server is thought to take before
// any was measured; 0 when the route has no objective of its own.
func (r *Route) UsualWork() time.Duration {
	return time.Duration(r.ObjectiveMS) * time.Millisecond / usualPart
}

// From returns the version that a move leaves: the one with the largest share.
func (s *Service) From() string {
	from := ""
	for version, percent := range s.SharePercent {
		larger := percent > s.SharePercent[from]
		if from == "" || larger || (percent == s.SharePercent[from] && version < from) {
			from = version
		}
	}
	return from
}

// Part is the piece of a bundle that concerns one service.
type Part struct {
	Name    string  `json:"name"`
	Service Service `json:"service"`
	Routes  []Route `json:"routes"`
}

// Split returns the parts of the bundle, ordered by service name.
func (b *Bundle) Split() []Part {
	byService := make(map[string][]Route)
	for _, r := range b.Routes {
		byService[r.Service] = append(byService[r.Service], r)
	}
	parts := make([]Part, 0, len(b.Services))
	for name, s := range b.Services {
		parts = append(parts, Part{Name: name, Service: s, Routes: byService[name]})
	}
	slices.SortFunc(parts, func(a, b Part) int { return compareNames(a.Name, b.Name) })
	return parts
}

// Encode returns the part's canonical bytes, over which its hash is taken.
func (p *Part) Encode() ([]byte, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInternal, "cannot encode part "+p.Name, "")
	}
	if len(data) > LargestPartBytes {
		return nil, fault.New(fault.KindTooLarge, "part "+p.Name+" is too large", "split the service's routes over several services")
	}
	return data, nil
}

// DecodePart reads the canonical bytes of a part.
func DecodePart(data []byte) (Part, error) {
	var p Part
	if err := config.Decode("part", data, &p); err != nil {
		return Part{}, err
	}
	return p, nil
}

// Join puts parts together into a bundle.
func Join(name string, dataCentres []string, parts []Part) *Bundle {
	b := &Bundle{Name: name, DataCentres: dataCentres, Services: make(map[string]Service, len(parts))}
	for _, p := range parts {
		b.Services[p.Name] = p.Service
		b.Routes = append(b.Routes, p.Routes...)
	}
	return b
}

func compareNames(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
