package experiment

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/deployment"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/trace"
)

const (
	recordSeconds   = 12
	recordPerSecond = 60
	recordHosts     = 3
	// One of every keepEvery recorded steps is written. A leader records four steps
	// a second.
	keepEvery = 2
)

// Record runs one scenario on a small deployment and writes its trace, followed
// by the expected outcome. It returns an error if the move ended in another state.
func Record(ctx context.Context, binaries deployment.Binaries, scenario string, w io.Writer) error {
	move, ok := Scenarios()[scenario]
	if !ok {
		return fmt.Errorf("unknown scenario %q", scenario)
	}
	move.Service, move.Scenario = "quote", scenario
	dir, err := os.MkdirTemp("", "hibiscusrock-record-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d, stop, err := deployment.New(dir, binaries, []string{"plateau"})
	if err != nil {
		return err
	}
	defer stop()
	for range recordHosts {
		if _, err := d.AddHost("plateau"); err != nil {
			return err
		}
	}
	if err := deployment.WaitMembers(ctx, d.Hosts(""), recordHosts, maxSettleTime); err != nil {
		return err
	}
	m := &Moves{Deployment: d, DataCentres: []string{"plateau"}, Seconds: recordSeconds, PerSecond: recordPerSecond, Moves: []Move{move}, Round: 1}
	results, err := m.Run(ctx)
	if err != nil {
		return err
	}
	lines, err := m.Trace(ctx, "plateau", "quote")
	if err != nil {
		return err
	}
	lines = thinSteps(lines)
	lines[0].Note = scenario
	outcome := &trace.Outcome{State: rollout.NameDone, WithinMS: recordSeconds * 1000}
	if move.Bad {
		outcome.State = rollout.NameRolledBack
	}
	if results[0].State != outcome.State {
		return fmt.Errorf("the move ended in state %s, want %s: %s", results[0].State, outcome.State, results[0].Note)
	}
	return trace.Write(w, append(lines, trace.Line{Outcome: outcome}))
}

// thinSteps returns the first line and one of every keepEvery lines after it.
func thinSteps(lines []trace.Line) []trace.Line {
	kept := lines[:1:1]
	for i, line := range lines[1:] {
		if i%keepEvery == 0 {
			kept = append(kept, line)
		}
	}
	return kept
}
