// Package bundle defines the bundle of routes and traffic shares that operators
// write, its validation, its split into one part per service, and the signed
// releases that distribute it.
package bundle

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/config"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
)

// Limits and defaults of a bundle. FullPermille is the whole traffic of a service.
const (
	FullPermille         = 1000
	MaxCanaryPercent     = 5
	DefaultCanaryPercent = 5
	DefaultTimeoutMS     = 2000
	DefaultMaxBodyBytes  = 1 << 20
	MaxBodyBytes         = 64 << 20
	DefaultQueueLength   = 16
	DefaultRetryPercent  = 10
	DefaultMaxAttempts   = 5
	MaxPriority          = 15
	MinMoveSeconds       = 5
	MaxPartBytes         = 512 << 10
	MaxRoutesPerService  = 256
)

// Bundle is a complete configuration as operators write it.
type Bundle struct {
	// Name identifies the bundle in listings.
	Name string `json:"name"`
	// DataCentres lists the data centres that must report a move as done before
	// the move counts as done.
	DataCentres []string `json:"data_centres"`
	// Services holds the services, by name, that routes may refer to.
	Services map[string]Service `json:"services"`
	// Routes maps requests to services.
	Routes []Route `json:"routes"`
}

// Service describes how traffic is shared and queued among the backend servers
// of one service.
type Service struct {
	// SharePercent gives the percentage of traffic by version; the values add up
	// to 100.
	SharePercent map[string]int `json:"share_percent"`
	// Move shifts all traffic to a new version by a deadline; nil for no move.
	Move *Move `json:"move,omitempty"`
	// QueueLength is the maximum number of requests that wait for a slot at one
	// backend server.
	QueueLength int `json:"queue_length,omitempty"`
	// RetryPercent is the maximum number of retries, as a percentage of requests.
	RetryPercent int `json:"retry_percent,omitempty"`
	// ColdStart limits the requests to a backend server that has just started; nil sets no
	// limit.
	ColdStart *ColdStart `json:"cold_start,omitempty"`
}

// ColdStart limits the requests to a backend server while that says that it is cold.
type ColdStart struct {
	// PerSecond is the number of requests a second that a cold backend server takes.
	PerSecond float64 `json:"per_second"`
	// HealthPath is the path at which the backend server tells for how long it is cold, in
	// addition to its heartbeats; empty if there is none.
	HealthPath string `json:"health_path,omitempty"`
}

// Move shifts the traffic of a service to another version. Exactly one of
// CompleteWithinSeconds and CompleteBy is set.
type Move struct {
	To                    string     `json:"to"`
	CompleteWithinSeconds int        `json:"complete_within_seconds,omitempty"`
	CompleteBy            *time.Time `json:"complete_by,omitempty"`
	// CanaryPercent is the share of traffic that the new version gets before it is
	// evaluated.
	CanaryPercent int `json:"canary_percent,omitempty"`
}

// Route sends matching requests to a service. Of several matching routes, one
// with a host precedes one without, then the longest path prefix applies.
type Route struct {
	Name string `json:"name"`
	// Host is compared with the request's host without its port; empty matches all.
	Host string `json:"host,omitempty"`
	// PathPrefix is compared by whole path segments.
	PathPrefix string `json:"path_prefix"`
	// Methods lists the HTTP methods that match; empty matches all.
	Methods []string `json:"methods,omitempty"`
	Service string   `json:"service"`
	// TimeoutMS is the maximum duration of a call, including its retries.
	TimeoutMS int `json:"timeout_ms,omitempty"`
	// Idempotent states whether a request may run more than once; nil leaves this
	// to the HTTP method.
	Idempotent *bool `json:"idempotent,omitempty"`
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int `json:"max_body_bytes,omitempty"`
	// ShedStatuses lists the HTTP statuses with which a backend server reports
	// that it shed the request without running it.
	ShedStatuses []int `json:"shed_statuses,omitempty"`
	// Split distributes the route's requests over several services by weight;
	// Service must be one of them.
	Split []Target `json:"split,omitempty"`
	// Priority orders the route's requests at a backend server; 0 is served first.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is the maximum number of backend servers that one request is
	// sent to.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// ObjectiveMS is the latency objective: the time within which an answer has its
	// full value. 0 stands for the timeout.
	ObjectiveMS int `json:"objective_ms,omitempty"`
	// Public lets callers without an account in, where accounts are configured.
	Public bool `json:"public,omitempty"`
}

// Target is one of the services that a split route sends requests to.
type Target struct {
	Service string `json:"service"`
	// Weight divided by the sum of the weights is the service's share of requests.
	Weight int `json:"weight"`
}

// Parse decodes a bundle from JSON with comments and sets the defaults of fields
// that are absent or 0. Errors name file and line; Parse does not validate.
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

// IsIdempotent reports whether a request with this method may run more than once.
func (r *Route) IsIdempotent(method string) bool {
	if r.Idempotent != nil {
		return *r.Idempotent
	}
	return slices.Contains([]string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"}, method)
}

// Timeout returns the maximum duration of a call on the route.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMS) * time.Millisecond }

// Services returns the services that may receive the route's requests.
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

// Objective returns the latency objective, or the timeout for a route without
// one.
func (r *Route) Objective() time.Duration {
	if r.ObjectiveMS == 0 {
		return r.Timeout()
	}
	return time.Duration(r.ObjectiveMS) * time.Millisecond
}

// assumedWorkDivisor is the ratio of a latency objective to the service time that
// is assumed under it: operators customarily leave the rest for waits.
const assumedWorkDivisor = 3

// AssumedWork returns the service time that is assumed for a backend server before
// any was measured; 0 when the route sets no latency objective.
func (r *Route) AssumedWork() time.Duration {
	return time.Duration(r.ObjectiveMS) * time.Millisecond / assumedWorkDivisor
}

// MoveFrom returns the version that a move leaves: the one with the largest share,
// and the first by name of several with the same share.
func (s *Service) MoveFrom() string {
	from := ""
	for version, percent := range s.SharePercent {
		larger := percent > s.SharePercent[from]
		if from == "" || larger || (percent == s.SharePercent[from] && version < from) {
			from = version
		}
	}
	return from
}

// Part holds one service of a bundle with its routes.
type Part struct {
	Name    string  `json:"name"`
	Service Service `json:"service"`
	Routes  []Route `json:"routes"`
}

// Parts returns the parts of the bundle, one per service, ordered by service name.
// A split route belongs to the part of its Service.
func (b *Bundle) Parts() []Part {
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

// Encode returns the canonical encoding of the part, over which its hash is
// computed. A part above MaxPartBytes is an error of kind KindTooLarge.
func (p *Part) Encode() ([]byte, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInternal, "cannot encode part "+p.Name, "")
	}
	if len(data) > MaxPartBytes {
		return nil, fault.New(fault.KindTooLarge, fmt.Sprintf("part %s is too large: %d bytes, the limit is %d", p.Name, len(data), MaxPartBytes), "split the service's routes over several services")
	}
	return data, nil
}

// DecodePart decodes what Encode returned.
func DecodePart(data []byte) (Part, error) {
	var p Part
	if err := config.Decode("part", data, &p); err != nil {
		return Part{}, err
	}
	return p, nil
}

// Join assembles a bundle from its parts.
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
