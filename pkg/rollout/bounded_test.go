package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// workload is the traffic of one service during a move under an exposure bound,
// and the behaviour of both versions.
type workload struct {
	perSecond float64
	// usualWork and workSpread describe a log-normal distribution of work times.
	usualWork  time.Duration
	workSpread float64
	// timeout is the time after which callers leave.
	timeout time.Duration
	// oldSpeeds and newSpeeds hold the speed of each host of a version.
	oldSpeeds, newSpeeds []float64
	// failureRate is that of both versions.
	failureRate float64
	// fault reports whether a request fails on the new version, and the factor by
	// which it is slower there.
	fault func(*boundedSimulation) (fails bool, factor float64)
}

// newWorkload returns a good version, and requests whose slowest take as long as
// their callers wait.
func newWorkload() workload {
	speeds := []float64{0.5, 1, 1, 1.5}
	return workload{
		perSecond: 190, usualWork: 100 * time.Millisecond, workSpread: 0.8, timeout: time.Second,
		oldSpeeds: speeds, newSpeeds: speeds, failureRate: 0.01,
		fault: func(*boundedSimulation) (bool, float64) { return false, 1 },
	}
}

// boundedSimulation plays a move under an exposure bound with generated traffic.
type boundedSimulation struct {
	workload
	random     *rand.Rand
	start, now time.Time
	evaluator  *Evaluator
	standby    *Evaluator
	recorder   *Recorder
	running    []simulatedRequest
	// finding is set once the version was rolled back.
	finding *Finding
	// total counts the requests until the deadline, onNew those on the new version.
	total, onNew int
}

type simulatedRequest struct {
	observation *Observation
	ends        time.Time
	failed      bool
	// left is set when the caller leaves before the answer.
	left bool
}

const (
	simulatedMove  = 16 * time.Second
	simulatedShare = 0.1
	simulatedSlack = 50
)

func newBoundedSimulation(w workload, seed uint64) *boundedSimulation {
	start := time.UnixMilli(1_700_000_000_000)
	move := &wire.Move{Service: "stock", To: "v2", Sequence: 2}
	s := &boundedSimulation{
		workload: w, random: rand.New(rand.NewPCG(seed, seed)), start: start, now: start,
		evaluator: NewEvaluator(move), standby: NewEvaluator(move),
	}
	s.recorder = NewRecorder(func() time.Time { return s.now })
	return s
}

// run plays the move until its deadline.
func (s *boundedSimulation) run() {
	const step, stepsPerDecision = 10 * time.Millisecond, 20
	for i := 0; s.now.Before(s.start.Add(simulatedMove)); i++ {
		s.end()
		s.begin(step)
		if i%stepsPerDecision == 0 && s.finding == nil {
			s.decide()
		}
		s.now = s.now.Add(step)
	}
}

func (s *boundedSimulation) decide() {
	evidence := []*wire.Evidence{{Node: "n", Service: "stock", Sequence: 2, Totals: s.recorder.Totals("stock")}}
	s.evaluator.Observe(s.now, evidence)
	s.finding, _ = s.evaluator.StepBounded(BoundedInput{
		Now: s.now, Deadline: s.start.Add(simulatedMove), Bounds: Bounds{Share: simulatedShare, Slack: simulatedSlack}, NewServers: len(s.newSpeeds),
	})
	s.standby.Follow(s.now, s.evaluator.State().Permille, evidence)
}

// begin starts the requests of one step.
func (s *boundedSimulation) begin(step time.Duration) {
	for range s.poisson(s.perSecond * step.Seconds()) {
		s.total++
		version, speeds, factor := "v1", s.oldSpeeds, 1.0
		failed := s.random.Float64() < s.failureRate
		if s.finding == nil && s.random.IntN(1000) < s.evaluator.State().Permille {
			s.onNew++
			fails, slower := s.fault(s)
			version, speeds, factor, failed = "v2", s.newSpeeds, slower, failed || fails
		}
		s.send(version, factor/speeds[s.random.IntN(len(speeds))], failed)
	}
}

