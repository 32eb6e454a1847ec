package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/deployment"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/faultproxy"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/load"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/standin"
)

// TestHoldsAtMostOnce guards against a booking that runs twice: its caller
// retries it under one idempotency key, at once or after an answer, a lease, a
// node, the platform or a backend server was lost.
func TestHoldsAtMostOnce(t *testing.T) {
	tests := map[string]func(*testing.T, *fleet){
		"resent through other nodes and data centres at once": resendAtOnce,
		"answers between nodes lost":                          loseAnswers,
		"platform answers lost":                               losePlatformAnswers,
		"leases expire while the lease holder is paused":      pauseLeaseHolder,
		"nodes killed under load":                             killNodes,
		"platform down":                                       bookWithoutPlatform,
		"backend server crashes during the run":               crashDuringRun,
		"backend servers killed under load":                   killBackends,
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := startBookingFleet(t)
			test(t, f)
			wantAtMostOnce(t, f)
		})
	}
}

// startBookingFleet starts two data centres with three hosts and two booking
// servers each.
func startBookingFleet(t *testing.T) *fleet {
	f := startFleet(t, 3, dataCentres[:2]...)
	f.enforce(bundleText(dataCentres[:2], service{name: "booking", version: "v1", route: `"timeout_ms": 1500`}))
	for _, dataCentre := range dataCentres[:2] {
		for _, h := range f.d.Hosts(dataCentre)[:2] {
			f.startBackend(h, "booking", "v1", standin.BackendFaults{CrashOnMark: true})
		}
	}
	f.waitEndpoints("booking", 4)
	return f
}

func wantAtMostOnce(t *testing.T, f *fleet) {
	t.Helper()
	for key, n := range f.runsByKey("booking") {
		if n > 1 {
			t.Errorf("booking %s ran %d times, want at most 1", key, n)
		}
	}
}

// resend sends one booking the given number of times at once under one key,
// spread over all hosts.
func resend(f *fleet, key, path string, times int) []load.Answer {
	var wg sync.WaitGroup
	hosts := f.d.Hosts("")
	answers := make([]load.Answer, times)
	for i := range times {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = f.send(hosts[i%len(hosts)], http.MethodPost, path, key)
		}()
	}
	wg.Wait()
	return answers
}

func resendAtOnce(t *testing.T, f *fleet) {
	for range 10 {
		key := uuid.NewString()
		answered := 0
		for _, a := range resend(f, key, "/booking/1", 6) {
			if a.Status == http.StatusOK && a.Verdict == "ran" {
				answered++
			}
		}
		if answered != 6 {
			t.Errorf("%d of 6 resends were answered from the one run, want 6", answered)
		}
	}
	if got := len(f.runsByKey("booking")); got != 10 {
		t.Errorf("%d bookings ran, want 10", got)
	}
}

func loseAnswers(t *testing.T, f *fleet) {
	hosts := f.d.Hosts("")
	for _, h := range hosts {
		h.Proxy.SetFaults(faultproxy.Faults{SilenceAnswers: true})
	}
	keys := []string{uuid.NewString(), uuid.NewString(), uuid.NewString()}
	for _, key := range keys {
		resend(f, key, "/booking/2", 3)
	}
	for _, h := range hosts {
		h.Proxy.SetFaults(faultproxy.Faults{})
		h.Proxy.CloseConnections()
	}
	for _, key := range keys {
		resend(f, key, "/booking/2", 6)
	}
	if got := len(f.runsByKey("booking")); got == 0 {
		t.Error("no booking ran")
	}
}

func losePlatformAnswers(t *testing.T, f *fleet) {
	for range 5 {
		key := uuid.NewString()
		f.must(f.d.SetPlatformFaults(standin.PlatformFaults{LoseAnswers: 2}))
		resend(f, key, "/booking/3", 2)
		f.must(f.d.SetPlatformFaults(standin.PlatformFaults{}))
		resend(f, key, "/booking/3", 4)
	}
	if got := len(f.runsByKey("booking")); got == 0 {
		t.Error("no booking ran")
	}
}

