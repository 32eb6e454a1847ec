// Package experiment runs moves of services to good and bad versions on a
// deployment, and measures their outcomes.
package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/catalog"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/deployment"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/load"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/standin"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/trace"
)

const (
	slots          = 6
	work           = 2 * time.Millisecond
	requestTimeout = 5 * time.Second
	maxSettleTime  = 12 * time.Second
	loadWorkers    = 16
	postMoveWait   = 2 * time.Second
)

// Move is one move of a service to a new version.
type Move struct {
	Service string
	// Scenario is the name of the move's scenario in reports.
	Scenario string
	// Faults are those of the new version, OldFaults those of the old one.
	Faults    standin.BackendFaults
	OldFaults standin.BackendFaults
	// Bad reports whether the new version must be rolled back.
	Bad bool
}

// Scenarios returns one move for each kind of good and bad version, by the name
// of the scenario. The caller sets Service and Scenario.
func Scenarios() map[string]Move {
	return map[string]Move{
		"good":               {},
		"good_common":        {Faults: standin.BackendFaults{FailPercent: 20}, OldFaults: standin.BackendFaults{FailPercent: 20}},
		"good_noisy":         {Faults: standin.BackendFaults{FailPercent: 2}, OldFaults: standin.BackendFaults{FailPercent: 2}},
		"bad_at_once":        {Faults: standin.BackendFaults{FailPercent: 100}, Bad: true},
		"bad_in_part":        {Faults: standin.BackendFaults{FailPercent: 40}, Bad: true},
		"bad_now_and_then":   {Faults: standin.BackendFaults{FailPercent: 10}, Bad: true},
		"bad_late":           {Faults: standin.BackendFaults{FailPercent: 100, AfterRequests: 20}, Bad: true},
		"bad_after_done":     {Faults: standin.BackendFaults{FailPercent: 100, AfterRequests: 120}, Bad: true},
		"bad_on_one_route":   {Faults: standin.BackendFaults{FailPercent: 100, FailRoute: "/b/"}, Bad: true},
		"bad_slow":           {Faults: standin.BackendFaults{SlowMS: 60}, Bad: true},
		"bad_slow_late":      {Faults: standin.BackendFaults{SlowMS: 60, AfterRequests: 20}, Bad: true},
		"bad_under_load":     {Faults: standin.BackendFaults{FailPercent: 100, OverPerSecond: 8}, Bad: true},
		"bad_slow_one_route": {Faults: standin.BackendFaults{SlowMS: 60, FailRoute: "/b/"}, Bad: true},
	}
}

// MoveResult is the outcome of a move.
type MoveResult struct {
	Service  string `json:"service"`
	Scenario string `json:"scenario"`
	Bad      bool   `json:"bad"`
	State    string `json:"state"`
	Late     bool   `json:"late"`
	// Requests counts the requests that ran on both versions, NewRequests those
	// on the new version.
	Requests    int `json:"requests"`
	NewRequests int `json:"new_requests"`
	// LastAfterMS is the time from the first failed or slowed request to the
	// last request that ran on a bad version.
	LastAfterMS int64  `json:"last_after_ms"`
	Note        string `json:"note"`
}

// AsExpected reports whether a bad version was rolled back (the state taken_back), or
// the move to a good version was done in time.
func (r MoveResult) AsExpected() bool {
	if r.Bad {
		return r.State == rollout.NameRolledBack
	}
	return r.State == rollout.NameDone && !r.Late
}

// Moves runs several moves at the same time in one release. Each must complete
// within Seconds; PerSecond is the request rate on each of a service's two routes.
type Moves struct {
	Deployment  *deployment.Deployment
	DataCentres []string
	Seconds     int
	PerSecond   float64
	Moves       []Move
	// Round is the number of the old version; Round+1 is that of the new one. The
	// caller chooses it so that the versions of one round differ from those of others.
	Round int

	oldBackends, newBackends map[string][]*deployment.Backend
}

