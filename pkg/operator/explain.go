package operator

import (
	"context"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/story"
)

// explainCommand tells what happened to one request, from the logs of the nodes.
func (o *operator) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell what happened to a request, from log files or standard input",
		ArgsUsage: "REQUEST [FILE ...]",
		Action: func(_ context.Context, c *cli.Command) error {
			request := c.Args().First()
			if request == "" {
				return fault.New(fault.KindInvalid, "no request is named", "give its identifier, then the log files of all hosts")
			}
			lines, err := readLogs(c.Args().Tail())
			if err != nil {
				return err
			}
			told := story.Of(request, lines)
			if len(told) == 0 {
				return fault.New(fault.KindMissing, "no line names request "+request, "give the logs of all hosts; of requests served at once only one in a hundred is logged")
			}
			var text strings.Builder
			if err := story.Tell(&text, request, told); err != nil {
				return err
			}
			return o.print(told, text.String())
		},
	}
}

// readLogs joins the lines of files, or of standard input without any.
func readLogs(paths []string) ([]story.Line, error) {
	if len(paths) == 0 {
		lines, _, err := story.Read(os.Stdin)
		return lines, err
	}
	var all []story.Line
	for _, path := range paths {
		lines, err := readLog(path)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(path string) ([]story.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.KindMissing, "cannot open the log", "name a log file of a node")
	}
	defer func() { _ = file.Close() }()
	lines, _, err := story.Read(io.Reader(file))
	return lines, err
}
