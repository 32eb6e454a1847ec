package node

import (
	"net/http"
	"sync"

	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/trace"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	maxTracedMoves = 4
	maxTracedSteps = 240
)

// moveTraces keeps the last inputs of the decisions that this node made as the
// leader, for each of the last few moves.
type moveTraces struct {
	mu    sync.Mutex
	order []string
	moves map[string]*moveTrace
}

type moveTrace struct {
	move  *wire.Move
	steps []*trace.Step
}

func newMoveTraces() *moveTraces { return &moveTraces{moves: make(map[string]*moveTrace)} }

func (t *moveTraces) record(move *wire.Move, input rollout.StepInput, evidence []*wire.Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.moves[move.GetService()]
	if m == nil || m.move.GetSequence() != move.GetSequence() {
		m = &moveTrace{move: move}
		t.add(move.GetService(), m)
	}
	m.steps = append(m.steps, &trace.Step{AtUnixMS: input.Now.UnixMilli(), NewServers: input.NewServers, OldServers: input.OldServers, Evidence: evidence})
	m.steps = m.steps[max(0, len(m.steps)-maxTracedSteps):]
}

func (t *moveTraces) add(service string, m *moveTrace) {
	if t.moves[service] == nil {
		t.order = append(t.order, service)
	}
	t.moves[service] = m
	for len(t.order) > maxTracedMoves {
		delete(t.moves, t.order[0])
		t.order = t.order[1:]
	}
}

// lines returns the trace of a service's move without an outcome, or nil if
// there is none.
func (t *moveTraces) lines(service string) []trace.Line {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.moves[service]
	if m == nil {
		return nil
	}
	lines := []trace.Line{{Kind: trace.KindMove, Move: m.move}}
	for _, step := range m.steps {
		lines = append(lines, trace.Line{Step: step})
	}
	return lines
}

// serveTrace responds with the recorded inputs of a move as JSON lines.
func (n *Node) serveTrace(w http.ResponseWriter, r *http.Request) {
	lines := n.moves.traces.lines(r.PathValue("service"))
	if lines == nil {
		http.Error(w, "this node was not the leader during a move of service "+r.PathValue("service"), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	_ = trace.Write(w, lines)
}
