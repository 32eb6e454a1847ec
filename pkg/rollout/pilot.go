package rollout

import (
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// Pilot steers the move of one service in one data centre: it keeps the
// evidence and the state, and is the same under a node and under replay.
type Pilot struct {
	move  *wire.Move
	track *Track
	state State
}

// NewPilot returns a pilot of a move that has not begun.
func NewPilot(move *wire.Move) *Pilot { return &Pilot{move: move, track: NewTrack(move)} }

// Sequence returns the sequence of the release that declared the move.
func (p *Pilot) Sequence() uint64 { return p.move.GetSequence() }

// State returns where the move stands.
func (p *Pilot) State() State { return p.state }

// Resume takes over the state that another pilot reached.
func (p *Pilot) Resume(s State) { p.state = s }

// Observe takes in the totals that the owner nodes report.
func (p *Pilot) Observe(now time.Time, evidence []*wire.Evidence) { p.track.Add(now, evidence) }

// Judge looks for a fault of the new version, at a share that another pilot
// decided at the given time.
func (p *Pilot) Judge(since time.Time) *Finding {
	p.track.Begin(since)
	if finding := Judge(p.track.Short()); finding != nil {
		return finding
	}
	return Judge(p.track.Stages()...)
}

// Sight is what a pilot sees beside the evidence.
type Sight struct {
	Now time.Time
	// NewServers and OldServers count usable backend servers by version.
	NewServers int
	OldServers int
	Halt       *wire.Halt
}

// Step decides the next state. It returns a finding when the new version has to
// be taken back, and whether the state changed.
func (p *Pilot) Step(sight Sight) (*Finding, bool) {
	p.track.Begin(p.state.Since)
	next, finding := Next(p.state, Input{
		Now:        sight.Now,
		Move:       p.move,
		NewServers: sight.NewServers,
		OldServers: sight.OldServers,
		Short:      p.track.Short(),
		Stages:     p.track.Stages(),
		Halt:       sight.Halt,
	})
	if finding != nil {
		return finding, false
	}
	changed := next != p.state
	p.state = next
	return nil, changed
}

// StepPaced is Step for a move of the whole deployment under an exposure bound.
func (p *Pilot) StepPaced(in Pace) (*Finding, bool) {
	p.track.Begin(p.state.Since)
	in.Short, in.Stages = p.track.Short(), p.track.Stages()
	next, finding := NextPaced(p.state, in)
	if finding != nil {
		return finding, false
	}
	changed := next != p.state
	p.state = next
	return nil, changed
}

// Halt returns the halt that a finding calls for.
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
