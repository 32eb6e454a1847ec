package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/deployment"
)

const (
	slopeChanges       = 5
	slopeEndpoints     = 6
	maxSlopeSettleTime = 60 * time.Second
	propagationTime    = 3 * time.Second
)

// SizeReport holds the cost of control at one size of the fleet and of the bundle.
type SizeReport struct {
	Nodes    int         `json:"nodes"`
	Services int         `json:"services"`
	Control  ControlCost `json:"control"`
	// Convergence covers the changes after the first release.
	Convergence Convergence `json:"convergence"`
	// BytesPerEndpoint is the control traffic of each node for one announcement
	// of a backend server.
	BytesPerEndpoint float64 `json:"bytes_per_endpoint_change"`
}

// RunSizes measures each size in turn, prints a line for each and writes all as
// JSON to path (nowhere if empty).
func RunSizes(ctx context.Context, binaries deployment.Binaries, out io.Writer, sizes []SizeReport, path string) error {
	for i := range sizes {
		if err := sizes[i].measure(ctx, binaries); err != nil {
			return fmt.Errorf("%d nodes, %d services: %w", sizes[i].Nodes, sizes[i].Services, err)
		}
		s := sizes[i]
		_, _ = fmt.Fprintf(out, "%4d nodes %5d services: rest %6.0f B/s %.2f %% CPU; change %7.0f B %6.2f ms CPU, worst %5.0f ms; endpoint %5.0f B; %.1f MB; platform at rest %s; per change %s\n",
			s.Nodes, s.Services, s.Control.RestBytesPerSecond, s.Control.RestCPUPercent, s.Control.BytesPerChange, s.Control.CPUMillisPerChange,
			s.Convergence.WorstMS, s.BytesPerEndpoint, s.Control.ResidentMegabytes, rates(s.Control.PlatformCallsPerSec), rates(s.Control.PlatformCallsAtChange))
	}
	data, err := json.MarshalIndent(sizes, "", "  ")
	if err != nil || path == "" {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

func (s *SizeReport) measure(ctx context.Context, binaries deployment.Binaries) error {
	dir, err := os.MkdirTemp("", "hibiscusrock-slopes-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	dataCentres := Sites()[0].DataCentres
	d, stop, err := deployment.New(dir, binaries, dataCentres, deployment.WithoutProxies())
	if err != nil {
		return err
	}
	defer stop()
	for i := range s.Nodes {
		if _, err := d.AddHost(dataCentres[i%len(dataCentres)]); err != nil {
			return err
		}
	}
	if err := deployment.WaitMembers(ctx, d.Hosts(""), s.Nodes, maxSlopeSettleTime); err != nil {
		return err
	}
	if err := s.measureChanges(ctx, d); err != nil {
		return err
	}
	return s.measureEndpoints(ctx, d)
}

// bundle returns a bundle in which revision changes one service.
func (s *SizeReport) bundle(revision int) string {
	var services, routes []string
	for i := range s.Services {
		queue := 16
		if i == 0 {
			queue += revision
		}
		services = append(services, fmt.Sprintf(`"s%d": {"share_percent": {"v1": 100}, "queue_length": %d}`, i, queue))
		routes = append(routes, fmt.Sprintf(`{"name": "r%d", "path_prefix": "/s%d", "service": "s%d"}`, i, i, i))
	}
	return fmt.Sprintf(`{"name": "slope", "data_centres": ["%s"], "services": {%s}, "routes": [%s]}`,
		strings.Join(Sites()[0].DataCentres, `", "`), strings.Join(services, ", "), strings.Join(routes, ", "))
}

func (s *SizeReport) measureChanges(ctx context.Context, d *deployment.Deployment) error {
	tool, cleanUp, err := newOperatorTool(d)
	if err != nil {
		return err
	}
	defer cleanUp()
	began := make(map[uint64]time.Time)
	var idleStart, before usage
	for revision := range slopeChanges + 1 {
		sequence, at, err := tool.rollOut(ctx, s.bundle(revision))
		if err != nil {
			return err
		}
		if _, err := deployment.WaitEnforced(ctx, d.Hosts(""), sequence, maxSlopeSettleTime); err != nil {
			return err
		}
		if revision > 0 {
			began[sequence] = at
			continue
		}
		// The first release transfers the whole bundle. Only the changes after
		// it are measured.
		time.Sleep(propagationTime)
		if idleStart, err = measureUsage(ctx, d); err != nil {
			return err
		}
		time.Sleep(idleMeasureTime)
		if before, err = measureUsage(ctx, d); err != nil {
			return err
		}
	}
	time.Sleep(propagationTime)
	after, err := measureUsage(ctx, d)
	if err != nil {
		return err
	}
	s.Control = controlCost(idleStart, before, after, s.Nodes, slopeChanges)
	s.Convergence, err = convergence(d, began)
	return err
}

func (s *SizeReport) measureEndpoints(ctx context.Context, d *deployment.Deployment) error {
	before, err := measureUsage(ctx, d)
	if err != nil {
		return err
	}
	for i := range slopeEndpoints {
		h := d.Hosts("")[i%s.Nodes]
		if _, err := d.AddBackend(h, deployment.BackendOptions{Service: "s0", Version: "v1", Slots: 1, WorkTime: work}); err != nil {
			return err
		}
	}
	if err := deployment.WaitEndpoints(ctx, d.Hosts(""), "s0", slopeEndpoints, maxSlopeSettleTime); err != nil {
		return err
	}
	time.Sleep(propagationTime)
	after, err := measureUsage(ctx, d)
	if err != nil {
		return err
	}
	increase := (after.bytes-before.bytes)/float64(s.Nodes) - s.Control.RestBytesPerSecond*after.at.Sub(before.at).Seconds()
	s.BytesPerEndpoint = increase / slopeEndpoints
	return nil
}
