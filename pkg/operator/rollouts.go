package operator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/catalog"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/node"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
)

// pollInterval is the time between two reads of the status in 'rollout wait'.
const pollInterval = 500 * time.Millisecond

func (cl *commandLine) rolloutCommand() *cli.Command {
	return &cli.Command{Name: "rollout", Usage: "roll out releases and follow their moves", Commands: []*cli.Command{
		{Name: "start", Usage: "make a signed draft the newest release", ArgsUsage: "DRAFT", Action: cl.startRollout},
		{Name: "status", Usage: "show the status of the moves of the newest release", Action: cl.showRollout},
		{Name: "wait", Usage: "wait until all moves are done (exit 0) or one is taken back (exit 5)", Action: cl.waitRollout, Flags: []cli.Flag{
			&cli.DurationFlag{Name: "timeout", Usage: "maximum time to wait (then exit 6)", Value: time.Hour},
		}},
		{Name: "back", Usage: "store the contents of an earlier release, without its moves, as a new draft", ArgsUsage: "SEQUENCE", Action: cl.backRollout, Flags: []cli.Flag{
			&cli.StringFlag{Name: "author", Usage: "name shown to other operators", Value: currentUser()},
		}},
	}}
}

func (cl *commandLine) startRollout(ctx context.Context, c *cli.Command) error {
	id, err := oneArgument(c, "draft")
	if err != nil {
		return err
	}
	cat, cleanUp := cl.catalogFor(c)
	defer cleanUp()
	document, err := cat.Start(ctx, id)
	if err != nil {
		return err
	}
	v := newReleaseView(document)
	return cl.print(v, fmt.Sprintf("release %d is signed off and on its way to every node\n", v.Sequence))
}

// outcomes returns the newest release and the status of each of its moves.
func outcomes(ctx context.Context, cat *catalog.Catalog) (*bundle.Document, []catalog.Outcome, error) {
	head, err := findDocument(ctx, cat, "")
	if err != nil {
		return nil, nil, err
	}
	var all []catalog.Outcome
	for _, move := range head.Release().GetMoves() {
		reports, err := cat.Reports(ctx, move.GetSequence())
		if err != nil {
			return nil, nil, err
		}
		all = append(all, catalog.Summarise(move, head.Release().GetDataCentres(), reports))
	}
	return head, all, nil
}

func describe(head *bundle.Document, all []catalog.Outcome) string {
	var b strings.Builder
	fmt.Fprintf(&b, "release %d, %d moves\n", head.Sequence(), len(all))
	for _, outcome := range all {
		b.WriteString(outcome.Describe())
	}
	return b.String()
}

func (cl *commandLine) showRollout(ctx context.Context, c *cli.Command) error {
	cat, cleanUp := cl.catalogFor(c)
	defer cleanUp()
	head, all, err := outcomes(ctx, cat)
	if err != nil {
		return err
	}
	return cl.print(all, describe(head, all))
}

func (cl *commandLine) waitRollout(ctx context.Context, c *cli.Command) error {
	cat, cleanUp := cl.catalogFor(c)
	defer cleanUp()
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	for {
		head, all, err := outcomes(ctx, cat)
		if err == nil {
			if done, err := isWaitOver(all); done {
				return firstError(cl.print(all, describe(head, all)), err)
			}
		} else if !fault.Is(err, fault.KindUnavailable) {
			return err
		}
		select {
		case <-ctx.Done():
			return fault.New(fault.KindTimeout, "the moves have not ended in time", "run 'hibiscusrock rollout status'")
		case <-time.After(pollInterval):
		}
	}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// isWaitOver reports whether 'rollout wait' ends: all moves are done, or one was
// rolled back. The error, of kind KindRolledBack, names the version rolled back.
func isWaitOver(all []catalog.Outcome) (bool, error) {
	moving := false
	for _, outcome := range all {
		switch outcome.State {
		case rollout.NameRolledBack:
			return true, fault.New(fault.KindRolledBack, outcome.Service+": version "+outcome.To+" was taken back", "see the cause above; put a corrected bundle")
		case rollout.NameMoving:
			moving = true
		}
	}
	return !moving, nil
}

func (cl *commandLine) backRollout(ctx context.Context, c *cli.Command) error {
	name, err := oneArgument(c, "sequence")
	if err != nil {
		return err
	}
	var sequence uint64
	if _, err := fmt.Sscanf(name, "%d", &sequence); err != nil {
		return fault.New(fault.KindInvalid, fmt.Sprintf("%q is not the sequence of a release", name), "see 'hibiscusrock bundle list'")
	}
	cat, cleanUp := cl.catalogFor(c)
	defer cleanUp()
	document, err := cat.PutEarlier(ctx, sequence, c.String("author"), time.Now())
	if err != nil {
		return err
	}
	v := newReleaseView(document)
	return cl.print(v, fmt.Sprintf("draft %s for release %d holds the contents of release %d; sign it and start it\n", v.ID, v.Sequence, sequence))
}

func (cl *commandLine) fleetCommand() *cli.Command {
	return &cli.Command{Name: "fleet", Usage: "show the releases, members and moves that one node knows", Action: cl.showFleet, Flags: []cli.Flag{
		&cli.StringFlag{Name: "node", Usage: "host address of a node", Value: "127.0.0.1:7980"},
	}}
}

// FetchState reads the state of the node with a host address from /debug/state. The
// error is of kind KindUnavailable when the node does not answer within 10 s or
// sends something else.
func FetchState(ctx context.Context, address string) (node.State, error) {
	var s node.State
	return s, fetchJSON(ctx, address, "/debug/state", &s)
}

func (cl *commandLine) showFleet(ctx context.Context, c *cli.Command) error {
	s, err := FetchState(ctx, c.String("node"))
	if err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "node %s in %s enforces release %d and holds %d\n", s.Node, s.DataCentre, s.Enforced, s.Held)
	for _, m := range s.Members {
		fmt.Fprintf(&b, "  %-20s %-12s %-22s %s\n", m.Node, m.DataCentre, m.Address, strings.ToLower(strings.TrimPrefix(m.State, "MEMBER_STATE_")))
	}
	for _, m := range s.Moves {
		fmt.Fprintf(&b, "  move of %s to %s: %s, %.1f %%, %s\n", m.Service, m.To, m.State, float64(m.Permille)/10, m.Note)
	}
	return cl.print(s, b.String())
}
