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
	// evaluateAfterDone is the time after the completion of a move in which its
	// version is still evaluated and can be rolled back.
	evaluateAfterDone = 2 * time.Minute
	// remoteFallbackDivisor sets when a data centre without backend servers of
	// the new version uses those of other data centres: when
	// 1/remoteFallbackDivisor of the time between the start of the move and its
	// deadline is left.
	remoteFallbackDivisor = 5
)

// releaseMoves works on the moves that the release in force declares, on a node
// in release mode: it publishes this host's evidence, evaluates new versions,
// and on the leader of the data centre decides the shares. Its counterpart in store
// mode is storeRollouts.
type releaseMoves struct {
	*Node
	woken chan struct{}
	// rebuilding serializes rebuild, so that an older view never replaces a
	// newer one.
	rebuilding sync.Mutex
	views      atomic.Pointer[map[string]moveView]
	tracked    map[string]*trackedMove
	leadership *leadership
	// traces keeps the inputs of the leader's decisions for operators and for
	// replay.
	traces *moveTraces
}

// moveView is the state of one move that the request path reads.
type moveView struct {
	move     *wire.Move
	share    *wire.Share
	permille int
	halt     *wire.Halt
}

// trackedMove is this node's working state of one move.
type trackedMove struct {
	evaluator *rollout.Evaluator
	resumed   bool
	reported  catalog.Report
	// progress is that of the evidence that was last published, at published.
	progress  rollout.Progress
	published time.Time
}

func newReleaseMoves(n *Node) *releaseMoves {
	m := &releaseMoves{Node: n, woken: make(chan struct{}, 1), tracked: make(map[string]*trackedMove)}
	m.views.Store(&map[string]moveView{})
	m.leadership = newLeadership(n.Common, n.settings.Node, election{
		key:           store.LeaderKey(n.settings.DataCentre),
		leaseTTL:      releaseLeaderLeaseTTL,
		renewInterval: releaseLeaderRenewInterval,
		get:           n.platform.Get,
		swap:          n.platform.Swap,
		grant:         n.platform.Grant,
		keepAlive:     n.platform.KeepAlive,
		revoke:        n.platform.Revoke,
		eligible:      n.members.IsRelay,
		onStepDown:    m.forgetDecisions,
	})
	m.traces = newMoveTraces()
	n.records.OnChange(m.observe)
	return m
}

// forgetDecisions makes this node read the state of each move again if it
// becomes the leader once more.
func (m *releaseMoves) forgetDecisions() {
	for _, t := range m.tracked {
		t.resumed = false
	}
}

func (m *releaseMoves) wake() {
	m.rebuild()
	wake(m.woken)
}

// observe rebuilds the view when a halt or a share of this data centre changes.
func (m *releaseMoves) observe(r *wire.Record) {
	if r.GetHalt() != nil || (r.GetShare() != nil && r.GetShare().GetDataCentre() == m.settings.DataCentre) {
		m.rebuild()
	}
}

// rebuild derives the view of the request path from the routing table and the
// gossip records.
func (m *releaseMoves) rebuild() {
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

func (m *releaseMoves) view(move *wire.Move) moveView {
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

func (m *releaseMoves) permille(move *wire.Move) int {
	view := (*m.views.Load())[move.GetService()]
	if view.move.GetSequence() != move.GetSequence() {
		return 0
	}
	return view.permille
}

func (m *releaseMoves) halt(service, version string) *wire.Halt {
	view := (*m.views.Load())[service]
	if view.halt == nil || view.move.GetTo() != version {
		return nil
	}
	return view.halt
}

// run works on the moves every moveInterval, and at once after a new release.
func (m *releaseMoves) run(ctx context.Context) {
	ticker := time.NewTicker(moveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			m.leadership.resign()
			return
		case <-ticker.C:
		case <-m.woken:
		}
		m.tick(ctx)
	}
}

func (m *releaseMoves) tick(ctx context.Context) {
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
		m.evaluateMove(ctx, view)
	}
	m.leadership.tick(ctx, active)
}

