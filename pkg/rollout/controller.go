package rollout

import (
	"fmt"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// reserveFraction is the part of the time to the deadline that the stages
	// leave unused, so that a delay does not make the move late.
	reserveFraction = 0.2
	minStageTime    = time.Second
	// minStageRequests is the number of requests on the new version that a stage waits for.
	minStageRequests = 10
	// maxUnprovenPermille bounds the share while the present stage has fewer
	// requests on the new version than minStageRequests.
	maxUnprovenPermille = 500
	// recheckPermille is the share of the new version while a completed move is
	// rechecked, and recheckTime the minimum duration of the recheck.
	recheckPermille = 500
	recheckTime     = 5 * time.Second
	// The versions are compared over two windows: the last shortWindow, and the
	// present stage up to longWindow back. Older snapshots are not kept.
	shortWindow = 3 * time.Second
	longWindow  = 2 * time.Minute
)

// Names of the phases in reports and traces. They call a version that was
// rolled back "taken_back".
const (
	NameMoving     = "moving"
	NameDone       = "done"
	NameRolledBack = "taken_back"
)

// PhaseName returns the name of a phase in reports and traces. A phase that is
// neither done nor rolled back counts as moving.
func PhaseName(phase wire.MoveState) string {
	switch phase {
	case wire.MoveState_MOVE_STATE_DONE:
		return NameDone
	case wire.MoveState_MOVE_STATE_TAKEN_BACK:
		return NameRolledBack
	}
	return NameMoving
}

// State is the progress of the move of one service in one data centre.
type State struct {
	Phase wire.MoveState
	// Permille is the share of the service's traffic on the new version.
	Permille int
	// Stage counts the changes of the share.
	Stage int
	// Since is the time of the last change of the share.
	Since time.Time
	// Begun is the time at which the new version first received a share.
	Begun time.Time
	// Requests counts requests on the new version in all stages before this one.
	Requests uint64
	// Note explains the state to operators.
	Note string
	// Rechecking is set while a completed move is rechecked: the old version gets
	// traffic again, so that both versions are compared over the same time.
	Rechecking bool
}

// Input holds the values from which Next decides the next state of a move.
type Input struct {
	Now  time.Time
	Move *wire.Move
	// NewServers and OldServers count usable backend servers by version.
	NewServers int
	OldServers int
	// Short holds the outcomes of the last seconds. Stages holds one window per
	// stage, oldest first; the last one is the stage at the present share.
	Short  Window
	Stages []Window
	// Halt is set once a data centre found the new version to be worse.
	Halt *wire.Halt
}

func (in Input) currentStage() Window {
	if len(in.Stages) == 0 {
		return nil
	}
	return in.Stages[len(in.Stages)-1]
}

// Next decides the next state. It returns a finding, and the state unchanged,
// when the new version is worse; the caller turns the finding into a halt, and
// Next rolls the version back as soon as the input has that halt.
func Next(s State, in Input) (State, *Finding) {
	if s.Phase == wire.MoveState_MOVE_STATE_TAKEN_BACK {
		return s, nil
	}
	if in.Halt != nil {
		return rollBack(s, in), nil
	}
	if finding := findRegression(s, in); finding != nil {
		if s.Phase == wire.MoveState_MOVE_STATE_DONE && !s.Rechecking {
			return startRecheck(s, in), nil
		}
		return s, finding
	}
	if s.Phase == wire.MoveState_MOVE_STATE_DONE {
		return finishRecheck(s, in), nil
	}
	return advance(s, in), nil
}

func findRegression(s State, in Input) *Finding {
	if s.Phase == wire.MoveState_MOVE_STATE_DONE && !s.Rechecking {
		if in.OldServers == 0 {
			return nil
		}
		return Compare(windowAgainstPast(in.Short, in.Stages))
	}
	if finding := Compare(in.Short); finding != nil {
		return finding
	}
	return Compare(in.Stages...)
}

// windowAgainstPast pairs the last seconds of the new version with the old
// version's outcomes of all stages. It serves a move whose old version has no
// traffic to compare with. The two sides come from different times, so where there
// is time for it, a worse result starts a recheck and does not roll the version back.
func windowAgainstPast(short Window, stages []Window) Window {
	window := make(Window, len(short))
	for route, sides := range short {
		compared := VersionCounts{New: sides.New}
		for _, stage := range stages {
			compared.Old.plus(stage[route].Old)
		}
		window[route] = compared
	}
	return window
}

func rollBack(s State, in Input) State {
	h := in.Halt
	s = s.startStage(in.Now, 0, in.currentStage())
	s.Phase = wire.MoveState_MOVE_STATE_TAKEN_BACK
	s.Rechecking = false
	s.Note = fmt.Sprintf("version %s taken back for %s on %s: %s", h.GetVersion(), h.GetCause(), h.GetRoute(), h.GetFigures())
	return s
}

