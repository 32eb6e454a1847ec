package soak

import (
	"net/http"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/deployment"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/standin"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
)

const (
	// maxDrainTime is how long after its stop signal a backend server may still
	// receive new requests.
	maxDrainTime = 3 * time.Second
	// residualFaultTime is how long a fault that has ended may still affect
	// connections.
	residualFaultTime = time.Second
)

// checker compares the answers that callers received with the requests that
// backend servers ran.
type checker struct {
	journal    *journal
	runsByMark map[string]int
	runsByKey  map[string]int
}

func newChecker(j *journal, d *deployment.Deployment) (*checker, error) {
	c := &checker{journal: j, runsByMark: make(map[string]int), runsByKey: make(map[string]int)}
	for _, service := range []string{quoteService, orderService} {
		runs, err := d.Runs(service)
		if err != nil {
			return nil, err
		}
		c.add(runs)
	}
	return c, nil
}

func (c *checker) add(runs []standin.Run) {
	for _, r := range runs {
		c.runsByMark[r.Mark]++
		if r.Key != "" {
			c.runsByKey[r.Key]++
		}
	}
}

// checkCalls checks each request, and that no idempotency key ran twice.
func (c *checker) checkCalls(calls []call) {
	keys := make(map[string]bool)
	for _, a := range calls {
		c.checkCall(a)
		if a.Key != "" && !keys[a.Key] {
			keys[a.Key] = true
			c.checkAtMostOnce("booking with key "+a.Key, c.runsByKey[a.Key])
		}
	}
}

func (c *checker) checkCall(a call) {
	ran := c.runsByMark[a.Mark]
	if a.method == http.MethodPost && a.Key == "" {
		c.checkAtMostOnce("booking "+a.Mark, ran)
	}
	if a.Verdict == string(verdict.NotRun) && ran > 0 {
		c.journal.recordViolation("request %s got verdict not_run for %s, but ran %d times", a.Mark, a.Reason, ran)
	}
	// With a key, the answer may be that of an earlier request with the same key, which
	// carries the mark of that request.
	if a.Status == http.StatusOK && a.Err == "" && !a.MatchesRequest() && a.Key == "" {
		c.journal.recordViolation("request %s got a mismatched or partial answer: %q", a.Mark, a.Body)
	}
	if a.Err != "" && ran > 0 && c.wasCutByStop(a) {
		c.journal.recordViolation("request %s ran, and the stop of its node cut its answer: %s", a.Mark, a.Err)
	}
}

func (c *checker) checkAtMostOnce(what string, runs int) {
	if runs > 1 {
		c.journal.recordViolation("%s ran %d times, want at most 1", what, runs)
	}
}

// wasCutByStop reports whether a request overlapped a graceful stop of its node
// and no fault, so that only the stop can have cut its answer off.
func (c *checker) wasCutByStop(a call) bool {
	begin, end := a.Sent, a.Sent.Add(a.Took)
	return c.journal.isStopping(a.host, begin, end) && !c.journal.hasFault(begin.Add(-residualFaultTime), end)
}

// checkDrains checks that no backend server received a request later than maxDrainTime
// after its stop signal. Stops that overlap a fault are not checked.
func (c *checker) checkDrains() {
	for _, d := range c.journal.drains {
		if c.journal.hasFault(d.at.Add(-residualFaultTime), d.at.Add(maxDrainTime)) {
			continue
		}
		runs, err := d.backend.Runs()
		if err != nil {
			c.journal.recordViolation("the runs of %s cannot be read: %v", d.backend.Instance, err)
		}
		for _, r := range runs {
			if late := r.At.Sub(d.at); late > maxDrainTime {
				c.journal.recordViolation("%s received a request %v after its stop signal", d.backend.Instance, late)
			}
		}
	}
}
