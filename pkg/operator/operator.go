// Package operator is the operators' command line: thin commands over the catalog.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"os/user"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hibiscusrock/hibiscusrock/pkg/catalog"
	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
)

// Exit statuses, for scripts.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitInvalid     = 2
	ExitConflict    = 3
	ExitUnavailable = 4
	ExitTakenBack   = 5
	ExitTimeout     = 6
)

const callTimeout = 10 * time.Second

// Main runs the command line and returns the exit status.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return Run(ctx, args, os.Stdout, os.Stderr)
}

// Run runs the command line with the given outputs and returns the exit status.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	command := newCommand(stdout)
	command.Writer = stdout
	command.ErrWriter = stderr
	command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := command.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, "hibiscusrock: "+err.Error())
	return exitStatus(err)
}

func exitStatus(err error) int {
	switch fault.KindOf(err) {
	case fault.KindInvalid, fault.KindMissing, fault.KindUnsigned, fault.KindTooLarge, fault.KindRefused:
		return ExitInvalid
	case fault.KindConflict:
		return ExitConflict
	case fault.KindUnavailable:
		return ExitUnavailable
	case fault.KindTakenBack:
		return ExitTakenBack
	case fault.KindTimeout:
		return ExitTimeout
	}
	return ExitFailure
}

func newCommand(stdout io.Writer) *cli.Command {
	o := &operator{out: stdout}
	return &cli.Command{
		Name:                  "hibiscusrock",
		Usage:                 "write, sign off and roll out bundles of routes and traffic shares",
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "platform", Usage: "base address of the platform's gateway", Value: []string{"http://127.0.0.1:2379"}, Sources: cli.EnvVars("HIBISCUSROCK_PLATFORM")},
			&cli.StringFlag{Name: "output", Usage: "text or json", Value: "text"},
		},
		Before: func(ctx context.Context, c *cli.Command) (context.Context, error) {
			o.json = c.String("output") == "json"
			if !o.json && c.String("output") != "text" {
				return ctx, fault.New(fault.KindInvalid, "unknown output "+c.String("output"), "use text or json")
			}
			return ctx, nil
		},
		Commands: []*cli.Command{o.keysCommand(), o.bundleCommand(), o.rolloutCommand(), o.fleetCommand(), o.configCommand(), o.explainCommand()},
	}
}

// operator holds what all commands share.
type operator struct {
	out  io.Writer
	json bool
}

// catalogFor returns the catalog on the platform that the flags name.
func (o *operator) catalogFor(c *cli.Command) (*catalog.Catalog, func()) {
	client, cleanUp := store.NewClient(common.New(), c.StringSlice("platform"), store.WithTimeout(callTimeout))
	return catalog.New(client), cleanUp
}

// print writes value as JSON, or text.
func (o *operator) print(value any, text string) error {
	if !o.json {
		_, err := io.WriteString(o.out, text)
		return err
	}
	enc := json.NewEncoder(o.out)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

func oneArgument(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 {
		return "", fault.New(fault.KindInvalid, "exactly one "+name+" is needed", "see 'hibiscusrock "+c.FullName()+" --help'")
	}
	return c.Args().First(), nil
}

func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
