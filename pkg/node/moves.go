package node

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/catalog"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
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
	m.steward = newSteward(n.Common, n.settings.Node, election{
		key:       store.StewardKey(n.settings.DataCentre),
		lease:     stewardLease,
		renewal:   stewardRenewal,
		get:       n.platform.Get,
		swap:      n.platform.Swap,
		grant:     n.platform.Grant,
		keepAlive: n.platform.KeepAlive,
		revoke:    n.platform.Revoke,
		eligible:  n.members.IsRelay,
		stoodDown: m.forgetDecisions,
	})
	m.recorded = newMoveRecorder()
	n.records.OnChange(m.observe)
	return m
}

// forgetDecisions makes the next steward of this node read where moves stand.
func (m *moves) forgetDecisions() {
	for _, t := range m.tracks {
		t.resumed = false
	}
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
	if r := m.records.Get(haltKey(move)); r != nil {
		view.halt = r.GetHalt()
	}
	if r := m.records.Get(shareKey(m.settings.DataCentre, move.GetService())); r != nil && r.GetShare().GetSequence() == move.GetSequence() {
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
	m.records.Set(r)
	m.gossiper.sendToRelays(r)
}

// evidence returns what the owner nodes of this data centre reported.
func (m *moves) evidence(move *wire.Move) []*wire.Evidence {
	var evidence []*wire.Evidence
	for _, r := range m.records.List(gossip.PrefixEvidence) {
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
	if !m.records.Set(&wire.Record{Key: haltKey(move), Body: &wire.Record_Halt{Halt: halt}}) {
		return
	}
	m.Count(`hibiscusrock_versions_taken_back_total`)
	m.Event(event.VersionTakenBack).WithField("service", halt.GetService()).WithField("version", halt.GetVersion()).WithField("cause", halt.GetCause()).
		WithField("route", halt.GetRoute()).WithField("figures", halt.GetFigures()).Warn("version taken back")
}

func haltKey(move *wire.Move) string {
	return gossip.PrefixHalt + move.GetService() + "/" + move.GetTo() + "/" + strconv.FormatUint(move.GetSequence(), 10)
}

func shareKey(dataCentre, service string) string {
	return gossip.PrefixShare + dataCentre + "/" + service
}
