package node

import (
	"context"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/catalog"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// decideShare decides the next share of a move on the leader and publishes it.
func (m *releaseMoves) decideShare(ctx context.Context, view moveView, t *trackedMove, evidence []*wire.Evidence) {
	if !t.resumed && !m.resume(ctx, view, t) {
		return
	}
	input := rollout.StepInput{
		Now:        m.Now(),
		NewServers: m.countNewServers(view.move),
		OldServers: m.endpoints.Count(view.move.GetService(), view.move.GetFrom(), ""),
		Halt:       view.halt,
	}
	m.traces.record(view.move, input, evidence)
	finding, changed := t.evaluator.Step(input)
	if finding != nil {
		m.publishHalt(view.move, finding.Halt(view.move, m.settings.DataCentre, m.Now()))
		return
	}
	if changed || view.share == nil {
		m.publishShare(view.move, t.evaluator.State())
	}
	m.report(ctx, view, t)
}

// countNewServers counts the usable backend servers of the new version in this
// data centre. If there are none, those of all data centres count when the
// service has no backend servers here at all, or when 1/remoteFallbackDivisor of
// the move's time or less is left before its deadline. Until then a data centre
// that has backend servers of the service waits for new ones of its own.
func (m *releaseMoves) countNewServers(move *wire.Move) int {
	service, own := move.GetService(), m.settings.DataCentre
	local := m.endpoints.Count(service, move.GetTo(), own)
	if local > 0 {
		return local
	}
	length := time.Duration(move.GetDeadlineUnixMs()-move.GetStartUnixMs()) * time.Millisecond
	late := m.Now().After(time.UnixMilli(move.GetDeadlineUnixMs()).Add(-length / remoteFallbackDivisor))
	if late || m.endpoints.Count(service, "", own) == 0 {
		return m.endpoints.Count(service, move.GetTo(), "")
	}
	return 0
}

func (m *releaseMoves) publishShare(move *wire.Move, state rollout.State) {
	epoch := m.leadership.epoch.Load()
	step := uint64(1)
	key := shareKey(m.settings.DataCentre, move.GetService())
	if old := m.records.Get(key); old != nil && old.GetEpoch() == epoch {
		step = old.GetStep() + 1
	}
	share := &wire.Share{
		DataCentre:  m.settings.DataCentre,
		Service:     move.GetService(),
		Sequence:    move.GetSequence(),
		Permille:    uint32(state.Permille),
		State:       state.Phase,
		Note:        state.Note,
		Stage:       uint64(state.Stage),
		SinceUnixMs: state.Since.UnixMilli(),
	}
	m.Event(event.ShareChanged).WithField("service", move.GetService()).WithField("permille", state.Permille).WithField("note", state.Note).Info("share decided")
	if !m.records.Set(&wire.Record{Key: key, Epoch: epoch, Step: step, Body: &wire.Record_Share{Share: share}}) {
		m.leadership.stepDown("a newer leader decides")
	}
}

// resume continues a move that another leader began. It returns false while the
// state of the move cannot be known because the platform does not answer and no
// share was published.
func (m *releaseMoves) resume(ctx context.Context, view moveView, t *trackedMove) bool {
	report, found, err := catalog.New(m.platform).Report(ctx, view.move.GetSequence(), m.settings.DataCentre, view.move.GetService())
	if err != nil && view.share == nil {
		return false
	}
	t.resumed = true
	state := t.evaluator.State()
	if found {
		state = stateFromReport(report)
	}
	if view.share != nil {
		state = stateFromShare(view.share)
	}
	if found {
		state.Begun = report.Begun
	}
	t.evaluator.Resume(state)
	if !found {
		return true
	}
	if report.Halt != nil && view.halt == nil {
		m.publishHalt(view.move, haltFromReport(view.move, report.Halt))
	}
	return true
}

func stateFromShare(share *wire.Share) rollout.State {
	return rollout.State{
		Phase:    share.GetState(),
		Permille: int(share.GetPermille()),
		Stage:    int(share.GetStage()),
		Since:    time.UnixMilli(share.GetSinceUnixMs()),
		Begun:    time.UnixMilli(share.GetSinceUnixMs()),
		Note:     share.GetNote(),
	}
}

func stateFromReport(report catalog.Report) rollout.State {
	s := rollout.State{Permille: report.Permille, Since: report.Since, Begun: report.Begun, Note: report.Note}
	switch report.State {
	case rollout.NameDone:
		s.Phase = wire.MoveState_MOVE_STATE_DONE
		s.Permille = bundle.FullPermille
	case rollout.NameRolledBack:
		s.Phase = wire.MoveState_MOVE_STATE_TAKEN_BACK
		s.Permille = 0
	}
	return s
}

func haltFromReport(move *wire.Move, h *catalog.HaltReport) *wire.Halt {
	return &wire.Halt{
		Service:    move.GetService(),
		Version:    move.GetTo(),
		Sequence:   move.GetSequence(),
		Cause:      h.Cause,
		Route:      h.Route,
		Figures:    h.Figures,
		DataCentre: h.DataCentre,
		AtUnixMs:   h.At.UnixMilli(),
	}
}

// report writes the state of a move to the platform for the operators when it
// changed.
func (m *releaseMoves) report(ctx context.Context, view moveView, t *trackedMove) {
	state := t.evaluator.State()
	r := catalog.Report{
		Sequence:   view.move.GetSequence(),
		DataCentre: m.settings.DataCentre,
		Service:    view.move.GetService(),
		Version:    view.move.GetTo(),
		State:      rollout.PhaseName(state.Phase),
		Permille:   state.Permille,
		Note:       state.Note,
		Begun:      state.Begun,
		Since:      state.Since,
	}
	if state.Phase == wire.MoveState_MOVE_STATE_TAKEN_BACK && view.halt != nil {
		h := view.halt
		r.Halt = &catalog.HaltReport{Cause: h.GetCause(), Route: h.GetRoute(), Figures: h.GetFigures(), DataCentre: h.GetDataCentre(), At: time.UnixMilli(h.GetAtUnixMs())}
	}
	before := t.reported
	if before.State == r.State && before.Permille == r.Permille && before.Note == r.Note {
		return
	}
	r.At = m.Now()
	if catalog.New(m.platform).PutReport(ctx, r) == nil {
		t.reported = r
	}
}
