package bench

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/deployment"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/experiment"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/load"
)

// AddedLatency is the latency that the system adds to a call, compared with a direct
// call to the backend server.
type AddedLatency struct {
	DirectMedianMS float64 `json:"direct_median_ms"`
	DirectP99MS    float64 `json:"direct_p99_ms"`
	OneMedianMS    float64 `json:"one_node_added_median_ms"`
	OneP99MS       float64 `json:"one_node_added_p99_ms"`
	TwoMedianMS    float64 `json:"two_nodes_added_median_ms"`
	TwoP99MS       float64 `json:"two_nodes_added_p99_ms"`
	// CPUMicros is the CPU time of all nodes for one call, including that of
	// control traffic.
	CPUMicros float64 `json:"cpu_us_per_call"`
}

// Goodput is the rate of successful answers at twice the load that the backend
// servers can serve. Refused counts the other answers by status, reason, verdict and
// error.
type Goodput struct {
	CapacityPerSecond float64        `json:"capacity_per_second"`
	OfferedPerSecond  float64        `json:"offered_per_second"`
	AnsweredPerSecond float64        `json:"answered_per_second"`
	Refused           map[string]int `json:"refused"`
}

// Bookings counts the bookings sent and answered. MostRuns is the number of runs
// of the booking that ran most often, by the records of the backend servers.
type Bookings struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	MostRuns int `json:"most_runs"`
}

// measureAdded calls a backend server in turn directly, through its own node, and
// through another node of its data centre.
func (r *benchmark) measureAdded(ctx context.Context) error {
	const service = "probe"
	tool, cleanUp, err := newOperatorTool(r.d)
	if err != nil {
		return err
	}
	defer cleanUp()
	bundle := fmt.Sprintf(`{"name": "probe", "data_centres": [%q], "services": {"probe": {"share_percent": {"v1": 100}}, "target": {"share_percent": {"v1": 100}}},
		"routes": [{"name": "probe", "path_prefix": "/probe", "service": "probe"}, {"name": "target", "path_prefix": "/target", "service": "target", "timeout_ms": 300}]}`, r.site.DataCentres[0])
	sequence, _, err := tool.rollOut(ctx, bundle)
	if err != nil {
		return err
	}
	if _, err := deployment.WaitEnforced(ctx, r.d.Hosts(""), sequence, maxSettleTime); err != nil {
		return err
	}
	hosts := r.d.Hosts(r.site.DataCentres[0])
	b, err := r.d.AddBackend(hosts[0], deployment.BackendOptions{Service: service, Version: "v1", Slots: r.site.Slots, WorkTime: 0})
	if err != nil {
		return err
	}
	if err := deployment.WaitEndpoints(ctx, r.d.Hosts(""), service, 1, maxSettleTime); err != nil {
		return err
	}
	targets := []string{b.Address, hosts[0].CallerAddress(), hosts[1].CallerAddress()}
	took := make([][]time.Duration, len(targets))
	client := load.NewClient(requestTimeout)
	defer client.CloseIdleConnections()
	before, err := measureUsage(ctx, r.d)
	if err != nil {
		return err
	}
	for range measuredRequests {
		for target, address := range targets {
			a := load.Send(ctx, client, http.MethodGet, "http://"+address+"/probe", "")
			if a.Status != http.StatusOK {
				return fmt.Errorf("probe through %s: status %d, %s %s", address, a.Status, a.Reason, a.Err)
			}
			took[target] = append(took[target], a.Took)
		}
	}
	after, err := measureUsage(ctx, r.d)
	if err != nil {
		return err
	}
	throughNodes := float64(measuredRequests * (len(targets) - 1))
	median := func(target int) float64 { return millis(quantile(took[target], 0.5)) }
	p99 := func(target int) float64 { return millis(quantile(took[target], 0.99)) }
	r.report.Added = AddedLatency{
		DirectMedianMS: median(0), DirectP99MS: p99(0),
		OneMedianMS: median(1) - median(0), OneP99MS: p99(1) - p99(0),
		TwoMedianMS: median(2) - median(0), TwoP99MS: p99(2) - p99(0),
		CPUMicros: float64((after.cpu - before.cpu).Microseconds()) / throughNodes,
	}
	return nil
}

// measureGoodput offers one service twice the load that its backend servers can
// serve.
func (r *benchmark) measureGoodput(ctx context.Context) error {
	const (
		servers  = 2
		slowWork = 20 * time.Millisecond
		seconds  = 5
		overload = 2
	)
	hosts := r.d.Hosts(r.site.DataCentres[0])
	for i := range servers {
		if _, err := r.d.AddBackend(hosts[i], deployment.BackendOptions{Service: "target", Version: "v1", Slots: r.site.Slots, WorkTime: slowWork}); err != nil {
			return err
		}
	}
	if err := deployment.WaitEndpoints(ctx, r.d.Hosts(""), "target", servers, maxSettleTime); err != nil {
		return err
	}
	capacity := float64(servers*r.site.Slots) / slowWork.Seconds()
	plan := load.Plan{Addresses: r.callerAddresses(), Method: http.MethodGet, Path: "/target", RequestsPerSecond: overload * capacity, Requests: int(overload * capacity * seconds), Workers: 256, Timeout: requestTimeout}
	began := time.Now()
	result := load.Run(ctx, plan)
	took := time.Since(began).Seconds()
	r.report.Goodput = Goodput{
		CapacityPerSecond: capacity,
		OfferedPerSecond:  float64(len(result.Answers)) / took,
		AnsweredPerSecond: float64(result.Succeeded()) / took,
		Refused:           result.Failures(),
	}
	return nil
}

