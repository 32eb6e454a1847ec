package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// orderDecisions is what this node keeps about one order while it decides the share
// of the order's version, or may have to take over from the leader.
type orderDecisions struct {
	mu        sync.Mutex
	evaluator *rollout.Evaluator
	leaderState
}

// leaderState is what the leader keeps about one order.
type leaderState struct {
	// leads is set once this node continued from the record of the leader before.
	leads       bool
	deadline    time.Time
	begun       time.Time
	cause       string
	publishedAt time.Time
	step        uint64
	// statusRead is set once the operators' status was read from the store, at
	// statusRevision.
	statusRead     bool
	statusRevision int64
	// reportedState is the state that the operators' status holds.
	reportedState string
}

// forgetDecisions drops this node's state as the leader. It keeps the evidence.
func (r *storeRollouts) forgetDecisions() {
	for _, d := range r.allDecisions() {
		d.mu.Lock()
		d.leaderState = leaderState{}
		d.mu.Unlock()
	}
}

func (r *storeRollouts) allDecisions() []*orderDecisions {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*orderDecisions
	for _, t := range r.orders.newest {
		if t.decisions != nil {
			all = append(all, t.decisions)
		}
	}
	return all
}

// decisionsFor returns what this node keeps about an order, and creates it when
// there is none.
func (r *storeRollouts) decisionsFor(t *trackedOrder) *orderDecisions {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.decisions == nil {
		move := &wire.Move{Service: t.order.Service, To: t.order.Version, Sequence: uint64(t.order.Revision)}
		t.decisions = &orderDecisions{evaluator: rollout.NewEvaluator(move)}
	}
	return t.decisions
}

// isStandby reports whether this node is among the first that would replace the
// leader of a service's order.
func (r *storeRollouts) isStandby(service string) bool {
	rank := r.rank(service)
	return rank <= maxStandbyRank
}

// followEvidence keeps the evidence about an order that another node decides. A new
// leader without it would compare the versions from its election on, and a fault that
// had shown before would not count.
func (r *storeRollouts) followEvidence(t *trackedOrder) {
	d := r.decisionsFor(t)
	r.mu.Lock()
	permille := int(t.record.GetPermille())
	r.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evaluator.Follow(r.Now(), permille, r.evidence(t))
}

// decideShare decides the share of one order's version and publishes it to the
// nodes. It makes no call to the store, so that a bad version is rolled back
// during an outage of the store as well.
func (r *storeRollouts) decideShare(t *trackedOrder) {
	d := r.decisionsFor(t)
	d.mu.Lock()
	defer d.mu.Unlock()
	r.lead(t, d)
	service := t.order.Service
	d.evaluator.Observe(r.Now(), r.evidence(t))
	adopted := r.adoptHalt(t, d)
	finding, changed := d.evaluator.StepBounded(rollout.BoundedInput{
		Now:        r.Now(),
		Deadline:   d.deadline,
		Bounds:     rollout.Bounds{Share: r.settings.Exposure.Share, Slack: r.settings.Exposure.Slack},
		NewServers: r.endpoints.Count(service, t.order.Version, ""),
	})
	if finding != nil {
		r.rollBack(t, d, finding)
		changed = true
	}
	if changed {
		r.logComparisons(t, d.evaluator)
	}
	r.publishDecision(t, d, changed || adopted)
}

// logComparisons logs the figures on which the share of an order's version was
// decided.
func (r *storeRollouts) logComparisons(t *trackedOrder, evaluator *rollout.Evaluator) {
	oldVersion, newVersion := evaluator.LatencyQuantiles()
	for _, c := range evaluator.Comparisons() {
		r.Event(event.VersionsCompared).WithFields(logrus.Fields{
			"service": t.order.Service, "version": t.order.Version, "permille": evaluator.State().Permille, "cause": c.Cause, "slow_factor": c.SlowFactor,
			"new_events": c.NewEvents, "new_trials": c.NewTrials, "old_events": c.OldEvents, "old_trials": c.OldTrials,
			"expected": c.Expected, "chance": c.Chance,
			"old_median_ms": oldVersion.Median.Milliseconds(), "old_p90_ms": oldVersion.P90.Milliseconds(),
			"new_median_ms": newVersion.Median.Milliseconds(), "new_p90_ms": newVersion.P90.Milliseconds(),
		}).Info("versions compared")
	}
}

