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

// TestCrashCausingRequest guards against a request that takes down a whole service:
// it crashes each backend server that runs it, and its caller keeps retrying. It
// has to be refused after two crashes, while other requests are still served.
func TestCrashCausingRequest(t *testing.T) {
	f := startFleet(t, 5, dataCentres[0])
	f.enforce(bundleText(dataCentres[:1], service{name: "quote", version: "v1"}))
	for _, h := range f.d.Hosts("") {
		f.startBackend(h, "quote", "v1", standin.BackendFaults{CrashOnMark: true})
	}
	f.waitEndpoints("quote", 5)
	hosts := f.d.Hosts("")
	for i := range 10 {
		f.send(hosts[i%len(hosts)], http.MethodGet, "/quote/"+standin.CrashMark, "")
		time.Sleep(200 * time.Millisecond)
	}
	crashed := 0
	for _, h := range hosts {
		select {
		case <-h.Backends[0].Process.Done():
			crashed++
		default:
		}
	}
	if crashed == 0 || crashed > 2 {
		t.Errorf("%d backend servers crashed, want 1 or 2", crashed)
	}
	got := f.send(hosts[0], http.MethodGet, "/quote/"+standin.CrashMark, "")
	if got.Verdict != "not_run" || got.Reason != "crash_causing_request" {
		t.Errorf("got verdict %q for reason %q, want not_run for crash_causing_request", got.Verdict, got.Reason)
	}
	if got := f.send(hosts[0], http.MethodGet, "/quote/1", ""); got.Status != http.StatusOK {
		t.Errorf("another request got status %d, want 200", got.Status)
	}
}

// TestReconnectStorm guards against a deployment that does not converge after all
// nodes were killed and restarted at once, when all of them reconnect together.
func TestReconnectStorm(t *testing.T) {
	f := startFleet(t, 8, dataCentres...)
	sequence := f.enforce(bundleText(dataCentres, service{name: "quote", version: "v1"}))
	for _, h := range f.d.Hosts("") {
		f.startBackend(h, "quote", "v1", standin.BackendFaults{})
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
	f.must(deployment.WaitMembers(f.ctx, f.d.Hosts(""), 24, maxConvergeTime))
	f.waitEndpoints("quote", 24)
}

// TestPlatformSlow guards against failed requests and late releases while each
// call to the platform takes 800 ms longer.
func TestPlatformSlow(t *testing.T) {
	f := startFleet(t, 4, dataCentres[:2]...)
	f.enforce(bundleText(dataCentres[:2], service{name: "quote", version: "v1"}))
	f.startBackend(f.d.Hosts("")[0], "quote", "v1", standin.BackendFaults{})
	f.startBackend(f.d.Hosts("")[4], "quote", "v1", standin.BackendFaults{})
	f.waitEndpoints("quote", 2)
	f.must(f.d.SetPlatformFaults(standin.PlatformFaults{DelayMS: 800}))
	done := make(chan load.Result, 1)
	go func() { done <- f.sendLoad(http.MethodGet, "/quote/1", 100, 300) }()
	sequence := f.rollOut(bundleText(dataCentres[:2], service{name: "quote", version: "v1"}, service{name: "archive", version: "v1"}))
	wantEnforced(t, f, f.d.Hosts(""), sequence)
	result := <-done
	if result.Succeeded() != len(result.Answers) {
		t.Errorf("%d of %d answered, want all: %v", result.Succeeded(), len(result.Answers), result.Failures())
	}
}

// TestConcurrentOperators guards against operators that overwrite each other's
// release: of four that start a rollout at once one succeeds, and the others get
// exit status 3 (conflict).
func TestConcurrentOperators(t *testing.T) {
	f := startFleet(t, 2, dataCentres[0])
	const operators = 4
	drafts := make([]string, operators)
	for i := range drafts {
		path := filepath.Join(t.TempDir(), fmt.Sprintf("%d.jsonc", i))
		f.must(os.WriteFile(path, []byte(bundleText(dataCentres[:1], service{name: "quote", version: fmt.Sprintf("v%d", i)})), 0o600))
		out, _, err := f.d.RunOperator(f.ctx, "bundle", "put", path)
		f.must(err)
		drafts[i] = strings.Fields(out)[1]
		_, _, err = f.d.RunOperator(f.ctx, "bundle", "sign", "--key", f.d.KeyFile(), drafts[i])
		f.must(err)
	}
	statuses := make([]int, operators)
	var wg sync.WaitGroup
	for i, draft := range drafts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, statuses[i], _ = f.d.RunOperator(f.ctx, "rollout", "start", draft)
		}()
	}
	wg.Wait()
	succeeded, conflicts := 0, 0
	for _, status := range statuses {
		switch status {
		case 0:
			succeeded++
		case 3:
			conflicts++
		}
	}
	if succeeded != 1 || conflicts != operators-1 {
		t.Errorf("exit statuses %v: %d succeeded and %d conflicted, want 1 and %d", statuses, succeeded, conflicts, operators-1)
	}
}

