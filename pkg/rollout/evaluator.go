package rollout

import (
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// Evaluator decides the share of the new version during the move of one service in
// one data centre. It keeps the evidence and the state. Nodes and the replay of
// recorded moves use the same code. It is not safe for concurrent use.
type Evaluator struct {
	move    *wire.Move
	history *History
	state   State
}

// NewEvaluator returns the evaluator of a move that has not begun.
func NewEvaluator(move *wire.Move) *Evaluator {
	return &Evaluator{move: move, history: NewHistory(move)}
}

// Sequence returns the sequence of the release that declared the move.
func (e *Evaluator) Sequence() uint64 { return e.move.GetSequence() }

// State returns the progress of the move.
func (e *Evaluator) State() State { return e.state }

// Resume sets the state to the one that another evaluator of the move reached.
func (e *Evaluator) Resume(s State) { e.state = s }

// RollBack sets the state to rolled back.
func (e *Evaluator) RollBack(now time.Time) {
	e.state.Phase = wire.MoveState_MOVE_STATE_TAKEN_BACK
	e.state.Permille = 0
	e.state.Since = now
}

// Observe adds the totals that the owner nodes report at a time.
func (e *Evaluator) Observe(now time.Time, evidence []*wire.Evidence) { e.history.Add(now, evidence) }

// Follow keeps the evidence of a move that another node decides, so that this one can
// take over with it. permille is the share in force.
func (e *Evaluator) Follow(now time.Time, permille int, evidence []*wire.Evidence) {
	if permille != e.state.Permille {
		e.state.Permille = permille
		e.state.Since = now
	}
	e.history.Add(now, evidence)
	e.history.StartStage(e.state.Since)
}

// Compare compares the versions at a share that another evaluator set at the time
// since. It returns nil when the new version is not worse.
func (e *Evaluator) Compare(since time.Time) *Finding {
	e.history.StartStage(since)
	if finding := Compare(e.history.Short()); finding != nil {
		return finding
	}
	return Compare(e.history.Stages()...)
}

// StepInput holds the input of Step other than the evidence.
type StepInput struct {
	Now time.Time
	// NewServers and OldServers count usable backend servers by version.
	NewServers int
	OldServers int
	Halt       *wire.Halt
}

// Step decides the next state. It returns a finding when the new version has to
// be rolled back, and whether the state changed.
func (e *Evaluator) Step(in StepInput) (*Finding, bool) {
	e.history.StartStage(e.state.Since)
	next, finding := Next(e.state, Input{
		Now:        in.Now,
		Move:       e.move,
		NewServers: in.NewServers,
		OldServers: in.OldServers,
		Short:      e.history.Short(),
		Stages:     e.history.Stages(),
		Halt:       in.Halt,
	})
	if finding != nil {
		return finding, false
	}
	changed := next != e.state
	e.state = next
	return nil, changed
}

// StepBounded is Step for a move of the whole deployment under an exposure bound.
// It sets Short, Stages and OnNew of the input from the evidence.
func (e *Evaluator) StepBounded(in BoundedInput) (*Finding, bool) {
	e.history.StartStage(e.state.Since)
	in.Short, in.Stages, in.OnNew = e.history.Short(), e.history.Stages(), e.history.OnNew()
	next, finding := NextBounded(e.state, in)
	if finding != nil {
		return finding, false
	}
	changed := next != e.state
	e.state = next
	return nil, changed
}

// Comparisons returns the figures by which the versions are compared over all
// stages.
func (e *Evaluator) Comparisons() []Comparison { return Comparisons(e.history.Stages()...) }

// LatencyQuantiles returns the quantiles of both versions over all stages and routes.
func (e *Evaluator) LatencyQuantiles() (oldVersion, newVersion Quantiles) {
	return LatencyQuantiles(e.history.Stages()...)
}

// Halt returns the halt of a move for a finding in one data centre.
func (f *Finding) Halt(move *wire.Move, dataCentre string, at time.Time) *wire.Halt {
	return &wire.Halt{
		Service:    move.GetService(),
		Version:    move.GetTo(),
		Sequence:   move.GetSequence(),
		Cause:      f.Cause,
		Route:      f.Route,
		Figures:    f.Figures,
		DataCentre: dataCentre,
		AtUnixMs:   at.UnixMilli(),
	}
}
