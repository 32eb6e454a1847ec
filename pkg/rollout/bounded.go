package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// A move of a whole deployment under an exposure bound keeps the new version at
// a small share until shortly before the deadline, because a fault may show
// late, and then raises the share in a few short steps. A step that shows a
// fault uses up little of the exposure bound.
const (
	// initialFraction is the part of the bound's slack that the new version gets at the
	// bound's share, which is enough to find a fault that every request shows. Most
	// of these requests run on backend servers that have just started.
	initialFraction = 0.3
	// canaryFraction is the part of the bound's share that the new version then gets.
	canaryFraction = 0.75
	// maxCanaryFraction is the part of the exposure bound from which the canary gets
	// minCanaryPermille, as it may when the number of requests falls. The rest is for
	// the steps at the end.
	maxCanaryFraction = 0.85
	minCanaryPermille = 10
	// rampSignificance is the maximum probability of a false alarm in one test
	// while the share is raised before the deadline. All traffic must not move to a
	// version that looks bad.
	rampSignificance = 5e-3
	// completionLead is the time before the deadline at which the move is declared
	// done, so that the report reaches the operators in time.
	completionLead = 700 * time.Millisecond
)

// ramp lists the steps at the end of a move: the time to the deadline at which
// a step begins, and its share. A step lasts long enough for its slow requests to
// be found before the next one.
var ramp = []struct {
	before   time.Duration
	permille int
}{
	{1500 * time.Millisecond, bundle.FullPermille},
	{2500 * time.Millisecond, 500},
	{3500 * time.Millisecond, 200},
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
	// OnNew is the number of requests that the new version has received. Stages holds
	// only those that this node has observed.
	OnNew uint64
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

// findBoundedRegression compares the versions.
func findBoundedRegression(s State, in BoundedInput) *Finding {
	level := boundedSignificance
	if rampShare(in) > 0 && s.Permille < bundle.FullPermille {
		level = rampSignificance
	}
	short := in.Short
	if s.Permille == bundle.FullPermille {
		// No request is left on the old version to compare with.
		short = windowAgainstPast(in.Short, in.Stages)
	}
	if finding := compareAt(level, []Window{short}); finding != nil {
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
	total := float64(max(countRequests(in.Stages), in.OnNew))
	switch {
	case float64(in.OnNew) >= maxCanaryFraction*(in.Bounds.Share*total+in.Bounds.Slack):
		return minCanaryPermille
	case float64(in.OnNew) < initialFraction*in.Bounds.Slack:
		return permilleOf(in.Bounds.Share)
	}
	return permilleOf(canaryFraction * in.Bounds.Share)
}

// permilleOf returns a share as one that nodes can follow, which is at least
// minCanaryPermille.
func permilleOf(share float64) int {
	permille := int(math.Round(share * bundle.FullPermille))
	return min(max(permille, minCanaryPermille), bundle.FullPermille)
}

// countRequests returns the requests that both versions received.
func countRequests(windows []Window) uint64 {
	total := uint64(0)
	for _, window := range windows {
		for _, sides := range window {
			total += sides.Old.received() + sides.New.received()
		}
	}
	return total
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
