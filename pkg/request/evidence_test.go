package request

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// outcomes are the requests of one version by what is known of them.
type outcomes struct{ answered, failed, abandoned, running, late uint64 }

func outcomesOf(r *rollout.Recorder) outcomes {
	var o outcomes
	for _, t := range r.Totals("s") {
		o.answered += t.GetRequests() - t.GetFailures()
		o.failed += t.GetFailures()
		o.late += t.GetLate()
		for _, n := range t.GetAbandoned() {
			o.abandoned += n
		}
		for _, n := range t.GetRunning() {
			o.running += n
		}
	}
	return o
}

// TestUnansweredRequestsAreEvidence guards against a slow version whose slowest
// requests do not count against it, because they still run or because their
// callers left.
func TestUnansweredRequestsAreEvidence(t *testing.T) {
	const coldRequests = 3
	tests := map[string]struct {
		timeout time.Duration
		// leaves is set if the caller leaves; else the backend server sends answer,
		// or nothing if that is empty.
		leaves bool
		answer string
		want   outcomes
	}{
		"caller leaves":         {timeout: 5 * time.Second, leaves: true, want: outcomes{answered: coldRequests, abandoned: 1}},
		"deadline passes":       {timeout: 500 * time.Millisecond, want: outcomes{answered: coldRequests, failed: 1}},
		"backend server fails":  {timeout: 5 * time.Second, answer: "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", want: outcomes{answered: coldRequests, failed: 1}},
		"request is shed":       {timeout: 5 * time.Second, answer: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", want: outcomes{answered: coldRequests}},
		"request gets answered": {timeout: 5 * time.Second, answer: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", want: outcomes{answered: coldRequests + 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o, answers, received := newWaitingOwner(t, coldRequests+1)
			warmUp(t, o, answers, coldRequests)
			leave, ended := serveUntilLeft(o, test.timeout)
			for range coldRequests + 1 {
				<-received
			}
			if got, want := outcomesOf(o.recorder), (outcomes{answered: coldRequests, running: 1}); got != want {
				t.Errorf("got %+v while it runs, want %+v", got, want)
			}
			switch {
			case test.leaves:
				leave()
			case test.answer != "":
				answers <- test.answer
			}
			<-ended
			if got := outcomesOf(o.recorder); got != test.want {
				t.Errorf("got %+v at the end, want %+v", got, test.want)
			}
		})
	}
}

// newWaitingOwner returns an owner whose backend server signals each request that it
// received, at most the given number, and then waits for the answer to send.
func newWaitingOwner(t *testing.T, requests int) (o *Owner, answers chan<- string, received <-chan struct{}) {
	t.Helper()
	toSend, got, done := make(chan string, 1), make(chan struct{}, requests), make(chan struct{})
	t.Cleanup(func() { close(done) })
	o = newServingOwner(t, func(conn net.Conn) {
		got <- struct{}{}
		select {
		case answer := <-toSend:
			_, _ = conn.Write([]byte(answer))
		case <-done:
		}
	})
	return o, toSend, got
}

// serveUntilLeft serves a request until its caller calls leave, and closes ended
// after that.
func serveUntilLeft(o *Owner, timeout time.Duration) (leave func(), ended <-chan struct{}) {
	ctx, leave := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		defer leave()
		in := &wire.CallRequest{Service: "s", Version: "v1", Instance: "i", Route: "r", Method: http.MethodGet, Target: []byte("/"), Host: "h", Idempotent: true, RemainingMs: timeout.Milliseconds(), ShedStatuses: []int32{http.StatusServiceUnavailable}}
		_ = o.Serve(ctx, in, func(*wire.CallAnswer) error { return nil })
	}()
	return leave, served
}

// warmUp sends the requests during which the backend server is cold, whose latency
// does not count.
func warmUp(t *testing.T, o *Owner, answers chan<- string, requests int) {
	t.Helper()
	o.Backends()[0].firstRun = o.Now().Add(-minColdTime)
	o.Backends()[0].runs = 1
	for range requests {
		answers <- "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
		if err := serveGet(o, time.Second, func(*wire.CallAnswer) error { return nil }); err != nil {
			t.Fatal(err)
		}
	}
}

// TestLateRequestsAreNotCompared guards against a good version that is rolled back
// under overload: it has free slots and so gets the requests that have little time
// left, which fail for lack of time on any version.
func TestLateRequestsAreNotCompared(t *testing.T) {
	tests := map[string]struct {
		objective time.Duration
		want      outcomes
	}{
		"before its objective": {objective: 4 * time.Second, want: outcomes{failed: 1}},
		"after its objective":  {objective: -time.Millisecond, want: outcomes{late: 1}},
		"without an objective": {want: outcomes{failed: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newServingOwner(t, func(conn net.Conn) { _, _ = conn.Write([]byte("HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n")) })
			in := &wire.CallRequest{Service: "s", Version: "v1", Instance: "i", Route: "r", Method: http.MethodGet, Target: []byte("/"), Host: "h", Idempotent: true, RemainingMs: 5000, ObjectiveMs: test.objective.Milliseconds()}
			if err := o.Serve(context.Background(), in, func(*wire.CallAnswer) error { return nil }); err != nil {
				t.Fatal(err)
			}
			if got := outcomesOf(o.recorder); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}
