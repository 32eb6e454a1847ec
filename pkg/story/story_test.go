package story

import (
	"strings"
	"testing"
)

const testLog = `
   3.9 node-a {"event":"configuration_in_force","node":"a","time":"2026-01-01T00:00:01Z","sequence":7}
garbage {
   4.0 node-b {"event":"backend_server_down","node":"b","time":"2026-01-01T00:00:02Z","instance":"i-1"}
{"event":"backend_server_down","node":"c","time":"2026-01-01T00:00:02Z","instance":"i-other"}
{"event":"request_refused","node":"a","time":"2026-01-01T00:00:03Z","request":"r1","reason":"overloaded","instance":"i-1","service":"quotes"}
{"event":"request_refused_by_owner","node":"b","time":"2026-01-01T00:00:02.5Z","request":"r1","reason":"draining","instance":"i-1"}
{"event":"request_refused","node":"a","time":"2026-01-01T00:00:03Z","request":"r10","reason":"overloaded"}
{"event":"request_refused","node":"a","time":"2026-01-01T00:00:03.1Z","request":"r1.call","reason":"overloaded"}
`

// TestCollect guards against lines of other requests in the result, such as those of
// r10 for r1, and against missing changes that concern the request.
func TestCollect(t *testing.T) {
	lines, others, err := Read(strings.NewReader(testLog))
	if err != nil || others != 2 {
		t.Fatalf("got %d other lines, %v, want 2", others, err)
	}
	tests := map[string]struct {
		request string
		want    []string
	}{
		"its calls and related changes": {"r1", []string{
			"a configuration_in_force", "b backend_server_down", "b request_refused_by_owner", "a request_refused", "a request_refused",
		}},
		"unknown request": {"r2", nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, l := range Collect(test.request, lines) {
				got = append(got, l.Node+" "+string(l.Event))
			}
			if strings.Join(got, ", ") != strings.Join(test.want, ", ") {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// TestWrite guards against a text that lacks the meaning, the fields or the time of
// a line.
func TestWrite(t *testing.T) {
	lines, _, _ := Read(strings.NewReader(testLog))
	var b strings.Builder
	if err := Write(&b, "r1", Collect("r1", lines)); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"request r1", "reason=overloaded", "accepts no connections", "+2.000 s"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("%q is missing in:\n%s", want, b.String())
		}
	}
}
