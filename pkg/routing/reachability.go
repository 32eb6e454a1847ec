package routing

import (
	"sync"
	"time"
)

const (
	// avoidTime is how long an unreachable node or data centre is avoided. It
	// covers the time that the membership takes to detect a dead node.
	avoidTime = 2 * time.Second
	// minUnreachableNodes is the number of different nodes of a data centre that
	// must fail, without an answer from any node there in between, before the
	// whole data centre is considered unreachable.
	minUnreachableNodes = 3
)

// reachability detects unreachable data centres from failures of a few of their
// nodes, so that requests do not have to fail on every node there first.
type reachability struct {
	now func() time.Time

	mu          sync.Mutex
	dataCentres map[string]*failures
}

// failures holds the nodes of one data centre that failed since its last answer.
type failures struct {
	nodes  map[string]bool
	lastAt time.Time
}

func newReachability(now func() time.Time) *reachability {
	return &reachability{now: now, dataCentres: make(map[string]*failures)}
}

// recordFailure records that a node could not be reached.
func (r *reachability) recordFailure(dataCentre, node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.dataCentres[dataCentre]
	if f == nil {
		f = &failures{nodes: make(map[string]bool)}
		r.dataCentres[dataCentre] = f
	}
	if len(f.nodes) < minUnreachableNodes {
		f.nodes[node] = true
	}
	f.lastAt = r.now()
}

// recordAnswer records an answer from a data centre and clears its failures.
func (r *reachability) recordAnswer(dataCentre string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.dataCentres, dataCentre)
}

// isUnreachable reports whether a data centre is considered unreachable. It is
// tried again avoidTime after its last failure.
func (r *reachability) isUnreachable(dataCentre string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.dataCentres[dataCentre]
	return f != nil && len(f.nodes) >= minUnreachableNodes && r.now().Sub(f.lastAt) < avoidTime
}
