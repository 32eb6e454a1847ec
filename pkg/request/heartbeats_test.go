package request

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusrock/hibiscusrock/pkg/admission"
	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/quarantine"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

func newTestOwner(t *testing.T) *Owner {
	t.Helper()
	cm := common.New()
	crashTracker := quarantine.NewCrashTracker(cm, gossip.New(), "self", func() uint64 { return 1 })
	o, cleanUp := NewOwner(cm, rollout.NewRecorder(cm.Now), crashTracker, OwnerHooks{
		QueueLength:  func(string) int { return 8 },
		Joined:       func() bool { return true },
		Halted:       func(string, string) bool { return false },
		IsMoveTarget: func(string, string) bool { return false },
		Announce:     func(*wire.Endpoint) {},
	})
	t.Cleanup(cleanUp)
	return o
}

func testRecord(born int64, number uint64, draining bool) *wire.Endpoint {
	return &wire.Endpoint{
		Instance: "i", Service: "s", Version: "v1", Address: "127.0.0.1:1", Slots: 4,
		BornUnixMs: born, Number: number, Draining: draining,
	}
}

// TestLateAnnouncementsChangeNothing guards against a backend server that gets
// requests again after it left. Announcements, leaves and the records of an earlier
// incarnation of the node may arrive in any order, so a late one must not end the
// drain, and one about an earlier incarnation of the backend server must not
// change the present one.
func TestLateAnnouncementsChangeNothing(t *testing.T) {
	heartbeat := func(born int64, number uint64, draining bool) func(*Owner) {
		return func(o *Owner) { o.Heartbeat(testRecord(born, number, draining), nil) }
	}
	leave := func(born int64) func(*Owner) { return func(o *Owner) { o.Leave("i", born) } }
	adopt := func(born int64, number uint64, draining bool) func(*Owner) {
		return func(o *Owner) { o.Adopt(testRecord(born, number, draining)) }
	}
	tests := map[string]struct {
		steps []func(*Owner)
		want  bool
	}{
		"heartbeat":          {[]func(*Owner){heartbeat(1, 1, false)}, false},
		"draining heartbeat": {[]func(*Owner){heartbeat(1, 1, false), heartbeat(1, 2, true)}, true},
		"a late heartbeat after the draining one":        {[]func(*Owner){heartbeat(1, 3, true), heartbeat(1, 2, false)}, true},
		"a heartbeat after the leave":                    {[]func(*Owner){heartbeat(1, 1, false), leave(1), heartbeat(1, 9, false)}, true},
		"a late heartbeat of an earlier incarnation":     {[]func(*Owner){heartbeat(5, 1, true), heartbeat(1, 9, false)}, true},
		"a new incarnation after the leave":              {[]func(*Owner){heartbeat(1, 1, false), leave(1), heartbeat(2, 1, false)}, false},
		"a late leave of an earlier incarnation":         {[]func(*Owner){heartbeat(2, 1, false), leave(1)}, false},
		"left before the node knew it, then adopted":     {[]func(*Owner){leave(1), adopt(1, 4, false)}, true},
		"left before the node knew it, then a heartbeat": {[]func(*Owner){leave(1), heartbeat(1, 5, false)}, true},
		"adopted twice, the newer last":                  {[]func(*Owner){adopt(1, 4, false), adopt(1, 6, true)}, true},
		"adopted twice, the older last":                  {[]func(*Owner){adopt(1, 6, true), adopt(1, 4, false)}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newTestOwner(t)
			for _, step := range test.steps {
				step(o)
			}
			if got := o.Backends()[0].Record().GetDraining(); got != test.want {
				t.Errorf("got draining %v, want %v", got, test.want)
			}
		})
	}
}

// TestNewerBackendServerTakesAddress guards against requests for a backend server
// whose address now belongs to a newer one. The older one must be down once the
// newer one announces the address; a late heartbeat of an older one must not mark
// the newer one down.
func TestNewerBackendServerTakesAddress(t *testing.T) {
	record := func(instance, address string, born int64) *wire.Endpoint {
		r := testRecord(born, 1, false)
		r.Instance, r.Address = instance, address
		return r
	}
	tests := map[string]struct {
		records []*wire.Endpoint
		want    map[string]bool
	}{
		"the newer one has the same address":        {[]*wire.Endpoint{record("a", "127.0.0.1:1", 1), record("b", "127.0.0.1:1", 2)}, map[string]bool{"a": true, "b": false}},
		"the newer one has another address":         {[]*wire.Endpoint{record("a", "127.0.0.1:1", 1), record("b", "127.0.0.1:2", 2)}, map[string]bool{"a": false, "b": false}},
		"the older one announces the address later": {[]*wire.Endpoint{record("a", "127.0.0.1:1", 2), record("b", "127.0.0.1:1", 1)}, map[string]bool{"a": false, "b": false}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newTestOwner(t)
			for _, r := range test.records {
				o.Heartbeat(r, nil)
			}
			for _, b := range o.Backends() {
				if got, want := b.isDown(), test.want[b.Record().GetInstance()]; got != want {
					t.Errorf("%s: got down %v, want %v", b.Record().GetInstance(), got, want)
				}
			}
		})
	}
}

