package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/catalog"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	moveInterval     = 250 * time.Millisecond
	evidenceInterval = 500 * time.Millisecond
	// watchAfterDone is the time in which a completed version is still judged.
	watchAfterDone = 2 * time.Minute
	// lateRemoteFraction of the time to the deadline is left when a data centre
	// without new backend servers turns to those of others.
	lateRemoteFraction = 5
)

// moves follows the moves of the release in force: it publishes this host's
// evidence, judges new versions, and on the steward decides the shares.
type moves struct {
	*Node
	woken chan struct{}
	// rebuilding keeps an older view from replacing a newer one.
	rebuilding sync.Mutex
	views      atomic.Pointer[map[string]moveView]
	tracks     map[string]*moveTrack
	steward    *steward
	// recorded keeps what the steward saw, for operators and replay.
	recorded *moveRecorder
}

// moveView is what the request path needs to know of one move.
type moveView struct {
	move     *wire.Move
	share    *wire.Share
	permille int
	halt     *wire.Halt
}

// moveTrack is what one node remembers of one move.
type moveTrack struct {
	pilot    *rollout.Pilot
	resumed  bool
	reported catalog.Report
	// requests, failures and published tell what was last published, and when.
	requests  uint64
	failures  uint64
	published time.Time
}

func newMoves(n *Node) *moves {
	m := &moves{Node: n, woken: make(chan struct{}, 1), tracks: make(map[string]*moveTrack)}
	m.views.Store(&map[string]moveView{})
	m.steward = newSteward(n)
	m.recorded = newMoveRecorder()
	n.store.OnChange(m.observe)
	return m
}

func (m *moves) wake() {
	m.rebuild()
	wake(m.woken)
}

func (m *moves) observe(r *wire.Record) {
	if r.GetHalt() != nil || (r.GetShare() != nil && r.GetShare().GetDataCentre() == m.settings.DataCentre) {
		m.rebuild()
	}
}

// rebuild derives the request path's view from the table and the records.
func (m *moves) rebuild() {
	m.rebuilding.Lock()
	defer m.rebuilding.Unlock()
	table := m.holder.Table()
	if table == nil {
		return
	}
	views := make(map[string]moveView)
	for _, move := range table.Moves() {
		views[move.GetService()] = m.view(move)
	}
	m.views.Store(&views)
}

func (m *moves) view(move *wire.Move) moveView {
	view := moveView{move: move}
	if r := m.store.Get(haltKey(move)); r != nil {
		view.halt = r.GetHalt()
	}
	if r := m.store.Get(shareKey(m.settings.DataCentre, move.GetService())); r != nil && r.GetShare().GetSequence() == move.GetSequence() {
		view.share = r.GetShare()
		view.permille = int(r.GetShare().GetPermille())
	}
	return view
}

func (m *moves) permille(move *wire.Move) int {
	view := (*m.views.Load())[move.GetService()]
	if view.move.GetSequence() != move.GetSequence() {
		return 0
	}
	return view.permille
}

func (m *moves) halt(service, version string) *wire.Halt {
	view := (*m.views.Load())[service]
	if view.halt == nil || view.move.GetTo() != version {
		return nil
	}
	return view.halt
}

// run works on the moves at a steady pace, and at once after a new release.
func (m *moves) run(ctx context.Context) {
	ticker := time.NewTicker(moveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			m.steward.resign()
			return
		case <-ticker.C:
		case <-m.woken:
		}
		m.tick(ctx)
	}
}

func (m *moves) tick(ctx context.Context) {
	table := m.holder.Table()
	if table == nil {
		return
	}
	active := false
	for _, move := range table.Moves() {
		view := (*m.views.Load())[move.GetService()]
		if view.move.GetSequence() != move.GetSequence() || m.isSettled(view) {
			continue
		}
		active = true
		m.follow(ctx, view)
	}
	m.steward.tick(ctx, active)
}

// isSettled reports whether a move needs no more work.
func (m *moves) isSettled(view moveView) bool {
	if view.share == nil || view.share.GetState() == wire.MoveState_MOVE_STATE_MOVING {
		return false
	}
	if view.halt != nil && view.share.GetState() != wire.MoveState_MOVE_STATE_TAKEN_BACK {
		return false
	}
	return m.Now().Sub(time.UnixMilli(view.share.GetSinceUnixMs())) > watchAfterDone
}

