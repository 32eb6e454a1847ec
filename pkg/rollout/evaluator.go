package rollout

import (
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// Pilot decides the share of the new version during the move of one service in
// one data centre. It keeps the evidence and the state. Nodes and the replay of
// recorded moves use the same code. It is not safe for concurrent use.
type Pilot struct {
	move    *wire.Move
	history *Track
	state   State
}

// NewPilot returns the evaluator of a move that has not begun.
func NewPilot(move *wire.Move) *Pilot { return &Pilot{move: move, history: NewTrack(move)} }

// Sequence returns the sequence of the release that declared the move.
func (e *Pilot) Sequence() uint64 { return e.move.GetSequence() }

// State returns the progress of the move.
func (e *Pilot) State() State { return e.state }

// Resume sets the state to the one that another evaluator of the move reached.
func (e *Pilot) Resume(s State) { e.state = s }

// Observe adds the totals that the owner nodes report at a time.
func (e *Pilot) Observe(now time.Time, evidence []*wire.Evidence) { e.history.Add(now, evidence) }

// Judge compares the versions at a share that another evaluator set at the time
// since. It returns nil when the new version is not worse.
func (e *Pilot) Judge(since time.Time) *Finding {
	e.history.Begin(since)
	if finding := Judge(e.history.Short()); finding != nil {
		return finding
	}
	return Judge(e.history.Stages()...)
}

// Sight holds the input of Step other than the evidence.
type Sight struct {
	Now time.Time
	// NewServers and OldServers count usable backend servers by version.
	NewServers int
	OldServers int
	Halt       *wire.Halt
}

// Step decides the next state. It returns a finding when the new version has to
// be rolled back, and whether the state changed.
func (e *Pilot) Step(sight Sight) (*Finding, bool) {
	e.history.Begin(e.state.Since)
	next, finding := Next(e.state, Input{
		Now:        sight.Now,
		Move:       e.move,
		NewServers: sight.NewServers,
		OldServers: sight.OldServers,
		Short:      e.history.Short(),
		Stages:     e.history.Stages(),
		Halt:       sight.Halt,
	})
	if finding != nil {
		return finding, false
	}
	changed := next != e.state
	e.state = next
	return nil, changed
}

// StepPaced is Step for a move of the whole deployment under an exposure bound.
// It sets Short and Stages of the input from the evidence.
func (e *Pilot) StepPaced(in Pace) (*Finding, bool) {
	e.history.Begin(e.state.Since)
	in.Short, in.Stages = e.history.Short(), e.history.Stages()
	next, finding := NextPaced(e.state, in)
	if finding != nil {
		return finding, false
	}
	changed := next != e.state
	e.state = next
	return nil, changed
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
