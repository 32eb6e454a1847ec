package catalog

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/distribution"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/keys"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/standin"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// operatorFixture is an operator with a signing key and the catalog on a stand-in
// of the platform.
type operatorFixture struct {
	t        *testing.T
	platform *standin.Platform
	catalog  *Catalog
	key      *keys.Key
	ring     *keys.Ring
}

func newOperatorFixture(t *testing.T) *operatorFixture {
	t.Helper()
	p := standin.NewPlatform()
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	client, cleanUp := store.NewClient(common.New(), []string{server.URL})
	t.Cleanup(cleanUp)
	key, err := keys.Generate("operator", nil)
	if err != nil {
		t.Fatal(err)
	}
	ring, err := keys.NewRing(map[string]string{"operator": key.Public()}, 1)
	if err != nil {
		t.Fatal(err)
	}
	return &operatorFixture{t: t, platform: p, catalog: New(client), key: key, ring: ring}
}

func testBundle(services int, move string) *bundle.Bundle {
	b := &bundle.Bundle{Name: "test", DataCentres: []string{"plateau"}, Services: make(map[string]bundle.Service)}
	for i := range services {
		name := fmt.Sprintf("s%d", i)
		s := bundle.Service{SharePercent: map[string]int{"v1": 100}, QueueLength: 1, RetryPercent: 1}
		if move != "" {
			s.Move = &bundle.Move{To: move, CompleteWithinSeconds: 60, CanaryPercent: 5}
		}
		b.Services[name] = s
		b.Routes = append(b.Routes, bundle.Route{Name: name, PathPrefix: "/" + name, Service: name, TimeoutMS: 100})
	}
	return b
}

// draft stores a bundle as a draft and signs it.
func (o *operatorFixture) draft(b *bundle.Bundle) *bundle.Document {
	o.t.Helper()
	d, err := o.catalog.Put(context.Background(), b, "tester", time.Now())
	if err != nil {
		o.t.Fatal(err)
	}
	if d, err = o.catalog.Sign(context.Background(), d.ID(), o.key); err != nil {
		o.t.Fatal(err)
	}
	return d
}

// TestPlannedServices guards against a node that fetches the parts of a release
// from the platform one by one: with the planned number of services this takes
// thousands of calls.
func TestPlannedServices(t *testing.T) {
	const services, maxCalls = 2500, 60
	o := newOperatorFixture(t)
	d := o.draft(testBundle(services, ""))
	if _, err := o.catalog.Start(context.Background(), d.ID()); err != nil {
		t.Fatal(err)
	}
	before := total(o.platform.CallCounts())
	h := distribution.New(common.New(), o.ring)
	h.Start(0)
	if err := h.Offer(context.Background(), d.Signed(), o.catalog.Source()); err != nil {
		t.Fatal(err)
	}
	if got := len(h.Table().Services()); got != services {
		t.Errorf("%d services are in force, want %d", got, services)
	}
	if got := total(o.platform.CallCounts()) - before; got > maxCalls {
		t.Errorf("%d platform calls, want at most %d", got, maxCalls)
	}
}

func total(counts map[string]int) int {
	n := 0
	for _, count := range counts {
		n += count
	}
	return n
}

// TestManifestOverCheckpoints guards against a manifest that is derived wrongly
// from the stored manifest before it, in particular for the releases around one
// with a stored manifest.
func TestManifestOverCheckpoints(t *testing.T) {
	o := newOperatorFixture(t)
	for i := range checkpointInterval + 3 {
		d := o.draft(testBundle(1+i%3, ""))
		if _, err := o.catalog.Start(context.Background(), d.ID()); err != nil {
			t.Fatal(err)
		}
		manifest, err := o.catalog.Manifest(context.Background(), d)
		if err != nil {
			t.Fatalf("release %d: %v", d.Sequence(), err)
		}
		if got := string(manifest.Root()); got != string(d.Release().GetManifestRoot()) {
			t.Fatalf("release %d: the manifest has another root than the release", d.Sequence())
		}
	}
}

