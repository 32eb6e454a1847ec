package node

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// decisionInterval is short compared with the steps of a rollout and with
	// the time within which a fault must be acted on.
	decisionInterval = 200 * time.Millisecond
	// storeLeaderLeaseTTL bounds the time without decisions after the leader's
	// death.
	storeLeaderLeaseTTL      = 2 * time.Second
	storeLeaderRenewInterval = 600 * time.Millisecond
	// leaderSilenceTimeout is the time without a record from the leader after
	// which other nodes become eligible to replace it, one after the other,
	// candidacyInterval apart.
	leaderSilenceTimeout = 1500 * time.Millisecond
	candidacyInterval    = 200 * time.Millisecond
	// maxStandbyRank is the highest rank of the nodes that keep the evidence about an
	// order while another node leads.
	maxStandbyRank = 2
	// leaderRecordInterval is the time after which the leader publishes its
	// decision on an order again although it has not changed.
	leaderRecordInterval = 500 * time.Millisecond
	storeLeaderKey       = "hibiscusrock/steward"
)

// storeRollouts tracks the operators' orders to move services to other versions
// on a node in store mode, and on the leader decides the shares. One
// leader decides for the whole deployment. Its counterpart in release mode is
// releaseMoves.
type storeRollouts struct {
	*Node
	woken      chan struct{}
	leadership *leadership

	mu     sync.Mutex
	orders *orderBook
	// established holds the version of each service that receives the requests
	// which no order moves, by service.
	established map[string]string
}

func newStoreRollouts(n *Node) *storeRollouts {
	r := &storeRollouts{Node: n, woken: make(chan struct{}, 1), orders: newOrderBook(), established: make(map[string]string)}
	kv := n.adapter.KV
	r.leadership = newLeadership(n.Common, n.settings.Node, election{
		key:           storeLeaderKey,
		leaseTTL:      storeLeaderLeaseTTL,
		renewInterval: storeLeaderRenewInterval,
		get:           kv.Get,
		swap:          kv.Swap,
		grant:         kv.Grant,
		keepAlive:     kv.KeepAlive,
		revoke:        kv.Revoke,
		eligible:      r.isEligible,
		onStepDown:    r.forgetDecisions,
	})
	n.records.OnChange(r.observe)
	return r
}

// receiveOrder tracks an order read from the store unless it is older than the
// tracked one.
func (r *storeRollouts) receiveOrder(kv store.KeyValue) {
	order, err := r.adapter.DecodeOrder(kv.Value)
	if err == nil && kv.Key != r.adapter.OrderPrefix+order.Service {
		err = fault.New(fault.KindInvalid, "the order is for the service "+strconv.Quote(order.Service)+", which its key does not name", "write the order under the key of its service")
	}
	if err != nil {
		r.Count(`hibiscusrock_orders_refused_total`)
		r.Event(event.OrderRefused).WithField("key", kv.Key).WithError(err).Warn("order refused")
		return
	}
	order.Revision = kv.ModRevision
	if r.track(order) {
		r.Event(event.OrderSeen).WithFields(logrus.Fields{
			"service": order.Service, "version": order.Version, "revision": store.NumberOf(order.Revision), "era": store.EraOf(order.Revision), "duration_ms": order.Duration.Milliseconds(),
		}).Info("order seen")
		wake(r.woken)
	}
}

// track tracks an order that was read from the store, and reports whether it is a new one.
func (r *storeRollouts) track(order rollout.Order) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, replaced, isNew := r.orders.receive(order, r.Now())
	if replaced != nil {
		r.keepEstablished(order.Service, replaced)
	}
	if isNew {
		r.adoptEarlierRecord(t, replaced)
		r.adoptEarlierHalt(t, replaced)
	}
	return isNew
}

// adoptEarlierRecord adopts the leader's record about an order if it arrived before the
// order itself, and is not about the order that this one replaces.
func (r *storeRollouts) adoptEarlierRecord(t, replaced *trackedOrder) {
	record := r.records.Get(gossip.PrefixRollout + t.order.Service)
	update := record.GetRollout()
	if update == nil || !t.isSame(orderOf(update)) || replaced != nil && replaced.isSame(orderOf(update)) {
		return
	}
	t.record, t.epoch = update, record.GetEpoch()
}

