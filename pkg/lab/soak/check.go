package soak

import (
	"net/http"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/deployment"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/standin"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
)

const (
	// drainLimit is the time after which a leaving backend server gets no new work.
	drainLimit = 3 * time.Second
	// faultShadow is the time for which connections still show a fault that is over.
	faultShadow = time.Second
)

// checker compares what callers were told with what backend servers ran.
type checker struct {
	journal *journal
	byMark  map[string]int
	byKey   map[string]int
}

func newChecker(j *journal, d *deployment.Deployment) (*checker, error) {
	c := &checker{journal: j, byMark: make(map[string]int), byKey: make(map[string]int)}
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
		c.byMark[r.Mark]++
		if r.Key != "" {
			c.byKey[r.Key]++
		}
	}
}

// checkCalls checks every request of the callers.
func (c *checker) checkCalls(calls []call) {
	keys := make(map[string]bool)
	for _, a := range calls {
		c.checkCall(a)
		if a.Key != "" && !keys[a.Key] {
			keys[a.Key] = true
			c.atMostOnce("booking with key "+a.Key, c.byKey[a.Key])
		}
	}
}

func (c *checker) checkCall(a call) {
	ran := c.byMark[a.Mark]
	if a.method == http.MethodPost && a.Key == "" {
		c.atMostOnce("booking "+a.Mark, ran)
	}
	if a.Verdict == string(verdict.NotRun) && ran > 0 {
		c.journal.violate("request %s was told not_run (%s), but ran %d times", a.Mark, a.Reason, ran)
	}
	if a.Status == http.StatusOK && a.Err == "" && !a.IsOwn() && a.Key == "" {
		c.journal.violate("request %s got an answer that is not its own whole one: %q", a.Mark, a.Body)
	}
	if a.Err != "" && ran > 0 && c.wasCutByStop(a) {
		c.journal.violate("request %s ran, and the stop of its node cut its answer: %s", a.Mark, a.Err)
	}
}

func (c *checker) atMostOnce(what string, runs int) {
	if runs > 1 {
		c.journal.violate("%s ran %d times, want at most 1", what, runs)
	}
}

// wasCutByStop reports whether nothing but a graceful stop can have broken a
// request off.
func (c *checker) wasCutByStop(a call) bool {
	begin, end := a.Sent, a.Sent.Add(a.Took)
	return c.journal.isStopping(a.host, begin, end) && !c.journal.hasUnplanned(begin.Add(-faultShadow), end)
}

// checkLeaves checks that backend servers that left in calm got no new work.
func (c *checker) checkLeaves() {
	for _, l := range c.journal.leaves {
		if c.journal.hasUnplanned(l.at.Add(-faultShadow), l.at.Add(drainLimit)) {
			continue
		}
		runs, err := l.backend.Runs()
		if err != nil {
			c.journal.violate("the runs of %s cannot be read: %v", l.backend.Instance, err)
		}
		for _, r := range runs {
			if late := r.At.Sub(l.at); late > drainLimit {
				c.journal.violate("%s got new work %v after it said that it leaves", l.backend.Instance, late)
			}
		}
	}
}
