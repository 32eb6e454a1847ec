package node

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// maxEarlierOrders bounds the replaced orders of a service that are kept.
const maxEarlierOrders = 4

// trackedOrder is this node's state of one order.
type trackedOrder struct {
	// order has the revision that it had when it was first received.
	order rollout.Order
	// revision is the newest one of the order. It changes when the operators write the
	// order again that a restored store has lost.
	revision atomic.Int64
	// firstSeen is when this node first received the order.
	firstSeen time.Time
	// record is the newest record that a leader published about this order,
	// receivedAt its arrival, epoch that of the leader.
	record     *wire.Rollout
	receivedAt time.Time
	epoch      uint64
	// halt is set once a leader has rolled the version back, even if another one leads now.
	halt *wire.Halt
	// strandedAt is when the leader first reported that it cannot reach the store.
	strandedAt time.Time
	// sentProgress is that of the evidence last sent; it is sent once although no
	// request was served yet.
	evidenceSent bool
	sentProgress rollout.Progress
	decisions    *orderDecisions
}

func newTrackedOrder(order rollout.Order, now time.Time) *trackedOrder {
	t := &trackedOrder{order: order, firstSeen: now}
	t.revision.Store(order.Revision)
	return t
}

// isOpen reports whether the final state of the order has not been confirmed in the
// operators' status in the present era of the store. A restored store may have lost
// it.
func (t *trackedOrder) isOpen(era int64) bool {
	return !t.record.GetReported() || store.EraOf(int64(t.epoch)) < era
}

// isRolledBack reports whether a leader has rolled the version back. The state done
// is in the operators' status before nodes receive it, so it is the one that counts then.
func (t *trackedOrder) isRolledBack() bool {
	switch t.record.GetState() {
	case wire.MoveState_MOVE_STATE_DONE:
		return false
	case wire.MoveState_MOVE_STATE_TAKEN_BACK:
		return true
	}
	return t.halt != nil
}

// orderBook holds the newest order of each service and some earlier ones. It is not
// safe for concurrent use.
//
// The operators write an order again that a restored store has lost, and the store may
// show an order of before that one for a moment. Neither may begin a move anew: a
// version that was rolled back would get requests again.
type orderBook struct {
	newest  map[string]*trackedOrder
	earlier map[string][]*trackedOrder
}

func newOrderBook() *orderBook {
	return &orderBook{newest: make(map[string]*trackedOrder), earlier: make(map[string][]*trackedOrder)}
}

// receive tracks an order that was read from the store unless it is older than the
// tracked one. It returns the tracked order of the service, the one that it replaced or
// nil, and whether the order is a new one.
func (b *orderBook) receive(order rollout.Order, now time.Time) (t, replaced *trackedOrder, isNew bool) {
	t = b.newest[order.Service]
	switch {
	case t == nil:
	case t.isSame(order):
		t.raiseRevision(order.Revision)
		return t, nil, false
	case order.Revision < t.revision.Load() || b.isFromCopy(order):
		return t, nil, false
	}
	return b.replace(order, now)
}

// follow tracks the order of a leader's record and returns it. It returns nil if the
// order is older than the tracked one, unless the leader has read the store in the era of
// the tracked order and still decides the other one.
func (b *orderBook) follow(order rollout.Order, epoch uint64, now time.Time) (t, replaced *trackedOrder) {
	t = b.newest[order.Service]
	switch {
	case t == nil:
	case t.isSame(order):
		t.raiseRevision(order.Revision)
		return t, nil
	case order.Revision < t.revision.Load():
		era := store.EraOf(t.revision.Load())
		if store.EraOf(order.Revision) == era || store.EraOf(int64(epoch)) < era {
			return nil, nil
		}
	}
	t, replaced, _ = b.replace(order, now)
	return t, replaced
}

// replace tracks an order in place of the present one. An order that was tracked before
// keeps its state.
func (b *orderBook) replace(order rollout.Order, now time.Time) (t, replaced *trackedOrder, isNew bool) {
	service := order.Service
	replaced = b.newest[service]
	earlier := b.earlier[service]
	i := slices.IndexFunc(earlier, func(e *trackedOrder) bool { return e.isSame(order) })
	if i < 0 {
		t = newTrackedOrder(order, now)
	} else {
		t = earlier[i]
		t.raiseRevision(order.Revision)
		earlier = slices.Delete(earlier, i, i+1)
	}
	if replaced != nil {
		earlier = append(earlier, replaced)
	}
	b.earlier[service] = earlier[max(0, len(earlier)-maxEarlierOrders):]
	b.newest[service] = t
	return t, replaced, i < 0
}

// isFromCopy reports whether an order is an earlier one that a restored store shows
// again, with its number of before.
func (b *orderBook) isFromCopy(order rollout.Order) bool {
	return slices.ContainsFunc(b.earlier[order.Service], func(e *trackedOrder) bool {
		known := e.revision.Load()
		return e.isSame(order) && known < order.Revision && store.NumberOf(known) == store.NumberOf(order.Revision)
	})
}

// isSame reports whether an order is the tracked one: in one era if their revisions are
// equal, in two eras if their versions are, because the operators write again what the
// store has lost.
func (t *trackedOrder) isSame(order rollout.Order) bool {
	if revision := t.revision.Load(); isSameEra(revision, order.Revision) {
		return revision == order.Revision
	}
	return t.order.Version == order.Version
}

func (t *trackedOrder) raiseRevision(revision int64) {
	t.revision.Store(max(revision, t.revision.Load()))
}

func isSameEra(a, b int64) bool { return store.EraOf(a) == store.EraOf(b) }