// follow works on one move. The relays of the data centre receive its evidence
// and judge it; the steward among them decides the share as well.
func (m *moves) follow(ctx context.Context, view moveView) {
	t := m.trackOf(view.move)
	m.publishEvidence(view.move, t)
	if !m.members.IsRelay() && !m.steward.isActive() {
		return
	}
	evidence := m.evidence(view.move)
	t.pilot.Observe(m.Now(), evidence)
	if m.steward.isActive() {
		m.steer(ctx, view, t, evidence)
		return
	}
	if view.halt == nil && view.share != nil && view.share.GetState() == wire.MoveState_MOVE_STATE_MOVING {
		m.judge(view, t)
	}
}

func (m *moves) trackOf(move *wire.Move) *moveTrack {
	t := m.tracks[move.GetService()]
	if t == nil || t.pilot.Sequence() != move.GetSequence() {
		t = &moveTrack{pilot: rollout.NewPilot(move)}
		m.tracks[move.GetService()] = t
	}
	return t
}

// publishEvidence tells the relays of the data centre what this host's backend
// servers did: at once when a request failed, else from time to time.
func (m *moves) publishEvidence(move *wire.Move, t *moveTrack) {
	totals := m.recorder.Totals(move.GetService())
	if len(totals) == 0 && !m.hostsService(move.GetService()) {
		return
	}
	requests, failures := uint64(1), uint64(0)
	for _, total := range totals {
		requests += total.GetRequests()
		failures += total.GetFailures()
	}
	due := m.Now().Sub(t.published) >= evidenceInterval
	if requests == t.requests || (failures == t.failures && !due) {
		return
	}
	t.requests, t.failures, t.published = requests, failures, m.Now()
	r := &wire.Record{
		Key:   gossip.PrefixEvidence + m.settings.Node + "/" + move.GetService(),
		Epoch: m.members.Incarnation(),
		Step:  uint64(m.Now().UnixMilli()),
		Body: &wire.Record_Evidence{Evidence: &wire.Evidence{
			Node:       m.settings.Node,
			Service:    move.GetService(),
			Sequence:   move.GetSequence(),
			Totals:     totals,
			DataCentre: m.settings.DataCentre,
		}},
	}
	m.store.Set(r)
	m.gossiper.sendToRelays(r)
}

func (m *moves) hostsService(service string) bool {
	for _, b := range m.owner.Backends() {
		if b.Record().GetService() == service {
			return true
		}
	}
	return false
}

// evidence returns what the owner nodes of this data centre reported.
func (m *moves) evidence(move *wire.Move) []*wire.Evidence {
	var evidence []*wire.Evidence
	for _, r := range m.store.List(gossip.PrefixEvidence) {
		e := r.GetEvidence()
		if e.GetService() == move.GetService() && e.GetDataCentre() == m.settings.DataCentre {
			evidence = append(evidence, e)
		}
	}
	return evidence
}

// judge lets a relay take a bad version back without the steward.
func (m *moves) judge(view moveView, t *moveTrack) {
	finding := t.pilot.Judge(time.UnixMilli(view.share.GetSinceUnixMs()))
	if finding != nil {
		m.putHalt(view.move, finding.Halt(view.move, m.settings.DataCentre, m.Now()))
	}
}

// putHalt takes a version back everywhere. Halts only ever grow in number, so
// no two nodes can disagree over one for long.
func (m *moves) putHalt(move *wire.Move, halt *wire.Halt) {
	if !m.store.Set(&wire.Record{Key: haltKey(move), Body: &wire.Record_Halt{Halt: halt}}) {
		return
	}
	m.Count(`hibiscusrock_versions_taken_back_total`)
	m.Log().WithField("service", halt.GetService()).WithField("version", halt.GetVersion()).WithField("cause", halt.GetCause()).
		WithField("route", halt.GetRoute()).WithField("figures", halt.GetFigures()).Warn("version taken back")
}

