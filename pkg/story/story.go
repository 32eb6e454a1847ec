// Package story extracts from the logs of several nodes the lines that explain
// what happened to one request.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
)

const (
	// lookback is how long before the first line of a request a change of a
	// node's state is still included.
	lookback     = 5 * time.Second
	maxLineBytes = 1 << 20
)

// Line is one log line of a node. Fields lacks the fields that every line has.
type Line struct {
	Time   time.Time      `json:"time"`
	Node   string         `json:"node"`
	Event  event.Name     `json:"event"`
	Fields map[string]any `json:"fields"`
}

// text returns the value of a field as text, or an empty string without it.
func (l Line) text(name string) string {
	value, ok := l.Fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(value)
}

// Read returns the log lines of nodes that r holds, and the number of other lines.
// Text before a line's JSON object, such as the prefix of a log collector, is
// skipped. A line longer than 1 MiB is an error.
func Read(r io.Reader) (lines []Line, others int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			others++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, fault.Wrap(err, fault.KindInvalid, "the log cannot be read", "give log files of nodes")
	}
	return lines, others, nil
}

func parse(data []byte) (Line, bool) {
	i := bytes.IndexByte(data, '{')
	if i < 0 {
		return Line{}, false
	}
	fields := make(map[string]any)
	if err := json.Unmarshal(data[i:], &fields); err != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["time"]))
	name, ok := fields["event"].(string)
	if err != nil || !ok {
		return Line{}, false
	}
	line := Line{Time: at, Node: fmt.Sprint(fields["node"]), Event: event.Name(name), Fields: fields}
	for _, common := range []string{"time", "event", "node", "level", "msg", "data_centre"} {
		delete(fields, common)
	}
	return line, true
}

// Collect returns the lines of a request and of the calls that were made for it, with
// the related changes of nodes' states, in order of time. It returns nil if no
// line has the request.
func Collect(request string, lines []Line) []Line {
	var own []Line
	for _, l := range lines {
		id := l.text("request")
		if id == request || strings.HasPrefix(id, request+".") {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	slices.SortStableFunc(own, byTime)
	story := append(relatedChanges(own, lines), own...)
	slices.SortStableFunc(story, byTime)
	return story
}

func byTime(a, b Line) int { return a.Time.Compare(b.Time) }

// relatedChanges returns the changes shortly before and during a request that
// concern its backend servers, its service or the nodes that handled it.
func relatedChanges(own, lines []Line) []Line {
	subjects := make(map[string]bool)
	for _, l := range own {
		for _, name := range []string{"instance", "service"} {
			if text := l.text(name); text != "" {
				subjects[text] = true
			}
		}
		subjects[l.Node] = true
	}
	from, to := own[0].Time.Add(-lookback), own[len(own)-1].Time
	var found []Line
	for _, l := range lines {
		if l.Time.Before(from) || l.Time.After(to) || l.text("request") != "" {
			continue
		}
		if subjects[l.text("instance")] || subjects[l.text("service")] || subjects[l.text("member")] || (subjects[l.Node] && affectsWholeNode(l.Event)) {
			found = append(found, l)
		}
	}
	return found
}

// affectsWholeNode reports whether an event affects all requests of a node.
func affectsWholeNode(name event.Name) bool {
	return slices.Contains([]event.Name{
		event.NodeStarted, event.NodeStopping, event.StoreLost, event.StoreReached, event.ConfigurationInForce, event.LogLinesDropped,
	}, name)
}

// Write writes the lines as text for people; an asterisk marks the lines of the
// request itself. The story must hold at least one line.
func Write(w io.Writer, request string, story []Line) error {
	meanings := make(map[event.Name]string)
	for _, d := range event.All() {
		meanings[d.Name] = d.Meaning
	}
	start := story[0].Time
	if _, err := fmt.Fprintf(w, "request %s, from %s\n", request, start.Format(time.RFC3339Nano)); err != nil {
		return err
	}
	for _, l := range story {
		mark := " "
		if l.text("request") != "" {
			mark = "*"
		}
		if _, err := fmt.Fprintf(w, "%s %+8.3f s  %-20s %s\n%s", mark, l.Time.Sub(start).Seconds(), l.Node, meanings[l.Event], detail(l)); err != nil {
			return err
		}
	}
	return nil
}

func detail(l Line) string {
	var b strings.Builder
	b.WriteString("              ")
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if text := l.text(name); text != "" && text != "<nil>" {
			b.WriteString(" " + name + "=" + text)
		}
	}
	return b.String() + "\n"
}
