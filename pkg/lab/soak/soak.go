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
	// forceLimit is the time in which a release is in force everywhere.
	forceLimit = 12 * time.Second
	startLimit = 15 * time.Second
	// settleTime is the time after the last fault in which nodes find each other.
	settleTime = 5 * time.Second
	slots      = 6
	work       = 4 * time.Millisecond
	// calmCalls are sent when all is over; each has to be answered.
	calmCalls     = 60
	calmPerSecond = 60
	calmWorkers   = 8
)

// Options describe a soak.
type Options struct {
	Seed         uint64
	Length       time.Duration
	DataCentres  []string
	HostsPerSite int
	// Dir keeps the processes' settings and logs.
	Dir string
}

// Report is what a soak found.
type Report struct {
	Seed       uint64   `json:"seed"`
	Entries    int      `json:"entries"`
	Calls      int      `json:"calls"`
	Served     int      `json:"served"`
	Violations []string `json:"violations"`
}

// String returns the report in a line, and one for each violation.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d entries, %d of %d requests served, %d violations\n", r.Seed, r.Entries, r.Served, r.Calls, len(r.Violations))
	for _, v := range r.Violations {
		b.WriteString("  " + v + "\n")
	}
	return b.String()
}

func backendOptions(service string) deployment.BackendOptions {
	return deployment.BackendOptions{Service: service, Version: "v1", Slots: slots, Work: work}
}

// Run plays one seed. All processes that it started have ended when it returns.
func Run(ctx context.Context, binaries deployment.Binaries, o Options) (Report, error) {
	d, stop, err := deployment.New(o.Dir, binaries, o.DataCentres)
	if err != nil {
		return Report{}, err
	}
	defer stop()
	j := &journal{}
	r := &releases{deployment: d, dataCentres: o.DataCentres, journal: j}
	if err := startFleet(ctx, d, r, o); err != nil {
		return Report{}, err
	}
	hosts := d.Hosts("")
	entries := NewSchedule(o.Seed, len(hosts), o.Length)
	c := &callers{hosts: hosts}
	s := &striker{deployment: d, hosts: hosts, busy: make([]sync.Mutex, len(hosts)), releases: r, journal: j}
	play(ctx, s, c, entries)
	r.enforceLast(ctx, hosts, forceLimit)
	checkCalm(ctx, j, hosts)
	check, err := newChecker(j, d)
	if err != nil {
		return Report{}, err
	}
	check.checkCalls(c.calls)
	check.checkLeaves()
	return newReport(o.Seed, entries, c.calls, j), nil
}

// play strikes all entries while callers send and the releases are watched.
func play(ctx context.Context, s *striker, c *callers, entries []Entry) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		c.run(ctx)
	}()
	for _, h := range s.hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.releases.watch(ctx, h)
		}()
	}
	s.run(ctx, entries)
	common.Sleep(ctx, settleTime)
	cancel()
	wg.Wait()
}

// startFleet starts all hosts with a backend server each, half of the hosts of
// a data centre for each service.
func startFleet(ctx context.Context, d *deployment.Deployment, r *releases, o Options) error {
	for _, dataCentre := range o.DataCentres {
		for range o.HostsPerSite {
			if _, err := d.AddHost(dataCentre); err != nil {
				return err
			}
		}
	}
	hosts := d.Hosts("")
	if err := deployment.WaitMembers(ctx, hosts, len(hosts), startLimit); err != nil {
		return err
	}
	r.start(ctx)
	if _, err := deployment.WaitEnforced(ctx, hosts, r.newest, startLimit); err != nil {
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
		if err := deployment.WaitEndpoints(ctx, hosts, service, n, startLimit); err != nil {
			return err
		}
	}
	return nil
}

// checkCalm checks that every node serves once all faults are over.
func checkCalm(ctx context.Context, j *journal, hosts []*deployment.Host) {
	var addresses []string
	for _, h := range hosts {
		addresses = append(addresses, h.CallerAddress())
	}
	result := load.Run(ctx, load.Plan{
		Addresses: addresses, Method: http.MethodGet, Path: "/" + quoteService + "/calm",
		PerSecond: calmPerSecond, Requests: calmCalls, Workers: calmWorkers, Timeout: callTimeout,
	})
	if result.Succeeded() != calmCalls {
		j.violate("%d of %d requests served after all faults: %v", result.Succeeded(), calmCalls, result.Failures())
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

// WriteSchedule prints the entries of a seed.
func WriteSchedule(w io.Writer, entries []Entry) error {
	for _, e := range entries {
		if _, err := fmt.Fprintf(w, "%6.2f s  %-16s host %d for %v\n", e.At.Seconds(), e.Kind, e.Host, e.For.Round(time.Millisecond)); err != nil {
			return err
		}
	}
	return nil
}
