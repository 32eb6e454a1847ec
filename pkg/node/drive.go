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

// drive is the steward's work on one order.
type drive struct {
	mu       sync.Mutex
	pilot    *rollout.Pilot
	deadline time.Time
	begun    time.Time
	cause    string
	said     time.Time
	step     uint64
	// read is set once the operators' status was read, at revision.
	read     bool
	revision int64
	// told is the state that the operators' status names.
	told string
}

// dropDrives ends this node's work as steward.
func (r *rollouts) dropDrives() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.orders {
		t.drive = nil
	}
}

// driveOf returns this node's work on an order as steward, begun when there is none.
func (r *rollouts) driveOf(t *trackedOrder) *drive {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.drive == nil {
		t.drive = r.newDrive(t)
	}
	return t.drive
}

// steer decides the share of one order's version and tells the nodes. It needs
// no store, so that a bad version is taken back without one.
func (r *rollouts) steer(t *trackedOrder) {
	d := r.driveOf(t)
	d.mu.Lock()
	defer d.mu.Unlock()
	service := t.order.Service
	d.pilot.Observe(r.Now(), r.evidence(service, t.order.Revision))
	finding, changed := d.pilot.StepPaced(rollout.Pace{
		Now:        r.Now(),
		Deadline:   d.deadline,
		Bounds:     rollout.Bounds{Share: r.settings.Exposure.Share, Slack: r.settings.Exposure.Slack},
		NewServers: r.endpoints.Count(service, t.order.Version, ""),
	})
	if finding != nil {
		r.takeBack(t, d, finding)
		changed = true
	}
	r.say(t, d, changed)
}

// report tells the operators where one order stands.
func (r *rollouts) report(ctx context.Context, t *trackedOrder) {
	d := r.driveOf(t)
	ctx, cancel := context.WithTimeout(ctx, platformPatience)
	defer cancel()
	if !d.isRead() && !r.readStatus(ctx, t, d) {
		return
	}
	if r.tell(ctx, t, d) {
		d.mu.Lock()
		defer d.mu.Unlock()
		r.say(t, d, true)
	}
}

func (d *drive) isRead() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.read
}

// newDrive goes on from what another steward said last.
func (r *rollouts) newDrive(t *trackedOrder) *drive {
	d := &drive{
		pilot: rollout.NewPilot(&wire.Move{Service: t.order.Service, To: t.order.Version, Sequence: uint64(t.order.Revision)}),
		begun: t.seen,
	}
	if t.record != nil {
		// Another steward may have seen the order before this node started.
		if begun := time.UnixMilli(t.record.GetBegunUnixMs()); begun.Before(d.begun) {
			d.begun = begun
		}
		d.pilot.Resume(rollout.State{
			Phase:    t.record.GetState(),
			Permille: int(t.record.GetPermille()),
			Stage:    int(t.record.GetStage()),
			Since:    r.Now(),
			Begun:    d.begun,
		})
		d.cause = t.record.GetCause()
	}
	d.deadline = d.begun.Add(t.order.Duration)
	return d
}

func (r *rollouts) evidence(service string, order int64) []*wire.Evidence {
	var evidence []*wire.Evidence
	for _, record := range r.records.List(gossip.PrefixEvidence) {
		e := record.GetEvidence()
		if e.GetService() == service && e.GetSequence() == uint64(order) {
			evidence = append(evidence, e)
		}
	}
	return evidence
}

// takeBack ends the move because of a finding.
func (r *rollouts) takeBack(t *trackedOrder, d *drive, finding *rollout.Finding) {
	d.cause = finding.Cause + " on " + finding.Route + ": " + finding.Figures
	state := d.pilot.State()
	state.Phase = wire.MoveState_MOVE_STATE_TAKEN_BACK
	state.Permille = 0
	state.Since = r.Now()
	d.pilot.Resume(state)
	r.Count(`hibiscusrock_versions_taken_back_total`)
	r.Event(event.VersionTakenBack).WithFields(logrus.Fields{"service": t.order.Service, "version": t.order.Version, "cause": d.cause}).Warn("version taken back")
}

