// Package daemon is the thin shell around a node.
package daemon

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/config"
	"github.com/hibiscusrock/hibiscusrock/pkg/node"
)

// memoryLimit makes the garbage collector work harder before a node with much
// state passes the 32 MB that it may use, program text included.
const memoryLimit = 26 << 20

// Main runs the node that the arguments describe until it is told to stop, and
// returns the exit status.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	command := &cli.Command{
		Name:   "hibiscusrockd",
		Usage:  "the node of hibiscusrock on a backend server host",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "config", Usage: "settings in JSON with comments", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error { return run(ctx, c.String("config")) },
	}
	if err := command.Run(ctx, args); err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		return 1
	}
	return 0
}

func run(ctx context.Context, path string) error {
	debug.SetMemoryLimit(memoryLimit)
	settings, err := config.Load(path)
	if err != nil {
		return err
	}
	log := common.NewLog(os.Stderr, settings.Node, settings.DataCentre)
	if level, err := logrus.ParseLevel(settings.LogLevel); err == nil {
		log.Logger.SetLevel(level)
	}
	n, cleanUp, err := node.New(common.New(common.WithLog(log)), settings)
	if err != nil {
		return err
	}
	defer cleanUp()
	return n.Run(ctx)
}