// send starts a request whose work takes factor times as long as usual. When it
// does not end in time, either the backend server fails it at the timeout or
// the caller leaves.
func (s *boundedSimulation) send(version string, factor float64, failed bool) {
	r := simulatedRequest{observation: s.recorder.Start(Request{Service: "stock", Version: version, Route: "checks"}), failed: failed}
	work := time.Duration(factor * math.Exp(s.workSpread*s.random.NormFloat64()) * float64(s.usualWork))
	if work > s.timeout {
		work = s.timeout
		r.failed = true
		r.left = s.random.IntN(2) == 0
	}
	r.ends = s.now.Add(work)
	s.running = append(s.running, r)
}

// poisson returns a random number with a Poisson distribution.
func (s *boundedSimulation) poisson(mean float64) int {
	n, p := 0, s.random.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= s.random.Float64()
	}
	return n
}

// end records the requests that have ended.
func (s *boundedSimulation) end() {
	var running []simulatedRequest
	for _, r := range s.running {
		switch {
		case r.ends.After(s.now):
			running = append(running, r)
		case r.left:
			r.observation.Abandon()
		default:
			r.observation.End(r.failed)
		}
	}
	s.running = running
}

// isWithinBound reports whether the requests on the new version kept the exposure bound.
func (s *boundedSimulation) isWithinBound() bool {
	return float64(s.onNew) <= simulatedShare*float64(s.total)+simulatedSlack
}

// slows returns the fault of a version that is slower by a factor for a part of
// its requests.
func slows(part, factor float64) func(*boundedSimulation) (bool, float64) {
	return func(s *boundedSimulation) (bool, float64) {
		if s.random.Float64() < part {
			return false, factor
		}
		return false, 1
	}
}

// fails returns the fault of a version that fails a part of its requests.
func fails(part float64) func(*boundedSimulation) (bool, float64) {
	return func(s *boundedSimulation) (bool, float64) { return s.random.Float64() < part, 1 }
}

// Of the moves of one workload, at most maxMissed in a hundred may leave a bad
// version in use or exceed the exposure bound with it, and at most maxFalseAlarms
// in a hundred may roll back a good one.
const (
	simulatedMoves = 100
	maxMissed      = 1
	maxFalseAlarms = 5
)

func badVersions() map[string]func(*workload) {
	return map[string]func(*workload){
		"a fifth of the requests eight times slower": func(w *workload) { w.fault = slows(0.2, 8) },
		"a fifth slower while both versions fail some": func(w *workload) {
			w.fault = slows(0.2, 8)
			w.failureRate = 0.03
		},
		"half of the requests eight times slower":               func(w *workload) { w.fault = slows(0.5, 8) },
		"half of the requests slower in the second half":        func(w *workload) { w.fault = inSecondHalf(slows(0.5, 8)) },
		"a tenth of the requests fail":                          func(w *workload) { w.fault = fails(0.1) },
		"half of the requests fail at a share of 20 % and more": func(w *workload) { w.fault = underLoad(200, fails(0.5)) },
	}
}

// inSecondHalf restricts a fault to the second half of the move.
func inSecondHalf(fault func(*boundedSimulation) (bool, float64)) func(*boundedSimulation) (bool, float64) {
	return func(s *boundedSimulation) (bool, float64) {
		if s.now.Sub(s.start) < simulatedMove/2 {
			return false, 1
		}
		return fault(s)
	}
}

// underLoad restricts a fault to shares of at least the given permille.
func underLoad(permille int, fault func(*boundedSimulation) (bool, float64)) func(*boundedSimulation) (bool, float64) {
	return func(s *boundedSimulation) (bool, float64) {
		if s.evaluator.State().Permille < permille {
			return false, 1
		}
		return fault(s)
	}
}

// TestBadVersionIsFoundWithinExposureBound guards against a bad version that gets
// all traffic because too little of what it does wrong counts against it.
func TestBadVersionIsFoundWithinExposureBound(t *testing.T) {
	for name, setUp := range badVersions() {
		t.Run(name, func(t *testing.T) { wantFound(t, setUp) })
	}
}

