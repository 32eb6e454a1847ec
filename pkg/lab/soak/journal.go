package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/deployment"
)

// span is an entry of the schedule and the time in which it had its effect.
type span struct {
	entry      Entry
	begin, end time.Time
}

func (s span) overlaps(begin, end time.Time) bool {
	return s.begin.Before(end) && (s.end.IsZero() || s.end.After(begin))
}

// leave is the stop of a backend server.
type leave struct {
	backend *deployment.Backend
	at      time.Time
}

// journal keeps what was struck when, and the promises that were broken.
type journal struct {
	mu         sync.Mutex
	spans      []*span
	leaves     []leave
	violations []string
}

// begin notes that an entry has its effect, until the returned function is called.
func (j *journal) begin(e Entry) func() {
	s := &span{entry: e, begin: time.Now()}
	j.mu.Lock()
	j.spans = append(j.spans, s)
	j.mu.Unlock()
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		s.end = time.Now()
	}
}

func (j *journal) leaving(b *deployment.Backend, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leaves = append(j.leaves, leave{backend: b, at: at})
}

// violate notes a broken promise.
func (j *journal) violate(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violations = append(j.violations, fmt.Sprintf(format, args...))
}

// isPlanned reports whether a kind is work that the system is told of.
func isPlanned(k Kind) bool { return k == NodeStop || k == BackendStop || k == Release }

// hasUnplanned reports whether any fault had its effect in a time.
func (j *journal) hasUnplanned(begin, end time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, s := range j.spans {
		if !isPlanned(s.entry.Kind) && s.overlaps(begin, end) {
			return true
		}
	}
	return false
}

// isStopping reports whether the node of a host was told to stop in a time.
func (j *journal) isStopping(host int, begin, end time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, s := range j.spans {
		if s.entry.Kind == NodeStop && s.entry.Host == host && s.overlaps(begin, end) {
			return true
		}
	}
	return false
}
