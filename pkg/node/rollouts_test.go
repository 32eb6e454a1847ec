package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/config"
	"github.com/hibiscusrock/hibiscusrock/pkg/fleet"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const testOrder = 29

// newTestRollouts returns the rollouts of a node that knows one backend server
// of each version, the first started first.
func newTestRollouts(t *testing.T, versions ...string) *rollouts {
	t.Helper()
	n := &Node{Common: common.New(), settings: config.Settings{Node: "self", DataCentre: "plateau"}}
	n.link = &Connection{DecodeOrder: func([]byte) (rollout.Order, error) {
		return rollout.Order{Service: "quotes", Version: "v2", Duration: 16 * time.Second}, nil
	}}
	n.records = gossip.New()
	n.members = fleet.NewMembers(n.Common, n.records, &wire.Member{Node: "self", DataCentre: "plateau"})
	n.endpoints = fleet.NewEndpoints(n.records, n.members)
	r := newRollouts(n)
	for i, version := range versions {
		node := "n" + version
		n.records.Set(&wire.Record{Key: gossip.PrefixMember + node, Epoch: 1, Body: &wire.Record_Member{Member: &wire.Member{Node: node, DataCentre: "plateau"}}})
		n.records.Set(&wire.Record{Key: fleet.EndpointKey(node, "i"), Epoch: 1, Body: &wire.Record_Endpoint{Endpoint: &wire.Endpoint{
			Node: node, Instance: "i", Service: "quotes", Version: version, BornUnixMs: int64(i + 1),
		}}})
	}
	return r
}

func (r *rollouts) said(permille uint32, state wire.MoveState) {
	step := uint64(1)
	if old := r.records.Get(gossip.PrefixRollout + "quotes"); old != nil {
		step = old.GetStep() + 1
	}
	r.records.Set(&wire.Record{Key: gossip.PrefixRollout + "quotes", Epoch: 1, Step: step, Body: &wire.Record_Rollout{Rollout: &wire.Rollout{
		Service: "quotes", Version: "v2", Order: testOrder, Permille: permille, State: state, DurationMs: 16000, Node: "nv1",
	}}})
}

func (r *rollouts) ordered() {
	r.takeOrder(store.KeyValue{Key: "orders/quotes", ModRevision: testOrder})
}

func TestSharesFollowTheSteward(t *testing.T) {
	tests := map[string]struct {
		versions []string
		happen   func(*rollouts)
		want     routing.Shares
	}{
		"no order":                      {[]string{"v1"}, func(*rollouts) {}, routing.Shares{"v1": 1000}},
		"a version nobody ordered":      {[]string{"v1", "v2"}, func(*rollouts) {}, routing.Shares{"v1": 1000}},
		"ordered, nothing decided":      {[]string{"v1", "v2"}, (*rollouts).ordered, routing.Shares{"v1": 1000}},
		"old servers replaced by newer": {[]string{"v2", "v1"}, (*rollouts).ordered, routing.Shares{"v1": 1000}},
		"canary": {[]string{"v1", "v2"}, func(r *rollouts) {
			r.ordered()
			r.said(40, wire.MoveState_MOVE_STATE_MOVING)
		}, routing.Shares{"v1": 960, "v2": 40}},
		"the steward's word before the order": {[]string{"v1", "v2"}, func(r *rollouts) {
			r.said(40, wire.MoveState_MOVE_STATE_MOVING)
			r.ordered()
		}, routing.Shares{"v1": 960, "v2": 40}},
		"done": {[]string{"v1", "v2"}, func(r *rollouts) {
			r.ordered()
			r.said(1000, wire.MoveState_MOVE_STATE_DONE)
		}, routing.Shares{"v2": 1000}},
		"taken back": {[]string{"v1", "v2"}, func(r *rollouts) {
			r.ordered()
			r.said(0, wire.MoveState_MOVE_STATE_TAKEN_BACK)
		}, routing.Shares{"v1": 1000}},
		"a late word after it was taken back": {[]string{"v1", "v2"}, func(r *rollouts) {
			r.ordered()
			r.said(0, wire.MoveState_MOVE_STATE_TAKEN_BACK)
			r.said(500, wire.MoveState_MOVE_STATE_MOVING)
		}, routing.Shares{"v1": 1000}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newTestRollouts(t, test.versions...)
			test.happen(r)
			if got := r.shares("quotes"); fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestDeadlineOfOrderHeardFromSteward: a node that heard of an order through
// its steward knows the deadline, so that it does not hurry when it takes over.
func TestDeadlineOfOrderHeardFromSteward(t *testing.T) {
	tests := map[string]func(*rollouts){
		"from the steward alone":      func(r *rollouts) { r.said(40, wire.MoveState_MOVE_STATE_MOVING) },
		"from the steward, then read": func(r *rollouts) { r.said(40, wire.MoveState_MOVE_STATE_MOVING); r.ordered() },
	}
	for name, happen := range tests {
		t.Run(name, func(t *testing.T) {
			r := newTestRollouts(t, "v1", "v2")
			happen(r)
			got := r.orders["quotes"].order.Duration
			if want := 16 * time.Second; got != want {
				t.Errorf("the order lasts %v, want %v", got, want)
			}
		})
	}
}

// TestWhoStandsForSteward: others take over from a steward that is silent, or
// that still decides but cannot reach the store.
func TestWhoStandsForSteward(t *testing.T) {
	say := func(stranded bool) func(*rollouts) {
		return func(r *rollouts) {
			r.records.Set(&wire.Record{Key: gossip.PrefixRollout + "quotes", Epoch: 1, Step: 1, Body: &wire.Record_Rollout{Rollout: &wire.Rollout{
				Service: "quotes", Version: "v2", Order: testOrder, DurationMs: 16000, Node: "nv1", Stranded: stranded,
			}}})
		}
	}
	tests := map[string]struct {
		happen func(*rollouts)
		after  time.Duration
		want   bool
	}{
		"an order that nobody took":        {(*rollouts).ordered, 10 * standInterval, true},
		"a steward that was heard":         {say(false), rolloutSilence / 2, false},
		"a steward that fell silent":       {say(false), rolloutSilence + 10*standInterval, true},
		"a steward that lost the store":    {say(true), 10 * standInterval, true},
		"an order whose end was reported":  {func(r *rollouts) { say(false)(r); r.orders["quotes"].record.Reported = true }, time.Minute, false},
		"a steward that has it back again": {func(r *rollouts) { say(true)(r); r.said(40, wire.MoveState_MOVE_STATE_MOVING) }, rolloutSilence / 2, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			r := newTestRollouts(t, "v1", "v2")
			r.Common = common.New(common.WithClock(func() time.Time { return now }))
			test.happen(r)
			now = now.Add(test.after)
			if got := r.isEligible(); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
