package integration

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/faultproxy"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/load"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/standin"
)

// refusalCase is a fault that makes nodes refuse requests.
type refusalCase struct {
	faults standin.BackendFaults
	// during runs while requests are sent; may be nil.
	during func(*fleet)
	// reason is the reason that at least one refusal must give; otherwise the
	// fault did not take effect.
	reason string
}

// TestHoldsNotRunMeansNotRun guards against a request that a backend server ran
// although its caller received the verdict not_run, which happens if a node takes
// a lost answer for a request that was never sent. The backend servers' own
// records decide.
func TestHoldsNotRunMeansNotRun(t *testing.T) {
	tests := map[string]refusalCase{
		"overload": {
			faults: standin.BackendFaults{SlowMS: 80},
			reason: "queue_full",
		},
		"shed by the backend server": {
			faults: standin.BackendFaults{ShedPercent: 100},
			reason: "backend_server_shed",
		},
		"connections between nodes cut": {
			faults: standin.BackendFaults{SlowMS: 30},
			during: cutRepeatedly,
			reason: "answer_lost",
		},
		"answers between nodes lost": {
			during: func(f *fleet) {
				time.Sleep(300 * time.Millisecond)
				setAllProxies(f, faultproxy.Faults{SilenceAnswers: true})
				time.Sleep(time.Second)
				setAllProxies(f, faultproxy.Faults{})
			},
			reason: "deadline_passed",
		},
		"backend servers killed": {
			faults: standin.BackendFaults{SlowMS: 30},
			during: func(f *fleet) {
				for _, h := range f.d.Hosts("")[:2] {
					time.Sleep(500 * time.Millisecond)
					h.Backends[0].Process.Kill()
				}
			},
			reason: "no_backend_server",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { runRefusals(t, test) })
	}
}

func runRefusals(t *testing.T, test refusalCase) {
	f := startFleet(t, 3, dataCentres[0])
	f.enforce(bundleText(dataCentres[:1], service{name: "order", version: "v1", route: `"timeout_ms": 400, "shed_statuses": [503]`}))
	for _, h := range f.d.Hosts("")[:2] {
		f.startBackend(h, "order", "v1", test.faults)
	}
	f.waitEndpoints("order", 2)
	done := make(chan load.Result, 1)
	go func() { done <- f.sendUnkeyed("/order/1", 300, 900) }()
	if test.during != nil {
		test.during(f)
	}
	result := <-done
	t.Logf("%d of %d answered; others: %v", result.Succeeded(), len(result.Answers), result.Failures())
	wantVerdictsMatchRuns(t, f, "order", result)
	for mark, n := range f.runsByMark("order") {
		if n > 1 {
			t.Errorf("request %s ran %d times, want at most 1", mark, n)
		}
	}
	if !strings.Contains(fmt.Sprint(result.Failures()), test.reason) {
		t.Errorf("no request was refused for %s, so the fault did not take effect", test.reason)
	}
}

func cutRepeatedly(f *fleet) {
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		for _, h := range f.d.Hosts("") {
			h.Proxy.CloseConnections()
		}
	}
}

func setAllProxies(f *fleet, faults faultproxy.Faults) {
	for _, h := range f.d.Hosts("") {
		h.Proxy.SetFaults(faults)
	}
}

// sendUnkeyed sends non-idempotent requests without a key.
func (f *fleet) sendUnkeyed(path string, perSecond float64, requests int) load.Result {
	return load.Run(f.ctx, load.Plan{Addresses: f.callerAddresses(), Method: http.MethodPost, Path: path, RequestsPerSecond: perSecond, Requests: requests, Workers: 64, Timeout: callTimeout})
}