// TestFaultAtFullShareIsFound guards against a bad version that is declared done
// because no request is left on the old version to compare with. The exposure bound
// is used up by then.
func TestFaultAtFullShareIsFound(t *testing.T) {
	for seed := range uint64(simulatedMoves) {
		s := simulate(func(w *workload) { w.fault = underLoad(bundle.FullPermille, fails(0.3)) }, seed)
		if s.finding == nil {
			t.Errorf("seed %d: got no finding, state %v", seed, s.evaluator.State().Phase)
		}
	}
}

// TestHalfFourTimesSlowerIsFound guards against a bad version whose slow requests
// look like those of a slower host.
func TestHalfFourTimesSlowerIsFound(t *testing.T) {
	wantFound(t, func(w *workload) {
		w.fault = slows(0.5, 4)
		w.timeout = 3 * time.Second
	})
}

func wantFound(t *testing.T, setUp func(*workload)) {
	t.Helper()
	missed := 0
	for seed := range uint64(simulatedMoves) {
		s := simulate(setUp, seed)
		if s.finding == nil || !s.isWithinBound() {
			missed++
		}
	}
	if missed > maxMissed {
		t.Errorf("got %d of %d bad versions in use at the deadline or beyond the exposure bound, want at most %d", missed, simulatedMoves, maxMissed)
	}
}

func goodVersions() map[string]func(*workload) {
	return map[string]func(*workload){
		"few failures":                     func(*workload) {},
		"both versions fail some requests": func(w *workload) { w.failureRate = 0.03 },
		"faster hosts":                     func(w *workload) { w.newSpeeds = []float64{1.5} },
		"both versions fail many requests": func(w *workload) { w.failureRate = 0.2 },
		"hosts slower by a factor of 1.4, callers wait longer": func(w *workload) {
			w.newSpeeds = []float64{0.35, 0.7, 0.7, 1.05}
			w.timeout = 3 * time.Second
		},
		"all requests on the slowest host, callers wait longer": func(w *workload) {
			w.newSpeeds = []float64{0.5}
			w.timeout = 3 * time.Second
		},
		"a third of the requests":                 func(w *workload) { w.perSecond = 60 },
		"a third of the requests on slower hosts": func(w *workload) { w.perSecond = 60; w.newSpeeds = []float64{0.35, 0.7, 0.7, 1.05} },
	}
}

// TestGoodVersionCompletes guards against a good version that is rolled back.
func TestGoodVersionCompletes(t *testing.T) {
	for name, setUp := range goodVersions() {
		t.Run(name, func(t *testing.T) {
			alarms := 0
			for seed := range uint64(simulatedMoves) {
				if simulate(setUp, seed).finding != nil {
					alarms++
				}
			}
			if alarms > maxFalseAlarms {
				t.Errorf("got %d of %d good versions rolled back, want at most %d", alarms, simulatedMoves, maxFalseAlarms)
			}
		})
	}
}

// TestStandbyKeepsEvidence guards against a new leader that compares the versions from
// its election on only, so that a fault which had shown before does not count.
func TestStandbyKeepsEvidence(t *testing.T) {
	s := simulate(func(*workload) {}, 1)
	got, want := s.standby.Comparisons()[0], s.evaluator.Comparisons()[0]
	if got.NewTrials != want.NewTrials || got.NewEvents != want.NewEvents || got.OldTrials != want.OldTrials {
		t.Errorf("the standby has %d of %d failures, against %d, want %d of %d, against %d", got.NewEvents, got.NewTrials, got.OldTrials, want.NewEvents, want.NewTrials, want.OldTrials)
	}
}

// simulate plays one move of a workload that setUp changes.
func simulate(setUp func(*workload), seed uint64) *boundedSimulation {
	w := newWorkload()
	setUp(&w)
	s := newBoundedSimulation(w, seed)
	s.run()
	return s
}
