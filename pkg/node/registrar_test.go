package node

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
)

// fakeRegistry is a store with one key that loses the answers of writes.
type fakeRegistry struct {
	revision int64
	value    string
	calls    int
	// loseNext holds back the next write: it fails and takes effect in release, if
	// its condition holds then.
	loseNext bool
	held     func()
}

func (f *fakeRegistry) registry() registry {
	return registry{
		list: func(context.Context) ([]store.KeyValue, error) {
			return []store.KeyValue{{Key: "own", Value: []byte(f.value), ModRevision: f.revision}}, nil
		},
		grant:     func(context.Context, time.Duration) (int64, error) { return 1, nil },
		swap:      f.swap,
		keepAlive: func(context.Context, int64) (bool, error) { return true, nil },
		revoke:    func(context.Context, int64) error { return nil },
	}
}

func (f *fakeRegistry) swap(_ context.Context, revision int64, writes ...store.Write) (bool, store.KeyValue, error) {
	f.calls++
	apply := func() bool {
		if f.revision != revision {
			return false
		}
		f.revision += 3
		f.value = string(writes[0].Value)
		return true
	}
	if f.loseNext {
		f.loseNext = false
		f.held = func() { apply() }
		return false, store.KeyValue{}, errors.New("no answer")
	}
	written := apply()
	return written, store.KeyValue{ModRevision: f.revision}, nil
}

// TestRegistrarWrites guards against registrations that are written without need,
// and against a write with a lost answer that takes effect late and replaces a later
// one: a backend server that left would be in use again after a restart.
func TestRegistrarWrites(t *testing.T) {
	tests := map[string]struct {
		before int64
		// steps change the content, a word each, or act: "lose" the answer of the next
		// write, "late" lets the lost write take effect, "read" reads the registry.
		steps []string
		want  string
		calls int
	}{
		"first":                         {steps: []string{"ready"}, want: "ready", calls: 1},
		"unchanged":                     {steps: []string{"ready", "ready", "ready"}, want: "ready", calls: 1},
		"changed":                       {steps: []string{"ready", "draining"}, want: "draining", calls: 2},
		"key of an earlier incarnation": {before: 7, steps: []string{"ready"}, want: "ready", calls: 2},
		"that key was read":             {before: 7, steps: []string{"read", "ready"}, want: "ready", calls: 1},
		"lost, then written again":      {steps: []string{"ready", "lose", "draining", "draining"}, want: "draining", calls: 3},
		"late write of an older state":  {steps: []string{"ready", "lose", "busy", "draining", "late"}, want: "draining", calls: 3},
		"lost write took effect":        {steps: []string{"ready", "lose", "busy", "late", "draining"}, want: "draining", calls: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := &fakeRegistry{revision: test.before}
			f.play(t, test.steps)
			if f.value != test.want || f.calls != test.calls {
				t.Errorf("got %q after %d writes, want %q after %d", f.value, f.calls, test.want, test.calls)
			}
		})
	}
}

// play runs the steps of a test on a registrar.
func (f *fakeRegistry) play(t *testing.T, steps []string) {
	content := ""
	r := newRegistrar(common.New(), f.registry(), "own", func() []byte { return []byte(content) }, func(string, []byte) (string, bool) { return "a", true })
	for _, step := range steps {
		switch step {
		case "lose":
			f.loseNext = true
		case "late":
			f.held()
		case "read":
			r.read(t.Context())
		default:
			content = step
			if !r.update(t.Context()) {
				r.renew(t.Context())
			}
		}
	}
}
