// Package lab is the command line of the program lab, which runs fakes of the platform and of
// backend servers, and experiments with deployments of them.
package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/bench"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/demo"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/deployment"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/experiment"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/standin"
	"github.com/hibiscusrock/hibiscusrock/pkg/trace"
)

const readHeaderTimeout = 5 * time.Second

// Main runs the command line and returns the exit status.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	command := &cli.Command{
		Name:     "lab",
		Usage:    "stand-ins and experiments of hibiscusrock",
		Commands: []*cli.Command{platformCommand(), backendCommand(), demoCommand(), benchCommand(), slopesCommand(), recordCommand(), replayCommand(), soakCommand()},
	}
	if err := command.Run(ctx, args); err != nil {
		_, _ = os.Stderr.WriteString("lab: " + err.Error() + "\n")
		return 1
	}
	return 0
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the stand-in platform",
		Flags: []cli.Flag{&cli.StringFlag{Name: "listen", Value: "127.0.0.1:2379"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			server := &http.Server{Addr: c.String("listen"), Handler: standin.NewPlatform(), ReadHeaderTimeout: readHeaderTimeout}
			stop := context.AfterFunc(ctx, func() { _ = server.Close() })
			defer stop()
			if err := server.ListenAndServe(); err != nil && ctx.Err() == nil {
				return err
			}
			return nil
		},
	}
}

func backendCommand() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "run a stand-in backend server",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Required: true},
			&cli.StringFlag{Name: "version", Required: true},
			&cli.StringFlag{Name: "instance", Required: true},
			&cli.StringFlag{Name: "listen", Required: true},
			&cli.StringFlag{Name: "host-address", Required: true},
			&cli.IntFlag{Name: "slots", Value: 6},
			&cli.DurationFlag{Name: "work", Value: 2 * time.Millisecond},
			&cli.StringFlag{Name: "faults", Value: "{}"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			var faults standin.BackendFaults
			if err := json.Unmarshal([]byte(c.String("faults")), &faults); err != nil {
				return err
			}
			b := standin.NewBackend(c.String("service"), c.String("version"), c.String("instance"), c.Int("slots"), c.Duration("work"), os.Stdout)
			b.SetFaults(faults)
			listener, err := net.Listen("tcp", c.String("listen"))
			if err != nil {
				return err
			}
			return b.Serve(ctx, listener, c.String("host-address"))
		},
	}
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the whole path once, as separate processes",
		Action: func(ctx context.Context, _ *cli.Command) error {
			binaries, err := ownBinaries()
			if err != nil {
				return err
			}
			return demo.Run(ctx, binaries, os.Stdout)
		},
	}
}

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "measure deployments of today's sizes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "site", Usage: "ndiaye or authority; both if empty"},
			&cli.BoolFlag{Name: "short", Usage: "fewer releases and moves"},
			&cli.StringFlag{Name: "json", Usage: "file for the figures"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			binaries, err := ownBinaries()
			if err != nil {
				return err
			}
			return bench.Run(ctx, binaries, os.Stdout, bench.Options{Site: c.String("site"), Short: c.Bool("short"), JSON: c.String("json")})
		},
	}
}

func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure the cost of control at several sizes of fleet and bundle",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "nodes", Value: []int{12, 48, 150}, Usage: "fleet sizes, with the first number of services"},
			&cli.IntSliceFlag{Name: "services", Value: []int{10, 200, 1000}, Usage: "numbers of services, with the first fleet size"},
			&cli.StringFlag{Name: "json", Usage: "file for the figures"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			binaries, err := ownBinaries()
			if err != nil {
				return err
			}
			nodes, services := c.IntSlice("nodes"), c.IntSlice("services")
			var sizes []bench.SizeReport
			for _, n := range nodes {
				sizes = append(sizes, bench.SizeReport{Nodes: n, Services: services[0]})
			}
			for _, n := range services[1:] {
				sizes = append(sizes, bench.SizeReport{Nodes: nodes[0], Services: n})
			}
			return bench.RunSizes(ctx, binaries, os.Stdout, sizes, c.String("json"))
		},
	}
}

func recordCommand() *cli.Command {
	return &cli.Command{
		Name:  "record",
		Usage: "run a move on a small deployment and write its trace",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "scenario", Value: "good", Usage: "a kind of version, such as good, bad_late or bad_on_one_route"},
			&cli.StringFlag{Name: "to", Required: true, Usage: "file to write"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			binaries, err := ownBinaries()
			if err != nil {
				return err
			}
			f, err := os.Create(c.String("to"))
			if err != nil {
				return err
			}
			defer func() { _ = f.Close() }()
			return experiment.Record(ctx, binaries, c.String("scenario"), f)
		},
	}
}

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:      "replay",
		Usage:     "drive the decision code with recorded traces and compare with their outcomes",
		ArgsUsage: "FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			for _, path := range c.Args().Slice() {
				if err := replayFile(path); err != nil {
					return fmt.Errorf("%s: %w", path, err)
				}
			}
			return nil
		},
	}
}

func replayFile(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	text, err := trace.Replay(f)
	if text != "" {
		fmt.Println(filepath.Base(path) + ": " + text)
	}
	return err
}

// ownBinaries returns the paths of the programs in the directory of this program.
func ownBinaries() (deployment.Binaries, error) {
	path, err := os.Executable()
	return deployment.FindBinaries(filepath.Dir(path)), err
}