func haltKey(move *wire.Move) string {
	return gossip.PrefixHalt + move.GetService() + "/" + move.GetTo() + "/" + formatSequence(move.GetSequence())
}

func shareKey(dataCentre, service string) string {
	return gossip.PrefixShare + dataCentre + "/" + service
}

// steer decides the next share of a move on the steward.
func (m *moves) steer(ctx context.Context, view moveView, t *moveTrack, evidence []*wire.Evidence) {
	if !t.resumed && !m.resume(ctx, view, t) {
		return
	}
	sight := rollout.Sight{
		Now:        m.Now(),
		NewServers: m.countNew(view.move),
		OldServers: m.endpoints.Count(view.move.GetService(), view.move.GetFrom(), ""),
		Halt:       view.halt,
	}
	m.recorded.record(view.move, sight, evidence)
	finding, changed := t.pilot.Step(sight)
	if finding != nil {
		m.putHalt(view.move, finding.Halt(view.move, m.settings.DataCentre, m.Now()))
		return
	}
	if changed || view.share == nil {
		m.publishShare(view.move, t.pilot.State())
	}
	m.report(ctx, view, t)
}

// countNew counts the backend servers of the new version. A data centre that
// has backend servers of its own waits for its own new ones until late.
func (m *moves) countNew(move *wire.Move) int {
	service, own := move.GetService(), m.settings.DataCentre
	local := m.endpoints.Count(service, move.GetTo(), own)
	if local > 0 {
		return local
	}
	length := time.Duration(move.GetDeadlineUnixMs()-move.GetStartUnixMs()) * time.Millisecond
	late := m.Now().After(time.UnixMilli(move.GetDeadlineUnixMs()).Add(-length / lateRemoteFraction))
	if late || m.endpoints.Count(service, "", own) == 0 {
		return m.endpoints.Count(service, move.GetTo(), "")
	}
	return 0
}

func (m *moves) publishShare(move *wire.Move, state rollout.State) {
	epoch := m.steward.epoch.Load()
	step := uint64(1)
	key := shareKey(m.settings.DataCentre, move.GetService())
	if old := m.store.Get(key); old != nil && old.GetEpoch() == epoch {
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
	m.Log().WithField("service", move.GetService()).WithField("permille", state.Permille).WithField("note", state.Note).Info("share decided")
	if !m.store.Set(&wire.Record{Key: key, Epoch: epoch, Step: step, Body: &wire.Record_Share{Share: share}}) {
		m.steward.standDown("a newer steward decides")
	}
}

// resume carries on a move that another steward began. It returns false when
// that cannot be known yet.
func (m *moves) resume(ctx context.Context, view moveView, t *moveTrack) bool {
	report, found, err := catalog.New(m.platform).Report(ctx, view.move.GetSequence(), m.settings.DataCentre, view.move.GetService())
	if err != nil && view.share == nil {
		return false
	}
	t.resumed = true
	state := t.pilot.State()
	if found {
		state = stateFromReport(report)
	}
	if view.share != nil {
		state = stateFromShare(view.share)
	}
	if found {
		state.Begun = report.Begun
	}
	t.pilot.Resume(state)
	if !found {
		return true
	}
	if report.Halt != nil && view.halt == nil {
		m.putHalt(view.move, haltFromReport(view.move, report.Halt))
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
	case catalog.StateDone:
		s.Phase = wire.MoveState_MOVE_STATE_DONE
		s.Permille = bundle.FullPermille
	case catalog.StateTakenBack:
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

// report tells the operators, through the platform, when something changed.
func (m *moves) report(ctx context.Context, view moveView, t *moveTrack) {
	state := t.pilot.State()
	r := catalog.Report{
		Sequence:   view.move.GetSequence(),
		DataCentre: m.settings.DataCentre,
		Service:    view.move.GetService(),
		Version:    view.move.GetTo(),
		State:      stateName(state.Phase),
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

func stateName(phase wire.MoveState) string {
	switch phase {
	case wire.MoveState_MOVE_STATE_DONE:
		return catalog.StateDone
	case wire.MoveState_MOVE_STATE_TAKEN_BACK:
		return catalog.StateTakenBack
	}
	return catalog.StateMoving
}
