package request

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// TestOverdueAfter: an attempt is given up only when the request may run again
// and there is time left for it.
func TestOverdueAfter(t *testing.T) {
	const usual = 100 * time.Millisecond
	tests := map[string]struct {
		idempotent bool
		reached    int
		usual      time.Duration
		left       time.Duration
		want       time.Duration
	}{
		"time for another":      {true, 0, usual, time.Second, overdueFactor * usual},
		"no time for another":   {true, 0, usual, 500 * time.Millisecond, 0},
		"must not run again":    {false, 0, usual, time.Second, 0},
		"no attempt left":       {true, 1, usual, time.Second, 0},
		"work never measured":   {true, 0, 0, time.Second, 0},
		"the first was refused": {true, 0, usual, 700 * time.Millisecond, overdueFactor * usual},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e, _ := newTestEntry(t, 2, []reply{answered})
			c, refusal := e.newCall(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/x", nil))
			if refusal != nil {
				t.Fatal(refusal)
			}
			c.route.MaxAttempts = 2
			c.request.Idempotent, c.reached = test.idempotent, test.reached
			if got := overdueAfter(c, routing.Choice{Usual: test.usual}, test.left); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestOverdueAttempt: an entry node that is told that an answer is overdue
// gives the attempt up if it may retry, and goes on waiting if not.
func TestOverdueAttempt(t *testing.T) {
	tests := map[string]struct {
		tokens float64
		want   int
	}{
		"budget left":  {5, 2},
		"budget spent": {0, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e, _ := newTestEntry(t, 4, nil)
			e.budget = newBudget(time.Now, func() float64 { return test.tokens }, 0)
			var attempts int
			e.hooks.CallPeer = overdueOnce(&attempts)
			w := httptest.NewRecorder()
			e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x", nil))
			if w.Code != http.StatusOK || attempts != test.want {
				t.Errorf("got status %d after %d attempts, want 200 after %d", w.Code, attempts, test.want)
			}
		})
	}
}

// overdueOnce is a fake owner node that says of the first attempt that it is overdue.
func overdueOnce(attempts *int) func(context.Context, string, *wire.CallRequest, func(*wire.CallAnswer) error) error {
	return func(_ context.Context, _ string, _ *wire.CallRequest, received func(*wire.CallAnswer) error) error {
		*attempts++
		if *attempts == 1 {
			if err := received(&wire.CallAnswer{Progress: true, Overdue: true}); err != nil {
				return err
			}
		}
		return received(&wire.CallAnswer{Verdict: wire.Verdict_VERDICT_RAN, Status: http.StatusOK, Last: true})
	}
}

// TestOverdueRun: a run that its entry node gives up ends at once, leaves its
// slot and counts against the backend server; one that it waits for goes on.
func TestOverdueRun(t *testing.T) {
	const (
		overdue = 30 * time.Millisecond
		work    = 150 * time.Millisecond
	)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(work):
		}
	}))
	defer server.Close()
	tests := map[string]struct {
		after      time.Duration
		answer     error
		want       verdict.Reason
		wantFailed bool
	}{
		"given up":    {overdue, errOverdue, verdict.BackendOverdue, true},
		"awaited":     {overdue, nil, "", false},
		"not watched": {0, nil, "", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newTestOwner(t)
			record := testRecord(1, 1, false)
			record.Address = server.Listener.Addr().String()
			o.Heartbeat(record, nil)
			began := time.Now()
			got := serveOverdue(o, test.after, test.answer)
			took := time.Since(began)
			b := o.Backends()[0]
			if got != test.want || b.gate.InFlight() != 0 {
				t.Errorf("got %q with %d in flight, want %q and none", got, b.gate.InFlight(), test.want)
			}
			if failed := b.health.failing() > 0; failed != test.wantFailed {
				t.Errorf("got failures %v, want %v", failed, test.wantFailed)
			}
			if test.wantFailed && took >= work {
				t.Errorf("got an end after %v, want it soon after %v", took, overdue)
			}
		})
	}
}

// serveOverdue runs a request whose entry node answers the news that it is
// overdue with err, and returns the reason of its refusal.
func serveOverdue(o *Owner, after time.Duration, err error) verdict.Reason {
	in := &wire.CallRequest{Service: "s", Version: "v1", Instance: "i", Method: http.MethodGet, Target: "/", RemainingMs: 2000, Idempotent: true, OverdueMs: after.Milliseconds()}
	var reason verdict.Reason
	_ = o.Serve(context.Background(), in, func(answer *wire.CallAnswer) error {
		if answer.GetOverdue() {
			return err
		}
		reason = verdict.Reason(answer.GetReason())
		return nil
	})
	return reason
}
