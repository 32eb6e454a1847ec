package integration

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/deployment"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/faultproxy"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/load"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/standin"
)

const (
	leaveLimit = 3 * time.Second
	drainWork  = 200 * time.Millisecond
	// stopWork is longer than the notice that a stopping node gives.
	stopWork = 900 * time.Millisecond
)

// startLeavingFleet starts three hosts with a slow backend server each.
func startLeavingFleet(t *testing.T, work time.Duration) *fleet {
	f := startFleet(t, 3, dataCentres[0])
	f.enforce(bundleText(dataCentres[:1], service{name: "order", version: "v1"}))
	for _, h := range f.d.Hosts("") {
		f.backend(h, "order", "v1", standin.BackendFaults{SlowMS: int(work.Milliseconds())})
	}
	f.waitEndpoints("order", 3)
	return f
}

// TestHoldsDrain: a backend server that says that it is leaving receives no new
// work 3 s later, also when the other nodes cannot hear of it.
func TestHoldsDrain(t *testing.T) {
	tests := map[string]func(*fleet, *deployment.Host){
		"network whole": func(*fleet, *deployment.Host) {},
		"gossip of its node cut": func(f *fleet, leaving *deployment.Host) {
			for _, h := range f.d.Hosts("") {
				if h != leaving {
					h.Proxy.SetFrom(leaving.IP, faultproxy.Faults{SilenceAll: true})
				}
			}
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) { runDrain(t, fault) })
	}
}

func runDrain(t *testing.T, fault func(*fleet, *deployment.Host)) {
	f := startLeavingFleet(t, drainWork)
	leaving := f.d.Hosts("")[0]
	done := make(chan load.Result, 1)
	// Callers use the two other nodes, which the faults leave connected.
	go func() {
		done <- load.Run(f.ctx, load.Plan{Addresses: f.entries()[1:], Method: http.MethodPost, Path: "/order/1", PerSecond: 40, Requests: 280, Workers: 64, Timeout: callTimeout})
	}()
	time.Sleep(time.Second)
	fault(f, leaving)
	said := time.Now()
	leaving.Backends[0].Process.Signal(syscall.SIGTERM)
	result := <-done
	runs, err := leaving.Backends[0].Runs()
	f.must(err)
	for _, r := range runs {
		if r.At.Sub(said) > leaveLimit {
			t.Errorf("new work %v after the backend server said that it leaves", r.At.Sub(said))
		}
	}
	if result.Succeeded() != len(result.Answers) {
		t.Errorf("%d of %d answered, want all: %v", result.Succeeded(), len(result.Answers), result.Failures())
	}
}

// TestHoldsGracefulStop: stopping a node or a backend server under load cuts no
// request in flight.
func TestHoldsGracefulStop(t *testing.T) {
	tests := map[string]func(*fleet, *deployment.Host){
		"backend server": func(_ *fleet, h *deployment.Host) { h.Backends[0].Process.Signal(syscall.SIGTERM) },
		"node":           func(_ *fleet, h *deployment.Host) { h.Node.Signal(syscall.SIGTERM) },
	}
	for name, stop := range tests {
		t.Run(name, func(t *testing.T) {
			f := startLeavingFleet(t, stopWork)
			stopped := f.d.Hosts("")[0]
			// Callers use the two other nodes, as a caller whose node is gone must.
			entries := f.entries()[1:]
			through := make(chan load.Result, 1)
			go func() {
				through <- load.Run(f.ctx, load.Plan{Addresses: entries, Method: http.MethodPost, Path: "/order/1", PerSecond: 8, Requests: 50, Workers: 64, Timeout: callTimeout})
			}()
			// These enter through the node that stops and are in flight by then.
			direct := make(chan load.Result, 1)
			time.Sleep(time.Second)
			go func() {
				direct <- load.Run(f.ctx, load.Plan{Addresses: f.entries()[:1], Method: http.MethodPost, Path: "/order/2", PerSecond: 1000, Requests: 4, Workers: 4, Timeout: callTimeout})
			}()
			time.Sleep(drainWork)
			stop(f, stopped)
			for what, result := range map[string]load.Result{"through other nodes": <-through, "in flight": <-direct} {
				if result.Succeeded() != len(result.Answers) {
					t.Errorf("%s: %d of %d answered, want all: %v", what, result.Succeeded(), len(result.Answers), result.Failures())
				}
			}
		})
	}
}
