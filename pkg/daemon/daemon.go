// Package daemon runs a node as a process: command line, signals, memory limits and
// logging.
package daemon

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/config"
	"github.com/hibiscusrock/hibiscusrock/pkg/node"
)

// Connect connects a node to the users' platform. It is called only for settings
// with source store. It returns a clean-up function.
type Connect func(*common.Common, config.Settings) (*node.StoreAdapter, func())

// gcPercent keeps the heap small. On a node with little load, memory costs more
// than the processor time of the garbage collector.
const gcPercent = 50

const (
	// programBytes is the resident memory of the program's own pages, which the runtime does
	// not count against its limit.
	programBytes = 6 << 20
	// minRuntimeBytes is the least limit of the memory that the runtime counts.
	minRuntimeBytes = 8 << 20
)

// logFlushTimeout bounds the time for which a node that has stopped waits for the reader
// of its log.
const logFlushTimeout = time.Second

// Main runs the node that the arguments describe until SIGTERM or SIGINT, and
// returns the exit status.
func Main(args []string, connect Connect) int {
	// The subscription to SIGHUP lasts as long as the process, because without one
	// the signal ends it.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	// Otherwise a line of the log ends the process once the reader of the log has left.
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	command := &cli.Command{
		Name:   "hibiscusrockd",
		Usage:  "the node of hibiscusrock on a backend server host",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "config", Usage: "settings in JSON with comments", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error { return run(ctx, c.String("config"), reloads, connect) },
	}
	if err := command.Run(ctx, args); err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		return 1
	}
	return 0
}

func run(ctx context.Context, path string, reloads <-chan os.Signal, connect Connect) error {
	read := stateOf(path)
	settings, err := config.Load(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	logging, stopLogging := context.WithCancel(context.Background())
	writer, logWritten := common.NewLogWriter(logging, os.Stdout)
	defer func() {
		stopLogging()
		select {
		case <-logWritten:
		case <-time.After(logFlushTimeout):
		}
	}()
	log := common.NewLog(writer, settings.Node, settings.DataCentre)
	applyToProcess(log, settings)
	cm := common.New(common.WithLog(log))
	var opts []node.Option
	if settings.Source == config.SourceStore {
		adapter, cleanUp := connect(cm, settings)
		defer cleanUp()
		opts = append(opts, node.WithStoreAdapter(adapter))
	}
	n, cleanUp, err := node.New(cm, settings, opts...)
	if err != nil {
		return err
	}
	defer cleanUp()
	// The watch outlasts ctx: settings are also read while the node stops.
	watching, stopWatching := context.WithCancel(context.Background())
	w := &settingsWatch{log: log, path: path, read: read, running: settings, apply: func(s config.Settings) {
		applyToProcess(log, s)
		n.ApplySettings(s)
	}}
	watchDone := w.start(watching, reloads)
	defer func() {
		stopWatching()
		<-watchDone
	}()
	return n.Run(ctx)
}

// applyToProcess applies the settings that concern the whole process.
func applyToProcess(log *logrus.Entry, settings config.Settings) {
	debug.SetMemoryLimit(max(int64(settings.MemoryLimitMB)<<20-programBytes, minRuntimeBytes))
	if level, err := logrus.ParseLevel(settings.LogLevel); err == nil {
		log.Logger.SetLevel(level)
	}
}
