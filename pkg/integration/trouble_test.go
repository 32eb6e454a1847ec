package integration

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/deployment"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/load"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/standin"
)

// TestCrashCausingRequest: a request that crashes each backend server that runs
// it is refused after two crashes, however often its caller sends it again.
func TestCrashCausingRequest(t *testing.T) {
	f := startFleet(t, 5, dataCentres[0])
	f.enforce(bundleText(dataCentres[:1], service{name: "quote", version: "v1"}))
	for _, h := range f.d.Hosts("") {
		f.backend(h, "quote", "v1", standin.BackendFaults{CrashOnMark: true})
	}
	f.waitEndpoints("quote", 5)
	hosts := f.d.Hosts("")
	for i := range 10 {
		f.send(hosts[i%len(hosts)], http.MethodGet, "/quote/"+standin.CrashMark, "")
		time.Sleep(200 * time.Millisecond)
	}
	dead := 0
	for _, h := range hosts {
		select {
		case <-h.Backends[0].Process.Done():
			dead++
		default:
		}
	}
	if dead == 0 || dead > 2 {
		t.Errorf("%d backend servers died, want 1 or 2", dead)
	}
	got := f.send(hosts[0], http.MethodGet, "/quote/"+standin.CrashMark, "")
	if got.Verdict != "not_run" || got.Reason != "crash_causing_request" {
		t.Errorf("got verdict %q for reason %q, want not_run for crash_causing_request", got.Verdict, got.Reason)
	}
	if got := f.send(hosts[0], http.MethodGet, "/quote/1", ""); got.Status != http.StatusOK {
		t.Errorf("another request got status %d, want 200", got.Status)
	}
}

// TestHerds: all nodes die at once and come back in a reconnect storm.
func TestHerds(t *testing.T) {
	f := startFleet(t, 8, dataCentres...)
	sequence := f.enforce(bundleText(dataCentres, service{name: "quote", version: "v1"}))
	for _, h := range f.d.Hosts("") {
		f.backend(h, "quote", "v1", standin.BackendFaults{})
	}
	f.waitEndpoints("quote", 24)
	stop := f.watchSequences()
	for range 2 {
		for _, h := range f.d.Hosts("") {
			h.Node.Kill()
		}
		for _, h := range f.d.Hosts("") {
			f.must(f.d.StartNode(h))
		}
		wantEnforced(t, f, f.d.Hosts(""), sequence)
	}
	stop()
	f.must(deployment.WaitMembers(f.ctx, f.d.Hosts(""), 24, convergeLimit))
	f.waitEndpoints("quote", 24)
}

// TestPlatformSlow: with the platform slow for long, requests are served as
// before and a new release still comes into force in time.
func TestPlatformSlow(t *testing.T) {
	f := startFleet(t, 4, dataCentres[:2]...)
	f.enforce(bundleText(dataCentres[:2], service{name: "quote", version: "v1"}))
	f.backend(f.d.Hosts("")[0], "quote", "v1", standin.BackendFaults{})
	f.backend(f.d.Hosts("")[4], "quote", "v1", standin.BackendFaults{})
	f.waitEndpoints("quote", 2)
	f.must(f.d.SetPlatformFaults(standin.Faults{DelayMS: 800}))
	done := make(chan load.Result, 1)
	go func() { done <- f.load(http.MethodGet, "/quote/1", 100, 300) }()
	sequence := f.rollOut(bundleText(dataCentres[:2], service{name: "quote", version: "v1"}, service{name: "archive", version: "v1"}))
	wantEnforced(t, f, f.d.Hosts(""), sequence)
	result := <-done
	if result.Succeeded() != len(result.Answers) {
		t.Errorf("%d of %d answered, want all: %v", result.Succeeded(), len(result.Answers), result.Failures())
	}
}

// TestOperatorsRace: of operators that race on one release one wins, and the
// others learn of it as a conflict.
func TestOperatorsRace(t *testing.T) {
	f := startFleet(t, 2, dataCentres[0])
	const operators = 4
	drafts := make([]string, operators)
	for i := range drafts {
		path := filepath.Join(t.TempDir(), fmt.Sprintf("%d.jsonc", i))
		f.must(os.WriteFile(path, []byte(bundleText(dataCentres[:1], service{name: "quote", version: fmt.Sprintf("v%d", i)})), 0o600))
		out, _, err := f.d.Operate(f.ctx, "bundle", "put", path)
		f.must(err)
		drafts[i] = strings.Fields(out)[1]
		_, _, err = f.d.Operate(f.ctx, "bundle", "sign", "--key", f.d.KeyFile(), drafts[i])
		f.must(err)
	}
	statuses := make([]int, operators)
	var wg sync.WaitGroup
	for i, draft := range drafts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, statuses[i], _ = f.d.Operate(f.ctx, "rollout", "start", draft)
		}()
	}
	wg.Wait()
	won, lost := 0, 0
	for _, status := range statuses {
		switch status {
		case 0:
			won++
		case 3:
			lost++
		}
	}
	if won != 1 || lost != operators-1 {
		t.Errorf("exit statuses %v: %d won and %d lost, want 1 and %d", statuses, won, lost, operators-1)
	}
}

