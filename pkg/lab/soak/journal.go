package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/deployment"
)

// span is the time during which an entry of the schedule is in effect. The end
// is zero while the entry is still in effect.
type span struct {
	entry      Entry
	begin, end time.Time
}

func (s span) overlaps(begin, end time.Time) bool {
	return s.begin.Before(end) && (s.end.IsZero() || s.end.After(begin))
}

// drain is the graceful stop of a backend server, at the time of its stop signal.
type drain struct {
	backend *deployment.Backend
	at      time.Time
}

// journal records when each entry was in effect, and the violations found.
type journal struct {
	mu         sync.Mutex
	spans      []*span
	drains     []drain
	violations []string
}

// begin records that an entry is in effect until the returned function is called.
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

func (j *journal) recordDrain(b *deployment.Backend, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.drains = append(j.drains, drain{backend: b, at: at})
}

// recordViolation records a guarantee of the system that did not hold.
func (j *journal) recordViolation(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violations = append(j.violations, fmt.Sprintf(format, args...))
}

// isPlanned reports whether a kind is planned work, which the system is notified
// of. All other kinds are faults.
func isPlanned(k Kind) bool { return k == NodeStop || k == BackendStop || k == Release }

// hasFault reports whether a fault was in effect between begin and end.
func (j *journal) hasFault(begin, end time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, s := range j.spans {
		if !isPlanned(s.entry.Kind) && s.overlaps(begin, end) {
			return true
		}
	}
	return false
}

// isStopping reports whether a graceful stop of a host's node was in effect
// between begin and end.
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
