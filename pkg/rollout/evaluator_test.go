package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

func newRandom(seed uint64) func() float64 { return rand.New(rand.NewPCG(seed, seed)).Float64 }

// simulation drives an evaluator with generated traffic to two versions.
type simulation struct {
	start, now time.Time
	evaluator  *Evaluator
	move       *wire.Move
	perSecond  float64
	random     func() float64
	// newRate and oldRate return the failure rates of the versions at a time after
	// the start and at a share of the new version.
	newRate, oldRate func(at time.Duration, permille int) float64
	newServers       func(at time.Duration) int
	halt             *wire.Halt
	totals           map[string]*wire.RouteTotals
	doneAt           time.Duration
	newFailures      uint64
}

const deadlineAfter = 60 * time.Second

func newSimulation(seed uint64) *simulation {
	start := time.UnixMilli(1_700_000_000_000)
	move := &wire.Move{Service: "quote", From: "v1", To: "v2", StartUnixMs: start.UnixMilli(), DeadlineUnixMs: start.Add(deadlineAfter).UnixMilli(), CanaryPermille: 50, Sequence: 2}
	none := func(time.Duration, int) float64 { return 0 }
	s := &simulation{
		start: start, now: start, move: move, evaluator: NewEvaluator(move), perSecond: 200, random: newRandom(seed),
		newRate: none, oldRate: none, newServers: func(time.Duration) int { return 2 },
		totals: make(map[string]*wire.RouteTotals),
	}
	for _, version := range []string{"v1", "v2"} {
		s.totals[version] = &wire.RouteTotals{Version: version, Route: "quotes", Latency: make([]uint64, latencyBuckets)}
	}
	return s
}

// run advances the move by the given time, in steps of a quarter of a second.
func (s *simulation) run(length time.Duration) {
	const step = 250 * time.Millisecond
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(step) {
		s.serve(step)
		var evidence []*wire.Evidence
		e := &wire.Evidence{Node: "n", Service: "quote", Sequence: 2}
		for _, totals := range s.totals {
			e.Totals = append(e.Totals, totals)
		}
		evidence = append(evidence, e)
		s.evaluator.Observe(s.now, evidence)
		finding, _ := s.evaluator.Step(StepInput{Now: s.now, NewServers: s.newServers(s.now.Sub(s.start)), OldServers: 3, Halt: s.halt})
		if finding != nil {
			s.halt = finding.Halt(s.move, "plateau", s.now)
		}
		if s.doneAt == 0 && s.evaluator.State().Phase == wire.MoveState_MOVE_STATE_DONE {
			s.doneAt = s.now.Sub(s.start)
		}
	}
}

func (s *simulation) serve(step time.Duration) {
	at := s.now.Sub(s.start)
	permille := s.evaluator.State().Permille
	for range int(s.perSecond * step.Seconds()) {
		version, rate := "v1", s.oldRate(at, permille)
		if s.random()*1000 < float64(permille) {
			version, rate = "v2", s.newRate(at, permille)
		}
		totals := s.totals[version]
		totals.Requests++
		totals.Latency[4]++
		if s.random() < rate {
			totals.Failures++
			if version == "v2" {
				s.newFailures++
			}
		}
	}
}

func constant(rate float64) func(time.Duration, int) float64 {
	return func(time.Duration, int) float64 { return rate }
}

// TestEvaluator guards against a move that completes a worse version, that rolls
// back a good one, or that misses its deadline. Each case runs a whole move with
// generated traffic under five seeds; a case with a bad version also bounds the
// requests that fail on it.
func TestEvaluator(t *testing.T) {
	for name, test := range moveCases() {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				test.run(t, seed+1)
			}
		})
	}
}

// moveCase is a simulation and the phase in which its move has to end.
type moveCase struct {
	setUp func(*simulation)
	phase wire.MoveState
	// maxNewFailures bounds the failed requests on the new version.
	maxNewFailures uint64
}

func (test moveCase) run(t *testing.T, seed uint64) {
	t.Helper()
	s := newSimulation(seed)
	if test.setUp != nil {
		test.setUp(s)
	}
	s.run(90 * time.Second)
	state := s.evaluator.State()
	if state.Phase != test.phase {
		t.Errorf("seed %d: got %v (%s), want %v", seed, state.Phase, state.Note, test.phase)
	}
	if test.phase == wire.MoveState_MOVE_STATE_DONE && s.doneAt > deadlineAfter {
		t.Errorf("seed %d: done after %v, want at most %v", seed, s.doneAt, deadlineAfter)
	}
	if s.newFailures > test.maxNewFailures {
		t.Errorf("seed %d: %d requests failed on the new version, want at most %d", seed, s.newFailures, test.maxNewFailures)
	}
}