// report writes the state of one order to the operators' status if it changed,
// and then publishes the decision, so that the nodes receive the state done
// after the operators.
func (r *storeRollouts) report(ctx context.Context, t *trackedOrder) {
	d := r.decisionsFor(t)
	r.takeOver(t, d)
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if !d.isStatusRead() && !r.readStatus(ctx, t, d) {
		return
	}
	if r.writeStatus(ctx, t, d) {
		d.mu.Lock()
		defer d.mu.Unlock()
		r.publishDecision(t, d, true)
	}
}

func (d *orderDecisions) isStatusRead() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.statusRead
}

func (r *storeRollouts) takeOver(t *trackedOrder, d *orderDecisions) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.lead(t, d)
}

// lead continues from the newest record of an earlier leader. The caller holds d.mu.
func (r *storeRollouts) lead(t *trackedOrder, d *orderDecisions) {
	if d.leads {
		return
	}
	d.leads = true
	r.mu.Lock()
	defer r.mu.Unlock()
	d.begun = t.firstSeen
	if t.record != nil {
		// An earlier leader may have seen the order before this node started.
		if begun := time.UnixMilli(t.record.GetBegunUnixMs()); begun.Before(d.begun) {
			d.begun = begun
		}
		d.evaluator.Resume(rollout.State{
			Phase:    t.record.GetState(),
			Permille: int(t.record.GetPermille()),
			Stage:    int(t.record.GetStage()),
			Since:    r.Now(),
			Begun:    d.begun,
		})
		d.cause = t.record.GetCause()
	}
	d.deadline = d.begun.Add(t.order.Duration)
}

// evidence returns the evidence about an order under the revision that it had first on
// this node. Other nodes may know it under the one of another era.
func (r *storeRollouts) evidence(t *trackedOrder) []*wire.Evidence {
	var evidence []*wire.Evidence
	for _, record := range r.records.List(gossip.PrefixEvidence) {
		e := record.GetEvidence()
		sequence := int64(e.GetSequence())
		if e.GetService() != t.order.Service || isSameEra(sequence, t.revision.Load()) && sequence != t.revision.Load() {
			continue
		}
		evidence = append(evidence, &wire.Evidence{
			Node: e.GetNode(), Service: e.GetService(), Sequence: uint64(t.order.Revision), Totals: e.GetTotals(), DataCentre: e.GetDataCentre(),
		})
	}
	return evidence
}

// rollBack ends the rollout of a version because of a finding.
func (r *storeRollouts) rollBack(t *trackedOrder, d *orderDecisions, finding *rollout.Finding) {
	halt := r.publishHalt(t, finding)
	d.cause = haltSummary(halt)
	d.evaluator.RollBack(r.Now())
	r.Count(`hibiscusrock_versions_taken_back_total`)
	r.Event(event.VersionRolledBack).WithFields(logrus.Fields{"service": t.order.Service, "version": t.order.Version, "cause": d.cause}).Warn("version rolled back")
}

