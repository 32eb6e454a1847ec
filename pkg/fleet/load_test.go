package fleet

import (
	"testing"
	"time"
)

// TestWaitByPriority guards against a backend server that looks slow to urgent
// requests because less urgent ones reported a long wait there.
func TestWaitByPriority(t *testing.T) {
	now := time.Unix(100, 0)
	report := func(priority int, wait time.Duration) func(*Observed) {
		return func(o *Observed) { o.Observe(now, "kind", priority, Report{Wait: wait}) }
	}
	tests := map[string]struct {
		reports  []func(*Observed)
		priority int
		want     time.Duration
	}{
		"no report":                     {nil, 1, 0},
		"same priority":                 {[]func(*Observed){report(1, time.Second)}, 1, time.Second},
		"less urgent requests":          {[]func(*Observed){report(2, time.Second)}, 1, 0},
		"more urgent requests":          {[]func(*Observed){report(0, time.Second)}, 1, time.Second},
		"same priority and less urgent": {[]func(*Observed){report(1, time.Millisecond), report(2, time.Second)}, 1, time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newLoadStats()
			for _, r := range test.reports {
				r(o)
			}
			if got := o.State(now, "kind", test.priority).Wait; got != test.want {
				t.Errorf("got a wait of %v, want %v", got, test.want)
			}
		})
	}
}
