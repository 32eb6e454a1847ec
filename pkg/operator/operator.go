// Package operator implements the hibiscusrock command line, with which operators
// check, sign and roll out bundles and look at nodes, settings and logs. Most
// commands read or write the catalog.
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

// Exit statuses of the command line. Operators' scripts depend on them.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitInvalid     = 2
	ExitConflict    = 3
	ExitUnavailable = 4
	ExitRolledBack  = 5
	ExitTimeout     = 6
)

// callTimeout bounds one call to the platform or to a node.
const callTimeout = 10 * time.Second

// Main runs the command line on the standard outputs until it ends or the process
// receives SIGTERM or SIGINT. It returns the exit status.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return Run(ctx, args, os.Stdout, os.Stderr)
}

// Run runs the command line: results go to stdout, errors to stderr. It returns the
// exit status.
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
	case fault.KindRolledBack:
		return ExitRolledBack
	case fault.KindTimeout:
		return ExitTimeout
	}
	return ExitFailure
}

func newCommand(stdout io.Writer) *cli.Command {
	cl := &commandLine{out: stdout}
	return &cli.Command{
		Name:                  "hibiscusrock",
		Usage:                 "check, sign and roll out bundles of routes and traffic shares",
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "platform", Usage: "base address of the platform's gateway", Value: []string{"http://127.0.0.1:2379"}, Sources: cli.EnvVars("HIBISCUSROCK_PLATFORM")},
			&cli.StringFlag{Name: "output", Usage: "text or json", Value: "text"},
		},
		Before: func(ctx context.Context, c *cli.Command) (context.Context, error) {
			cl.json = c.String("output") == "json"
			if !cl.json && c.String("output") != "text" {
				return ctx, fault.New(fault.KindInvalid, "unknown output format "+c.String("output"), "use text or json")
			}
			return ctx, nil
		},
		Commands: []*cli.Command{cl.keysCommand(), cl.bundleCommand(), cl.rolloutCommand(), cl.fleetCommand(), cl.configCommand(), cl.explainCommand(), cl.explainRouteCommand()},
	}
}

// commandLine implements the commands. They write their results to out, as JSON or
// as text.
type commandLine struct {
	out  io.Writer
	json bool
}

// catalogFor returns the catalog on the platform that the flags name, and a function
// that closes its client.
func (cl *commandLine) catalogFor(c *cli.Command) (*catalog.Catalog, func()) {
	client, cleanUp := store.NewClient(common.New(), c.StringSlice("platform"), store.WithTimeout(callTimeout))
	return catalog.New(client), cleanUp
}

// print writes value as indented JSON if the flags ask for JSON, and else text.
func (cl *commandLine) print(value any, text string) error {
	if !cl.json {
		_, err := io.WriteString(cl.out, text)
		return err
	}
	enc := json.NewEncoder(cl.out)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

func oneArgument(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 {
		return "", fault.New(fault.KindInvalid, fmt.Sprintf("%d arguments are given, exactly one %s is needed", c.Args().Len(), name), "see 'hibiscusrock "+c.FullName()+" --help'")
	}
	return c.Args().First(), nil
}

// currentUser returns the name of the user that runs the command, the default name
// of authors and signers.
func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
