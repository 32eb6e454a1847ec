package rollout

import (
	"fmt"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// A move of a whole deployment under an exposure bound keeps the new version at
// a small share until shortly before the deadline, because a fault may show
// late, and then raises the share in a few short steps. A step that shows a
// fault uses up little of the exposure bound.
const (
	// The default exposure bound is a tenth of all requests. canaryPermille keeps
	// more than half of it in reserve for the steps at the end.
	canaryPermille = 40
	// initialPermille is the share until the new version has had initialRequests
	// requests, which are enough to find a fault that every request shows.
	initialPermille = 100
	initialRequests = 16
	// minCanaryPermille is the share once the canary has used up its part of the
	// exposure bound.
	minCanaryPermille = 10
	// maxCanaryFraction bounds the part of the exposure bound that the canary may use.
	maxCanaryFraction = 0.5
	// completionLead is the time before the deadline at which the move is declared
	// done, so that the report reaches the operators in time.
	completionLead = 700 * time.Millisecond
)

// ramp lists the steps at the end of a move: the time to the deadline at which
// a step begins, and its share.
var ramp = []struct {
	before   time.Duration
	permille int
}{
	{1500 * time.Millisecond, bundle.FullPermille},
	{2100 * time.Millisecond, 500},
	{3 * time.Second, 200},
}

// Bounds is the exposure bound: during a move, a bad version may receive at most
// Share of the service's requests plus Slack requests.
type Bounds struct {
	// Share is a part of all requests, from 0 to 1.
	Share float64
	// Slack is a number of requests.
	Slack float64
}

// BoundedInput holds the values from which NextBounded decides the next state of a move.
type BoundedInput struct {
	Now        time.Time
	Deadline   time.Time
	Bounds     Bounds
	NewServers int
	// Short and Stages are as in Input.
	Short  Window
	Stages []Window
}

// NextBounded decides the next state of a move under an exposure bound. It
// returns a finding, and the state unchanged, when the new version has to be
// rolled back.
func NextBounded(s State, in BoundedInput) (State, *Finding) {
	if s.Phase != wire.MoveState_MOVE_STATE_MOVING {
		return s, nil
	}
	if finding := findBoundedRegression(s, in); finding != nil {
		return s, finding
	}
	if in.NewServers == 0 {
		return s.withShare(in, 0, "waiting: no backend server of the new version has announced itself"), nil
	}
	if permille := rampShare(in); permille > 0 {
		return completeNearDeadline(s.withShare(in, max(permille, s.Permille), "raised before the deadline"), in), nil
	}
	return s.withShare(in, canaryShare(in), "canary"), nil
}

// findBoundedRegression compares the versions. While the share is raised before
// the deadline, a difference at suspicionLevel is enough for a finding: all
// traffic must not move to a version that looks bad.
func findBoundedRegression(s State, in BoundedInput) *Finding {
	level := boundedSignificance
	if rampShare(in) > 0 && s.Permille < bundle.FullPermille {
		level = suspicionLevel
	}
	if finding := compareAt(level, []Window{in.Short}); finding != nil {
		return finding
	}
	return compareAt(level, in.Stages)
}

// rampShare returns the share of the ramp step in progress, or 0 before the
// first step.
func rampShare(in BoundedInput) int {
	left := in.Deadline.Sub(in.Now)
	for _, step := range ramp {
		if left <= step.before {
			return step.permille
		}
	}
	return 0
}

// canaryShare returns the share before the ramp, which keeps the requests on the
// new version within the canary's part of the exposure bound.
func canaryShare(in BoundedInput) int {
	total, onNew := countRequests(in.Stages)
	bound := maxCanaryFraction * (in.Bounds.Share*float64(total) + in.Bounds.Slack)
	switch {
	case float64(onNew) >= bound:
		return minCanaryPermille
	case onNew < initialRequests:
		return initialPermille
	}
	return canaryPermille
}

// countRequests returns the requests on both versions and those on the new one.
func countRequests(windows []Window) (total, onNew uint64) {
	for _, window := range windows {
		for _, sides := range window {
			total += sides.Old.ended() + sides.New.ended()
			onNew += sides.New.ended()
		}
	}
	return total, onNew
}

// withShare returns the state with the given share and a note that ends in the
// share. It returns the state unchanged when the share stays the same.
func (s State) withShare(in BoundedInput, permille int, note string) State {
	if s.Begun.IsZero() && permille > 0 {
		s.Begun = in.Now
	}
	if permille == s.Permille {
		return s
	}
	stage := Window(nil)
	if len(in.Stages) > 0 {
		stage = in.Stages[len(in.Stages)-1]
	}
	s = s.startStage(in.Now, permille, stage)
	s.Note = fmt.Sprintf("%s: %d.%d %%", note, permille/10, permille%10)
	return s
}

// completeNearDeadline sets the phase to done when all traffic goes to the new
// version and the deadline is at most completionLead away. The last step of the
// ramp begins earlier, so that the versions are compared at the full share.
func completeNearDeadline(s State, in BoundedInput) State {
	if s.Permille == bundle.FullPermille && in.Deadline.Sub(in.Now) <= completionLead {
		s.Phase = wire.MoveState_MOVE_STATE_DONE
		s.Note = "done"
	}
	return s
}
