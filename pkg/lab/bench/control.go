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

const clockTicksPerSecond = 100

// Convergence is the time from the start of a rollout until it is in force, over all nodes and releases.
type Convergence struct {
	Releases int     `json:"releases"`
	MedianMS float64 `json:"median_ms"`
	P99MS    float64 `json:"p99_ms"`
	WorstMS  float64 `json:"worst_ms"`
}

// Control is the cost of control for each node.
type Control struct {
	// Bytes count what a node sends and receives on all its control connections.
	RestBytesPerSecond    float64            `json:"rest_bytes_per_second"`
	BytesPerChange        float64            `json:"bytes_per_change"`
	RestCPUPercent        float64            `json:"rest_cpu_percent"`
	CPUMillisPerChange    float64            `json:"cpu_ms_per_change"`
	ResidentMegabytes     float64            `json:"resident_megabytes"`
	PlatformCallsPerSec   map[string]float64 `json:"platform_calls_per_second"`
	PlatformCallsAtChange map[string]float64 `json:"platform_calls_per_change"`
}

// usage is what all nodes together used so far.
type usage struct {
	bytes    float64
	cpu      time.Duration
	resident float64
	calls    map[string]int
	at       time.Time
}

// Usage adds up what the nodes of hosts used so far.
func measureUsage(ctx context.Context, d *deployment.Deployment) (usage, error) {
	u := usage{at: time.Now()}
	for _, h := range d.Hosts("") {
		s, err := h.State(ctx)
		if err != nil {
			return u, err
		}
		// What one node sends on a connection another receives, so each byte
		// counts twice over the fleet.
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

// processUsage reads a process's processor time and resident megabytes.
func processUsage(pid int) (time.Duration, float64, error) {
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

func callsSince(now, before usage, per float64) map[string]float64 {
	calls := make(map[string]float64)
	for method, n := range now.calls {
		if grown := n - before.calls[method]; grown > 0 {
			calls[method] = float64(grown) / per
		}
	}
	return calls
}

// operatorTool puts, signs and starts releases without a process for each step.
type operatorTool struct {
	catalog *catalog.Catalog
	key     *keys.Key
}

func newOperatorTool(d *deployment.Deployment) (*operatorTool, func(), error) {
	key, err := keys.Load(d.KeyFile())
	if err != nil {
		return nil, nil, err
	}
	client, cleanUp := store.NewClient(common.New(), []string{d.PlatformAddress()}, store.WithTimeout(settleLimit))
	return &operatorTool{catalog: catalog.New(client), key: key}, cleanUp, nil
}

// rollOut rolls a bundle out and returns its sequence and the time just before it started.
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

func (r *run) measureConvergence(ctx context.Context) error {
	tool, cleanUp, err := newOperatorTool(r.d)
	if err != nil {
		return err
	}
	defer cleanUp()
	if _, _, err := r.change(ctx, tool, 0); err != nil {
		return err
	}
	rest, err := measureUsage(ctx, r.d)
	if err != nil {
		return err
	}
	time.Sleep(restTime)
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
		sequence, at, err := r.change(ctx, tool, i+1)
		if err != nil {
			return err
		}
		began[sequence] = at
	}
	after, err := measureUsage(ctx, r.d)
	if err != nil {
		return err
	}
	r.report.Control = control(rest, before, after, len(r.d.Hosts("")), changes)
	r.report.Convergence, err = convergence(r.d, began)
	return err
}

// change rolls one revision out and waits until it is in force everywhere.
func (r *run) change(ctx context.Context, tool *operatorTool, revision int) (uint64, time.Time, error) {
	sequence, began, err := tool.rollOut(ctx, r.bundle(revision))
	if err != nil {
		return 0, began, err
	}
	_, err = deployment.WaitEnforced(ctx, r.d.Hosts(""), sequence, settleLimit)
	return sequence, began, err
}

func control(rest, before, after usage, nodes, changes int) Control {
	n := float64(nodes)
	restTime := before.at.Sub(rest.at)
	changeTime := after.at.Sub(before.at)
	restBytes := (before.bytes - rest.bytes) / n / restTime.Seconds()
	restCPU := (before.cpu - rest.cpu).Seconds() / n / restTime.Seconds()
	return Control{
		RestBytesPerSecond:    restBytes,
		RestCPUPercent:        100 * restCPU,
		BytesPerChange:        ((after.bytes-before.bytes)/n - restBytes*changeTime.Seconds()) / float64(changes),
		CPUMillisPerChange:    ((after.cpu-before.cpu).Seconds()/n - restCPU*changeTime.Seconds()) * 1000 / float64(changes),
		ResidentMegabytes:     after.resident / n,
		PlatformCallsPerSec:   callsSince(before, rest, restTime.Seconds()),
		PlatformCallsAtChange: callsSince(after, before, float64(changes)),
	}
}

// convergence reads from the nodes' logs when each release came into force.
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
