package admission

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
)

// loadKind is one kind of request of a played load.
type loadKind struct {
	perSecond float64
	work      time.Duration
	// spread is the standard deviation of the logarithm of the work.
	spread    float64
	priority  int
	objective time.Duration
	deadline  time.Duration
}

// loadResult counts what callers got.
type loadResult struct {
	asked, onTime, late, refused, refusedLate int
}

// play plays a load against one gate in virtual time.
func play(seed uint64, slots int, length time.Duration, kinds map[string]loadKind) map[string]*loadResult {
	p := &player{random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(0, 0), results: make(map[string]*loadResult)}
	p.gate = NewGate(func() time.Time { return p.now }, slots, 64)
	end := p.now.Add(length)
	for name, kind := range kinds {
		p.results[name] = &loadResult{}
		p.arrive(name, kind, end)
	}
	for p.events.Len() > 0 {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.do()
		p.startSettled()
	}
	return p.results
}

type player struct {
	gate    *Gate
	random  *rand.Rand
	now     time.Time
	events  events
	waiting []*playedRequest
	results map[string]*loadResult
}

type playedRequest struct {
	waiter  *waiter
	kind    loadKind
	arrived time.Time
	result  *loadResult
}

func (p *player) at(at time.Time, do func()) { heap.Push(&p.events, event{at: at, do: do}) }

func (p *player) arrive(name string, kind loadKind, end time.Time) {
	gap := time.Duration(p.random.ExpFloat64() / kind.perSecond * float64(time.Second))
	at := p.now.Add(gap)
	if at.After(end) {
		return
	}
	p.at(at, func() {
		p.ask(name, kind)
		p.arrive(name, kind, end)
	})
}

func (p *player) ask(name string, kind loadKind) {
	result := p.results[name]
	result.asked++
	q := &playedRequest{kind: kind, arrived: p.now, result: result}
	r, w, refusal := p.gate.enter(Work{
		Kind: name, Priority: kind.priority, Objective: p.now.Add(kind.objective), Deadline: p.now.Add(kind.deadline), Usual: kind.objective / 3,
	})
	switch {
	case refusal != nil:
		result.refused++
	case w != nil:
		q.waiter = w
		p.waiting = append(p.waiting, q)
	default:
		p.run(q, r)
	}
}

func (p *player) run(q *playedRequest, r *running) {
	s := q.kind.spread
	work := time.Duration(float64(q.kind.work) * math.Exp(s*p.random.NormFloat64()-s*s/2))
	p.at(p.now.Add(work), func() {
		took := p.now.Sub(q.arrived)
		switch {
		case took <= q.kind.objective:
			q.result.onTime++
		case took <= q.kind.deadline:
			q.result.late++
		}
		p.gate.leave(r, Succeeded)
	})
}

// startSettled runs the requests that the gate gave a slot meanwhile.
func (p *player) startSettled() {
	var still []*playedRequest
	for _, q := range p.waiting {
		select {
		case refusal := <-q.waiter.settled:
			p.settle(q, refusal)
		default:
			still = append(still, q)
		}
	}
	p.waiting = still
}

func (p *player) settle(q *playedRequest, refusal *verdict.Refusal) {
	if refusal == nil {
		p.run(q, q.waiter.slot)
		return
	}
	q.result.refused++
	if p.now.Sub(q.arrived) > q.kind.objective/8 {
		q.result.refusedLate++
	}
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// TestOverloadServesOnTime plays loads beyond what the slots can do and checks
// that the slots go to answers that are on time.
func TestOverloadServesOnTime(t *testing.T) {
	const slots, length, seeds = 6, 30 * time.Second, 5
	quotes := loadKind{work: 120 * time.Millisecond, spread: 0.3, priority: 2, objective: 400 * time.Millisecond, deadline: 1200 * time.Millisecond}
	capacity := slots / quotes.work.Seconds()
	tests := map[string]struct {
		load float64
		want float64
	}{
		"all slots busy":            {0.9, 0.85},
		"a little more than slots":  {1.1, 0.75},
		"half as much again":        {1.5, 0.75},
		"two and a half times":      {2.5, 0.75},
		"five times what they take": {5, 0.75},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			quotes := quotes
			quotes.perSecond = test.load * capacity
			for seed := range uint64(seeds) {
				got := play(seed, slots, length, map[string]loadKind{"quotes": quotes})["quotes"]
				checkOverload(t, seed, *got, capacity*length.Seconds(), test.want)
			}
		})
	}
}

func checkOverload(t *testing.T, seed uint64, got loadResult, capacity, want float64) {
	t.Helper()
	possible := min(float64(got.asked), capacity)
	if part := float64(got.onTime) / possible; part < want {
		t.Errorf("seed %d: %.2f of what the slots can do was on time, want %.2f: %+v", seed, part, want, got)
	}
	if got.refusedLate > got.asked/10 {
		t.Errorf("seed %d: refused after a wait: %+v, want one in ten at most", seed, got)
	}
}

// TestUrgentWorkGoesFirst: bookings and calls keep their objectives while less
// urgent work fills all slots.
func TestUrgentWorkGoesFirst(t *testing.T) {
	for seed := range uint64(5) {
		got := play(seed, 6, 30*time.Second, map[string]loadKind{
			"quotes":   {perSecond: 100, work: 120 * time.Millisecond, spread: 0.3, priority: 2, objective: 400 * time.Millisecond, deadline: 1200 * time.Millisecond},
			"bookings": {perSecond: 10, work: 160 * time.Millisecond, spread: 0.8, priority: 1, objective: 500 * time.Millisecond, deadline: 1500 * time.Millisecond},
			"lookups":  {perSecond: 30, work: 30 * time.Millisecond, spread: 0.5, priority: 1, objective: 120 * time.Millisecond, deadline: 400 * time.Millisecond},
		})
		for _, name := range []string{"bookings", "lookups"} {
			r := got[name]
			if part := float64(r.onTime) / float64(r.asked); part < 0.9 || r.refused > r.asked/50 {
				t.Errorf("seed %d: %s: %.2f on time, want 0.9: %+v", seed, name, part, *r)
			}
		}
	}
}
