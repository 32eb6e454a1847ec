package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// orderStep is what a node receives about the service quotes: an order read from the
// store, or a leader's record if permille or state is set.
type orderStep struct {
	version       string
	era, revision int64
	record        bool
	leaderEra     int64
	permille      uint32
	state         wire.MoveState
}

func (r *storeRollouts) receiveStep(step orderStep, number uint64) {
	revision := store.InEra(step.era, step.revision)
	if !step.record {
		r.receiveOrder(store.KeyValue{Key: "orders/quotes", Value: []byte(step.version), ModRevision: revision})
		return
	}
	r.records.Set(&wire.Record{
		Key: gossip.PrefixRollout + "quotes", Epoch: uint64(store.InEra(step.leaderEra, 1)), Step: number,
		Body: &wire.Record_Rollout{Rollout: &wire.Rollout{
			Service: "quotes", Version: step.version, Order: revision, Permille: step.permille, State: step.state, DurationMs: 16000, Node: "nv1",
		}},
	})
}

// TestOrdersAfterRestoration guards against a version that was rolled back or is being
// tried and gets requests as by a new order, because the operators wrote the order again
// after the store had lost it, or the store shows an earlier order for a moment.
func TestOrdersAfterRestoration(t *testing.T) {
	const moving, done, rolledBack = wire.MoveState_MOVE_STATE_MOVING, wire.MoveState_MOVE_STATE_DONE, wire.MoveState_MOVE_STATE_TAKEN_BACK
	order := func(version string, era, revision int64) orderStep {
		return orderStep{version: version, era: era, revision: revision}
	}
	record := func(version string, era, revision, leaderEra int64, permille uint32, state wire.MoveState) orderStep {
		return orderStep{version: version, era: era, revision: revision, record: true, leaderEra: leaderEra, permille: permille, state: state}
	}
	v2Done := []orderStep{order("v2", 1, 50), record("v2", 1, 50, 1, 1000, done)}
	v3RolledBack := append(v2Done[:2:2], order("v3", 1, 120), record("v3", 1, 120, 1, 0, rolledBack))
	v3Canary := append(v2Done[:2:2], order("v3", 1, 120), record("v3", 1, 120, 1, 40, moving))
	tests := map[string]struct {
		before, after []orderStep
		want          routing.Shares
		version       string
	}{
		"order written again at a lower revision":   {v3RolledBack, []orderStep{order("v3", 2, 110)}, routing.Shares{"v2": 1000}, "v3"},
		"order written again at a higher revision":  {v3RolledBack, []orderStep{order("v3", 2, 130)}, routing.Shares{"v2": 1000}, "v3"},
		"order kept by the copy":                    {v3RolledBack, []orderStep{order("v3", 2, 120)}, routing.Shares{"v2": 1000}, "v3"},
		"earlier order shown, then written again":   {v3Canary, []orderStep{order("v2", 2, 50), order("v3", 2, 110)}, routing.Shares{"v2": 960, "v3": 40}, "v3"},
		"earlier order shown":                       {v3Canary, []orderStep{order("v2", 2, 50)}, routing.Shares{"v2": 960, "v3": 40}, "v3"},
		"both orders written again":                 {v3Canary, []orderStep{order("v2", 2, 60), order("v3", 2, 110)}, routing.Shares{"v2": 960, "v3": 40}, "v3"},
		"record of a leader under the old revision": {v3Canary, []orderStep{order("v3", 2, 110), record("v3", 1, 120, 2, 20, moving)}, routing.Shares{"v2": 980, "v3": 20}, "v3"},
		"record of a leader under the new revision": {v3Canary, []orderStep{record("v3", 2, 110, 2, 20, moving)}, routing.Shares{"v2": 980, "v3": 20}, "v3"},
		"new order after the restoration":           {v3RolledBack, []orderStep{order("v4", 2, 60)}, routing.Shares{"v2": 1000}, "v4"},
		"ordered again after it was shown":          {v3RolledBack, []orderStep{order("v3", 2, 120), order("v3", 2, 140), record("v3", 2, 140, 2, 40, moving)}, routing.Shares{"v2": 960, "v3": 40}, "v3"},
		"restarted node that the leader tells of the lost order": {
			nil,
			[]orderStep{order("v2", 2, 50), record("v3", 1, 120, 2, 40, moving)},
			routing.Shares{"v2": 960, "v3": 40},
			"v3",
		},
		"restarted node after a rollback that the store has lost": {
			nil,
			[]orderStep{record("v3", 1, 120, 1, 0, rolledBack), order("v3", 2, 110)},
			routing.Shares{"v2": 1000},
			"v3",
		},
		"delayed record of a leader of before": {
			v3RolledBack,
			[]orderStep{order("v4", 2, 60), record("v3", 1, 120, 1, 500, moving)},
			routing.Shares{"v2": 1000},
			"v4",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newTestRollouts(t, "v2", "v3", "v4")
			r.adapter.DecodeOrder = func(content []byte) (rollout.Order, error) {
				return rollout.Order{Service: "quotes", Version: string(content), Duration: 16 * time.Second}, nil
			}
			for i, step := range append(test.before[:len(test.before):len(test.before)], test.after...) {
				r.receiveStep(step, uint64(i+1))
			}
			if got := r.shares("quotes"); fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("got shares %v, want %v", got, test.want)
			}
			if got := r.orders.newest["quotes"].order.Version; got != test.version {
				t.Errorf("the newest order is of %s, want %s", got, test.version)
			}
		})
	}
}

// TestEvidenceAfterRestoration guards against a bad version whose failures no longer count
// because the operators wrote its order again, under a revision of another era.
func TestEvidenceAfterRestoration(t *testing.T) {
	tests := map[string]struct {
		sequence int64
		want     uint64
	}{
		"node that has not read the order again":  {store.InEra(1, 29), 50},
		"node that has read the order again":      {store.InEra(2, 20), 50},
		"evidence about another order of its era": {store.InEra(2, 19), 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			r := newTestRollouts(t, "v1", "v2")
			r.Common = common.New(common.WithClock(func() time.Time { return now }))
			r.receiveOrder(store.KeyValue{Key: "orders/quotes", ModRevision: store.InEra(1, 29)})
			order := r.orders.newest["quotes"]
			r.followEvidence(order)
			r.receiveOrder(store.KeyValue{Key: "orders/quotes", ModRevision: store.InEra(2, 20)})
			for failures := range uint64(6) {
				r.records.Set(&wire.Record{Key: gossip.PrefixEvidence + "n", Epoch: 1, Step: failures + 1, Body: &wire.Record_Evidence{Evidence: &wire.Evidence{
					Node: "n", Service: "quotes", Sequence: uint64(test.sequence), Totals: []*wire.RouteTotals{
						{Version: "v1", Route: "r", Requests: 10 * failures}, {Version: "v2", Route: "r", Requests: 10 * failures, Failures: failures},
					},
				}}})
				r.followEvidence(order)
				now = now.Add(decisionInterval)
			}
			if got := r.decisionsFor(order).evaluator.Comparisons()[0].NewTrials; got != test.want {
				t.Errorf("%d requests on the new version count, want %d", got, test.want)
			}
		})
	}
}