// TestReplacedBackendServer guards against further requests to an address at which
// another backend server listens than the expected one. It refuses the first
// request with status 421; after that the expected one must get no more.
func TestReplacedBackendServer(t *testing.T) {
	arrivals := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrivals++
		w.WriteHeader(http.StatusMisdirectedRequest)
	}))
	defer server.Close()
	o := newTestOwner(t)
	o.headers.ExpectedInstance = "Expect-Instance"
	record := testRecord(1, 1, false)
	record.Address = server.Listener.Addr().String()
	o.Adopt(record)
	in := &wire.CallRequest{Service: "s", Version: "v1", Instance: "i", Method: http.MethodGet, Target: []byte("/"), RemainingMs: 1000, Idempotent: true}
	for i, want := range []verdict.Reason{verdict.BackendReplaced, verdict.UnknownInstance, verdict.UnknownInstance} {
		err := o.Serve(context.Background(), in, func(answer *wire.CallAnswer) error {
			if got := verdict.Reason(answer.GetReason()); got != want || answer.GetVerdict() != wire.Verdict_VERDICT_NOT_RUN {
				t.Errorf("request %d: got %s, want %s, not run", i, got, want)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if arrivals != 1 {
		t.Errorf("the backend server got %d requests, want 1", arrivals)
	}
}

// TestRequestForReplaced guards against a refusal of requests whose entry node does
// not know yet that the named backend server was replaced, and against running
// them on a backend server of another service or version, or on a draining one.
func TestRequestForReplaced(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok"))
	}))
	defer server.Close()
	tests := map[string]struct {
		change func(*wire.Endpoint)
		want   verdict.Reason
	}{
		"same service and version": {func(*wire.Endpoint) {}, ""},
		"another version":          {func(e *wire.Endpoint) { e.Version = "v2" }, verdict.UnknownInstance},
		"another service":          {func(e *wire.Endpoint) { e.Service = "other" }, verdict.UnknownInstance},
		"draining":                 {func(e *wire.Endpoint) { e.Draining = true }, verdict.UnknownInstance},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newTestOwner(t)
			younger := testRecord(2, 1, false)
			younger.Instance, younger.Address = "younger", server.Listener.Addr().String()
			test.change(younger)
			o.Heartbeat(younger, nil)
			in := &wire.CallRequest{Service: "s", Version: "v1", Instance: "older", Method: http.MethodGet, Target: []byte("/"), RemainingMs: 1000, Idempotent: true}
			err := o.Serve(context.Background(), in, func(answer *wire.CallAnswer) error {
				if got := verdict.Reason(answer.GetReason()); got != test.want {
					t.Errorf("got %q, want %q", got, test.want)
				}
				return nil
			})
			if err != nil {
				t.Fatal(err)
			}
		})
	}
}

// TestRateLimitOutlivesRestart guards against a restarted node that sends a backend
// server more requests than it takes until the first answer names the limit again.
func TestRateLimitOutlivesRestart(t *testing.T) {
	const perSecond = 2.0
	published := testRecord(1, 3, false)
	published.RateLimit = proto.Float64(perSecond)
	tests := map[string]struct {
		restart func(*Owner)
		want    float64
	}{
		"record of the earlier incarnation": {func(o *Owner) { o.Adopt(published) }, perSecond},
		"record before the heartbeat":       {func(o *Owner) { o.Adopt(published); o.Heartbeat(testRecord(1, 4, false), nil) }, perSecond},
		"heartbeat before the record": {func(o *Owner) {
			o.Heartbeat(testRecord(1, 4, false), nil)
			o.Adopt(published)
			o.Heartbeat(testRecord(1, 5, false), nil)
		}, perSecond},
		"heartbeat beside what peers know": {func(o *Owner) { o.Heartbeat(testRecord(1, 4, false), published) }, perSecond},
		"new incarnation of the server":    {func(o *Owner) { o.Adopt(published); o.Heartbeat(testRecord(2, 1, false), nil) }, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newTestOwner(t)
			test.restart(o)
			b := o.Backends()[0]
			if got := b.RateLimit(); got != test.want {
				t.Errorf("got a limit of %v a second, want %v", got, test.want)
			}
			if got := b.Record().GetRateLimit(); got != test.want {
				t.Errorf("the published record has a limit of %v a second, want %v", got, test.want)
			}
			if got, want := startsAtOnce(b.Gate()), 1; test.want > 0 && got != want {
				t.Errorf("%d requests were started at once, want %d", got, want)
			}
		})
	}
}

// startsAtOnce returns how many of four requests a gate starts without a wait.
func startsAtOnce(gate *admission.Gate) int {
	started := 0
	for range 4 {
		work := admission.Work{Deadline: time.Now().Add(100 * time.Millisecond)}
		if release, refusal := gate.Acquire(context.Background(), work); refusal == nil {
			started++
			release(admission.Failed)
		}
	}
	return started
}