func (r *benchmark) callerAddresses() []string {
	var addresses []string
	for _, h := range r.d.Hosts("") {
		addresses = append(addresses, h.CallerAddress())
	}
	return addresses
}

// measureBookings sends bookings with idempotency keys while a node is killed and
// restarted, and then sends each booking again to the next node.
func (r *benchmark) measureBookings(ctx context.Context) error {
	const bookings = 300
	tool, cleanUp, err := newOperatorTool(r.d)
	if err != nil {
		return err
	}
	defer cleanUp()
	if _, _, err := r.rollOutRevision(ctx, tool, 1000); err != nil {
		return err
	}
	service := r.site.Services[1].Name
	done := make(chan load.Result, 1)
	plan := load.Plan{Addresses: r.callerAddresses(), Method: http.MethodPost, Path: "/" + service, IdempotencyKeys: true, RequestsPerSecond: 100, Requests: bookings, Workers: 32, Timeout: requestTimeout}
	go func() { done <- load.Run(ctx, plan) }()
	time.Sleep(time.Second)
	killed := r.d.Hosts("")[len(r.d.Hosts(""))-1]
	killed.Node.Kill()
	if err := r.d.StartNode(killed); err != nil {
		return err
	}
	result := <-done
	client := load.NewClient(requestTimeout)
	defer client.CloseIdleConnections()
	for i, a := range result.Answers {
		load.Send(ctx, client, http.MethodPost, "http://"+plan.Addresses[(i+1)%len(plan.Addresses)]+plan.Path, a.Key)
	}
	runs, err := r.d.Runs(service)
	if err != nil {
		return err
	}
	counts := make(map[string]int)
	maxRuns := 0
	for _, run := range runs {
		counts[run.Key]++
		maxRuns = max(maxRuns, counts[run.Key])
	}
	r.report.Bookings = Bookings{Sent: bookings, Answered: result.Succeeded(), MostRuns: maxRuns}
	return nil
}

// MoveSummary summarises the moves to good and to bad versions. BadRolledBack counts
// the bad versions that were rolled back (taken_back in the figures). Of the requests
// to the services that moved to a bad version, BadPermille is the share that ran on
// that version, in the worst round.
type MoveSummary struct {
	Good          int     `json:"good"`
	GoodInTime    int     `json:"good_in_time"`
	Bad           int     `json:"bad"`
	BadRolledBack int     `json:"bad_taken_back"`
	BadPermille   float64 `json:"bad_share_permille"`
	WorstAfterMS  int64   `json:"worst_after_fault_ms"`
	// BytesPerSecond is the average control traffic of a node during the moves,
	// in the worst round.
	BytesPerSecond float64                 `json:"bytes_per_second"`
	All            []experiment.MoveResult `json:"all"`
}

// measureMoves runs rounds of moves. A round runs all scenarios at the same time.
func (r *benchmark) measureMoves(ctx context.Context) error {
	rounds := defaultMoveRounds
	if r.short {
		rounds = 1
	}
	for round := range rounds {
		before, err := measureUsage(ctx, r.d)
		if err != nil {
			return err
		}
		results, err := r.runMoves(ctx, round)
		if err != nil {
			return err
		}
		after, err := measureUsage(ctx, r.d)
		if err != nil {
			return err
		}
		r.report.Moves.add(results)
		bytes := (after.bytes - before.bytes) / float64(len(r.d.Hosts(""))) / after.at.Sub(before.at).Seconds()
		r.report.Moves.BytesPerSecond = max(r.report.Moves.BytesPerSecond, bytes)
	}
	return nil
}

// runMoves runs one round of moves: one for each bad scenario, four for each good
// scenario.
func (r *benchmark) runMoves(ctx context.Context, round int) ([]experiment.MoveResult, error) {
	const goodCopies = 4
	m := &experiment.Moves{Deployment: r.d, DataCentres: r.site.DataCentres, Seconds: moveSeconds, PerSecond: movePerSecond, Round: 2*round + 1}
	for name, move := range experiment.Scenarios() {
		copies := 1
		if !move.Bad {
			copies = goodCopies
		}
		for i := range copies {
			move.Scenario = name
			move.Service = fmt.Sprintf("m%d-%s-%d", round, name, i)
			m.Moves = append(m.Moves, move)
		}
	}
	r.printf("running %d moves", len(m.Moves))
	return m.Run(ctx)
}

func (m *MoveSummary) add(results []experiment.MoveResult) {
	requests, bad := 0, 0
	for _, r := range results {
		m.All = append(m.All, r)
		if !r.Bad {
			m.Good++
			if r.AsExpected() {
				m.GoodInTime++
			}
			continue
		}
		m.Bad++
		requests += r.Requests
		bad += r.NewRequests
		m.WorstAfterMS = max(m.WorstAfterMS, r.LastAfterMS)
		if r.AsExpected() {
			m.BadRolledBack++
		}
	}
	if requests > 0 {
		m.BadPermille = max(m.BadPermille, 1000*float64(bad)/float64(requests))
	}
}
