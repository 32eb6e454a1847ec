package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/deployment"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/load"
)

const (
	// maxEnforceTime is the time within which all nodes must enforce a release.
	maxEnforceTime = 12 * time.Second
	maxStartTime   = 15 * time.Second
	// settleTime is the time after the last entry in which the nodes find each
	// other again.
	settleTime = 5 * time.Second
	slots      = 6
	work       = 4 * time.Millisecond
	// recoveryCalls is the number of requests sent after all faults have ended.
	// Each must be served.
	recoveryCalls     = 60
	recoveryPerSecond = 60
	recoveryWorkers   = 8
)

// Options configures a soak.
type Options struct {
	Seed               uint64
	Length             time.Duration
	DataCentres        []string
	HostsPerDataCentre int
	// Dir holds the settings and logs of all processes.
	Dir string
}

// Report holds the counts and violations of one soak.
type Report struct {
	Seed       uint64   `json:"seed"`
	Entries    int      `json:"entries"`
	Calls      int      `json:"calls"`
	Served     int      `json:"served"`
	Violations []string `json:"violations"`
}

// String returns a summary line, followed by a line for each violation.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d entries, %d of %d requests served, %d violations\n", r.Seed, r.Entries, r.Served, r.Calls, len(r.Violations))
	for _, v := range r.Violations {
		b.WriteString("  " + v + "\n")
	}
	return b.String()
}

func backendOptions(service string) deployment.BackendOptions {
	return deployment.BackendOptions{Service: service, Version: "v1", Slots: slots, WorkTime: work}
}

// Run runs the schedule of one seed on a new deployment. All processes that it
// started have ended when it returns.
func Run(ctx context.Context, binaries deployment.Binaries, o Options) (Report, error) {
	d, stop, err := deployment.New(o.Dir, binaries, o.DataCentres)
	if err != nil {
		return Report{}, err
	}
	defer stop()
	j := &journal{}
	r := &releaser{deployment: d, dataCentres: o.DataCentres, journal: j}
	if err := startFleet(ctx, d, r, o); err != nil {
		return Report{}, err
	}
	hosts := d.Hosts("")
	entries := NewSchedule(o.Seed, len(hosts), o.Length)
	c := &callers{hosts: hosts}
	injector := &faultInjector{deployment: d, hosts: hosts, hostLocks: make([]sync.Mutex, len(hosts)), releases: r, journal: j}
	runSchedule(ctx, injector, c, entries)
	r.checkFinalRelease(ctx, hosts, maxEnforceTime)
	checkRecovery(ctx, j, hosts)
	check, err := newChecker(j, d)
	if err != nil {
		return Report{}, err
	}
	check.checkCalls(c.calls)
	check.checkDrains()
	return newReport(o.Seed, entries, c.calls, j), nil
}

// runSchedule injects all entries while callers send requests and the release
// sequence of each host is watched.
func runSchedule(ctx context.Context, injector *faultInjector, c *callers, entries []Entry) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		c.run(ctx)
	}()
	for _, h := range injector.hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			injector.releases.watchSequence(ctx, h)
		}()
	}
	injector.run(ctx, entries)
	common.Sleep(ctx, settleTime)
	cancel()
	wg.Wait()
}

// startFleet starts all hosts and a backend server on each. The two services
// alternate from host to host, so that each runs on about half of the hosts of a
// data centre.
func startFleet(ctx context.Context, d *deployment.Deployment, r *releaser, o Options) error {
	for _, dataCentre := range o.DataCentres {
		for range o.HostsPerDataCentre {
			if _, err := d.AddHost(dataCentre); err != nil {
				return err
			}
		}
	}
	hosts := d.Hosts("")
	if err := deployment.WaitMembers(ctx, hosts, len(hosts), maxStartTime); err != nil {
		return err
	}
	r.rollOutNext(ctx)
	if _, err := deployment.WaitEnforced(ctx, hosts, r.newestSequence, maxStartTime); err != nil {
		return err
	}
	counts := make(map[string]int)
	for i, h := range hosts {
		service := []string{quoteService, orderService}[i%2]
		counts[service]++
		if _, err := d.AddBackend(h, backendOptions(service)); err != nil {
			return err
		}
	}
	for service, n := range counts {
		if err := deployment.WaitEndpoints(ctx, hosts, service, n, maxStartTime); err != nil {
			return err
		}
	}
	return nil
}

// checkRecovery checks that every node serves requests after all faults have
// ended.
func checkRecovery(ctx context.Context, j *journal, hosts []*deployment.Host) {
	var addresses []string
	for _, h := range hosts {
		addresses = append(addresses, h.CallerAddress())
	}
	result := load.Run(ctx, load.Plan{
		Addresses: addresses, Method: http.MethodGet, Path: "/" + quoteService + "/calm",
		RequestsPerSecond: recoveryPerSecond, Requests: recoveryCalls, Workers: recoveryWorkers, Timeout: callTimeout,
	})
	if result.Succeeded() != recoveryCalls {
		j.recordViolation("%d of %d requests served after all faults: %v", result.Succeeded(), recoveryCalls, result.Failures())
	}
}

func newReport(seed uint64, entries []Entry, calls []call, j *journal) Report {
	report := Report{Seed: seed, Entries: len(entries), Calls: len(calls), Violations: j.violations}
	for _, a := range calls {
		if a.Status == http.StatusOK && a.Err == "" {
			report.Served++
		}
	}
	return report
}

// WriteSchedule writes one line for each entry.
func WriteSchedule(w io.Writer, entries []Entry) error {
	for _, e := range entries {
		if _, err := fmt.Fprintf(w, "%6.2f s  %-16s host %d for %v\n", e.At.Seconds(), e.Kind, e.Host, e.Duration.Round(time.Millisecond)); err != nil {
			return err
		}
	}
	return nil
}
