package node

import (
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/distribution"
)

// TestEvidenceForEverySetOfNodesWithoutStore guards against a node that reaches the store and
// goes on with old evidence because it relies on nodes that do not.
func TestEvidenceForEverySetOfNodesWithoutStore(t *testing.T) {
	const nodes = 8
	for set := range 1 << nodes {
		for _, announced := range []bool{false, true} {
			d := newSimulatedDeployment(t, nodes, func(node int) bool { return set&(1<<node) != 0 }, announced)
			for d.now.Before(d.start.Add(5 * time.Second)) {
				d.step()
				d.check(set)
			}
		}
	}
}

const simulatedStep = 50 * time.Millisecond

// simulatedDeployment is a data centre in which all nodes reach each other at once, and some
// do not reach the store.
type simulatedDeployment struct {
	t          *testing.T
	start, now time.Time
	nodes      []*Node
	lost       func(node int) bool
	watchedAt  []time.Time
	asked      []int
}

// newSimulatedDeployment returns a deployment in which the nodes that lost the store are known
// to the others if announced is set.
func newSimulatedDeployment(t *testing.T, nodes int, lost func(int) bool, announced bool) *simulatedDeployment {
	t.Helper()
	start := time.Unix(1000, 0)
	d := &simulatedDeployment{t: t, start: start, now: start, lost: lost, watchedAt: make([]time.Time, nodes), asked: make([]int, nodes)}
	clock := func() time.Time { return d.now }
	for node := range nodes {
		n := newRankedNode(t, node, nodes, func(other int) bool { return announced && lost(other) })
		n.Common = common.New(common.WithClock(clock))
		n.freshness = distribution.NewFreshness(clock)
		n.freshness.Confirm(start, 1)
		d.nodes = append(d.nodes, n)
	}
	return d
}

// step lets each node do what is due: watch, check, ask.
func (d *simulatedDeployment) step() {
	d.now = d.now.Add(simulatedStep)
	for i, n := range d.nodes {
		_, due := n.checkDue()
		if wait := n.watchWait(); wait > 0 && d.now.Sub(d.watchedAt[i]) >= wait {
			d.watchedAt[i], due = d.now, true
		}
		if due && !d.lost(i) {
			n.freshness.Confirm(d.now, 1)
		}
		if n.freshness.Age() < askAge {
			d.asked[i] = 0
			continue
		}
		peer := n.peerToAsk(d.asked[i])
		d.asked[i]++
		for _, other := range d.nodes {
			if other.settings.Node == peer.GetNode() {
				n.freshness.ConfirmBy(other.freshness.Confirmation(), d.now)
			}
		}
	}
}

func (d *simulatedDeployment) check(set int) {
	reaching := false
	for i, n := range d.nodes {
		reaching = reaching || !d.lost(i)
		if age := n.freshness.Age(); !d.lost(i) && age > checkAge+simulatedStep {
			d.t.Fatalf("nodes without the store %b: node %d reaches it and has evidence of age %v, want at most %v", set, i, age, checkAge+simulatedStep)
		}
	}
	for i, n := range d.nodes {
		if age := n.freshness.Age(); !reaching && age < d.now.Sub(d.start) {
			d.t.Fatalf("no node reaches the store: node %d has evidence of age %v, want %v", i, age, d.now.Sub(d.start))
		}
	}
}
