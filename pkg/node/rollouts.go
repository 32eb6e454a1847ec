package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// paceInterval is short beside the steps of a move and the time in which a
	// fault has to be acted on.
	paceInterval = 200 * time.Millisecond
	// rolloutLease bounds the time without decisions after a steward's death.
	rolloutLease   = 2 * time.Second
	rolloutRenewal = 600 * time.Millisecond
	// rolloutSilence is the time without a word from the steward after which
	// others stand for its place, one after the other.
	rolloutSilence = 1500 * time.Millisecond
	standInterval  = 200 * time.Millisecond
	// stewardWord is the longest time between two records of a steward.
	stewardWord = 500 * time.Millisecond
	stewardKey  = "hibiscusrock/steward"
)

// rollouts follows the operators' orders to move services to other versions.
type rollouts struct {
	*Node
	woken   chan struct{}
	steward *steward

	mu sync.Mutex
	// orders holds the newest order of each service.
	orders map[string]*trackedOrder
	// established holds the version of each service that takes its traffic.
	established map[string]string
}

// trackedOrder is what this node knows of one order.
type trackedOrder struct {
	order rollout.Order
	// seen is when this node first saw the order.
	seen time.Time
	// record is the newest word of a steward on this order, heardAt its arrival.
	record  *wire.Rollout
	heardAt time.Time
	// strandedAt is when the steward first said that it cannot reach the store.
	strandedAt time.Time
	// sent is the number of requests in the evidence last sent.
	sent  uint64
	drive *drive
}

// isOpen reports whether the operators still wait for the order's end.
func (t *trackedOrder) isOpen() bool { return !t.record.GetReported() }

func newRollouts(n *Node) *rollouts {
	r := &rollouts{Node: n, woken: make(chan struct{}, 1), orders: make(map[string]*trackedOrder), established: make(map[string]string)}
	kv := n.link.KV
	r.steward = newSteward(n.Common, n.settings.Node, election{
		key:       stewardKey,
		lease:     rolloutLease,
		renewal:   rolloutRenewal,
		get:       kv.Get,
		swap:      kv.Swap,
		grant:     kv.Grant,
		keepAlive: kv.KeepAlive,
		revoke:    kv.Revoke,
		eligible:  r.isEligible,
		stoodDown: r.dropDrives,
	})
	n.records.OnChange(r.observe)
	return r
}

// takeOrder takes in an order of the operators.
func (r *rollouts) takeOrder(kv store.KeyValue) {
	order, err := r.link.DecodeOrder(kv.Value)
	if err != nil {
		r.Count(`hibiscusrock_orders_refused_total`)
		r.Event(event.OrderRefused).WithField("key", kv.Key).WithError(err).Warn("order refused")
		return
	}
	order.Revision = kv.ModRevision
	r.mu.Lock()
	old := r.orders[order.Service]
	isNew := old == nil || old.order.Revision < order.Revision
	switch {
	case isNew:
		r.settleEstablished(order.Service, old)
		r.orders[order.Service] = &trackedOrder{order: order, seen: r.Now(), record: r.recorded(order)}
	case old.order.Revision == order.Revision:
		old.order = order
	}
	r.mu.Unlock()
	if isNew {
		r.Event(event.OrderSeen).WithFields(logrus.Fields{
			"service": order.Service, "version": order.Version, "revision": order.Revision, "duration_ms": order.Duration.Milliseconds(),
		}).Info("order seen")
		wake(r.woken)
	}
}

// recorded returns a steward's word on an order that arrived before the order.
func (r *rollouts) recorded(order rollout.Order) *wire.Rollout {
	record := r.records.Get(gossip.PrefixRollout + order.Service).GetRollout()
	if record.GetOrder() != order.Revision {
		return nil
	}
	return record
}

// settleEstablished keeps the version to which an earlier order moved a service.
func (r *rollouts) settleEstablished(service string, old *trackedOrder) {
	if old != nil && old.record.GetState() == wire.MoveState_MOVE_STATE_DONE {
		r.established[service] = old.order.Version
	}
}

// observe follows what stewards decide. A node that has not seen the order
// takes it from the steward's word.
func (r *rollouts) observe(record *wire.Record) {
	said := record.GetRollout()
	if said == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.orders[said.GetService()]
	switch {
	case t == nil || t.order.Revision < said.GetOrder():
		r.settleEstablished(said.GetService(), t)
		order := rollout.Order{
			Service:  said.GetService(),
			Version:  said.GetVersion(),
			Revision: said.GetOrder(),
			Duration: time.Duration(said.GetDurationMs()) * time.Millisecond,
		}
		t = &trackedOrder{order: order, seen: r.Now()}
		r.orders[said.GetService()] = t
	case t.order.Revision > said.GetOrder():
		return
	}
	t.heardAt = r.Now()
	switch {
	case !said.GetStranded():
		t.strandedAt = time.Time{}
	case t.strandedAt.IsZero():
		t.strandedAt = t.heardAt
	}
	if isFinal(t.record) && !isFinal(said) {
		return
	}
	if t.record.GetState() != said.GetState() || t.record.GetPermille() != said.GetPermille() {
		r.Event(event.ShareChanged).WithFields(logrus.Fields{
			"service": said.GetService(), "version": said.GetVersion(), "permille": said.GetPermille(),
			"state": said.GetState().String(), "cause": said.GetCause(), "steward": said.GetNode(), "epoch": record.GetEpoch(), "step": record.GetStep(),
		}).Info("share changed")
	}
	t.record = said
}

