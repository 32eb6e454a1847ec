package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/catalog"
	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/keys"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/deployment"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
)

// clockTicksPerSecond is the unit of the CPU times in /proc/PID/stat (USER_HZ).
const clockTicksPerSecond = 100

// Convergence is the time from the start of a rollout until it is in force, over all nodes and releases.
type Convergence struct {
	Releases int     `json:"releases"`
	MedianMS float64 `json:"median_ms"`
	P99MS    float64 `json:"p99_ms"`
	WorstMS  float64 `json:"worst_ms"`
}

// ControlCost is the cost of control. Bytes, CPU and memory are averages for each
// node; platform calls are those of all nodes. Rest is an idle time, in which no
// release starts.
type ControlCost struct {
	// Bytes count what a node sends and receives on all its control connections.
	RestBytesPerSecond    float64            `json:"rest_bytes_per_second"`
	BytesPerChange        float64            `json:"bytes_per_change"`
	RestCPUPercent        float64            `json:"rest_cpu_percent"`
	CPUMillisPerChange    float64            `json:"cpu_ms_per_change"`
	ResidentMegabytes     float64            `json:"resident_megabytes"`
	PlatformCallsPerSec   map[string]float64 `json:"platform_calls_per_second"`
	PlatformCallsAtChange map[string]float64 `json:"platform_calls_per_change"`
}

// usage holds the totals over all nodes: control bytes and CPU time since their
// start, resident megabytes now, and platform calls by method.
type usage struct {
	bytes    float64
	cpu      time.Duration
	resident float64
	calls    map[string]int
	at       time.Time
}

// measureUsage adds up the usage of all nodes.
func measureUsage(ctx context.Context, d *deployment.Deployment) (usage, error) {
	u := usage{at: time.Now()}
	for _, h := range d.Hosts("") {
		s, err := h.State(ctx)
		if err != nil {
			return u, err
		}
		// A node counts the bytes on the connections that it opened. Each byte
		// has a sender and a receiver, so it counts twice over the fleet.
		u.bytes += 2 * float64(s.Traffic.Sent+s.Traffic.Received)
		cpu, resident, err := processUsage(h.Node.PID())
		if err != nil {
			return u, err
		}
		u.cpu += cpu
		u.resident += resident
	}
	var err error
	u.calls, err = d.PlatformCounts()
	return u, err
}

// processUsage returns the CPU time and the resident megabytes of a process.
func processUsage(pid int) (time.Duration, float64, error) {
	// Indexes of the fields after the command name. The system time follows utime.
	const utime, resident = 11, 21
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	text := string(data)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	user, _ := strconv.Atoi(fields[utime])
	system, _ := strconv.Atoi(fields[utime+1])
	pages, _ := strconv.Atoi(fields[resident])
	return time.Duration(user+system) * time.Second / clockTicksPerSecond, float64(pages*os.Getpagesize()) / (1 << 20), nil
}

// callsSince returns the calls of each method between two measurements, divided
// by per. Methods without calls are left out.
func callsSince(now, before usage, per float64) map[string]float64 {
	calls := make(map[string]float64)
	for method, n := range now.calls {
		if increase := n - before.calls[method]; increase > 0 {
			calls[method] = float64(increase) / per
		}
	}
	return calls
}

// operatorTool puts, signs and starts releases in this process; the operators'
// command line would need a process for each step.
type operatorTool struct {
	catalog *catalog.Catalog
	key     *keys.Key
}

func newOperatorTool(d *deployment.Deployment) (*operatorTool, func(), error) {
	key, err := keys.Load(d.KeyFile())
	if err != nil {
		return nil, nil, err
	}
	client, cleanUp := store.NewClient(common.New(), []string{d.PlatformAddress()}, store.WithTimeout(maxSettleTime))
	return &operatorTool{catalog: catalog.New(client), key: key}, cleanUp, nil
}

