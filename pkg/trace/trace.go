// Package trace records the inputs of decisions as lines of JSON, and replays
// them through the decision code against the outcomes that the file states.
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

const largestLine = 1 << 20

// Kinds of trace.
const (
	KindMove     = "move"
	KindCrash    = "crash"
	KindReleases = "releases"
)

// Line is one line of a trace. The first has Kind and, for a move, Move; the
// last has Outcome; those between are steps.
type Line struct {
	Kind string `json:"kind,omitempty"`
	// Note says in words what the trace shows.
	Note    string     `json:"note,omitempty"`
	Move    *wire.Move `json:"move,omitempty"`
	Step    *Step      `json:"step,omitempty"`
	Crash   *Crash     `json:"crash,omitempty"`
	Offer   *Offer     `json:"offer,omitempty"`
	Outcome *Outcome   `json:"outcome,omitempty"`
}

// Step is what the steward of a data centre saw at one time.
type Step struct {
	AtUnixMS   int64            `json:"at_unix_ms"`
	NewServers int              `json:"new_servers"`
	OldServers int              `json:"old_servers"`
	Evidence   []*wire.Evidence `json:"evidence"`
}

// At returns the time of the step.
func (s *Step) At() time.Time { return time.UnixMilli(s.AtUnixMS) }

// Crash is one event of a trace of crashes.
type Crash struct {
	// Event is crashed, succeeded or sent.
	Event       string `json:"event"`
	Fingerprint string `json:"fingerprint"`
	Node        string `json:"node,omitempty"`
	Life        string `json:"life,omitempty"`
	// Refused states what a sent request has to meet.
	Refused bool `json:"refused,omitempty"`
}

// Offer is one release offered to a node, with the sequence that has to be in force after it.
type Offer struct {
	Sequence uint64 `json:"sequence"`
	Altered  bool   `json:"altered,omitempty"`
	InForce  uint64 `json:"in_force"`
}

// Outcome states how the trace has to end.
type Outcome struct {
	State string `json:"state,omitempty"`
	Cause string `json:"cause,omitempty"`
	Route string `json:"route,omitempty"`
	// WithinMS bounds the time from the first step to the end of the move.
	WithinMS int64 `json:"within_ms,omitempty"`
	// MostPermille bounds the share that the new version ever had.
	MostPermille int `json:"most_permille,omitempty"`
}

// Write writes lines.
func Write(w io.Writer, lines []Line) error {
	enc := json.NewEncoder(w)
	for _, line := range lines {
		if err := enc.Encode(line); err != nil {
			return err
		}
	}
	return nil
}

// Read reads all lines of a trace.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, largestLine)
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
