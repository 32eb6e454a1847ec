package rollout

import (
	"fmt"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// reserveFraction of the time to the deadline is kept for delays.
	reserveFraction = 0.2
	shortestStage   = time.Second
	// evidencePerStage is the number of requests on the new version that a stage waits for.
	evidencePerStage = 10
	// unprovenPermille bounds the share while there is too little evidence.
	unprovenPermille = 500
	// rejudgePermille is the share of a completed version that comes under suspicion.
	rejudgePermille = 500
	rejudgeTime     = 5 * time.Second
	shortWindow     = 3 * time.Second
	longWindow      = 2 * time.Minute
)

// Names of the phases in reports and traces.
const (
	NameMoving    = "moving"
	NameDone      = "done"
	NameTakenBack = "taken_back"
)

// PhaseName returns the name of a phase.
func PhaseName(phase wire.MoveState) string {
	switch phase {
	case wire.MoveState_MOVE_STATE_DONE:
		return NameDone
	case wire.MoveState_MOVE_STATE_TAKEN_BACK:
		return NameTakenBack
	}
	return NameMoving
}

// State is where the move of one service stands in one data centre.
type State struct {
	Phase    wire.MoveState
	Permille int
	// Stage counts the changes of the share.
	Stage int
	// Since is the time of the last change of the share.
	Since time.Time
	// Begun is the time at which the new version was first there to take traffic.
	Begun time.Time
	// Requests counts requests on the new version in all stages before this one.
	Requests uint64
	Note     string
	// Rejudging is set while a completed version is compared again.
	Rejudging bool
}

// Input is what the controller knows when it decides.
type Input struct {
	Now  time.Time
	Move *wire.Move
	// NewServers and OldServers count usable backend servers by version.
	NewServers int
	OldServers int
	// Short holds the outcomes of the last seconds, Stages those at the present
	// share, which is the last window, and at the shares before.
	Short  Window
	Stages []Window
	Halt   *wire.Halt
}

func (in Input) stage() Window {
	if len(in.Stages) == 0 {
		return nil
	}
	return in.Stages[len(in.Stages)-1]
}

// Next decides the next state. It returns a finding when the new version has
// to be taken back.
func Next(s State, in Input) (State, *Finding) {
	if s.Phase == wire.MoveState_MOVE_STATE_TAKEN_BACK {
		return s, nil
	}
	if in.Halt != nil {
		return takeBack(s, in), nil
	}
	if finding := findWorse(s, in); finding != nil {
		if s.Phase == wire.MoveState_MOVE_STATE_DONE && !s.Rejudging {
			return startRejudging(s, in), nil
		}
		return s, finding
	}
	if s.Phase == wire.MoveState_MOVE_STATE_DONE {
		return finishRejudging(s, in), nil
	}
	return advance(s, in), nil
}

func findWorse(s State, in Input) *Finding {
	if s.Phase == wire.MoveState_MOVE_STATE_DONE && !s.Rejudging {
		if in.OldServers == 0 {
			return nil
		}
		return Judge(againstPast(in))
	}
	if finding := Judge(in.Short); finding != nil {
		return finding
	}
	return Judge(in.Stages...)
}

// againstPast sets the last seconds of the new version beside what the old one
// did in all stages, for a version that has all traffic. The two are not of the
// same time, so that the comparison can raise a suspicion only.
func againstPast(in Input) Window {
	window := make(Window, len(in.Short))
	for route, sides := range in.Short {
		compared := Sides{New: sides.New}
		for _, stage := range in.Stages {
			compared.Old.plus(stage[route].Old)
		}
		window[route] = compared
	}
	return window
}

func takeBack(s State, in Input) State {
	h := in.Halt
	s = s.change(in.Now, 0, in.stage())
	s.Phase = wire.MoveState_MOVE_STATE_TAKEN_BACK
	s.Rejudging = false
	s.Note = fmt.Sprintf("version %s taken back for %s on %s: %s", h.GetVersion(), h.GetCause(), h.GetRoute(), h.GetFigures())
	return s
}