// TestStart guards against a start that replaces a release that the operator has
// not seen, and against one that reports a failure although it took effect.
func TestStart(t *testing.T) {
	ctx := context.Background()
	tests := map[string]struct {
		run  func(*operatorFixture) error
		kind fault.Kind
	}{
		"another draft was started before": {kind: fault.KindConflict, run: func(o *operatorFixture) error {
			first, second := o.draft(testBundle(1, "")), o.draft(testBundle(2, ""))
			if _, err := o.catalog.Start(ctx, first.ID()); err != nil {
				return err
			}
			_, err := o.catalog.Start(ctx, second.ID())
			return err
		}},
		"same draft started twice": {run: func(o *operatorFixture) error {
			d := o.draft(testBundle(1, ""))
			if _, err := o.catalog.Start(ctx, d.ID()); err != nil {
				return err
			}
			_, err := o.catalog.Start(ctx, d.ID())
			return err
		}},
		"answer of the store lost": {run: func(o *operatorFixture) error {
			d := o.draft(testBundle(1, ""))
			o.platform.SetFaults(standin.PlatformFaults{LoseAnswers: 1})
			_, err := o.catalog.Start(ctx, d.ID())
			return err
		}},
		"platform down": {kind: fault.KindUnavailable, run: func(o *operatorFixture) error {
			d := o.draft(testBundle(1, ""))
			o.platform.SetFaults(standin.PlatformFaults{Down: true})
			_, err := o.catalog.Start(ctx, d.ID())
			return err
		}},
		"unknown draft": {kind: fault.KindMissing, run: func(o *operatorFixture) error {
			_, err := o.catalog.Start(ctx, "ghost")
			return err
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err := test.run(newOperatorFixture(t))
			if test.kind == "" && err != nil {
				t.Errorf("got %v, want no error", err)
			}
			if test.kind != "" && !fault.Is(err, test.kind) {
				t.Errorf("got %v of kind %q, want kind %q", err, fault.KindOf(err), test.kind)
			}
		})
	}
}

// TestStartRace guards against two releases with one sequence: operators start
// their drafts at the same time, each having read the same newest release, and
// only a write conditional on its revision lets exactly one succeed.
func TestStartRace(t *testing.T) {
	const operators = 8
	o := newOperatorFixture(t)
	drafts := make([]*bundle.Document, operators)
	for i := range drafts {
		drafts[i] = o.draft(testBundle(i+1, ""))
	}
	o.platform.SetFaults(standin.PlatformFaults{DelayMS: 30})
	errs := make(chan error, operators)
	for _, d := range drafts {
		go func() {
			_, err := o.catalog.Start(context.Background(), d.ID())
			errs <- err
		}()
	}
	started := 0
	for range operators {
		err := <-errs
		if err == nil {
			started++
		} else if !fault.Is(err, fault.KindConflict) {
			t.Errorf("got %v of kind %q, want kind %q", err, fault.KindOf(err), fault.KindConflict)
		}
	}
	if started != 1 {
		t.Errorf("%d operators started a release, want 1", started)
	}
}

// TestPutEarlier guards against a return to an earlier release that reuses its sequence
// or starts its moves again.
func TestPutEarlier(t *testing.T) {
	ctx := context.Background()
	o := newOperatorFixture(t)
	for _, b := range []*bundle.Bundle{testBundle(1, "v2"), testBundle(2, "")} {
		if _, err := o.catalog.Start(ctx, o.draft(b).ID()); err != nil {
			t.Fatal(err)
		}
	}
	d, err := o.catalog.PutEarlier(ctx, 1, "tester", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if got := d.Sequence(); got != 3 || len(d.Release().GetMoves()) != 0 {
		t.Errorf("got sequence %d with %d moves, want 3 with none", got, len(d.Release().GetMoves()))
	}
	b, err := o.catalog.Bundle(ctx, d)
	if err != nil || len(b.Services) != 1 {
		t.Errorf("got %v and %v, want one service", b, err)
	}
}

// TestSummarise guards against a move that is reported as done while a data centre has
// not reported or has rolled the version back, and against reports on another move
// or of a data centre that is no longer listed being counted.
func TestSummarise(t *testing.T) {
	move := &wire.Move{Service: "s", To: "v2", Sequence: 4}
	report := func(dataCentre, state string) Report {
		return Report{Sequence: 4, Service: "s", DataCentre: dataCentre, State: state}
	}
	tests := map[string]struct {
		reports    []Report
		want       string
		unreported string
	}{
		"all done":                          {[]Report{report("a", rollout.NameDone), report("b", rollout.NameDone)}, rollout.NameDone, ""},
		"one not reported":                  {[]Report{report("a", rollout.NameDone)}, rollout.NameMoving, "b"},
		"one moving":                        {[]Report{report("a", rollout.NameDone), report("b", rollout.NameMoving)}, rollout.NameMoving, ""},
		"one rolled back":                   {[]Report{report("a", rollout.NameRolledBack)}, rollout.NameRolledBack, "b"},
		"of another move":                   {[]Report{report("a", rollout.NameDone), {Sequence: 3, Service: "s", DataCentre: "b", State: rollout.NameDone}}, rollout.NameMoving, "b"},
		"of a data centre no longer listed": {[]Report{report("a", rollout.NameDone), report("b", rollout.NameDone), report("x", rollout.NameMoving)}, rollout.NameDone, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := Summarise(move, []string{"a", "b"}, test.reports)
			if got.State != test.want || strings.Join(got.Unreported, ",") != test.unreported {
				t.Errorf("got %s with %v unreported, want %s with %q", got.State, got.Unreported, test.want, test.unreported)
			}
		})
	}
}
