package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/soak"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run real processes under seeded, overlapping faults and check what must always hold",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "first seed; a fresh one if 0"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds, one after the other"},
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "time in which faults begin"},
			&cli.IntFlag{Name: "hosts", Value: 4, Usage: "hosts in each of the three data centres"},
			&cli.StringFlag{Name: "keep", Usage: "directory for the settings and logs of seeds that broke a promise"},
			&cli.BoolFlag{Name: "schedule", Usage: "only print what the seed does"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, c *cli.Command) error {
	o := soak.Options{Seed: c.Uint64("seed"), Length: c.Duration("length"), DataCentres: []string{"plateau", "almadies", "rufisque"}, HostsPerDataCentre: c.Int("hosts")}
	if o.Seed == 0 {
		o.Seed = rand.Uint64N(1 << 32)
	}
	totalViolations := 0
	for range c.Int("seeds") {
		violations, err := runSeed(ctx, c, o)
		if err != nil {
			return fmt.Errorf("seed %d: %w", o.Seed, err)
		}
		totalViolations += violations
		o.Seed++
	}
	if totalViolations > 0 {
		return errors.New("promises were broken; play a seed again with --seed")
	}
	return nil
}

// runSeed runs the soak of one seed, or only prints its schedule, and returns the number of
// violated invariants.
func runSeed(ctx context.Context, c *cli.Command, o soak.Options) (int, error) {
	if c.Bool("schedule") {
		return 0, soak.WriteSchedule(os.Stdout, soak.NewSchedule(o.Seed, len(o.DataCentres)*o.HostsPerDataCentre, o.Length))
	}
	binaries, err := ownBinaries()
	if err != nil {
		return 0, err
	}
	if o.Dir, err = os.MkdirTemp("", "hibiscusrock-soak-"); err != nil {
		return 0, err
	}
	report, err := soak.Run(ctx, binaries, o)
	if err != nil {
		return 0, err
	}
	fmt.Print(report)
	return len(report.Violations), keepOrRemove(o.Dir, c.String("keep"), report)
}

// keepOrRemove moves the files of a seed with violations from dir to a folder of keep. The
// files of other seeds are removed, and so are all if keep is empty.
func keepOrRemove(dir, keep string, report soak.Report) error {
	if keep == "" || len(report.Violations) == 0 {
		return os.RemoveAll(dir)
	}
	target := filepath.Join(keep, fmt.Sprintf("seed-%d", report.Seed))
	if err := os.RemoveAll(target); err != nil {
		return err
	}
	if err := os.CopyFS(target, os.DirFS(dir)); err != nil {
		return err
	}
	return os.RemoveAll(dir)
}