func isFinal(said *wire.Rollout) bool {
	return said.GetState() != wire.MoveState_MOVE_STATE_MOVING
}

// shares returns the versions of a service with their shares.
func (r *rollouts) shares(service string) routing.Shares {
	versions := r.endpoints.Versions(service)
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.orders[service]
	base := r.base(service, t, versions)
	shares := routing.Shares{base: bundle.FullPermille}
	if t == nil || t.record == nil {
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

// base returns the version of a service that takes what no order moves: the
// one that did so before as long as it has backend servers, else the one whose
// backend servers started first.
func (r *rollouts) base(service string, t *trackedOrder, versions []string) string {
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

// halted reports whether a version of a service takes no requests.
func (r *rollouts) halted(service, version string) bool {
	versions := r.endpoints.Versions(service)
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.orders[service]
	if t != nil && t.record.GetState() == wire.MoveState_MOVE_STATE_DONE {
		return version != t.order.Version
	}
	if t != nil && version == t.order.Version {
		return isFinal(t.record)
	}
	base := r.base(service, t, versions)
	return base != "" && version != base && slices.Contains(versions, base)
}

// moving reports whether a version is under an order that is not done.
func (r *rollouts) moving(service, version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.orders[service]
	return t != nil && t.order.Version == version && !isFinal(t.record)
}

// run works on the open orders at a steady pace.
func (r *rollouts) run(ctx context.Context) {
	reports := loop(ctx, r.runReports)
	ticker := time.NewTicker(paceInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-r.woken:
		}
		open := r.open()
		for _, t := range open {
			r.sendEvidence(ctx, t)
			if r.steward.isActive() {
				r.steer(t)
			}
		}
	}
	<-reports
}

// runReports does what needs the store, so that one that is slow or away
// delays no decision.
func (r *rollouts) runReports(ctx context.Context) {
	for common.Sleep(ctx, common.Jittered(paceInterval)) {
		open := r.open()
		r.steward.tick(ctx, len(open) > 0)
		if !r.steward.isActive() {
			continue
		}
		for _, t := range open {
			r.report(ctx, t)
		}
	}
	r.steward.resign()
}

// open returns the orders whose end the operators have not been told.
func (r *rollouts) open() []*trackedOrder {
	r.mu.Lock()
	defer r.mu.Unlock()
	var open []*trackedOrder
	for _, t := range r.orders {
		if t.isOpen() {
			open = append(open, t)
		}
	}
	return open
}

// isEligible lets nodes stand for steward one after the other, in an order of
// their own for each service, once they have heard nothing for a while or the
// steward cannot reach the store.
func (r *rollouts) isEligible() bool {
	now := r.Now()
	for _, t := range r.open() {
		rank, _ := r.ranks(t.order.Service)
		turn := time.Duration(rank) * standInterval
		r.mu.Lock()
		due := t.seen.Add(turn)
		if !t.heardAt.IsZero() {
			due = t.heardAt.Add(rolloutSilence + turn)
		}
		if !t.strandedAt.IsZero() {
			due = t.strandedAt.Add(turn)
		}
		r.mu.Unlock()
		if !now.Before(due) {
			return true
		}
	}
	return false
}

// sendEvidence tells the steward what this host's backend server did.
func (r *rollouts) sendEvidence(ctx context.Context, t *trackedOrder) {
	totals := r.recorder.Totals(t.order.Service)
	if !r.hostsService(t.order.Service) && len(totals) == 0 {
		return
	}
	requests := uint64(1)
	for _, total := range totals {
		requests += total.GetRequests()
	}
	r.mu.Lock()
	steward := t.record.GetNode()
	changed := t.sent != requests
	t.sent = requests
	r.mu.Unlock()
	if !changed && steward != r.settings.Node {
		return
	}
	record := &wire.Record{
		Key:   gossip.PrefixEvidence + r.settings.Node + "/" + t.order.Service,
		Epoch: r.members.Incarnation(),
		Step:  uint64(r.Now().UnixMilli()),
		Body: &wire.Record_Evidence{Evidence: &wire.Evidence{
			Node: r.settings.Node, Service: t.order.Service, Sequence: uint64(t.order.Revision), Totals: totals, DataCentre: r.settings.DataCentre,
		}},
	}
	r.records.Set(record)
	if address, ok := r.address(steward); ok && steward != r.settings.Node {
		go r.gossiper.sendTo(ctx, address, record)
	}
}
