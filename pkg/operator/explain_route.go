package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/request"
)

// explainRouteCommand shows where a request would go now, without sending it.
func (cl *commandLine) explainRouteCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain-route",
		Usage:     "show where a request would go from a node now and why, without sending it",
		ArgsUsage: "HOST PATH",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "node", Usage: "host address of a node", Value: "127.0.0.1:7980"},
			&cli.StringFlag{Name: "method", Usage: "HTTP method", Value: http.MethodGet},
			&cli.StringFlag{Name: "account", Usage: "name of a client account"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 2 || !strings.HasPrefix(c.Args().Get(1), "/") {
				return fault.New(fault.KindInvalid, "a host and a path that begins with a slash are needed", "see 'hibiscusrock explain-route --help'")
			}
			query := url.Values{"host": {c.Args().Get(0)}, "path": {c.Args().Get(1)}, "method": {c.String("method")}, "account": {c.String("account")}}
			explanation, err := fetchExplanation(ctx, c.String("node"), query)
			if err != nil {
				return err
			}
			return cl.print(explanation, explanationText(explanation))
		},
	}
}

func fetchExplanation(ctx context.Context, address string, query url.Values) (request.Explanation, error) {
	var out request.Explanation
	return out, fetchJSON(ctx, address, "/debug/route?"+query.Encode(), &out)
}

// fetchJSON reads a document from the node with a host address. The error is of kind
// KindUnavailable when the node does not answer within 10 s or sends something else.
func fetchJSON(ctx context.Context, address, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return fault.Wrap(err, fault.KindInvalid, fmt.Sprintf("the node address %q is not valid", address), "give the node's host_address")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fault.Wrap(err, fault.KindUnavailable, "node "+address+" does not answer", "run the command on the node's host, with its host_address")
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fault.Wrap(err, fault.KindUnavailable, "the answer of node "+address+" cannot be decoded", "check that the address is a host_address")
	}
	return nil
}

func explanationText(x request.Explanation) string {
	var b strings.Builder
	if x.Refused != "" {
		fmt.Fprintf(&b, "refused: %s\n", x.Refused)
	}
	if x.Route == "" {
		return b.String()
	}
	fmt.Fprintf(&b, "route %s of configuration %d to service %s, priority %d, timeout %d ms, may be repeated: %v\n", x.Route, x.Sequence, x.Service, x.Priority, x.TimeoutMS, x.Idempotent)
	if x.Account != "" {
		fmt.Fprintf(&b, "account %s, with a usage cap: %v\n", x.Account, x.Capped)
	}
	fmt.Fprintf(&b, "retries left in this node's budget: %.1f\n", x.RetryLeft)
	for _, c := range x.Candidates {
		fmt.Fprintf(&b, "  %-20s %-6s on %s in %s: cost %.3f, expected %d ms (wait %d ms), %d of %d slots, report %d ms old", c.Instance, c.Version, c.Node, c.DataCentre, c.Cost, c.ExpectedMS, c.WaitMS, c.Busy, c.Slots, c.ReportAgeMS)
		if c.Excluded != "" {
			fmt.Fprintf(&b, "; not considered: %s", c.Excluded)
		}
		b.WriteString("\n")
	}
	return b.String()
}
