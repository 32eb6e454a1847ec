package node

import (
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/config"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// leaderChange holds two nodes of which the second replaces the first as the leader, and
// a third one that follows them. Only the first has seen requests fail on the new version.
type leaderChange struct {
	first, second, follower *storeRollouts
}

func newLeaderChange(t *testing.T) *leaderChange {
	t.Helper()
	now := time.Unix(1000, 0)
	newNode := func(name string, epoch uint64) *storeRollouts {
		r := newTestRollouts(t, "v1", "v2")
		r.Common = common.New(common.WithClock(func() time.Time { return now }))
		r.settings.Node = name
		r.settings.Exposure = config.Exposure{Share: 0.1, Slack: 50}
		r.leadership.epoch.Store(epoch)
		r.receiveTestOrder()
		return r
	}
	c := &leaderChange{first: newNode("first", 28), second: newNode("second", 37), follower: newNode("follower", 0)}
	c.first.decide()
	copyRecords(c.first, c.second)
	copyRecords(c.first, c.follower)
	c.first.receiveFailures(0)
	c.first.decide()
	c.first.receiveFailures(40)
	return c
}

// receiveFailures receives evidence of requests that all failed on the new version, and of
// ten times as many that the old one served.
func (r *storeRollouts) receiveFailures(n uint64) {
	r.records.Set(&wire.Record{Key: gossip.PrefixEvidence + "nv2", Epoch: 1, Step: n, Body: &wire.Record_Evidence{Evidence: &wire.Evidence{
		Node: "nv2", Service: "quotes", Sequence: testOrderRevision, Totals: []*wire.RouteTotals{
			{Version: "v1", Route: "r", Requests: 10 * n},
			{Version: "v2", Route: "r", Requests: n, Failures: n},
		},
	}}})
}

// decide decides the share of the test order as the leader.
func (r *storeRollouts) decide() { r.decideShare(r.orders.newest["quotes"]) }

// continueRollout makes this node the leader that has not decided yet.
func (r *storeRollouts) continueRollout() {
	order := r.orders.newest["quotes"]
	r.lead(order, r.decisionsFor(order))
}

// copyRecords sends the records of one node that others keep as well to another node.
func copyRecords(from, to *storeRollouts) {
	for _, prefix := range []string{gossip.PrefixRollout, gossip.PrefixHalt} {
		to.records.Apply(from.records.List(prefix), true)
	}
}

// checkRolledBack checks that the second leader has rolled the version back, and that the
// follower sends it no requests.
func (c *leaderChange) checkRolledBack(t *testing.T) {
	t.Helper()
	record := c.second.records.Get(gossip.PrefixRollout + "quotes")
	if got, want := record.GetRollout().GetState(), wire.MoveState_MOVE_STATE_TAKEN_BACK; got != want {
		t.Errorf("the new leader's state is %v, want %v", got, want)
	}
	if record.GetRollout().GetCause() == "" {
		t.Error("the new leader names no cause")
	}
	if got, want := record.GetEpoch(), uint64(37); got != want {
		t.Errorf("the epoch of the new leader's record is %d, want %d", got, want)
	}
	if !c.follower.isHalted("quotes", "v2") {
		t.Error("the version is not halted on the follower")
	}
	if got := c.follower.shares("quotes")["v2"]; got != 0 {
		t.Errorf("the follower sends the version %d permille, want 0", got)
	}
}

// TestRollbackOutlivesLeader guards against a bad version that gets all traffic because
// its rollback met a change of the leader: the new leader, which has not seen the failures,
// must not go on with a version that the old one rolled back.
func TestRollbackOutlivesLeader(t *testing.T) {
	tests := map[string]func(*leaderChange){
		"rolled back before the new leader's first decision": func(c *leaderChange) {
			c.second.continueRollout()
			c.first.decide()
			copyRecords(c.first, c.second)
			c.second.decide()
		},
		"rolled back after the new leader's first decision": func(c *leaderChange) {
			c.second.decide()
			c.first.decide()
			copyRecords(c.first, c.second)
			c.second.decide()
		},
		"rolled back after the old leader learned of the new one": func(c *leaderChange) {
			c.second.decide()
			copyRecords(c.second, c.first)
			c.first.decide()
			copyRecords(c.first, c.second)
			c.second.decide()
		},
		"rolled back while only the follower was in touch": func(c *leaderChange) {
			c.second.decide()
			c.first.decide()
			copyRecords(c.first, c.follower)
			copyRecords(c.second, c.follower)
			copyRecords(c.follower, c.second)
			c.second.decide()
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			c := newLeaderChange(t)
			change(c)
			copyRecords(c.first, c.follower)
			copyRecords(c.second, c.follower)
			c.checkRolledBack(t)
		})
	}
}

// TestHaltBeforeOrder guards against a node that sends requests to a version which was
// rolled back before the node learned of the order.
func TestHaltBeforeOrder(t *testing.T) {
	tests := map[string]struct {
		revision uint64
		learn    func(*storeRollouts)
		want     bool
	}{
		"order from the store":           {testOrderRevision, (*storeRollouts).receiveTestOrder, true},
		"order from the leader's record": {testOrderRevision, func(r *storeRollouts) { r.receiveDecision(100, wire.MoveState_MOVE_STATE_MOVING) }, true},
		"halt of an earlier order":       {testOrderRevision - 1, (*storeRollouts).receiveTestOrder, false},
		"done despite the halt": {testOrderRevision, func(r *storeRollouts) {
			r.receiveTestOrder()
			r.receiveDecision(1000, wire.MoveState_MOVE_STATE_DONE)
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newTestRollouts(t, "v1", "v2")
			r.records.Set(&wire.Record{Key: orderHaltKey("quotes"), Epoch: test.revision, Body: &wire.Record_Halt{Halt: &wire.Halt{
				Service: "quotes", Version: "v2", Sequence: test.revision,
			}}})
			test.learn(r)
			if got := r.isHalted("quotes", "v2"); got != test.want {
				t.Errorf("the version is halted: got %v, want %v", got, test.want)
			}
		})
	}
}