// startRejudging shares traffic with the old version again, so that the two
// are compared over the same time: a trouble common to both is not the new version's.
func startRejudging(s State, in Input) State {
	s = s.change(in.Now, rejudgePermille, in.stage())
	s.Rejudging = true
	s.Note = "completed, but under suspicion: compared with the old version again"
	return s
}

func finishRejudging(s State, in Input) State {
	if !s.Rejudging || in.Now.Sub(s.Since) < rejudgeTime {
		return s
	}
	s = s.change(in.Now, bundle.FullPermille, in.stage())
	s.Rejudging = false
	s.Note = "completed; the trouble was common to both versions"
	return s
}

func advance(s State, in Input) State {
	if in.NewServers == 0 {
		s.Note = "waiting: no backend server of version " + in.Move.GetTo() + " has announced itself" + lateness(in)
		return s
	}
	if s.Begun.IsZero() {
		s.Begun = in.Now
		s = s.change(in.Now, int(in.Move.GetCanaryPermille()), in.stage())
		s.Note = "canary"
		return s
	}
	seen := newRequests(in.stage())
	if in.Now.Sub(s.Since) < stageTime(s, in) {
		return s
	}
	suspect := Suspect(in.Short) || Suspect(in.Stages...)
	if suspect && !mustGoOn(s, in) {
		s.Note = "holding: the new version looks worse, though not beyond chance yet"
		return s
	}
	next := min(2*s.Permille, bundle.FullPermille)
	if seen < evidencePerStage && !mustGoOn(s, in) {
		next = min(next, unprovenPermille)
		if next <= s.Permille {
			s.Note = fmt.Sprintf("waiting for evidence: %d requests on the new version at this share", seen)
			return s
		}
	}
	return raise(s, in, next)
}

func raise(s State, in Input, permille int) State {
	s = s.change(in.Now, permille, in.stage())
	s.Note = fmt.Sprintf("raised to %d.%d %%", permille/10, permille%10)
	if permille < bundle.FullPermille {
		return s
	}
	s.Phase = wire.MoveState_MOVE_STATE_DONE
	s.Note = fmt.Sprintf("done after %d requests on the new version", s.Requests) + lateness(in)
	if s.Requests < evidencePerStage {
		s.Note += "; too few to tell whether it is good"
	}
	return s
}

func (s State) change(now time.Time, permille int, stage Window) State {
	s.Requests += newRequests(stage)
	s.Permille = permille
	s.Stage++
	s.Since = now
	return s
}

func newRequests(window Window) uint64 {
	n := uint64(0)
	for _, sides := range window {
		n += sides.New.Requests
	}
	return n
}

// stagesLeft returns the number of doublings to the full share.
func stagesLeft(permille int) int {
	stages := 0
	for p := permille; p > 0 && p < bundle.FullPermille; p *= 2 {
		stages++
	}
	return stages
}

// stageTime spreads the stages that are left over the time to the deadline.
func stageTime(s State, in Input) time.Duration {
	left := deadline(in).Sub(s.Since)
	reserve := time.Duration(reserveFraction * float64(deadline(in).Sub(s.Begun)))
	return max((left-reserve)/time.Duration(max(stagesLeft(s.Permille), 1)), shortestStage)
}

// mustGoOn reports whether waiting longer would miss the deadline, even with
// the shortest stages from here on.
func mustGoOn(s State, in Input) bool {
	reserve := time.Duration(reserveFraction * float64(deadline(in).Sub(s.Begun)))
	needed := time.Duration(stagesLeft(s.Permille)+1) * shortestStage
	return !in.Now.Before(deadline(in).Add(-max(reserve/2, needed)))
}

func deadline(in Input) time.Time { return time.UnixMilli(in.Move.GetDeadlineUnixMs()) }

func lateness(in Input) string {
	late := in.Now.Sub(deadline(in))
	if late <= 0 {
		return ""
	}
	return fmt.Sprintf("; late by %v", late.Round(time.Second))
}