// isSettled reports whether a move needs no more work: it is done or rolled back
// and evaluateAfterDone has passed since. A move with a halt is not settled
// before its share is published as rolled back.
func (m *releaseMoves) isSettled(view moveView) bool {
	if view.share == nil || view.share.GetState() == wire.MoveState_MOVE_STATE_MOVING {
		return false
	}
	if view.halt != nil && view.share.GetState() != wire.MoveState_MOVE_STATE_TAKEN_BACK {
		return false
	}
	return m.Now().Sub(time.UnixMilli(view.share.GetSinceUnixMs())) > evaluateAfterDone
}

// evaluateMove works on one move. The relays of the data centre receive its
// evidence and evaluate it; the leader, which is one of them, decides the share as
// well.
func (m *releaseMoves) evaluateMove(ctx context.Context, view moveView) {
	t := m.track(view.move)
	m.publishEvidence(view.move, t)
	if !m.members.IsRelay() && !m.leadership.isHeld() {
		return
	}
	evidence := m.evidence(view.move)
	t.evaluator.Observe(m.Now(), evidence)
	if m.leadership.isHeld() {
		m.decideShare(ctx, view, t, evidence)
		return
	}
	if view.halt == nil && view.share != nil && view.share.GetState() == wire.MoveState_MOVE_STATE_MOVING {
		m.rollBackIfWorse(view, t)
	}
}

func (m *releaseMoves) track(move *wire.Move) *trackedMove {
	t := m.tracked[move.GetService()]
	if t == nil || t.evaluator.Sequence() != move.GetSequence() {
		t = &trackedMove{evaluator: rollout.NewEvaluator(move)}
		m.tracked[move.GetService()] = t
	}
	return t
}

// publishEvidence sends the relays of the data centre the request totals of this
// host's backend servers: at once when a request failed, else at most every
// evidenceInterval.
func (m *releaseMoves) publishEvidence(move *wire.Move, t *trackedMove) {
	totals := m.recorder.Totals(move.GetService())
	if len(totals) == 0 && !m.hostsService(move.GetService()) {
		return
	}
	progress := rollout.ProgressOf(totals)
	changed := t.published.IsZero() || progress.Running || progress != t.progress
	due := m.Now().Sub(t.published) >= evidenceInterval
	if !changed || (progress.Failures == t.progress.Failures && !due) {
		return
	}
	t.progress, t.published = progress, m.Now()
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
	m.gossiper.queueForRelays(r)
}

// evidence returns the evidence that the owner nodes of this data centre
// published.
func (m *releaseMoves) evidence(move *wire.Move) []*wire.Evidence {
	var evidence []*wire.Evidence
	for _, r := range m.records.List(gossip.PrefixEvidence) {
		e := r.GetEvidence()
		if e.GetService() == move.GetService() && e.GetDataCentre() == m.settings.DataCentre {
			evidence = append(evidence, e)
		}
	}
	return evidence
}

// rollBackIfWorse rolls a bad version back on a relay, without waiting for the
// leader.
func (m *releaseMoves) rollBackIfWorse(view moveView, t *trackedMove) {
	finding := t.evaluator.Compare(time.UnixMilli(view.share.GetSinceUnixMs()))
	if finding != nil {
		m.publishHalt(view.move, finding.Halt(view.move, m.settings.DataCentre, m.Now()))
	}
}

// publishHalt rolls a version back in all data centres. Halts are only ever
// added, so nodes that differ over one agree again as soon as they have
// exchanged their records.
func (m *releaseMoves) publishHalt(move *wire.Move, halt *wire.Halt) {
	if !m.records.Set(&wire.Record{Key: haltKey(move), Body: &wire.Record_Halt{Halt: halt}}) {
		return
	}
	m.Count(`hibiscusrock_versions_taken_back_total`)
	m.Event(event.VersionRolledBack).WithField("service", halt.GetService()).WithField("version", halt.GetVersion()).WithField("cause", halt.GetCause()).
		WithField("route", halt.GetRoute()).WithField("figures", halt.GetFigures()).Warn("version rolled back")
}

func haltKey(move *wire.Move) string {
	return gossip.PrefixHalt + move.GetService() + "/" + move.GetTo() + "/" + strconv.FormatUint(move.GetSequence(), 10)
}

func shareKey(dataCentre, service string) string {
	return gossip.PrefixShare + dataCentre + "/" + service
}