// TestPausedLeader guards against a leader that overwrites the decisions of its
// successor: its lease expired while it was paused, and it continues when it is
// resumed.
func TestPausedLeader(t *testing.T) {
	f := startFleet(t, 4, dataCentres[0])
	f.enforce(bundleText(dataCentres[:1], service{name: "quote", version: "v1"}))
	for _, h := range f.d.Hosts("")[:2] {
		f.startBackend(h, "quote", "v1", standin.BackendFaults{})
	}
	f.waitEndpoints("quote", 2)
	f.enforce(bundleText(dataCentres[:1], service{name: "quote", version: "v1", move: `{"to": "v2", "complete_within_seconds": 25}`}))
	f.startBackend(f.d.Hosts("")[2], "quote", "v2", standin.BackendFaults{})
	done := make(chan load.Result, 1)
	go func() { done <- f.sendLoad(http.MethodGet, "/quote/1", 100, 3000) }()
	paused := f.leader(nil)
	paused.Node.Pause()
	successor := f.leader(paused)
	if successor == nil {
		t.Fatalf("no leader but the paused %s", paused.Name)
	}
	before := f.permille(successor)
	paused.Node.Resume()
	for range 100 {
		time.Sleep(50 * time.Millisecond)
		now := f.permille(successor)
		if now < before {
			t.Errorf("the share fell from %d to %d permille after the paused leader resumed", before, now)
		}
		before = now
	}
	out, status, _ := f.d.RunOperator(f.ctx, "rollout", "wait", "--timeout", "25s")
	if status != 0 {
		t.Errorf("rollout wait ended with status %d, want 0: %s", status, out)
	}
	if result := <-done; result.Succeeded() != len(result.Answers) {
		// Requests that the paused node had accepted may exceed their deadline.
		t.Logf("%d of %d answered: %v", result.Succeeded(), len(result.Answers), result.Failures())
	}
}

// leader waits up to 20 s for a leader other than the given host. The node's
// state calls the leader steward.
func (f *fleet) leader(other *deployment.Host) *deployment.Host {
	var found *deployment.Host
	err := deployment.WaitFor(20*time.Second, func() error {
		for _, h := range f.d.Hosts("") {
			if h == other {
				continue
			}
			ctx, cancel := context.WithTimeout(f.ctx, time.Second)
			s, err := h.State(ctx)
			cancel()
			if err == nil && s.Leader {
				found = h
				return nil
			}
		}
		return fmt.Errorf("no host reports that it is the leader")
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

// TestMalformedInput guards against a node that exits or refuses valid requests
// after invalid input on its ports for peers, callers and backend servers, and
// against one that accepts an invalid announcement or a body above the limit.
func TestMalformedInput(t *testing.T) {
	f := startFleet(t, 2, dataCentres[0])
	f.enforce(bundleText(dataCentres[:1], service{name: "quote", version: "v1", route: `"max_body_bytes": 1000`}))
	f.startBackend(f.d.Hosts("")[0], "quote", "v1", standin.BackendFaults{})
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
		"/v1/backend-servers/%ff":                        `{"service": "quote", "version": "v1", "address": "127.0.0.1:1", "slots": 1}`,
		"/v1/backend-servers/w":                          "{\"service\": \"qu\xffote\", \"version\": \"v1\", \"address\": \"127.0.0.1:1\", \"slots\": 1}",
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
		t.Errorf("a body of 2000 bytes, limit 1000, got status %d, want 413", resp.StatusCode)
	}
	if got := f.send(h, http.MethodGet, "/quote/1", ""); got.Status != http.StatusOK {
		t.Errorf("a request after the malformed input got status %d, want 200", got.Status)
	}
	select {
	case <-h.Node.Done():
		t.Errorf("the node exited: %s", h.Node.Log())
	default:
	}
}
