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

type office struct {
	t        *testing.T
	platform *standin.Platform
	catalog  *Catalog
	key      *keys.Key
	ring     *keys.Ring
}

func newOffice(t *testing.T) *office {
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
	return &office{t: t, platform: p, catalog: New(client), key: key, ring: ring}
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

// draft puts and signs a bundle.
func (o *office) draft(b *bundle.Bundle) *bundle.Document {
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

// TestPlannedServices: a node takes the planned number of services in from the
// platform with few calls.
func TestPlannedServices(t *testing.T) {
	const services, mostCalls = 2500, 60
	o := newOffice(t)
	d := o.draft(testBundle(services, ""))
	if _, err := o.catalog.Start(context.Background(), d.ID()); err != nil {
		t.Fatal(err)
	}
	before := total(o.platform.Counts())
	h := distribution.New(common.New(), o.ring)
	h.Start(0)
	if err := h.Offer(context.Background(), d.Signed(), o.catalog.Source()); err != nil {
		t.Fatal(err)
	}
	if got := len(h.Table().Services()); got != services {
		t.Errorf("%d services are in force, want %d", got, services)
	}
	if got := total(o.platform.Counts()) - before; got > mostCalls {
		t.Errorf("%d platform calls, want at most %d", got, mostCalls)
	}
}

func total(counts map[string]int) int {
	n := 0
	for _, count := range counts {
		n += count
	}
	return n
}

// TestManifestOverCheckpoints: the manifest of any release can be put together.
func TestManifestOverCheckpoints(t *testing.T) {
	o := newOffice(t)
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
			t.Fatalf("release %d: the manifest does not fit", d.Sequence())
		}
	}
}

func TestStart(t *testing.T) {
	ctx := context.Background()
	tests := map[string]struct {
		run  func(*office) error
		kind fault.Kind
	}{
		"overtaken": {kind: fault.KindConflict, run: func(o *office) error {
			first, second := o.draft(testBundle(1, "")), o.draft(testBundle(2, ""))
			if _, err := o.catalog.Start(ctx, first.ID()); err != nil {
				return err
			}
			_, err := o.catalog.Start(ctx, second.ID())
			return err
		}},
		"repeated": {run: func(o *office) error {
			d := o.draft(testBundle(1, ""))
			if _, err := o.catalog.Start(ctx, d.ID()); err != nil {
				return err
			}
			_, err := o.catalog.Start(ctx, d.ID())
			return err
		}},
		"answer lost": {run: func(o *office) error {
			d := o.draft(testBundle(1, ""))
			o.platform.SetFaults(standin.Faults{LoseAnswers: 1})
			_, err := o.catalog.Start(ctx, d.ID())
			return err
		}},
		"platform out": {kind: fault.KindUnavailable, run: func(o *office) error {
			d := o.draft(testBundle(1, ""))
			o.platform.SetFaults(standin.Faults{Down: true})
			_, err := o.catalog.Start(ctx, d.ID())
			return err
		}},
		"unknown draft": {kind: fault.KindMissing, run: func(o *office) error {
			_, err := o.catalog.Start(ctx, "ghost")
			return err
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err := test.run(newOffice(t))
			if test.kind == "" && err != nil {
				t.Errorf("got %v, want no error", err)
			}
			if test.kind != "" && !fault.Is(err, test.kind) {
				t.Errorf("got %v of kind %q, want kind %q", err, fault.KindOf(err), test.kind)
			}
		})
	}
}

// TestStartRace: of operators that start drafts for one sequence at the same
// moment exactly one succeeds.
func TestStartRace(t *testing.T) {
	const operators = 8
	o := newOffice(t)
	drafts := make([]*bundle.Document, operators)
	for i := range drafts {
		drafts[i] = o.draft(testBundle(i+1, ""))
	}
	o.platform.SetFaults(standin.Faults{DelayMS: 30})
	errs := make(chan error, operators)
	for _, d := range drafts {
		go func() {
			_, err := o.catalog.Start(context.Background(), d.ID())
			errs <- err
		}()
	}
	won := 0
	for range operators {
		err := <-errs
		if err == nil {
			won++
		} else if !fault.Is(err, fault.KindConflict) {
			t.Errorf("got %v of kind %q, want kind %q", err, fault.KindOf(err), fault.KindConflict)
		}
	}
	if won != 1 {
		t.Errorf("%d operators won, want 1", won)
	}
}

// TestBack: going back is a new, higher release without the moves.
func TestBack(t *testing.T) {
	ctx := context.Background()
	o := newOffice(t)
	for _, b := range []*bundle.Bundle{testBundle(1, "v2"), testBundle(2, "")} {
		if _, err := o.catalog.Start(ctx, o.draft(b).ID()); err != nil {
			t.Fatal(err)
		}
	}
	d, err := o.catalog.Back(ctx, 1, "tester", time.Now())
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

func TestSum(t *testing.T) {
	move := &wire.Move{Service: "s", To: "v2", Sequence: 4}
	report := func(dataCentre, state string) Report {
		return Report{Sequence: 4, Service: "s", DataCentre: dataCentre, State: state}
	}
	tests := map[string]struct {
		reports []Report
		want    string
		silent  string
	}{
		"all done":                          {[]Report{report("a", rollout.NameDone), report("b", rollout.NameDone)}, rollout.NameDone, ""},
		"one silent":                        {[]Report{report("a", rollout.NameDone)}, rollout.NameMoving, "b"},
		"one moving":                        {[]Report{report("a", rollout.NameDone), report("b", rollout.NameMoving)}, rollout.NameMoving, ""},
		"one taken back":                    {[]Report{report("a", rollout.NameTakenBack)}, rollout.NameTakenBack, "b"},
		"of another move":                   {[]Report{report("a", rollout.NameDone), {Sequence: 3, Service: "s", DataCentre: "b", State: rollout.NameDone}}, rollout.NameMoving, "b"},
		"of a data centre no longer listed": {[]Report{report("a", rollout.NameDone), report("b", rollout.NameDone), report("x", rollout.NameMoving)}, rollout.NameDone, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := Sum(move, []string{"a", "b"}, test.reports)
			if got.State != test.want || strings.Join(got.Silent, ",") != test.silent {
				t.Errorf("got %s with %v silent, want %s with %q", got.State, got.Silent, test.want, test.silent)
			}
		})
	}
}
