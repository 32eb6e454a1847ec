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
	// maxDrainTime bounds the time from a backend server's announcement that it is
	// leaving to the last request that it receives.
	maxDrainTime = 3 * time.Second
	// drainWork is the time per request while a backend server drains.
	drainWork = 200 * time.Millisecond
	// stopWork is longer than the stop notice, for which a stopping node still accepts
	// requests, so requests are still in flight when the notice ends.
	stopWork = 900 * time.Millisecond
)

// startSlowFleet starts three hosts with one backend server each, whose
// requests take the given time.
func startSlowFleet(t *testing.T, work time.Duration) *fleet {
	f := startFleet(t, 3, dataCentres[0])
	f.enforce(bundleText(dataCentres[:1], service{name: "order", version: "v1"}))
	for _, h := range f.d.Hosts("") {
		f.startBackend(h, "order", "v1", standin.BackendFaults{SlowMS: int(work.Milliseconds())})
	}
	f.waitEndpoints("order", 3)
	return f
}

// TestHoldsDrain guards against new requests to a backend server more than 3 s
// after it announced that it is leaving. Other nodes still route to it if gossip
// from its node is cut, so its own node has to refuse.
func TestHoldsDrain(t *testing.T) {
	tests := map[string]func(*fleet, *deployment.Host){
		"no network fault": func(*fleet, *deployment.Host) {},
		"gossip from its node cut": func(f *fleet, leaving *deployment.Host) {
			for _, h := range f.d.Hosts("") {
				if h != leaving {
					h.Proxy.SetFaultsFrom(leaving.IP, faultproxy.Faults{SilenceAll: true})
				}
			}
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) { runDrain(t, fault) })
	}
}

func runDrain(t *testing.T, fault func(*fleet, *deployment.Host)) {
	f := startSlowFleet(t, drainWork)
	leaving := f.d.Hosts("")[0]
	done := make(chan load.Result, 1)
	// Callers use the two other nodes, which stay connected under the faults.
	go func() {
		done <- load.Run(f.ctx, load.Plan{Addresses: f.callerAddresses()[1:], Method: http.MethodPost, Path: "/order/1", RequestsPerSecond: 40, Requests: 280, Workers: 64, Timeout: callTimeout})
	}()
	time.Sleep(time.Second)
	fault(f, leaving)
	announced := time.Now()
	leaving.Backends[0].Process.Signal(syscall.SIGTERM)
	result := <-done
	runs, err := leaving.Backends[0].Runs()
	f.must(err)
	for _, r := range runs {
		if r.At.Sub(announced) > maxDrainTime {
			t.Errorf("the backend server received a request %v after it announced that it is leaving", r.At.Sub(announced))
		}
	}
	if result.Succeeded() != len(result.Answers) {
		t.Errorf("%d of %d answered, want all: %v", result.Succeeded(), len(result.Answers), result.Failures())
	}
}

// TestHoldsGracefulStop guards against requests that fail because a node or a
// backend server was stopped under load while they were in flight.
func TestHoldsGracefulStop(t *testing.T) {
	tests := map[string]func(*fleet, *deployment.Host){
		"backend server": func(_ *fleet, h *deployment.Host) { h.Backends[0].Process.Signal(syscall.SIGTERM) },
		"node":           func(_ *fleet, h *deployment.Host) { h.Node.Signal(syscall.SIGTERM) },
	}
	for name, stop := range tests {
		t.Run(name, func(t *testing.T) {
			f := startSlowFleet(t, stopWork)
			stopped := f.d.Hosts("")[0]
			// Callers use the two other nodes, as callers of a stopped node have to.
			entries := f.callerAddresses()[1:]
			viaOthers := make(chan load.Result, 1)
			go func() {
				viaOthers <- load.Run(f.ctx, load.Plan{Addresses: entries, Method: http.MethodPost, Path: "/order/1", RequestsPerSecond: 8, Requests: 50, Workers: 64, Timeout: callTimeout})
			}()
			// These enter through the stopped node and are in flight when it is stopped.
			direct := make(chan load.Result, 1)
			time.Sleep(time.Second)
			go func() {
				direct <- load.Run(f.ctx, load.Plan{Addresses: f.callerAddresses()[:1], Method: http.MethodPost, Path: "/order/2", RequestsPerSecond: 1000, Requests: 4, Workers: 4, Timeout: callTimeout})
			}()
			time.Sleep(drainWork)
			stop(f, stopped)
			for what, result := range map[string]load.Result{"through other nodes": <-viaOthers, "in flight": <-direct} {
				if result.Succeeded() != len(result.Answers) {
					t.Errorf("%s: %d of %d answered, want all: %v", what, result.Succeeded(), len(result.Answers), result.Failures())
				}
			}
		})
	}
}
