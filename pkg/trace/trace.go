// Package trace reads and writes traces: files of JSON lines with the inputs of
// decisions and the expected outcome. It replays a trace through the decision code
// and compares the outcome.
package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// maxLineBytes bounds one line of a trace.
const maxLineBytes = 1 << 20

// Kinds of trace: the steps of one move, the crashes of backend servers under
// requests, and the releases offered to a node.
const (
	KindMove     = "move"
	KindCrash    = "crash"
	KindReleases = "releases"
)

// Line is one line of a trace. The first has Kind and, for a move, Move; the
// last has Outcome; those between are steps.
type Line struct {
	Kind string `json:"kind,omitempty"`
	// Note describes for readers what the trace shows.
	Note    string     `json:"note,omitempty"`
	Move    *wire.Move `json:"move,omitempty"`
	Step    *Step      `json:"step,omitempty"`
	Crash   *Crash     `json:"crash,omitempty"`
	Offer   *Offer     `json:"offer,omitempty"`
	Outcome *Outcome   `json:"outcome,omitempty"`
}

// Step holds the inputs of the leader of a data centre (steward in store keys and
// logs) at one time: the backend servers of both versions and the evidence received.
type Step struct {
	AtUnixMS   int64            `json:"at_unix_ms"`
	NewServers int              `json:"new_servers"`
	OldServers int              `json:"old_servers"`
	Evidence   []*wire.Evidence `json:"evidence"`
}

// At returns the time of the step.
func (s *Step) At() time.Time { return time.UnixMilli(s.AtUnixMS) }

// Crash is one event of a trace of kind KindCrash.
type Crash struct {
	// Event is crashed, succeeded or sent: a backend server crashed while it ran the
	// request, the request ran to its end, or a caller sent it.
	Event       string `json:"event"`
	Fingerprint string `json:"fingerprint"`
	Node        string `json:"node,omitempty"`
	Incarnation string `json:"life,omitempty"`
	// Refused is the expected result of a sent request: true if the node must refuse
	// it.
	Refused bool `json:"refused,omitempty"`
}

// Offer is one release offered to a node. InForce is the sequence that must be in
// force afterwards; Altered offers the release without its signatures.
type Offer struct {
	Sequence uint64 `json:"sequence"`
	Altered  bool   `json:"altered,omitempty"`
	InForce  uint64 `json:"in_force"`
}

// Outcome is the expected end of a trace. Empty fields, State excepted, are not
// compared.
type Outcome struct {
	State string `json:"state,omitempty"`
	Cause string `json:"cause,omitempty"`
	Route string `json:"route,omitempty"`
	// WithinMS is the maximum time from the first step to the end of the move.
	WithinMS int64 `json:"within_ms,omitempty"`
	// MaxPermille is the maximum share that the new version may have had.
	MaxPermille int `json:"most_permille,omitempty"`
}

// Write writes lines as JSON, one object a line.
func Write(w io.Writer, lines []Line) error {
	enc := json.NewEncoder(w)
	for _, line := range lines {
		if err := enc.Encode(line); err != nil {
			return err
		}
	}
	return nil
}

// Read reads all lines of a trace. An error names the line that is not JSON; a trace
// without an outcome in its last line is an error.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var line Line
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return nil, fmt.Errorf("line %d: %w", len(lines)+1, err)
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	if len(lines) < 2 || lines[len(lines)-1].Outcome == nil {
		return nil, errors.New("a trace needs a first line with its kind and a last line with its outcome")
	}
	return lines, nil
}