// publishDecision publishes the leader's decision when it changed, and again
// after leaderRecordInterval, so that other nodes know that the leader is
// alive. Nodes receive the state done only after the operators' status holds
// it, and halt the old version then.
func (r *storeRollouts) publishDecision(t *trackedOrder, d *orderDecisions, changed bool) {
	if !changed && r.Now().Sub(d.publishedAt) < leaderRecordInterval {
		return
	}
	d.publishedAt = r.Now()
	d.step++
	state := d.evaluator.State()
	phase, isReported := state.Phase, d.reportedState == rollout.PhaseName(state.Phase)
	if phase == wire.MoveState_MOVE_STATE_DONE && !isReported && !r.isDone(t) {
		phase = wire.MoveState_MOVE_STATE_MOVING
	}
	decision := &wire.Rollout{
		Service:     t.order.Service,
		Version:     t.order.Version,
		State:       phase,
		Permille:    uint32(state.Permille),
		Order:       t.revision.Load(),
		Cause:       d.cause,
		Node:        r.settings.Node,
		Reported:    phase != wire.MoveState_MOVE_STATE_MOVING && isReported,
		BegunUnixMs: d.begun.UnixMilli(),
		Stage:       uint64(state.Stage),
		SinceUnixMs: state.Since.UnixMilli(),
		DurationMs:  t.order.Duration.Milliseconds(),
		Stranded:    r.leadership.isStranded(),
	}
	record := &wire.Record{Key: gossip.PrefixRollout + t.order.Service, Epoch: r.leadership.epoch.Load(), Step: d.step, Body: &wire.Record_Rollout{Rollout: decision}}
	if !r.records.Set(record) && r.records.HoldsNewer(record) {
		r.leadership.supersede()
	}
}

// isDone reports whether a leader has published that an order is done.
func (r *storeRollouts) isDone(t *trackedOrder) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return t.record.GetState() == wire.MoveState_MOVE_STATE_DONE
}

// readStatus reads the operators' status of the order and reports whether the
// store answered.
func (r *storeRollouts) readStatus(ctx context.Context, t *trackedOrder, d *orderDecisions) bool {
	kv, found, err := r.adapter.KV.Get(ctx, r.adapter.StatusPrefix+t.order.Service)
	if err != nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.statusRead = true
	if found {
		d.statusRevision = kv.ModRevision
		r.adoptStatus(t, d, kv)
	}
	return true
}

// adoptStatus continues from a final state that the operators' status already
// holds for this order.
func (r *storeRollouts) adoptStatus(t *trackedOrder, d *orderDecisions, kv store.KeyValue) {
	status, err := r.adapter.DecodeStatus(kv.Value)
	if err != nil || kv.ModRevision < t.revision.Load() || status.Version != t.order.Version {
		return
	}
	d.reportedState = status.State
	state := d.evaluator.State()
	switch status.State {
	case rollout.NameDone:
		state.Phase, state.Permille = wire.MoveState_MOVE_STATE_DONE, bundle.FullPermille
	case rollout.NameRolledBack:
		state.Phase, state.Permille = wire.MoveState_MOVE_STATE_TAKEN_BACK, 0
	default:
		return
	}
	d.evaluator.Resume(state)
}

// writeStatus writes the operators' status unless it already holds the decided
// state. It reports whether the status changed.
func (r *storeRollouts) writeStatus(ctx context.Context, t *trackedOrder, d *orderDecisions) bool {
	d.mu.Lock()
	state, revision, before := rollout.PhaseName(d.evaluator.State().Phase), d.statusRevision, d.reportedState
	d.mu.Unlock()
	if before == state {
		return false
	}
	content, err := r.adapter.EncodeStatus(rollout.Status{Service: t.order.Service, Version: t.order.Version, State: state})
	if err != nil {
		r.Event(event.StatusFailed).WithError(err).Error("status cannot be encoded")
		return false
	}
	written, kv, err := r.adapter.KV.Swap(ctx, revision, store.Write{Key: r.adapter.StatusPrefix + t.order.Service, Value: content})
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		// The write may still take effect, so the status is read again before
		// the next one.
		d.statusRead = false
		return false
	}
	d.statusRevision = kv.ModRevision
	if !written {
		r.adoptStatus(t, d, kv)
		return d.reportedState != before
	}
	d.reportedState = state
	r.Event(event.StatusWritten).WithFields(logrus.Fields{"service": t.order.Service, "version": t.order.Version, "state": state, "revision": store.NumberOf(kv.ModRevision), "era": store.EraOf(kv.ModRevision), "cause": d.cause}).Info("status written")
	return true
}