// Run runs the moves and returns the outcome of each.
func (m *Moves) Run(ctx context.Context) ([]MoveResult, error) {
	m.oldBackends, m.newBackends = make(map[string][]*deployment.Backend), make(map[string][]*deployment.Backend)
	if err := m.start(ctx); err != nil {
		return nil, err
	}
	defer m.stop()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var wg sync.WaitGroup
	for _, move := range m.Moves {
		for _, path := range []string{"/a/", "/b/"} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				m.load(loadCtx, path+move.Service)
			}()
		}
	}
	sequence, err := m.Deployment.RollOut(ctx, m.bundle(true))
	if err != nil {
		return nil, err
	}
	outcomes, err := m.waitForMoves(ctx, sequence)
	stopLoad()
	wg.Wait()
	if err != nil {
		return nil, err
	}
	return m.results(outcomes)
}

func (m *Moves) version(isNew bool) string {
	if isNew {
		return fmt.Sprintf("v%d", m.Round+1)
	}
	return fmt.Sprintf("v%d", m.Round)
}

// bundle returns the bundle with or without the moves.
func (m *Moves) bundle(withMoves bool) string {
	var services, routes []string
	for _, move := range m.Moves {
		moveField := ""
		if withMoves {
			moveField = fmt.Sprintf(`, "move": {"to": %q, "complete_within_seconds": %d}`, m.version(true), m.Seconds)
		}
		services = append(services, fmt.Sprintf(`%q: {"share_percent": {%q: 100}%s}`, move.Service, m.version(false), moveField))
		for _, side := range []string{"a", "b"} {
			routes = append(routes, fmt.Sprintf(`{"name": "%s-%s", "path_prefix": "/%s/%s", "service": %q}`, move.Service, side, side, move.Service, move.Service))
		}
	}
	return fmt.Sprintf(`{"name": "moves", "data_centres": ["%s"], "services": {%s}, "routes": [%s]}`,
		strings.Join(m.DataCentres, `", "`), strings.Join(services, ", "), strings.Join(routes, ", "))
}

func (m *Moves) start(ctx context.Context) error {
	sequence, err := m.Deployment.RollOut(ctx, m.bundle(false))
	if err != nil {
		return err
	}
	if _, err := deployment.WaitEnforced(ctx, m.Deployment.Hosts(""), sequence, maxSettleTime); err != nil {
		return err
	}
	for i, move := range m.Moves {
		for _, dataCentre := range m.DataCentres {
			hosts := m.Deployment.Hosts(dataCentre)
			oldBackend, err := m.Deployment.AddBackend(hosts[i%len(hosts)], deployment.BackendOptions{Service: move.Service, Version: m.version(false), Slots: slots, WorkTime: work, Faults: move.OldFaults})
			if err != nil {
				return err
			}
			newBackend, err := m.Deployment.AddBackend(hosts[(i+1)%len(hosts)], deployment.BackendOptions{Service: move.Service, Version: m.version(true), Slots: slots, WorkTime: work, Faults: move.Faults})
			if err != nil {
				return err
			}
			m.oldBackends[move.Service] = append(m.oldBackends[move.Service], oldBackend)
			m.newBackends[move.Service] = append(m.newBackends[move.Service], newBackend)
		}
	}
	for _, move := range m.Moves {
		if err := deployment.WaitEndpoints(ctx, m.Deployment.Hosts(""), move.Service, 2*len(m.DataCentres), maxSettleTime); err != nil {
			return err
		}
	}
	return nil
}

func (m *Moves) stop() {
	for _, group := range []map[string][]*deployment.Backend{m.oldBackends, m.newBackends} {
		for _, backends := range group {
			for _, b := range backends {
				b.Process.Kill()
			}
		}
	}
}

// load sends requests on one path until Run cancels ctx at the end of the moves,
// but no more than fit into three times the completion time of the moves.
func (m *Moves) load(ctx context.Context, path string) {
	var addresses []string
	for _, h := range m.Deployment.Hosts("") {
		addresses = append(addresses, h.CallerAddress())
	}
	requests := int(m.PerSecond * 3 * float64(m.Seconds))
	load.Run(ctx, load.Plan{Addresses: addresses, Method: http.MethodGet, Path: path, RequestsPerSecond: m.PerSecond, Requests: requests, Workers: loadWorkers, Timeout: requestTimeout})
}

// expectedState returns the state in which the move of a service must end.
func (m *Moves) expectedState(service string) string {
	for _, move := range m.Moves {
		if move.Service == service && move.Bad {
			return rollout.NameRolledBack
		}
	}
	return rollout.NameDone
}

