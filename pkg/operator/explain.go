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

// explainCommand shows what happened to one request, from the logs of the nodes.
func (cl *commandLine) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show what happened to a request, from log files or standard input",
		ArgsUsage: "REQUEST [FILE ...]",
		Action: func(_ context.Context, c *cli.Command) error {
			request := c.Args().First()
			if request == "" {
				return fault.New(fault.KindInvalid, "no request identifier is given", "give the identifier of the request, then the log files of all hosts")
			}
			lines, err := readLogs(c.Args().Tail())
			if err != nil {
				return err
			}
			matching := story.Collect(request, lines)
			if len(matching) == 0 {
				return fault.New(fault.KindMissing, "no log line contains request "+request, "give the logs of all hosts; of requests served at once only one in a hundred is logged")
			}
			var text strings.Builder
			if err := story.Write(&text, request, matching); err != nil {
				return err
			}
			return cl.print(matching, text.String())
		},
	}
}

// readLogs returns the log lines of all files in turn, or those of standard input if
// paths is empty.
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
		return nil, fault.Wrap(err, fault.KindMissing, "cannot open the log", "give the path of a node's log file")
	}
	defer func() { _ = file.Close() }()
	lines, _, err := story.Read(io.Reader(file))
	return lines, err
}
