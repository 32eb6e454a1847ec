package node

import (
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// A leader that rolls a version back also publishes a halt. Its decision gives way to those
// of a newer leader, which may not know the evidence; the halt does not.

func orderHaltKey(service string) string { return gossip.PrefixHalt + service }

// haltSummary returns the cause of a halt and the figures that show it, for people.
func haltSummary(halt *wire.Halt) string {
	return halt.GetCause() + " on " + halt.GetRoute() + ": " + halt.GetFigures()
}

// orderOfHalt returns the order whose version a halt ends.
func orderOfHalt(halt *wire.Halt) rollout.Order {
	return rollout.Order{Service: halt.GetService(), Version: halt.GetVersion(), Revision: int64(halt.GetSequence())}
}

// publishHalt halts the version of an order on all nodes. The order's revision is the epoch,
// so the halt of a later order replaces it.
func (r *storeRollouts) publishHalt(t *trackedOrder, finding *rollout.Finding) *wire.Halt {
	revision := uint64(t.revision.Load())
	move := &wire.Move{Service: t.order.Service, To: t.order.Version, Sequence: revision}
	halt := finding.Halt(move, r.settings.DataCentre, r.Now())
	r.records.Set(&wire.Record{Key: orderHaltKey(t.order.Service), Epoch: revision, Body: &wire.Record_Halt{Halt: halt}})
	return halt
}

// observeHalt stops the requests to the version of an order that a leader rolled back.
func (r *storeRollouts) observeHalt(halt *wire.Halt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.orders.newest[halt.GetService()]
	if t != nil && t.halt == nil && t.isSame(orderOfHalt(halt)) {
		t.halt = halt
	}
}

// adoptEarlierHalt adopts the halt of an order's version if it arrived before the order, and
// is not about the order that this one replaces. The caller holds r.mu.
func (r *storeRollouts) adoptEarlierHalt(t, replaced *trackedOrder) {
	halt := r.records.Get(orderHaltKey(t.order.Service)).GetHalt()
	if halt == nil || t.halt != nil || !t.isSame(orderOfHalt(halt)) {
		return
	}
	if replaced == nil || !replaced.isSame(orderOfHalt(halt)) {
		t.halt = halt
	}
}

// adoptHalt rolls the version of an order back that an earlier leader rolled back. It
// reports whether it changed the state. The caller holds d.mu.
func (r *storeRollouts) adoptHalt(t *trackedOrder, d *orderDecisions) bool {
	r.mu.Lock()
	halt := t.halt
	r.mu.Unlock()
	if halt == nil || d.evaluator.State().Phase != wire.MoveState_MOVE_STATE_MOVING {
		return false
	}
	d.cause = haltSummary(halt)
	d.evaluator.RollBack(r.Now())
	return true
}
