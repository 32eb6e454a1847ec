package node

import (
	"net/http"
	"sync"

	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/trace"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	recordedMoves = 4
	recordedSteps = 240
)

// moveRecorder keeps the last inputs of the moves that this node steered.
type moveRecorder struct {
	mu    sync.Mutex
	order []string
	moves map[string]*recordedMove
}

type recordedMove struct {
	move  *wire.Move
	steps []*trace.Step
}

func newMoveRecorder() *moveRecorder { return &moveRecorder{moves: make(map[string]*recordedMove)} }

func (r *moveRecorder) record(move *wire.Move, sight rollout.Sight, evidence []*wire.Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.moves[move.GetService()]
	if m == nil || m.move.GetSequence() != move.GetSequence() {
		m = &recordedMove{move: move}
		r.add(move.GetService(), m)
	}
	m.steps = append(m.steps, &trace.Step{AtUnixMS: sight.Now.UnixMilli(), NewServers: sight.NewServers, OldServers: sight.OldServers, Evidence: evidence})
	m.steps = m.steps[max(0, len(m.steps)-recordedSteps):]
}

func (r *moveRecorder) add(service string, m *recordedMove) {
	if r.moves[service] == nil {
		r.order = append(r.order, service)
	}
	r.moves[service] = m
	for len(r.order) > recordedMoves {
		delete(r.moves, r.order[0])
		r.order = r.order[1:]
	}
}

// lines returns the trace of a service's move, without an outcome.
func (r *moveRecorder) lines(service string) []trace.Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.moves[service]
	if m == nil {
		return nil
	}
	lines := []trace.Line{{Kind: trace.KindMove, Move: m.move}}
	for _, step := range m.steps {
		lines = append(lines, trace.Line{Step: step})
	}
	return lines
}

// serveTrace answers with the recorded inputs of a move as lines of JSON.
func (n *Node) serveTrace(w http.ResponseWriter, r *http.Request) {
	lines := n.moves.recorded.lines(r.PathValue("service"))
	if lines == nil {
		http.Error(w, "this node steered no move of that service", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	_ = trace.Write(w, lines)
}