// waitForMoves polls the moves until all are in their expected states, or twice
// their completion time has passed. A bad version whose fault appears late may
// be done before it is rolled back.
func (m *Moves) waitForMoves(ctx context.Context, sequence uint64) (map[string]catalog.Outcome, error) {
	limit := time.Duration(2*m.Seconds) * time.Second
	outcomes := make(map[string]catalog.Outcome)
	err := deployment.WaitFor(limit, func() error {
		out, _, err := m.Deployment.RunOperator(ctx, "--output", "json", "rollout", "status")
		if err != nil {
			return fmt.Errorf("rollout status: %w: %s", err, out)
		}
		var all []catalog.Outcome
		if err := json.Unmarshal([]byte(out), &all); err != nil {
			return err
		}
		waiting := 0
		for _, outcome := range all {
			outcomes[outcome.Service] = outcome
			if outcome.State != m.expectedState(outcome.Service) {
				waiting++
			}
		}
		if waiting > 0 {
			return errUnexpectedState
		}
		return nil
	})
	if err != nil && !errors.Is(err, errUnexpectedState) {
		return nil, fmt.Errorf("release %d: %w", sequence, err)
	}
	time.Sleep(postMoveWait)
	return outcomes, nil
}

var errUnexpectedState = errors.New("moves are not in their expected states")

func (m *Moves) results(outcomes map[string]catalog.Outcome) ([]MoveResult, error) {
	var results []MoveResult
	for _, move := range m.Moves {
		outcome := outcomes[move.Service]
		r := MoveResult{Service: move.Service, Scenario: move.Scenario, Bad: move.Bad, State: outcome.State}
		for _, report := range outcome.Reports {
			r.Note = report.Note
			r.Late = r.Late || strings.Contains(report.Note, "late by")
		}
		if err := m.countRuns(move, &r); err != nil {
			return nil, err
		}
		results = append(results, r)
	}
	return results, nil
}

func (m *Moves) countRuns(move Move, r *MoveResult) error {
	newRuns, err := runsOf(m.newBackends[move.Service])
	if err != nil {
		return err
	}
	oldRuns, err := runsOf(m.oldBackends[move.Service])
	if err != nil {
		return err
	}
	var firstFaulty, last time.Time
	for _, runs := range newRuns {
		r.NewRequests += len(runs)
		for i, run := range runs {
			last = latest(last, run.At)
			if move.isFaulty(i, run) && (firstFaulty.IsZero() || run.At.Before(firstFaulty)) {
				firstFaulty = run.At
			}
		}
	}
	if !firstFaulty.IsZero() {
		r.LastAfterMS = last.Sub(firstFaulty).Milliseconds()
	}
	r.Requests = r.NewRequests
	for _, runs := range oldRuns {
		r.Requests += len(runs)
	}
	return nil
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// runsOf returns the requests that each backend server ran.
func runsOf(backends []*deployment.Backend) ([][]standin.Run, error) {
	all := make([][]standin.Run, 0, len(backends))
	for _, b := range backends {
		runs, err := b.Runs()
		if err != nil {
			return nil, err
		}
		all = append(all, runs)
	}
	return all, nil
}

// isFaulty reports whether the fault of the new version affected the i-th request
// that one of its backend servers ran.
func (move Move) isFaulty(i int, run standin.Run) bool {
	slow := move.Faults.SlowMS > 0 && i >= move.Faults.AfterRequests && strings.HasPrefix(run.Path, move.Faults.FailRoute)
	return run.Failed || slow
}

// Trace returns the trace of a move that the leader of a data centre (steward on
// the wire) recorded. It asks the nodes in turn for one that is not empty.
func (m *Moves) Trace(ctx context.Context, dataCentre, service string) ([]trace.Line, error) {
	for _, h := range m.Deployment.Hosts(dataCentre) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.HostAddress()+"/debug/moves/"+service, nil)
		if err != nil {
			return nil, err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil, err
		}
		lines, err := readLines(resp)
		if err == nil && len(lines) > 0 {
			return lines, nil
		}
	}
	return nil, fmt.Errorf("no node of data centre %s has a trace of the move of service %s", dataCentre, service)
}

func readLines(resp *http.Response) ([]trace.Line, error) {
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.New(resp.Status)
	}
	var lines []trace.Line
	dec := json.NewDecoder(resp.Body)
	for dec.More() {
		var line trace.Line
		if err := dec.Decode(&line); err != nil {
			return nil, err
		}
		lines = append(lines, line)
	}
	return lines, nil
}