// orderOf returns the order that a leader's record is about.
func orderOf(update *wire.Rollout) rollout.Order {
	return rollout.Order{
		Service:  update.GetService(),
		Version:  update.GetVersion(),
		Revision: update.GetOrder(),
		Duration: time.Duration(update.GetDurationMs()) * time.Millisecond,
	}
}

// keepEstablished records the version to which a completed earlier order
// moved a service.
func (r *storeRollouts) keepEstablished(service string, old *trackedOrder) {
	if old != nil && old.record.GetState() == wire.MoveState_MOVE_STATE_DONE {
		r.established[service] = old.order.Version
	}
}

// observe applies the decisions that leaders publish. A node that has not read
// the order from the store takes it from the leader's record.
func (r *storeRollouts) observe(record *wire.Record) {
	if halt := record.GetHalt(); halt != nil {
		r.observeHalt(halt)
		return
	}
	update := record.GetRollout()
	if update == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t, replaced := r.orders.follow(orderOf(update), record.GetEpoch(), r.Now())
	if t == nil {
		return
	}
	if replaced != nil {
		r.keepEstablished(update.GetService(), replaced)
	}
	r.adoptEarlierHalt(t, replaced)
	t.receivedAt = r.Now()
	switch {
	case !update.GetStranded():
		t.strandedAt = time.Time{}
	case t.strandedAt.IsZero():
		t.strandedAt = t.receivedAt
	}
	if isFinal(t.record) && !isFinal(update) {
		return
	}
	t.epoch = record.GetEpoch()
	if t.record.GetState() != update.GetState() || t.record.GetPermille() != update.GetPermille() {
		r.Event(event.ShareChanged).WithFields(logrus.Fields{
			"service": update.GetService(), "version": update.GetVersion(), "permille": update.GetPermille(),
			"state": update.GetState().String(), "cause": update.GetCause(), "steward": update.GetNode(), "epoch": record.GetEpoch(), "step": record.GetStep(),
		}).Info("share changed")
	}
	t.record = update
}

func isFinal(decision *wire.Rollout) bool {
	return decision.GetState() != wire.MoveState_MOVE_STATE_MOVING
}

// shares returns the versions of a service with their shares of its requests in
// permille.
func (r *storeRollouts) shares(service string) routing.Shares {
	versions := r.endpoints.Versions(service)
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.orders.newest[service]
	base := r.baseVersion(service, t, versions)
	shares := routing.Shares{base: bundle.FullPermille}
	if t == nil || t.record == nil || t.isRolledBack() {
		return shares
	}
	switch t.record.GetState() {
	case wire.MoveState_MOVE_STATE_DONE:
		return routing.Shares{t.order.Version: bundle.FullPermille}
	case wire.MoveState_MOVE_STATE_MOVING:
		permille := int(t.record.GetPermille())
		shares[base] = bundle.FullPermille - permille
		shares[t.order.Version] += permille
	}
	return shares
}

// baseVersion returns the version of a service that receives the requests which
// no order moves: the version that did so before, as long as it has backend
// servers, else the one whose backend servers started first.
func (r *storeRollouts) baseVersion(service string, t *trackedOrder, versions []string) string {
	target := ""
	if t != nil && t.record.GetState() != wire.MoveState_MOVE_STATE_DONE {
		target = t.order.Version
	}
	base := r.established[service]
	if base != "" && base != target && slices.Contains(versions, base) {
		return base
	}
	for _, version := range versions {
		if version != target {
			r.established[service] = version
			return version
		}
	}
	return base
}

// isHalted reports whether a version of a service must not receive requests.
func (r *storeRollouts) isHalted(service, version string) bool {
	versions := r.endpoints.Versions(service)
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.orders.newest[service]
	if t != nil && t.record.GetState() == wire.MoveState_MOVE_STATE_DONE {
		return version != t.order.Version
	}
	if t != nil && version == t.order.Version {
		return t.isRolledBack()
	}
	base := r.baseVersion(service, t, versions)
	return base != "" && version != base && slices.Contains(versions, base)
}

// isMoving reports whether a version is the target of an order that is neither
// done nor rolled back.
func (r *storeRollouts) isMoving(service, version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.orders.newest[service]
	return t != nil && t.order.Version == version && !isFinal(t.record) && !t.isRolledBack()
}