// within returns a failure rate that applies between two times; outside of them
// it is 0.
func within(from, to time.Duration, rate float64) func(time.Duration, int) float64 {
	return func(at time.Duration, _ int) float64 {
		if at > from && at < to {
			return rate
		}
		return 0
	}
}

func moveCases() map[string]moveCase {
	const longAfter = time.Hour
	return map[string]moveCase{
		"no failures":               {phase: wire.MoveState_MOVE_STATE_DONE},
		"both versions fail rarely": {setUp: func(s *simulation) { s.newRate, s.oldRate = constant(0.02), constant(0.02) }, phase: wire.MoveState_MOVE_STATE_DONE, maxNewFailures: 1000},
		"both versions fail alike during the move": {phase: wire.MoveState_MOVE_STATE_DONE, maxNewFailures: 10000, setUp: func(s *simulation) {
			s.newRate = within(20*time.Second, 40*time.Second, 0.5)
			s.oldRate = s.newRate
		}},
		"both versions fail alike after completion": {phase: wire.MoveState_MOVE_STATE_DONE, maxNewFailures: 10000, setUp: func(s *simulation) {
			s.newRate = within(70*time.Second, longAfter, 0.5)
			s.oldRate = s.newRate
		}},
		"new version fails every request": {setUp: func(s *simulation) { s.newRate = constant(1) }, phase: wire.MoveState_MOVE_STATE_TAKEN_BACK, maxNewFailures: 10},
		"new version fails some requests": {setUp: func(s *simulation) { s.newRate = constant(0.1) }, phase: wire.MoveState_MOVE_STATE_TAKEN_BACK, maxNewFailures: 30},
		"new version fails above a share": {phase: wire.MoveState_MOVE_STATE_TAKEN_BACK, maxNewFailures: 60, setUp: func(s *simulation) {
			s.newRate = func(_ time.Duration, permille int) float64 {
				if permille > 300 {
					return 0.3
				}
				return 0
			}
		}},
		"new version fails after completion": {phase: wire.MoveState_MOVE_STATE_TAKEN_BACK, maxNewFailures: 400, setUp: func(s *simulation) {
			s.newRate = within(70*time.Second, longAfter, 0.5)
		}},
		"no new backend server":    {setUp: func(s *simulation) { s.newServers = func(time.Duration) int { return 0 } }, phase: wire.MoveState_MOVE_STATE_MOVING},
		"service without requests": {setUp: func(s *simulation) { s.perSecond = 0 }, phase: wire.MoveState_MOVE_STATE_DONE},
	}
}

// TestSuspicionHoldsWithinDeadline guards against a move that misses its deadline
// because the new version looks worse, but not significantly so: the share may
// be held only while the time left is longer than the remaining stages need.
func TestSuspicionHoldsWithinDeadline(t *testing.T) {
	const near = 12 * time.Second
	suspect := Window{"a": {Old: counts(100, 10, 0), New: counts(20, 7, 0)}}
	if Compare(suspect) != nil || !LooksWorse(suspect) {
		t.Fatal("the window has to look worse, but not significantly so")
	}
	tests := map[string]struct {
		left time.Duration
		want int
	}{
		"more time left than the stages need": {8 * time.Second, 200},
		"stages need all the time left":       {3900 * time.Millisecond, 400},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(1)
			end := s.start.Add(near)
			s.move.DeadlineUnixMs = end.UnixMilli()
			now := end.Add(-test.left)
			state := State{Permille: 200, Begun: s.start, Since: now.Add(-3 * time.Second)}
			next, _ := Next(state, Input{Now: now, Move: s.move, NewServers: 1, OldServers: 1, Short: suspect, Stages: []Window{suspect}})
			if next.Permille != test.want {
				t.Errorf("got %d permille (%s), want %d", next.Permille, next.Note, test.want)
			}
		})
	}
}

// TestEvaluatorCanaryBound guards against a share above the canary share of the
// move, 50 permille, before enough requests were compared.
func TestEvaluatorCanaryBound(t *testing.T) {
	s := newSimulation(1)
	s.run(2 * time.Second)
	if got := s.evaluator.State().Permille; got > 50 {
		t.Errorf("share two seconds after the start is %d permille, want at most 50", got)
	}
}