// startRecheck gives the old version traffic again, so that both versions are
// compared over the same time: a fault that both show is not the new version's.
func startRecheck(s State, in Input) State {
	s = s.startStage(in.Now, recheckPermille, in.currentStage())
	s.Rechecking = true
	s.Note = "completed, but under suspicion: compared with the old version again"
	return s
}

func finishRecheck(s State, in Input) State {
	if !s.Rechecking || in.Now.Sub(s.Since) < recheckTime {
		return s
	}
	s = s.startStage(in.Now, bundle.FullPermille, in.currentStage())
	s.Rechecking = false
	s.Note = "completed; the trouble was common to both versions"
	return s
}

func advance(s State, in Input) State {
	if in.NewServers == 0 {
		s.Note = "waiting: no backend server of version " + in.Move.GetTo() + " has announced itself" + latenessNote(in)
		return s
	}
	if s.Begun.IsZero() {
		s.Begun = in.Now
		s = s.startStage(in.Now, int(in.Move.GetCanaryPermille()), in.currentStage())
		s.Note = "canary"
		return s
	}
	seen := newVersionRequests(in.currentStage())
	if in.Now.Sub(s.Since) < stageTime(s, in) {
		return s
	}
	suspect := LooksWorse(in.Short) || LooksWorse(in.Stages...)
	if suspect && !isDeadlineAtRisk(s, in) {
		s.Note = "holding: the new version looks worse, though not beyond chance yet"
		return s
	}
	next := min(2*s.Permille, bundle.FullPermille)
	if seen < minStageRequests && !isDeadlineAtRisk(s, in) {
		next = min(next, maxUnprovenPermille)
		if next <= s.Permille {
			s.Note = fmt.Sprintf("waiting for evidence: %d requests on the new version at this share", seen)
			return s
		}
	}
	return raiseShare(s, in, next)
}

func raiseShare(s State, in Input, permille int) State {
	s = s.startStage(in.Now, permille, in.currentStage())
	s.Note = fmt.Sprintf("raised to %d.%d %%", permille/10, permille%10)
	if permille < bundle.FullPermille {
		return s
	}
	s.Phase = wire.MoveState_MOVE_STATE_DONE
	s.Note = fmt.Sprintf("done after %d requests on the new version", s.Requests) + latenessNote(in)
	if s.Requests < minStageRequests {
		s.Note += "; too few to tell whether it is good"
	}
	return s
}

// startStage returns the state at the start of a stage with the given share,
// with the requests of the finished stage added to the sum.
func (s State) startStage(now time.Time, permille int, stage Window) State {
	s.Requests += newVersionRequests(stage)
	s.Permille = permille
	s.Stage++
	s.Since = now
	return s
}

func newVersionRequests(window Window) uint64 {
	n := uint64(0)
	for _, sides := range window {
		n += sides.New.Requests
	}
	return n
}

// stagesLeft returns how many times the share has to double to reach the full share.
func stagesLeft(permille int) int {
	stages := 0
	for p := permille; p > 0 && p < bundle.FullPermille; p *= 2 {
		stages++
	}
	return stages
}

// stageTime returns the time that the present stage lasts: the time to the
// deadline less the reserve, divided evenly among the stages that are left, but at
// least minStageTime.
func stageTime(s State, in Input) time.Duration {
	left := deadline(in).Sub(s.Since)
	reserve := time.Duration(reserveFraction * float64(deadline(in).Sub(s.Begun)))
	return max((left-reserve)/time.Duration(max(stagesLeft(s.Permille), 1)), minStageTime)
}

// isDeadlineAtRisk reports whether the share has to be raised now, because the
// move would miss its deadline after a longer wait, even with the shortest stages:
// half of the reserve is used up, or the time to the deadline suffices only for
// the stages that are left and one more, at minStageTime each.
func isDeadlineAtRisk(s State, in Input) bool {
	reserve := time.Duration(reserveFraction * float64(deadline(in).Sub(s.Begun)))
	needed := time.Duration(stagesLeft(s.Permille)+1) * minStageTime
	return !in.Now.Before(deadline(in).Add(-max(reserve/2, needed)))
}

func deadline(in Input) time.Time { return time.UnixMilli(in.Move.GetDeadlineUnixMs()) }

// latenessNote returns how far the deadline has passed, as the end of a note,
// or an empty string before the deadline.
func latenessNote(in Input) string {
	late := in.Now.Sub(deadline(in))
	if late <= 0 {
		return ""
	}
	return fmt.Sprintf("; late by %v", late.Round(time.Second))
}
