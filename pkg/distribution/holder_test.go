package distribution

import (
	"context"
	"encoding/hex"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/keys"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// chain is a history of signed releases, with the manifests and parts that its source serves.
type chain struct {
	t         testing.TB
	key       *keys.Key
	ring      *keys.Ring
	documents []*bundle.Document
	manifests []bundle.Manifest
	parts     map[string][]byte
}

func newChain(t testing.TB) *chain {
	t.Helper()
	key, err := keys.Generate("operator", nil)
	if err != nil {
		t.Fatal(err)
	}
	ring, err := keys.NewRing(map[string]string{"operator": key.Public()}, 1)
	if err != nil {
		t.Fatal(err)
	}
	return &chain{t: t, key: key, ring: ring, parts: make(map[string][]byte)}
}

// add appends a signed release that consists of the given services.
func (c *chain) add(services ...string) *wire.SignedRelease {
	c.t.Helper()
	b := &bundle.Bundle{Name: "test", DataCentres: []string{"plateau"}, Services: make(map[string]bundle.Service)}
	for _, name := range services {
		b.Services[name] = bundle.Service{SharePercent: map[string]int{"v1": 100}, QueueLength: 1, RetryPercent: 1}
		b.Routes = append(b.Routes, bundle.Route{Name: name, PathPrefix: "/" + name, Service: name, TimeoutMS: 100})
	}
	var parent *bundle.Document
	var manifest bundle.Manifest
	if n := len(c.documents); n > 0 {
		parent, manifest = c.documents[n-1], c.manifests[n-1]
	}
	draft, err := bundle.NewDraft(b, parent, manifest, "tester", time.Now())
	if err != nil {
		c.t.Fatal(err)
	}
	draft.Document().Sign(c.key)
	c.documents = append(c.documents, draft.Document())
	c.manifests = append(c.manifests, draft.Manifest())
	for id, data := range draft.Parts() {
		c.parts[id] = data
	}
	return draft.Document().Signed()
}

func (c *chain) source() Source {
	return Source{
		Release: func(_ context.Context, sequence uint64) (*wire.SignedRelease, error) {
			return c.documents[sequence-1].Signed(), nil
		},
		Manifest: func(_ context.Context, d *bundle.Document) (bundle.Manifest, error) {
			return c.manifests[d.Sequence()-1], nil
		},
		Parts: func(_ context.Context, hashes [][]byte) ([][]byte, error) {
			var parts [][]byte
			for _, hash := range hashes {
				parts = append(parts, c.parts[hex.EncodeToString(hash)])
			}
			return parts, nil
		},
	}
}

// modifyAndSign returns a copy of a release that change has modified, signed with the chain's key.
func modifyAndSign(t testing.TB, c *chain, signed *wire.SignedRelease, change func(*wire.Release)) *wire.SignedRelease {
	t.Helper()
	r := &wire.Release{}
	if err := proto.Unmarshal(signed.GetBody(), r); err != nil {
		t.Fatal(err)
	}
	change(r)
	body, err := proto.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	d, err := bundle.Open(&wire.SignedRelease{Body: body})
	if err != nil {
		t.Fatal(err)
	}
	d.Sign(c.key)
	return d.Signed()
}

// badRelease is a modification that makes a release invalid, and the kind of the resulting error.
type badRelease struct {
	change func(*chain, *wire.SignedRelease, *Source) *wire.SignedRelease
	kind   fault.Kind
}

// TestHoldsBadBundleNeverInPart guards against a partly applied release: when any
// check of a release fails, none of its parts may be in force or kept. Checks
// fail when a release is altered, incomplete, not signed by a trusted signer, or
// inconsistent.
func TestHoldsBadBundleNeverInPart(t *testing.T) {
	tests := map[string]badRelease{
		"altered part": {kind: fault.KindInvalid, change: func(c *chain, s *wire.SignedRelease, _ *Source) *wire.SignedRelease {
			for id := range c.parts {
				c.parts[id] = append(slices.Clone(c.parts[id]), ' ')
			}
			return s
		}},
		"missing part": {kind: fault.KindMissing, change: func(_ *chain, s *wire.SignedRelease, src *Source) *wire.SignedRelease {
			src.Parts = func(context.Context, [][]byte) ([][]byte, error) { return nil, nil }
			return s
		}},
		"source fails during the fetch": {kind: fault.KindInternal, change: func(_ *chain, s *wire.SignedRelease, src *Source) *wire.SignedRelease {
			src.Parts = func(context.Context, [][]byte) ([][]byte, error) { return nil, errors.New("cut") }
			return s
		}},
		"unsigned": {kind: fault.KindUnsigned, change: func(_ *chain, s *wire.SignedRelease, _ *Source) *wire.SignedRelease {
			return &wire.SignedRelease{Body: s.GetBody()}
		}},
		"body altered after signing": {kind: fault.KindUnsigned, change: func(t *chain, s *wire.SignedRelease, _ *Source) *wire.SignedRelease {
			altered := modifyAndSign(t.t, t, s, func(r *wire.Release) { r.Author = "somebody" })
			return &wire.SignedRelease{Body: altered.GetBody(), Signatures: s.GetSignatures()}
		}},
		"signed with an untrusted key": {kind: fault.KindUnsigned, change: func(c *chain, s *wire.SignedRelease, _ *Source) *wire.SignedRelease {
			untrusted, err := keys.Generate("operator", nil)
			if err != nil {
				c.t.Fatal(err)
			}
			d, err := bundle.Open(&wire.SignedRelease{Body: s.GetBody()})
			if err != nil {
				c.t.Fatal(err)
			}
			d.Sign(untrusted)
			return d.Signed()
		}},
		"manifest root of another manifest": {kind: fault.KindInvalid, change: func(c *chain, s *wire.SignedRelease, _ *Source) *wire.SignedRelease {
			return modifyAndSign(c.t, c, s, func(r *wire.Release) { r.ManifestRoot = bundle.Hash(nil) })
		}},
		"part with a route to an unknown service": {kind: fault.KindInvalid, change: func(c *chain, s *wire.SignedRelease, _ *Source) *wire.SignedRelease {
			return c.badPart(s, `{"name":"quote","service":{"share_percent":{"v1":100},"queue_length":1,"retry_percent":1},"routes":[{"name":"x","path_prefix":"/x","service":"ghost","timeout_ms":100}]}`)
		}},
		"part with shares that do not add up": {kind: fault.KindInvalid, change: func(c *chain, s *wire.SignedRelease, _ *Source) *wire.SignedRelease {
			return c.badPart(s, `{"name":"quote","service":{"share_percent":{"v1":60},"queue_length":1,"retry_percent":1},"routes":[]}`)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { checkBadRelease(t, test) })
	}
}

func checkBadRelease(t *testing.T, test badRelease) {
	c := newChain(t)
	h := New(common.New(), c.ring)
	h.Start(0)
	if err := h.Offer(context.Background(), c.add("archive"), c.source()); err != nil {
		t.Fatalf("good release refused: %v", err)
	}
	before := len(h.parts)
	second := c.add("archive", "quote", "booking")
	source := c.source()
	err := h.Offer(context.Background(), test.change(c, second, &source), source)
	if got := fault.KindOf(err); err == nil || got != test.kind {
		t.Errorf("got error %v of kind %q, want kind %q", err, got, test.kind)
	}
	if got := h.Table().Sequence(); got != 1 {
		t.Errorf("sequence %d is in force, want 1", got)
	}
	if h.Table().Service("quote") != nil || h.Table().Match("", "GET", "/quote") != nil {
		t.Error("a part of the refused release is in force")
	}
	if got := len(h.parts); got != before {
		t.Errorf("%d parts are kept, want %d", got, before)
	}
}

// badPart replaces the part of the service quote and signs the changed release.
func (c *chain) badPart(s *wire.SignedRelease, content string) *wire.SignedRelease {
	hash := bundle.Hash([]byte(content))
	c.parts[hex.EncodeToString(hash)] = []byte(content)
	manifest := c.manifests[len(c.manifests)-1]
	manifest["quote"] = hash
	return modifyAndSign(c.t, c, s, func(r *wire.Release) {
		for _, entry := range r.GetChanged() {
			if entry.GetName() == "quote" {
				entry.Hash = hash
			}
		}
		r.ManifestRoot = manifest.Root()
	})
}

// TestHoldsUnknownServiceRefused guards against routes to services that do not
// exist: a route comes into force together with its service, and is removed
// together with it.
func TestHoldsUnknownServiceRefused(t *testing.T) {
	c := newChain(t)
	h := New(common.New(), c.ring)
	h.Start(0)
	steps := []struct {
		services []string
		want     map[string]bool
	}{
		{[]string{"quote"}, map[string]bool{"/quote": true, "/booking": false}},
		{[]string{"quote", "booking"}, map[string]bool{"/quote": true, "/booking": true}},
		{[]string{"booking"}, map[string]bool{"/quote": false, "/booking": true}},
	}
	for i, step := range steps {
		if err := h.Offer(context.Background(), c.add(step.services...), c.source()); err != nil {
			t.Fatalf("release %d refused: %v", i+1, err)
		}
		for path, want := range step.want {
			route := h.Table().Match("any", "GET", path)
			if got := route != nil; got != want {
				t.Errorf("release %d: match of %s is %v, want %v", i+1, path, got, want)
			}
			if route != nil && h.Table().Service(route.Service) == nil {
				t.Errorf("release %d: %s goes to the unknown service %s", i+1, path, route.Service)
			}
		}
	}
}

// TestOfferOrder guards against an older release that replaces a newer one, which
// happens when releases arrive out of order or more than once.
func TestOfferOrder(t *testing.T) {
	tests := map[string]struct {
		offers []int
		want   uint64
	}{
		"in order":                    {[]int{1, 2, 3}, 3},
		"out of order":                {[]int{3, 1, 2}, 3},
		"replayed":                    {[]int{1, 2, 1, 2, 1}, 2},
		"releases between missed":     {[]int{1, 5}, 5},
		"first release of a new node": {[]int{5}, 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newChain(t)
			for i := range 5 {
				c.add("quote", []string{"a", "b", "c", "d", "e"}[i])
			}
			h := New(common.New(), c.ring)
			h.Start(0)
			for _, n := range test.offers {
				_ = h.Offer(context.Background(), c.documents[n-1].Signed(), c.source())
			}
			if got := h.Table().Sequence(); got != test.want {
				t.Errorf("sequence %d is in force, want %d", got, test.want)
			}
		})
	}
}

// TestEnforceNeedsHolders guards against a release that is enforced too early: if
// too few nodes of the data centre hold the release, restarts can lose it. A
// release below the floor must not be enforced either.
func TestEnforceNeedsHolders(t *testing.T) {
	tests := map[string]holdersCase{
		"no other node":                  {alive: 0, want: 1},
		"no holder":                      {alive: 3, want: 0},
		"one holder of two needed":       {alive: 3, holders: []string{"a"}, want: 0},
		"two holders":                    {alive: 3, holders: []string{"a", "b"}, want: 1},
		"one peer alive and holding":     {alive: 1, holders: []string{"a"}, want: 1},
		"holders in another data centre": {alive: 3, holders: []string{"remote-a", "remote-b", "a"}, want: 0},
		"below the floor":                {alive: 0, floor: 2, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { checkHolders(t, test) })
	}
}

// holdersCase describes which other nodes hold release 1, and the sequence then in force.
type holdersCase struct {
	alive   int
	holders []string
	floor   uint64
	want    uint64
}

func checkHolders(t *testing.T, test holdersCase) {
	c := newChain(t)
	h := New(common.New(), c.ring, WithAlivePeers(func() int { return test.alive }))
	h.Start(test.floor)
	if err := h.Offer(context.Background(), c.add("quote"), c.source()); err != nil {
		t.Fatal(err)
	}
	for _, node := range test.holders {
		h.RecordHeld(node, 1, !strings.HasPrefix(node, "remote"))
	}
	if got := h.Table().Sequence(); got != test.want {
		t.Errorf("sequence %d is in force, want %d", got, test.want)
	}
	for _, node := range test.holders {
		if got := h.HeldBy(node); got != 1 {
			t.Errorf("%s is known to hold %d, want 1; the release would be announced to it again", node, got)
		}
	}
}

// TestForkRefused guards against two different releases with the same sequence,
// which come about when the signing keys are used outside a rollout.
func TestForkRefused(t *testing.T) {
	c := newChain(t)
	h := New(common.New(), c.ring)
	h.Start(0)
	first := c.add("quote")
	if err := h.Offer(context.Background(), first, c.source()); err != nil {
		t.Fatal(err)
	}
	other := modifyAndSign(t, c, first, func(r *wire.Release) { r.Author = "other" })
	if got := fault.KindOf(h.Offer(context.Background(), other, c.source())); got != fault.KindConflict {
		t.Errorf("got kind %q, want %q", got, fault.KindConflict)
	}
}
