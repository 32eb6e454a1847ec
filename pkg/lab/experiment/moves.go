// Package experiment runs moves, bookings and releases on a deployment and
// measures what came of them.
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
	settleLimit    = 12 * time.Second
	loadWorkers    = 16
	afterMove      = 2 * time.Second
)

// Move is one move of a service to a new version.
type Move struct {
	Service string
	// Scenario names the fault in reports.
	Scenario  string
	Faults    standin.BackendFaults
	OldFaults standin.BackendFaults
	// Bad says whether the new version has to be taken back.
	Bad bool
}

// Scenarios returns the kinds of version that the brief names, by name.
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

// MoveResult is what came of a move.
type MoveResult struct {
	Service  string `json:"service"`
	Scenario string `json:"scenario"`
	Bad      bool   `json:"bad"`
	State    string `json:"state"`
	Late     bool   `json:"late"`
	// Requests counts those of the service, NewRequests those on the new version.
	Requests    int `json:"requests"`
	NewRequests int `json:"new_requests"`
	// LastAfterMS is the time from the first faulty run to the last run on a bad version.
	LastAfterMS int64  `json:"last_after_ms"`
	Note        string `json:"note"`
}

// Right reports whether a bad version was taken back, or a good one moved to in time.
func (r MoveResult) Right() bool {
	if r.Bad {
		return r.State == rollout.NameTakenBack
	}
	return r.State == rollout.NameDone && !r.Late
}

// Moves runs several moves at the same time in one release.
type Moves struct {
	D           *deployment.Deployment
	DataCentres []string
	Seconds     int
	PerSecond   float64
	Moves       []Move
	// Round tells the versions of one round from those of others.
	Round int

	old, fresh map[string][]*deployment.Backend
}

// Run runs the moves and returns what came of each.
func (m *Moves) Run(ctx context.Context) ([]MoveResult, error) {
	m.old, m.fresh = make(map[string][]*deployment.Backend), make(map[string][]*deployment.Backend)
	if err := m.start(ctx); err != nil {
		return nil, err
	}
	defer m.stop()
	loading, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var wg sync.WaitGroup
	for _, move := range m.Moves {
		for _, path := range []string{"/a/", "/b/"} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				m.load(loading, path+move.Service)
			}()
		}
	}
	sequence, err := m.D.RollOut(ctx, m.bundle(true))
	if err != nil {
		return nil, err
	}
	outcomes, err := m.wait(ctx, sequence)
	stopLoad()
	wg.Wait()
	if err != nil {
		return nil, err
	}
	return m.results(outcomes)
}

func (m *Moves) version(fresh bool) string {
	if fresh {
		return fmt.Sprintf("v%d", m.Round+1)
	}
	return fmt.Sprintf("v%d", m.Round)
}

// bundle returns the bundle before the moves, or with them.
func (m *Moves) bundle(moving bool) string {
	var services, routes []string
	for _, move := range m.Moves {
		part := ""
		if moving {
			part = fmt.Sprintf(`, "move": {"to": %q, "complete_within_seconds": %d}`, m.version(true), m.Seconds)
		}
		services = append(services, fmt.Sprintf(`%q: {"share_percent": {%q: 100}%s}`, move.Service, m.version(false), part))
		for _, side := range []string{"a", "b"} {
			routes = append(routes, fmt.Sprintf(`{"name": "%s-%s", "path_prefix": "/%s/%s", "service": %q}`, move.Service, side, side, move.Service, move.Service))
		}
	}
	return fmt.Sprintf(`{"name": "moves", "data_centres": ["%s"], "services": {%s}, "routes": [%s]}`,
		strings.Join(m.DataCentres, `", "`), strings.Join(services, ", "), strings.Join(routes, ", "))
}

