// Package demo runs the system once from end to end: a deployment of three data
// centres, a bundle that is signed and rolled out, callers' requests, and a move
// of traffic to a new version.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/deployment"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/load"
)

const (
	demoTimeout     = 50 * time.Second
	moveSeconds     = 12
	maxConvergeTime = 12 * time.Second
	slots           = 6
	work            = 2 * time.Millisecond
	requestTimeout  = 5 * time.Second
)

var services = []struct {
	name      string
	instances int
}{{"quote", 5}, {"booking", 4}, {"archive", 3}}

// Bundle returns the bundle of the demo; move is the JSON of a move of the
// quote service, or empty.
func Bundle(move string) string {
	if move != "" {
		move = `, "move": ` + move
	}
	return `{
  // Quotes are read all day; a booking must run at most once.
  "name": "downsizing",
  "data_centres": ["plateau", "almadies", "rufisque"],
  "services": {
    "quote": {"share_percent": {"v1": 100}` + move + `},
    "booking": {"share_percent": {"v1": 100}},
    "archive": {"share_percent": {"v1": 100}},
  },
  "routes": [
    {"name": "quotes", "path_prefix": "/quotes", "methods": ["GET"], "service": "quote"},
    {"name": "bookings", "path_prefix": "/bookings", "methods": ["POST"], "service": "booking"},
    {"name": "archive", "path_prefix": "/archive", "service": "archive", "timeout_ms": 5000},
  ],
}
`
}

// demo holds the state of one run.
type demo struct {
	out   io.Writer
	d     *deployment.Deployment
	began time.Time
}

func (m *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(m.out, "%6.1fs  %s\n", time.Since(m.began).Seconds(), fmt.Sprintf(format, args...))
}

// Run runs the demo and prints its progress. The logs of all processes are kept
// if a step fails.
func Run(ctx context.Context, binaries deployment.Binaries, out io.Writer) (err error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "hibiscusrock-demo-")
	if err != nil {
		return err
	}
	m := &demo{out: out, began: time.Now()}
	defer func() {
		if err != nil {
			m.printf("failed; the logs of all processes are in %s", dir)
			return
		}
		_ = os.RemoveAll(dir)
	}()
	m.printf("starting the stand-in platform")
	d, stop, err := deployment.New(dir, binaries, []string{"plateau", "almadies", "rufisque"})
	if err != nil {
		return err
	}
	defer stop()
	m.d = d
	for _, step := range []func(context.Context) error{m.startHosts, m.rollOut, m.sendRequests, m.move} {
		if err = step(ctx); err != nil {
			return err
		}
	}
	m.printf("stopping everything")
	return nil
}

func (m *demo) startHosts(ctx context.Context) error {
	dataCentres := []string{"plateau", "almadies", "rufisque"}
	started := 0
	for _, service := range services {
		for range service.instances {
			if err := m.startHost(dataCentres[started%len(dataCentres)], service.name); err != nil {
				return err
			}
			started++
		}
	}
	m.printf("started %d hosts, each with a node and a backend server", started)
	return deployment.WaitMembers(ctx, m.d.Hosts(""), started, maxConvergeTime)
}

func (m *demo) startHost(dataCentre, service string) error {
	h, err := m.d.AddHost(dataCentre)
	if err != nil {
		return err
	}
	_, err = m.d.AddBackend(h, deployment.BackendOptions{Service: service, Version: "v1", Slots: slots, WorkTime: work})
	return err
}

func (m *demo) rollOut(ctx context.Context) error {
	m.printf("checking, putting, signing and starting the bundle with the operators' command line")
	sequence, err := m.d.RollOut(ctx, Bundle(""))
	if err != nil {
		return err
	}
	took, err := deployment.WaitEnforced(ctx, m.d.Hosts(""), sequence, maxConvergeTime)
	if err != nil {
		return err
	}
	m.printf("release %d is in force on all %d nodes after %v", sequence, len(m.d.Hosts("")), took.Round(time.Millisecond))
	for _, service := range services {
		if err := deployment.WaitEndpoints(ctx, m.d.Hosts(""), service.name, service.instances, maxConvergeTime); err != nil {
			return err
		}
	}
	return nil
}

func (m *demo) entryAddresses() []string {
	return []string{m.d.Hosts("plateau")[0].CallerAddress(), m.d.Hosts("rufisque")[1].CallerAddress()}
}

func (m *demo) sendRequests(ctx context.Context) error {
	for _, plan := range []load.Plan{
		{Method: http.MethodGet, Path: "/quotes/42"},
		{Method: http.MethodPost, Path: "/bookings", IdempotencyKeys: true},
	} {
		plan.Addresses = m.entryAddresses()
		plan.RequestsPerSecond, plan.Requests, plan.Workers, plan.Timeout = 200, 200, 8, requestTimeout
		result := load.Run(ctx, plan)
		m.printf("%s %s: %d of %d answered, median %v, 99 in 100 within %v", plan.Method, plan.Path, result.Succeeded(), plan.Requests,
			result.Quantile(0.5).Round(10*time.Microsecond), result.Quantile(0.99).Round(10*time.Microsecond))
		if result.Succeeded() != plan.Requests {
			return fmt.Errorf("%s %s: not all requests succeeded: %v", plan.Method, plan.Path, result.Failures())
		}
	}
	return m.checkBookings()
}

// checkBookings checks by the records of the backend servers that each booking
// ran exactly once.
func (m *demo) checkBookings() error {
	records, err := m.d.Runs("booking")
	if err != nil {
		return err
	}
	runs := make(map[string]int)
	for _, r := range records {
		runs[r.Key]++
	}
	for key, n := range runs {
		if n != 1 {
			return fmt.Errorf("booking %s ran %d times, want once", key, n)
		}
	}
	m.printf("%d bookings ran, each exactly once", len(runs))
	return nil
}

func (m *demo) move(ctx context.Context) error {
	for _, dataCentre := range []string{"plateau", "almadies", "rufisque"} {
		if _, err := m.d.AddBackend(m.d.Hosts(dataCentre)[0], deployment.BackendOptions{Service: "quote", Version: "v2", Slots: slots, WorkTime: work}); err != nil {
			return err
		}
	}
	m.printf("started a backend server of quote v2 in each data centre; moving traffic within %d s", moveSeconds)
	traffic := make(chan load.Result, 1)
	go func() {
		var addresses []string
		for _, h := range m.d.Hosts("") {
			addresses = append(addresses, h.CallerAddress())
		}
		traffic <- load.Run(ctx, load.Plan{Addresses: addresses, Method: http.MethodGet, Path: "/quotes/7", RequestsPerSecond: 300, Requests: 300 * (moveSeconds + 2), Workers: 16, Timeout: requestTimeout})
	}()
	began := time.Now()
	if _, err := m.d.RollOut(ctx, Bundle(fmt.Sprintf(`{"to": "v2", "complete_within_seconds": %d}`, moveSeconds))); err != nil {
		return err
	}
	out, _, err := m.d.RunOperator(ctx, "rollout", "wait", "--timeout", "25s")
	if err != nil {
		return fmt.Errorf("rollout wait: %w: %s", err, out)
	}
	m.printf("the move ended after %v:\n%s", time.Since(began).Round(100*time.Millisecond), out)
	result := <-traffic
	m.printf("meanwhile %d of %d quotes answered; by version %v", result.Succeeded(), len(result.Answers), result.ByVersion())
	if result.Succeeded() != len(result.Answers) {
		return fmt.Errorf("quotes failed during the move: %v", result.Failures())
	}
	return nil
}
