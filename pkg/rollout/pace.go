package rollout

import (
	"fmt"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// A move of a whole deployment with an exposure bound keeps the new version at
// a small share until shortly before the deadline, since a fault may show late,
// and then raises it in a few short steps. A step that shows a fault costs
// little of what the bound allows.
const (
	// canaryPermille keeps half of the usual bound of a tenth in reserve for the
	// steps at the end.
	canaryPermille = 40
	// firstPermille is the share until firstRequests were sent, which find a
	// fault that shows at once.
	firstPermille = 100
	firstRequests = 16
	// trickle is the share when the reserve of the exposure bound is reached.
	trickle = 10
	// reservePart is the part of the exposure bound that the canary may use.
	reservePart = 0.5
	// reportTime is the time before the deadline at which the operators are told.
	reportTime = 700 * time.Millisecond
)

// ramp lists the steps at the end: the time before the deadline and the share.
var ramp = []struct {
	before   time.Duration
	permille int
}{
	{1500 * time.Millisecond, bundle.FullPermille},
	{2100 * time.Millisecond, 500},
	{3 * time.Second, 200},
}

// Bounds limit the requests that a version may receive before it is proved.
type Bounds struct {
	// Share is the part of the service's requests, and Slack a number beside it.
	Share float64
	Slack float64
}

// Pace is what the pace of a move is decided from.
type Pace struct {
	Now        time.Time
	Deadline   time.Time
	Bounds     Bounds
	NewServers int
	// Short holds the outcomes of the last seconds, Stages those at the present
	// share, which is the last window, and at the shares before.
	Short  Window
	Stages []Window
}

// NextPaced decides the next state of a move under an exposure bound. It
// returns a finding when the new version has to be taken back.
func NextPaced(s State, in Pace) (State, *Finding) {
	if s.Phase != wire.MoveState_MOVE_STATE_MOVING {
		return s, nil
	}
	if finding := judgePaced(s, in); finding != nil {
		return s, finding
	}
	if in.NewServers == 0 {
		return s.to(in, 0, "waiting: no backend server of the new version has announced itself"), nil
	}
	if permille := rampShare(in); permille > 0 {
		return finish(s.to(in, max(permille, s.Permille), "raised before the deadline"), in), nil
	}
	return s.to(in, canaryShare(in), "canary"), nil
}

// judgePaced looks for a fault. Near the deadline a suspicion is enough: a
// version that looks bad is not moved to.
func judgePaced(s State, in Pace) *Finding {
	level := pacedSignificance
	if rampShare(in) > 0 && s.Permille < bundle.FullPermille {
		level = suspicion
	}
	if finding := judgeAt(level, []Window{in.Short}); finding != nil {
		return finding
	}
	return judgeAt(level, in.Stages)
}

// rampShare returns the share that the time to the deadline calls for, or 0 for
// the canary's.
func rampShare(in Pace) int {
	left := in.Deadline.Sub(in.Now)
	for _, step := range ramp {
		if left <= step.before {
			return step.permille
		}
	}
	return 0
}

// canaryShare keeps the canary under its part of the exposure bound.
func canaryShare(in Pace) int {
	total, onNew := requestsOf(in.Stages)
	bound := reservePart * (in.Bounds.Share*float64(total) + in.Bounds.Slack)
	switch {
	case float64(onNew) >= bound:
		return trickle
	case onNew < firstRequests:
		return firstPermille
	}
	return canaryPermille
}

func requestsOf(windows []Window) (total, onNew uint64) {
	for _, window := range windows {
		for _, sides := range window {
			total += sides.Old.Requests + sides.New.Requests
			onNew += sides.New.Requests
		}
	}
	return total, onNew
}

// to returns the state with another share.
func (s State) to(in Pace, permille int, note string) State {
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
	s = s.change(in.Now, permille, stage)
	s.Note = fmt.Sprintf("%s: %d.%d %%", note, permille/10, permille%10)
	return s
}

// finish completes the move once all traffic went to the new version for a while.
func finish(s State, in Pace) State {
	if s.Permille == bundle.FullPermille && in.Deadline.Sub(in.Now) <= reportTime {
		s.Phase = wire.MoveState_MOVE_STATE_DONE
		s.Note = "done"
	}
	return s
}
