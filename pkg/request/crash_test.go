package request

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// crashingOwner is an owner whose backend server gets requests and never answers.
type crashingOwner struct {
	*Owner
	received chan struct{}
}

func newCrashingOwner(t *testing.T) *crashingOwner {
	t.Helper()
	c := &crashingOwner{received: make(chan struct{}, 16)}
	c.Owner = newServingOwner(t, func(conn net.Conn) {
		c.received <- struct{}{}
		_, _ = conn.Read(make([]byte, 1))
	})
	return c
}

func (c *crashingOwner) announcement() *wire.Endpoint {
	record := c.Backends()[0].Record()
	return &wire.Endpoint{Instance: "i", Service: "s", Version: "v1", Address: record.GetAddress(), Slots: 4, BornUnixMs: 1}
}

// leaveBehind sends a request and ends it once the backend server has received it.
func (c *crashingOwner) leaveBehind(fingerprint string) {
	ctx, leave := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		in := &wire.CallRequest{Service: "s", Version: "v1", Instance: "i", Route: "r", Method: http.MethodGet, Target: []byte("/"), Host: "h", Idempotent: true, RemainingMs: 5000, Fingerprint: fingerprint}
		_ = c.Serve(ctx, in, func(*wire.CallAnswer) error { return nil })
	}()
	<-c.received
	leave()
	<-ended
}

// TestEndOfBackendServerCountsAgainstItsRequests guards against a crash that counts against
// nobody because nobody waits for an answer when it shows, and against a planned end or a
// silence that counts as a crash.
func TestEndOfBackendServerCountsAgainstItsRequests(t *testing.T) {
	tests := map[string]struct {
		happen func(c *crashingOwner)
		want   int
	}{
		"started again": {func(c *crashingOwner) {
			record := c.announcement()
			record.BornUnixMs = 2
			c.HandleAnnouncement(record)
		}, 1},
		"its address taken by another": {func(c *crashingOwner) {
			record := c.announcement()
			record.Instance, record.BornUnixMs = "j", 2
			c.HandleAnnouncement(record)
		}, 1},
		"announced once more": {func(c *crashingOwner) { c.HandleAnnouncement(c.announcement()) }, 0},
		"started again after a drain": {func(c *crashingOwner) {
			draining := c.announcement()
			draining.Draining = true
			c.HandleAnnouncement(draining)
			record := c.announcement()
			record.BornUnixMs = 2
			c.HandleAnnouncement(record)
		}, 0},
		"silent, but its port is open": {func(c *crashingOwner) {
			c.Backends()[0].lastSeen = c.Now().Add(-2 * HeartbeatTimeout)
			c.Tick()
		}, 0},
		"marked down by its silence, then started again": {func(c *crashingOwner) {
			c.Backends()[0].lastSeen = c.Now().Add(-2 * HeartbeatTimeout)
			c.Tick()
			record := c.announcement()
			record.BornUnixMs = 2
			c.HandleAnnouncement(record)
		}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCrashingOwner(t)
			c.HandleAnnouncement(c.announcement())
			c.leaveBehind("x")
			test.happen(c)
			if got := len(c.crashTracker.Marks("x")); got != test.want {
				t.Errorf("got %d marks against the request, want %d", got, test.want)
			}
		})
	}
}

func count(outlived, _ []*exposure) int { return len(outlived) }

// TestIncarnationSuspects guards against suspects that are kept without a bound, and against a
// run that counts as outlived before its backend server has shown so.
func TestIncarnationSuspects(t *testing.T) {
	began := time.Unix(1000, 0)
	in := func(fingerprint string) *wire.CallRequest { return &wire.CallRequest{Fingerprint: fingerprint} }
	tests := map[string]struct {
		happen       func(i *incarnation) (outlived int)
		wantOutlived int
		wantSuspects int
	}{
		"at work": {func(i *incarnation) int {
			i.begin(in("x"), nil)
			return count(i.alive(began.Add(time.Hour)))
		}, 0, 1},
		"given up": {func(i *incarnation) int {
			i.leave(i.begin(in("x"), nil), began)
			return count(i.alive(began.Add(unansweredRetention - 1)))
		}, 0, 1},
		"given up long ago": {func(i *incarnation) int {
			i.leave(i.begin(in("x"), nil), began)
			return count(i.alive(began.Add(unansweredRetention)))
		}, 0, 0},
		"not run": {func(i *incarnation) int {
			i.discard(i.begin(in("x"), nil))
			return count(i.alive(began.Add(time.Hour)))
		}, 0, 0},
		"just answered": {func(i *incarnation) int {
			i.answer(i.begin(in("x"), nil), true, began)
			return count(i.alive(began.Add(settleTime - 1)))
		}, 0, 1},
		"outlived": {func(i *incarnation) int {
			i.answer(i.begin(in("x"), nil), true, began)
			return count(i.alive(began.Add(settleTime)))
		}, 1, 0},
		"failed": {func(i *incarnation) int {
			i.answer(i.begin(in("x"), nil), false, began)
			return count(i.alive(began.Add(settleTime)))
		}, 0, 0},
		"many given up and answered": {func(i *incarnation) int {
			for range 2 * maxUnanswered {
				i.leave(i.begin(in("x"), nil), began)
				i.answer(i.begin(in("x"), nil), true, began)
			}
			return 0
		}, 0, maxUnanswered + maxAnswered},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			i := newIncarnation("i")
			if got := test.happen(i); got != test.wantOutlived {
				t.Errorf("got %d runs that were outlived, want %d", got, test.wantOutlived)
			}
			suspects, ok := i.crash()
			if len(suspects) != test.wantSuspects || !ok {
				t.Errorf("got %d suspects, first %v, want %d, true", len(suspects), ok, test.wantSuspects)
			}
			if _, ok := i.crash(); ok {
				t.Errorf("the same crash was counted twice")
			}
		})
	}
}

// TestIsolationLetsOneSuspectRun guards against two possible causes of a crash that run on
// one backend server at a time, and against waits for one that has crashed.
func TestIsolationLetsOneSuspectRun(t *testing.T) {
	s := newIsolation()
	leave, err := s.enter(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := s.enter(ctx); err == nil {
		t.Errorf("a second suspect runs beside the first")
	}
	leave(0)
	if _, err := s.enter(t.Context()); err != nil {
		t.Errorf("got %v after the first suspect left, want none", err)
	}
	s.close()
	if _, err := s.enter(t.Context()); err != nil {
		t.Errorf("got %v after the crash, want none", err)
	}
}