// TestPausedSteward: a steward that wakes from a pause does not undo what its
// successor decided.
func TestPausedSteward(t *testing.T) {
	f := startFleet(t, 4, dataCentres[0])
	f.enforce(bundleText(dataCentres[:1], service{name: "quote", version: "v1"}))
	for _, h := range f.d.Hosts("")[:2] {
		f.backend(h, "quote", "v1", standin.BackendFaults{})
	}
	f.waitEndpoints("quote", 2)
	f.enforce(bundleText(dataCentres[:1], service{name: "quote", version: "v1", move: `{"to": "v2", "complete_within_seconds": 25}`}))
	f.backend(f.d.Hosts("")[2], "quote", "v2", standin.BackendFaults{})
	done := make(chan load.Result, 1)
	go func() { done <- f.load(http.MethodGet, "/quote/1", 100, 3000) }()
	paused := f.steward(nil)
	paused.Node.Pause()
	successor := f.steward(paused)
	if successor == nil {
		t.Fatal("no successor")
	}
	before := f.permille(successor)
	paused.Node.Resume()
	for range 100 {
		time.Sleep(50 * time.Millisecond)
		now := f.permille(successor)
		if now < before {
			t.Errorf("the share fell from %d to %d permille after the paused steward woke", before, now)
		}
		before = now
	}
	out, status, _ := f.d.Operate(f.ctx, "rollout", "wait", "--timeout", "25s")
	if status != 0 {
		t.Errorf("rollout wait ended with status %d, want 0: %s", status, out)
	}
	if result := <-done; result.Succeeded() != len(result.Answers) {
		// Requests that the paused node itself had taken may pass their deadline.
		t.Logf("%d of %d answered: %v", result.Succeeded(), len(result.Answers), result.Failures())
	}
}

// steward waits for a steward other than the given host.
func (f *fleet) steward(other *deployment.Host) *deployment.Host {
	var found *deployment.Host
	err := deployment.WaitFor(20*time.Second, func() error {
		for _, h := range f.d.Hosts("") {
			if h == other {
				continue
			}
			ctx, cancel := context.WithTimeout(f.ctx, time.Second)
			s, err := h.State(ctx)
			cancel()
			if err == nil && s.Steward {
				found = h
				return nil
			}
		}
		return fmt.Errorf("no steward")
	})
	f.must(err)
	return found
}

func (f *fleet) permille(h *deployment.Host) int {
	f.t.Helper()
	s, err := h.State(f.ctx)
	f.must(err)
	if len(s.Moves) == 0 {
		return 0
	}
	return s.Moves[0].Permille
}

// TestGarbage: what does not belong on a port is refused, and nothing is lost.
func TestGarbage(t *testing.T) {
	f := startFleet(t, 2, dataCentres[0])
	f.enforce(bundleText(dataCentres[:1], service{name: "quote", version: "v1", route: `"max_body_bytes": 1000`}))
	f.backend(f.d.Hosts("")[0], "quote", "v1", standin.BackendFaults{})
	f.waitEndpoints("quote", 1)
	h := f.d.Hosts("")[0]
	noise := make([]byte, 64<<10)
	_, _ = rand.Read(noise)
	for _, address := range []string{h.PeerAddress(), h.CallerAddress(), h.HostAddress()} {
		for _, data := range [][]byte{noise, noise[:1], []byte("HBR1"), append([]byte("HBR1"), noise...), nil} {
			conn, err := net.Dial("tcp", address)
			f.must(err)
			_, _ = conn.Write(data)
			_ = conn.Close()
		}
	}
	for path, body := range map[string]string{
		"/v1/backend-servers/x":                          `{"service": "quote"}`,
		"/v1/backend-servers/" + strings.Repeat("y", 90): `{"service": "quote", "version": "v1", "address": "127.0.0.1:1", "slots": 1}`,
		"/v1/backend-servers/z":                          `{"service": "quote", "version": "v1", "address": "example:1", "slots": 1, "more": 2}`,
	} {
		req, err := http.NewRequestWithContext(f.ctx, http.MethodPut, "http://"+h.HostAddress()+path, strings.NewReader(body))
		f.must(err)
		resp, err := http.DefaultClient.Do(req)
		f.must(err)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest {
			t.Errorf("announcement %s %s got status %d, want 400", path, body, resp.StatusCode)
		}
	}
	resp, err := http.Post("http://"+h.CallerAddress()+"/quote/1", "text/plain", strings.NewReader(strings.Repeat("a", 2000)))
	f.must(err)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("a large body got status %d, want 413", resp.StatusCode)
	}
	if got := f.send(h, http.MethodGet, "/quote/1", ""); got.Status != http.StatusOK {
		t.Errorf("a request after the garbage got status %d, want 200", got.Status)
	}
	select {
	case <-h.Node.Done():
		t.Errorf("the node died: %s", h.Node.Log())
	default:
	}
}
