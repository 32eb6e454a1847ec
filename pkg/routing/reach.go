package routing

import (
	"sync"
	"time"
)

const (
	// avoidTime covers the time in which the membership finds a dead node.
	avoidTime = 2 * time.Second
	// cutNodes is the number of nodes of one data centre that fail without an
	// answer from any other of it before the whole data centre counts as cut off.
	cutNodes = 3
)

// reach tells which data centres seem to be cut off, so that not every one of
// their nodes has to be found unreachable by itself.
type reach struct {
	now func() time.Time

	mu          sync.Mutex
	dataCentres map[string]*silence
}

// silence is what a data centre left unanswered since its last answer.
type silence struct {
	nodes  map[string]bool
	lastAt time.Time
}

func newReach(now func() time.Time) *reach {
	return &reach{now: now, dataCentres: make(map[string]*silence)}
}

// failed notes that a node could not be reached.
func (r *reach) failed(dataCentre, node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.dataCentres[dataCentre]
	if s == nil {
		s = &silence{nodes: make(map[string]bool)}
		r.dataCentres[dataCentre] = s
	}
	if len(s.nodes) < cutNodes {
		s.nodes[node] = true
	}
	s.lastAt = r.now()
}

// answered notes an answer from a data centre.
func (r *reach) answered(dataCentre string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.dataCentres, dataCentre)
}

// isCut reports whether a data centre seems to be cut off. It is tried again
// avoidTime after its last failure.
func (r *reach) isCut(dataCentre string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.dataCentres[dataCentre]
	return s != nil && len(s.nodes) >= cutNodes && r.now().Sub(s.lastAt) < avoidTime
}
