// Package bench measures convergence, control cost, added latency, goodput and
// moves on deployments of the sizes that the users run.
package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/deployment"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/faultproxy"
)

const (
	maxSettleTime        = 12 * time.Second
	crossDataCentreDelay = 1500 * time.Microsecond
	idleMeasureTime      = 8 * time.Second
	work                 = 2 * time.Millisecond
	requestTimeout       = 5 * time.Second
	defaultChanges       = 20
	shortChanges         = 5
	defaultMoveRounds    = 2
	moveSeconds          = 12
	movePerSecond        = 30
	measuredRequests     = 1500
)

// Service is one service of a deployment and its backend servers.
type Service struct {
	Name      string
	Instances int
}

// Site describes a deployment of the size that one of the users runs.
type Site struct {
	Name        string
	DataCentres []string
	Services    []Service
	Slots       int
}

// Sites returns the deployments that can be measured.
func Sites() []Site {
	return []Site{
		{Name: "ndiaye", DataCentres: []string{"plateau", "almadies", "rufisque"}, Slots: 6, Services: []Service{{"quote", 5}, {"booking", 4}, {"archive", 3}}},
		{Name: "authority", DataCentres: []string{"mombasa", "kilifi", "malindi"}, Slots: 9, Services: []Service{{"stock", 4}, {"ordering", 3}, {"ledger", 5}}},
	}
}

// Options selects what is measured. An empty Site stands for all sites, Short
// reduces the number of releases and moves, and JSON is the file for the reports
// (none if empty).
type Options struct {
	Site  string
	Short bool
	JSON  string
}

// Report holds all figures of one site.
type Report struct {
	Site        string       `json:"site"`
	Nodes       int          `json:"nodes"`
	Convergence Convergence  `json:"convergence"`
	Control     ControlCost  `json:"control"`
	Moves       MoveSummary  `json:"moves"`
	Added       AddedLatency `json:"added"`
	Goodput     Goodput      `json:"goodput"`
	Bookings    Bookings     `json:"bookings"`
}

// benchmark measures one site.
type benchmark struct {
	out    io.Writer
	site   Site
	short  bool
	d      *deployment.Deployment
	report Report
}

// Run measures the chosen sites, prints a table for each and writes the reports
// as JSON.
func Run(ctx context.Context, binaries deployment.Binaries, out io.Writer, o Options) error {
	var reports []Report
	for _, site := range Sites() {
		if o.Site != "" && o.Site != site.Name {
			continue
		}
		r := &benchmark{out: out, site: site, short: o.Short}
		if err := r.measure(ctx, binaries); err != nil {
			return fmt.Errorf("%s: %w", site.Name, err)
		}
		reports = append(reports, r.report)
		r.report.print(out)
	}
	if o.JSON == "" {
		return nil
	}
	data, err := json.MarshalIndent(reports, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(o.JSON, append(data, '\n'), 0o644)
}

func (r *benchmark) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%s: %s\n", r.site.Name, fmt.Sprintf(format, args...))
}

func (r *benchmark) measure(ctx context.Context, binaries deployment.Binaries) error {
	dir, err := os.MkdirTemp("", "hibiscusrock-bench-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d, stop, err := deployment.New(dir, binaries, r.site.DataCentres)
	if err != nil {
		return err
	}
	defer stop()
	r.d = d
	steps := []func(context.Context) error{r.start, r.measureConvergence, r.measureAdded, r.measureGoodput, r.measureBookings, r.measureMoves}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// start starts a host for each backend server, with delays between data centres.
func (r *benchmark) start(ctx context.Context) error {
	r.report.Site = r.site.Name
	started := 0
	for _, service := range r.site.Services {
		for range service.Instances {
			dataCentre := r.site.DataCentres[started%len(r.site.DataCentres)]
			h, err := r.d.AddHost(dataCentre)
			if err != nil {
				return err
			}
			r.addDelays(h)
			if _, err := r.d.AddBackend(h, deployment.BackendOptions{Service: service.Name, Version: "v1", Slots: r.site.Slots, WorkTime: work}); err != nil {
				return err
			}
			started++
		}
	}
	r.report.Nodes = started
	r.printf("started %d hosts", started)
	return deployment.WaitMembers(ctx, r.d.Hosts(""), started, maxSettleTime)
}

// addDelays delays the connections to a host from other data centres.
func (r *benchmark) addDelays(h *deployment.Host) {
	for _, other := range r.site.DataCentres {
		if other != h.DataCentre {
			h.Proxy.SetFaultsFrom(r.d.AddressPrefix(other), faultproxy.Faults{Delay: crossDataCentreDelay})
		}
	}
}

// bundle returns the site's bundle; revision makes each one different.
func (r *benchmark) bundle(revision int) string {
	services, routes := "", ""
	for i, s := range r.site.Services {
		if i > 0 {
			services += ", "
			routes += ", "
		}
		queue := 16
		if i == 0 {
			queue += revision
		}
		services += fmt.Sprintf(`%q: {"share_percent": {"v1": 100}, "queue_length": %d}`, s.Name, queue)
		routes += fmt.Sprintf(`{"name": %q, "path_prefix": "/%s", "service": %q}`, s.Name, s.Name, s.Name)
	}
	names, _ := json.Marshal(r.site.DataCentres)
	return fmt.Sprintf(`{"name": "bench", "data_centres": %s, "services": {%s}, "routes": [%s]}`, names, services, routes)
}

// quantile returns the q-quantile of values, or 0 if there are none. It sorts
// values in place.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
