package request

import (
	"net/http"

	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
)

// Explanation says where a request would go from this node now, and why. Times are in
// milliseconds.
type Explanation struct {
	// Refused is the reason for which the request would be refused, or empty.
	Refused    string            `json:"refused,omitempty"`
	Sequence   uint64            `json:"sequence"`
	Route      string            `json:"route,omitempty"`
	Service    string            `json:"service,omitempty"`
	Idempotent bool              `json:"idempotent"`
	Priority   int               `json:"priority"`
	Account    string            `json:"account,omitempty"`
	Capped     bool              `json:"capped"`
	TimeoutMS  int64             `json:"timeout_ms"`
	Versions   map[string]int    `json:"versions,omitempty"`
	RetryLeft  float64           `json:"retry_budget_left"`
	Candidates []PlacedCandidate `json:"candidates,omitempty"`
}

// PlacedCandidate is a backend server that the request may be sent to.
type PlacedCandidate struct {
	Instance   string  `json:"instance"`
	Version    string  `json:"version"`
	Node       string  `json:"node"`
	DataCentre string  `json:"data_centre"`
	Cost       float64 `json:"cost"`
	ExpectedMS int64   `json:"expected_ms"`
	WaitMS     int64   `json:"wait_ms"`
	Busy       int     `json:"busy"`
	Slots      int     `json:"slots"`
	// ReportAgeMS is the age of the load report, -1 without one.
	ReportAgeMS int64  `json:"report_age_ms"`
	Excluded    string `json:"excluded,omitempty"`
}

// Explain says where a request would go now. It sends nothing, and counts against no budget
// or cap. account is the name of a client account or empty.
func (e *Entry) Explain(host, method, target, account string) Explanation {
	table := e.hooks.Table()
	out := Explanation{Sequence: table.Sequence()}
	path := routing.ParsePath(target)
	route := table.Match(host, method, path.String())
	switch {
	case table == nil:
		out.Refused = "no configuration is in force"
		return out
	case route == nil:
		out.Refused = "no route matches the host, method and path"
		return out
	}
	a := table.Account(account)
	out.Route, out.Service, out.Idempotent = route.Name, route.Service, isIdempotent(route, method, path)
	out.Priority, out.TimeoutMS = priorityOf(route, a), route.Timeout().Milliseconds()
	out.RetryLeft = e.budget.Left(route.Service)
	switch {
	case a != nil:
		out.Account, out.Capped = a.Name, a.IsCapped()
	case table.HasAccounts() && !route.Public:
		out.Refused = "the route needs the key of a client account"
	}
	shares := e.hooks.Shares(table, route.Service)
	out.Versions = shares
	now := e.Now()
	need := routing.Need{
		Service: route.Service, Kind: route.Name, Priority: out.Priority, Objective: route.Objective(), Remaining: route.Objective(),
		Usual: route.AssumedWork(), Kilobytes: e.answerSizes.callKilobytes(route.Name),
	}
	for _, version := range shares.Alternatives(nil) {
		need.Version = version.Name
		for _, c := range e.picker.Candidates(need) {
			out.Candidates = append(out.Candidates, placed(c))
		}
	}
	if out.Refused == "" && len(out.Candidates) == 0 {
		out.Refused = "no backend server of the service is known"
	}
	if e.hasStopped(now) {
		out.Refused = "this node is stopping"
	}
	return out
}

func placed(c routing.Candidate) PlacedCandidate {
	r := c.Endpoint.Record()
	age := int64(-1)
	if c.ReportAge >= 0 {
		age = c.ReportAge.Milliseconds()
	}
	return PlacedCandidate{
		Instance: r.GetInstance(), Version: r.GetVersion(), Node: r.GetNode(), DataCentre: r.GetDataCentre(), Cost: c.Cost,
		ExpectedMS: c.Expected.Milliseconds(), WaitMS: c.Wait.Milliseconds(), Busy: c.Busy, Slots: int(r.GetSlots()), ReportAgeMS: age, Excluded: c.Excluded,
	}
}

// ExplainQuery is Explain with host, method, path and account in the query of a request.
func (e *Entry) ExplainQuery(r *http.Request) Explanation {
	query := r.URL.Query()
	method := query.Get("method")
	if method == "" {
		method = http.MethodGet
	}
	return e.Explain(query.Get("host"), method, query.Get("path"), query.Get("account"))
}