// rollOut rolls out a bundle and returns its sequence and the time just before
// the rollout started.
func (o *operatorTool) rollOut(ctx context.Context, text string) (uint64, time.Time, error) {
	b, err := bundle.Parse("bench", []byte(text))
	if err != nil {
		return 0, time.Time{}, err
	}
	document, err := o.catalog.Put(ctx, b, "bench", time.Now())
	if err != nil {
		return 0, time.Time{}, err
	}
	if _, err := o.catalog.Sign(ctx, document.ID(), o.key); err != nil {
		return 0, time.Time{}, err
	}
	began := time.Now()
	_, err = o.catalog.Start(ctx, document.ID())
	return document.Sequence(), began, err
}

func (r *benchmark) measureConvergence(ctx context.Context) error {
	tool, cleanUp, err := newOperatorTool(r.d)
	if err != nil {
		return err
	}
	defer cleanUp()
	if _, _, err := r.rollOutRevision(ctx, tool, 0); err != nil {
		return err
	}
	idleStart, err := measureUsage(ctx, r.d)
	if err != nil {
		return err
	}
	time.Sleep(idleMeasureTime)
	before, err := measureUsage(ctx, r.d)
	if err != nil {
		return err
	}
	changes := defaultChanges
	if r.short {
		changes = shortChanges
	}
	began := make(map[uint64]time.Time)
	for i := range changes {
		sequence, at, err := r.rollOutRevision(ctx, tool, i+1)
		if err != nil {
			return err
		}
		began[sequence] = at
	}
	after, err := measureUsage(ctx, r.d)
	if err != nil {
		return err
	}
	r.report.Control = controlCost(idleStart, before, after, len(r.d.Hosts("")), changes)
	r.report.Convergence, err = convergence(r.d, began)
	return err
}

// rollOutRevision rolls out one revision of the site's bundle and waits until it
// is in force on all nodes.
func (r *benchmark) rollOutRevision(ctx context.Context, tool *operatorTool, revision int) (uint64, time.Time, error) {
	sequence, began, err := tool.rollOut(ctx, r.bundle(revision))
	if err != nil {
		return 0, began, err
	}
	_, err = deployment.WaitEnforced(ctx, r.d.Hosts(""), sequence, maxSettleTime)
	return sequence, began, err
}

// controlCost returns the cost of control. No release starts between idleStart
// and before; the cost of that time is subtracted from the cost of the changes
// between before and after.
func controlCost(idleStart, before, after usage, nodes, changes int) ControlCost {
	n := float64(nodes)
	idleTime := before.at.Sub(idleStart.at)
	changeTime := after.at.Sub(before.at)
	idleBytesPerSecond := (before.bytes - idleStart.bytes) / n / idleTime.Seconds()
	idleCPU := (before.cpu - idleStart.cpu).Seconds() / n / idleTime.Seconds()
	return ControlCost{
		RestBytesPerSecond:    idleBytesPerSecond,
		RestCPUPercent:        100 * idleCPU,
		BytesPerChange:        ((after.bytes-before.bytes)/n - idleBytesPerSecond*changeTime.Seconds()) / float64(changes),
		CPUMillisPerChange:    ((after.cpu-before.cpu).Seconds()/n - idleCPU*changeTime.Seconds()) * 1000 / float64(changes),
		ResidentMegabytes:     after.resident / n,
		PlatformCallsPerSec:   callsSince(before, idleStart, idleTime.Seconds()),
		PlatformCallsAtChange: callsSince(after, before, float64(changes)),
	}
}

// convergence reads from the nodes' logs when each release came into force, and
// compares this with the time at which its rollout began.
func convergence(d *deployment.Deployment, began map[uint64]time.Time) (Convergence, error) {
	var took []time.Duration
	for _, h := range d.Hosts("") {
		for line := range strings.SplitSeq(h.Node.Log(), "\n") {
			var entry struct {
				Message  string    `json:"msg"`
				Sequence uint64    `json:"sequence"`
				Time     time.Time `json:"time"`
			}
			if json.Unmarshal([]byte(line), &entry) != nil || entry.Message != "release in force" {
				continue
			}
			if at, ok := began[entry.Sequence]; ok {
				took = append(took, entry.Time.Sub(at))
			}
		}
	}
	return Convergence{
		Releases: len(began),
		MedianMS: millis(quantile(took, 0.5)),
		P99MS:    millis(quantile(took, 0.99)),
		WorstMS:  millis(quantile(took, 1)),
	}, nil
}
