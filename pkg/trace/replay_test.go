package trace

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestReplay replays every recorded trace. It guards against a change of the decision
// code that decides otherwise on the same inputs: a good version rolled back, a bad
// one kept, a crash-causing request sent on, or an older or altered release in force.
func TestReplay(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(files), 6; got < want {
		t.Fatalf("%d traces, want at least %d", got, want)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			f, err := os.Open(file)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = f.Close() }()
			text, err := Replay(f)
			if err != nil {
				t.Errorf("%v (%s)", err, text)
			}
		})
	}
}

// TestReplayRefuses guards against a replay that passes although the trace cannot be
// read or expects another outcome.
func TestReplayRefuses(t *testing.T) {
	tests := map[string]struct {
		trace string
		want  string
	}{
		"no outcome":    {`{"kind":"move"}` + "\n" + `{"step":{}}`, "last line with its outcome"},
		"unknown kind":  {`{"kind":"dance"}` + "\n" + `{"outcome":{}}`, "unknown kind"},
		"not JSON":      {"{\n", "line 1"},
		"wrong outcome": {`{"kind":"crash"}` + "\n" + `{"crash":{"event":"sent","fingerprint":"x","refused":true}}` + "\n" + `{"outcome":{}}`, "want true"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Replay(strings.NewReader(test.trace))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want one with %q", err, test.want)
			}
		})
	}
}