// run sends evidence and, on the leader, decides the shares of all open orders,
// every decisionInterval and at once after a new order.
func (r *storeRollouts) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	reports := r.startLoop(ctx, "reports of roll-outs", r.runReports)
	defer func() {
		cancel()
		<-reports
	}()
	ticker := time.NewTicker(decisionInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-r.woken:
		}
		r.forEach(r.openOrders(), func(t *trackedOrder) {
			r.sendEvidence(ctx, t)
			switch {
			case r.leadership.isHeld():
				r.decideShare(t)
			case r.isStandby(t.order.Service):
				r.followEvidence(t)
			}
		})
	}
}

// forEach calls step for each order. A panic of one is reported and does not keep the
// others from their steps, nor the order from its next one.
func (r *storeRollouts) forEach(orders []*trackedOrder, step func(*trackedOrder)) {
	for _, t := range orders {
		func() {
			defer r.Contain("roll-out of "+t.order.Service, nil)
			step(t)
		}()
	}
}

// runReports makes all calls to the store: the leader election and the
// operators' status. It runs apart from run so that a slow or unreachable store
// delays no decision.
func (r *storeRollouts) runReports(ctx context.Context) {
	for common.Sleep(ctx, common.Jittered(decisionInterval)) {
		open := r.openOrders()
		r.leadership.tick(ctx, len(open) > 0)
		if !r.leadership.isHeld() {
			continue
		}
		r.forEach(open, func(t *trackedOrder) { r.report(ctx, t) })
	}
	r.leadership.resign()
}

// openOrders returns the orders whose final state is not known to be in the operators'
// status.
func (r *storeRollouts) openOrders() []*trackedOrder {
	r.mu.Lock()
	defer r.mu.Unlock()
	var open []*trackedOrder
	era := r.adapter.Era()
	for _, t := range r.orders.newest {
		if t.isOpen(era) {
			open = append(open, t)
		}
	}
	return open
}

// isEligible reports whether this node may try to become the leader. Nodes
// become eligible one after the other, in a different order for each service,
// once they have received an order without a leader's record, have received
// nothing from the leader for leaderSilenceTimeout, or have a record in which
// the leader reports that it cannot reach the store.
func (r *storeRollouts) isEligible() bool {
	now := r.Now()
	for _, t := range r.openOrders() {
		rank := r.rank(t.order.Service)
		delay := time.Duration(rank) * candidacyInterval
		r.mu.Lock()
		due := t.firstSeen.Add(delay)
		if !t.receivedAt.IsZero() {
			due = t.receivedAt.Add(leaderSilenceTimeout + delay)
		}
		if !t.strandedAt.IsZero() {
			due = t.strandedAt.Add(delay)
		}
		r.mu.Unlock()
		if !now.Before(due) {
			return true
		}
	}
	return false
}

// sendEvidence publishes the request totals of this host's backend servers for
// the service of an order, and also sends them to the leader directly.
func (r *storeRollouts) sendEvidence(ctx context.Context, t *trackedOrder) {
	totals := r.recorder.Totals(t.order.Service)
	if !r.hostsService(t.order.Service) && len(totals) == 0 {
		return
	}
	progress := rollout.ProgressOf(totals)
	r.mu.Lock()
	leader := t.record.GetNode()
	changed := !t.evidenceSent || progress.Running || progress != t.sentProgress
	t.evidenceSent, t.sentProgress = true, progress
	r.mu.Unlock()
	if !changed && leader != r.settings.Node {
		return
	}
	record := &wire.Record{
		Key:   gossip.PrefixEvidence + r.settings.Node + "/" + t.order.Service,
		Epoch: r.members.Incarnation(),
		Step:  uint64(r.Now().UnixMilli()),
		Body: &wire.Record_Evidence{Evidence: &wire.Evidence{
			Node: r.settings.Node, Service: t.order.Service, Sequence: uint64(t.revision.Load()), Totals: totals, DataCentre: r.settings.DataCentre,
		}},
	}
	r.records.Set(record)
	if address, ok := r.address(leader); ok && leader != r.settings.Node {
		r.startTask(ctx, "evidence for the leader", func(ctx context.Context) { r.gossiper.sendTo(ctx, address, record) })
	}
}