// say spreads the steward's decision, and from time to time that it still
// decides. Nodes hear of the end of the old version after the operators.
func (r *rollouts) say(t *trackedOrder, d *drive, changed bool) {
	if !changed && r.Now().Sub(d.said) < stewardWord {
		return
	}
	d.said = r.Now()
	d.step++
	state := d.pilot.State()
	phase, told := state.Phase, d.told == rollout.PhaseName(state.Phase)
	if phase == wire.MoveState_MOVE_STATE_DONE && !told {
		phase = wire.MoveState_MOVE_STATE_MOVING
	}
	said := &wire.Rollout{
		Service:     t.order.Service,
		Version:     t.order.Version,
		State:       phase,
		Permille:    uint32(state.Permille),
		Order:       t.order.Revision,
		Cause:       d.cause,
		Node:        r.settings.Node,
		Reported:    phase != wire.MoveState_MOVE_STATE_MOVING && told,
		BegunUnixMs: d.begun.UnixMilli(),
		Stage:       uint64(state.Stage),
		SinceUnixMs: state.Since.UnixMilli(),
		DurationMs:  t.order.Duration.Milliseconds(),
		Stranded:    r.steward.isStranded(),
	}
	record := &wire.Record{Key: gossip.PrefixRollout + t.order.Service, Epoch: r.steward.epoch.Load(), Step: d.step, Body: &wire.Record_Rollout{Rollout: said}}
	if !r.records.Set(record) {
		r.steward.supersede()
	}
}

// readStatus reads what the operators were told of the order.
func (r *rollouts) readStatus(ctx context.Context, t *trackedOrder, d *drive) bool {
	kv, found, err := r.link.KV.Get(ctx, r.link.StatusPrefix+t.order.Service)
	if err != nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.read = true
	if found {
		d.revision = kv.ModRevision
		r.adopt(t, d, kv)
	}
	return true
}

// adopt takes over a state that the operators were told of this order.
func (r *rollouts) adopt(t *trackedOrder, d *drive, kv store.KeyValue) {
	status, err := r.link.DecodeStatus(kv.Value)
	if err != nil || kv.ModRevision < t.order.Revision || status.Version != t.order.Version {
		return
	}
	d.told = status.State
	state := d.pilot.State()
	switch status.State {
	case rollout.NameDone:
		state.Phase, state.Permille = wire.MoveState_MOVE_STATE_DONE, bundle.FullPermille
	case rollout.NameTakenBack:
		state.Phase, state.Permille = wire.MoveState_MOVE_STATE_TAKEN_BACK, 0
	default:
		return
	}
	d.pilot.Resume(state)
}

// tell writes the operators' status if it is not what they were told. It
// reports whether they are told something new.
func (r *rollouts) tell(ctx context.Context, t *trackedOrder, d *drive) bool {
	d.mu.Lock()
	state, revision, told := rollout.PhaseName(d.pilot.State().Phase), d.revision, d.told
	d.mu.Unlock()
	if told == state {
		return false
	}
	content, err := r.link.EncodeStatus(rollout.Status{Service: t.order.Service, Version: t.order.Version, State: state})
	if err != nil {
		r.Event(event.StatusFailed).WithError(err).Error("status cannot be encoded")
		return false
	}
	written, kv, err := r.link.KV.Swap(ctx, revision, store.Write{Key: r.link.StatusPrefix + t.order.Service, Value: content})
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		// The write may still take effect; it is read back before the next one.
		d.read = false
		return false
	}
	d.revision = kv.ModRevision
	if !written {
		r.adopt(t, d, kv)
		return d.told != told
	}
	d.told = state
	r.Event(event.StatusWritten).WithFields(logrus.Fields{"service": t.order.Service, "version": t.order.Version, "state": state, "revision": kv.ModRevision, "cause": d.cause}).Info("status written")
	return true
}
