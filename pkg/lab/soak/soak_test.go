package soak

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/load"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/standin"
)

// TestScheduleIsDeterministic guards against a violation that cannot be
// reproduced: a seed must always give the same schedule. It also checks that a
// long schedule has all kinds and overlapping entries.
func TestScheduleIsDeterministic(t *testing.T) {
	const hosts, length = 12, 10 * time.Minute
	first, again, other := NewSchedule(7, hosts, length), NewSchedule(7, hosts, length), NewSchedule(8, hosts, length)
	if !slices.Equal(first, again) {
		t.Error("the same seed gave two different schedules")
	}
	if slices.Equal(first, other) {
		t.Error("two seeds gave the same schedule")
	}
	seen := make(map[Kind]bool)
	overlaps := 0
	for i, e := range first {
		seen[e.Kind] = true
		if i > 0 && e.At < first[i-1].End() {
			overlaps++
		}
		if e.Host < 0 || e.Host >= hosts || e.Duration <= 0 {
			t.Errorf("got entry %v, want a host and a time", e)
		}
	}
	if len(seen) != len(kinds) || overlaps == 0 {
		t.Errorf("got %d kinds and %d overlaps, want all %d kinds and some overlaps", len(seen), overlaps, len(kinds))
	}
}

// TestChecksReportViolations guards against a check that misses its violation,
// or reports one for valid calls. Calls and runs are constructed by the test.
func TestChecksReportViolations(t *testing.T) {
	own := "mark=m \n"
	now := time.Now()
	answer := load.Answer{Mark: "m", Sent: now, Took: time.Second}
	with := func(change func(*call)) call {
		c := call{Answer: answer, method: http.MethodGet}
		change(&c)
		return c
	}
	stopping := &span{entry: Entry{Kind: NodeStop}, begin: now}
	tests := map[string]struct {
		call  call
		runs  []standin.Run
		spans []*span
		want  int
	}{
		"served":                          {with(func(c *call) { c.Status, c.Body = 200, own }), []standin.Run{{Mark: "m"}}, nil, 0},
		"read run twice":                  {with(func(c *call) { c.Status, c.Body = 200, own }), []standin.Run{{Mark: "m"}, {Mark: "m"}}, nil, 0},
		"answer to another request":       {with(func(c *call) { c.Status, c.Body = 200, "mark=x \n" }), []standin.Run{{Mark: "m"}}, nil, 1},
		"answer cut off":                  {with(func(c *call) { c.Status, c.Body = 200, "mark=m " }), []standin.Run{{Mark: "m"}}, nil, 1},
		"not run":                         {with(func(c *call) { c.Status, c.Verdict = 503, "not_run" }), nil, nil, 0},
		"not run, but ran":                {with(func(c *call) { c.Status, c.Verdict = 503, "not_run" }), []standin.Run{{Mark: "m"}}, nil, 1},
		"booking run twice":               {with(func(c *call) { c.method = http.MethodPost }), []standin.Run{{Mark: "m"}, {Mark: "m"}}, nil, 1},
		"keyed booking run twice":         {with(func(c *call) { c.method, c.Key = http.MethodPost, "k" }), []standin.Run{{Mark: "m", Key: "k"}, {Mark: "n", Key: "k"}}, nil, 1},
		"cut by a stop":                   {with(func(c *call) { c.Err = "EOF" }), []standin.Run{{Mark: "m"}}, []*span{stopping}, 1},
		"cut by a stop before it ran":     {with(func(c *call) { c.Err = "EOF" }), nil, []*span{stopping}, 0},
		"cut by a fault during a stop":    {with(func(c *call) { c.Err = "EOF" }), []standin.Run{{Mark: "m"}}, []*span{stopping, {entry: Entry{Kind: LinkReset}, begin: now}}, 0},
		"cut by the stop of another node": {with(func(c *call) { c.Err, c.host = "EOF", 1 }), []standin.Run{{Mark: "m"}}, []*span{stopping}, 0},
		"cut without a stop":              {with(func(c *call) { c.Err = "EOF" }), []standin.Run{{Mark: "m"}}, nil, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			j := &journal{spans: test.spans}
			c := &checker{journal: j, runsByMark: make(map[string]int), runsByKey: make(map[string]int)}
			c.add(test.runs)
			c.checkCalls([]call{test.call})
			if len(j.violations) != test.want {
				t.Errorf("got %d violations %v, want %d", len(j.violations), j.violations, test.want)
			}
		})
	}
}

// TestJournalReportsActiveFaults guards against a check that is skipped for a
// fault that has ended, or made while a fault is still in effect.
func TestJournalReportsActiveFaults(t *testing.T) {
	j := &journal{}
	end := j.begin(Entry{Kind: NodeKill})
	if !j.hasFault(time.Now(), time.Now().Add(time.Millisecond)) {
		t.Error("a fault in effect is not reported")
	}
	end()
	if j.hasFault(time.Now().Add(time.Millisecond), time.Now().Add(time.Second)) {
		t.Error("a fault that has ended is still reported")
	}
}