func pauseLeaseHolder(_ *testing.T, f *fleet) {
	key := uuid.NewString()
	holder := f.d.Hosts("")[0]
	sent := make(chan load.Answer, 1)
	for _, h := range f.d.Hosts("") {
		for _, b := range h.Backends {
			f.must(b.SetFaults(standin.BackendFaults{SlowMS: 300}))
		}
	}
	go func() { sent <- f.send(holder, http.MethodPost, "/booking/4", key) }()
	f.must(deployment.WaitFor(maxConvergeTime, func() error {
		if f.runsByKey("booking")[key] == 0 {
			return fmt.Errorf("no backend server has run booking %s yet", key)
		}
		return nil
	}))
	for _, h := range f.d.Hosts("plateau") {
		h.Node.Pause()
	}
	f.must(f.d.SetPlatformFaults(standin.PlatformFaults{ExpireLeases: true}))
	for _, h := range f.d.Hosts("almadies") {
		f.send(h, http.MethodPost, "/booking/4", key)
	}
	for _, h := range f.d.Hosts("plateau") {
		h.Node.Resume()
	}
	<-sent
	resend(f, key, "/booking/4", 6)
}

func killNodes(t *testing.T, f *fleet) {
	done := make(chan load.Result, 1)
	go func() { done <- f.sendLoad(http.MethodPost, "/booking/5", 200, 800) }()
	for i := range 4 {
		time.Sleep(700 * time.Millisecond)
		h := f.d.Hosts("")[i]
		h.Node.Kill()
		f.must(f.d.StartNode(h))
	}
	result := <-done
	t.Logf("%d of %d bookings answered; others: %v", result.Succeeded(), len(result.Answers), result.Failures())
	for _, a := range result.Answers {
		if a.Status != http.StatusOK {
			resend(f, a.Key, "/booking/5", 2)
		}
	}
	wantVerdictsMatchRuns(t, f, "booking", result)
}

func bookWithoutPlatform(t *testing.T, f *fleet) {
	f.must(f.d.SetPlatformFaults(standin.PlatformFaults{Down: true}))
	key := uuid.NewString()
	for _, a := range resend(f, key, "/booking/6", 4) {
		if a.Verdict != "not_run" || a.Reason != "claims_unavailable" {
			t.Errorf("got verdict %q for reason %q, want not_run for claims_unavailable", a.Verdict, a.Reason)
		}
	}
	if got := f.send(f.d.Hosts("")[0], http.MethodPost, "/booking/6", ""); got.Status != http.StatusOK {
		t.Errorf("unkeyed booking got status %d, want 200", got.Status)
	}
	f.must(f.d.SetPlatformFaults(standin.PlatformFaults{}))
	if got := f.send(f.d.Hosts("")[0], http.MethodPost, "/booking/6", key); got.Status != http.StatusOK {
		t.Errorf("resent booking got status %d, want 200", got.Status)
	}
}

func crashDuringRun(t *testing.T, f *fleet) {
	key := uuid.NewString()
	got := f.send(f.d.Hosts("")[0], http.MethodPost, "/booking/"+standin.CrashMark, key)
	if got.Verdict != "unknown" {
		t.Errorf("got verdict %q, want unknown", got.Verdict)
	}
	for _, a := range resend(f, key, "/booking/"+standin.CrashMark, 6) {
		if a.Status == http.StatusOK {
			t.Errorf("a resend after the crash got status 200")
		}
	}
}

func killBackends(t *testing.T, f *fleet) {
	done := make(chan load.Result, 1)
	go func() { done <- f.sendLoad(http.MethodPost, "/booking/7", 200, 600) }()
	time.Sleep(time.Second)
	f.d.Hosts("plateau")[0].Backends[0].Process.Kill()
	time.Sleep(time.Second)
	f.d.Hosts("almadies")[0].Backends[0].Process.Kill()
	result := <-done
	t.Logf("%d of %d bookings answered; others: %v", result.Succeeded(), len(result.Answers), result.Failures())
	wantVerdictsMatchRuns(t, f, "booking", result)
}

// wantVerdictsMatchRuns fails the test if a verdict contradicts the backend
// servers' own records of what they ran.
func wantVerdictsMatchRuns(t *testing.T, f *fleet, name string, result load.Result) {
	t.Helper()
	runs := f.runsByMark(name)
	for _, a := range result.Answers {
		switch {
		case a.Verdict == "not_run" && runs[a.Mark] > 0:
			t.Errorf("request %s got verdict not_run for %s, but ran %d times", a.Mark, a.Reason, runs[a.Mark])
		case a.Verdict == "ran" && runs[a.Mark] == 0:
			t.Errorf("request %s got verdict ran, but no backend server ran it", a.Mark)
		}
	}
}