func (m *Moves) start(ctx context.Context) error {
	sequence, err := m.D.RollOut(ctx, m.bundle(false))
	if err != nil {
		return err
	}
	if _, err := deployment.WaitEnforced(ctx, m.D.Hosts(""), sequence, settleLimit); err != nil {
		return err
	}
	for i, move := range m.Moves {
		for _, dataCentre := range m.DataCentres {
			hosts := m.D.Hosts(dataCentre)
			old, err := m.D.AddBackend(hosts[i%len(hosts)], deployment.BackendOptions{Service: move.Service, Version: m.version(false), Slots: slots, Work: work, Faults: move.OldFaults})
			if err != nil {
				return err
			}
			fresh, err := m.D.AddBackend(hosts[(i+1)%len(hosts)], deployment.BackendOptions{Service: move.Service, Version: m.version(true), Slots: slots, Work: work, Faults: move.Faults})
			if err != nil {
				return err
			}
			m.old[move.Service] = append(m.old[move.Service], old)
			m.fresh[move.Service] = append(m.fresh[move.Service], fresh)
		}
	}
	for _, move := range m.Moves {
		if err := deployment.WaitEndpoints(ctx, m.D.Hosts(""), move.Service, 2*len(m.DataCentres), settleLimit); err != nil {
			return err
		}
	}
	return nil
}

func (m *Moves) stop() {
	for _, group := range []map[string][]*deployment.Backend{m.old, m.fresh} {
		for _, backends := range group {
			for _, b := range backends {
				b.Process.Kill()
			}
		}
	}
}

// load sends requests until ctx ends, which the end of the moves bounds.
func (m *Moves) load(ctx context.Context, path string) {
	var addresses []string
	for _, h := range m.D.Hosts("") {
		addresses = append(addresses, h.CallerAddress())
	}
	requests := int(m.PerSecond * 3 * float64(m.Seconds))
	load.Run(ctx, load.Plan{Addresses: addresses, Method: http.MethodGet, Path: path, PerSecond: m.PerSecond, Requests: requests, Workers: loadWorkers, Timeout: requestTimeout})
}

// wanted returns the state in which the move of a service should end.
func (m *Moves) wanted(service string) string {
	for _, move := range m.Moves {
		if move.Service == service && move.Bad {
			return rollout.NameTakenBack
		}
	}
	return rollout.NameDone
}

// wait follows the moves until all have ended as they should, or are long late.
// A bad version whose fault shows late may be done before it is taken back.
func (m *Moves) wait(ctx context.Context, sequence uint64) (map[string]catalog.Outcome, error) {
	limit := time.Duration(2*m.Seconds) * time.Second
	outcomes := make(map[string]catalog.Outcome)
	err := deployment.WaitFor(limit, func() error {
		out, _, err := m.D.Operate(ctx, "--output", "json", "rollout", "status")
		if err != nil {
			return fmt.Errorf("status: %w: %s", err, out)
		}
		var all []catalog.Outcome
		if err := json.Unmarshal([]byte(out), &all); err != nil {
			return err
		}
		waiting := 0
		for _, outcome := range all {
			outcomes[outcome.Service] = outcome
			if outcome.State != m.wanted(outcome.Service) {
				waiting++
			}
		}
		if waiting > 0 {
			return errWaiting
		}
		return nil
	})
	if err != nil && !errors.Is(err, errWaiting) {
		return nil, fmt.Errorf("release %d: %w", sequence, err)
	}
	time.Sleep(afterMove)
	return outcomes, nil
}

var errWaiting = errors.New("moves have not ended as they should")

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
	fresh, err := runsOf(m.fresh[move.Service])
	if err != nil {
		return err
	}
	old, err := runsOf(m.old[move.Service])
	if err != nil {
		return err
	}
	var shown, last time.Time
	for _, runs := range fresh {
		r.NewRequests += len(runs)
		for i, run := range runs {
			last = latest(last, run.At)
			if move.isFaulty(i, run) && (shown.IsZero() || run.At.Before(shown)) {
				shown = run.At
			}
		}
	}
	if !shown.IsZero() {
		r.LastAfterMS = last.Sub(shown).Milliseconds()
	}
	r.Requests = r.NewRequests
	for _, runs := range old {
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

// runsOf returns the runs of each backend server.
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

// isFaulty reports whether the i-th run of a new backend server met its fault.
func (move Move) isFaulty(i int, run standin.Run) bool {
	slow := move.Faults.SlowMS > 0 && i >= move.Faults.AfterRequests && strings.HasPrefix(run.Path, move.Faults.FailRoute)
	return run.Failed || slow
}

// Trace fetches what the steward of a data centre recorded of a move.
func (m *Moves) Trace(ctx context.Context, dataCentre, service string) ([]trace.Line, error) {
	for _, h := range m.D.Hosts(dataCentre) {
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
	return nil, fmt.Errorf("no node of %s steered the move of %s", dataCentre, service)
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
