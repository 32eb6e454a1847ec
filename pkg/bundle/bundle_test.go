package bundle

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/keys"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const goodBundle = `{
  // comments are fine
  "name": "test", "data_centres": ["plateau"],
  "services": {"quote": {"share_percent": {"v1": 100}, "move": {"to": "v2", "complete_within_seconds": 60}}},
  "routes": [{"name": "quotes", "path_prefix": "/quotes", "service": "quote"}],
}`

// TestCheckListsFaults guards against a faulty bundle that passes the check or is
// refused without naming the fault.
func TestCheckListsFaults(t *testing.T) {
	tests := map[string]struct{ old, replacement, want string }{
		"shares do not add up": {`"v1": 100`, `"v1": 90`, "adds up to 90"},
		"unknown service":      {`"service": "quote"`, `"service": "ghost"`, `no service is named "ghost"`},
		"path without slash":   {`"/quotes"`, `"quotes"`, "does not start with /"},
		"name with capitals":   {`"name": "test"`, `"name": "Test!"`, "is not a name"},
		"move to itself":       {`"to": "v2"`, `"to": "v1"`, "already has a share"},
		"two deadlines":        {`"complete_within_seconds": 60`, `"complete_within_seconds": 60, "complete_by": "2026-01-01T00:00:00Z"`, "give either"},
		"deadline too near":    {`"complete_within_seconds": 60`, `"complete_within_seconds": 2`, "outside 5 to"},
		"canary too large":     {`"to": "v2"`, `"to": "v2", "canary_percent": 6`, "outside 1 to 5"},
		"data centre twice":    {`["plateau"]`, `["plateau", "plateau"]`, "named twice"},
		"same requests twice":  {`"service": "quote"}]`, `"service": "quote"}, {"name": "again", "path_prefix": "/quotes/", "service": "quote"}]`, "matches the same requests"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b, err := Parse("test", []byte(strings.Replace(goodBundle, test.old, test.replacement, 1)))
			if err == nil {
				err = b.Check()
			}
			if !fault.Is(err, fault.KindInvalid) || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want an error with %q", err, test.want)
			}
		})
	}
}

// TestParseNamesLineAndField guards against a decoding error that does not say
// which line or field of the operator's file is wrong.
func TestParseNamesLineAndField(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"unknown field": {"{\n  \"name\": \"x\",\n  \"colour\": 1\n}", `test:3: unknown field "colour"`},
		"wrong type":    {"{\n  \"name\": 7\n}", `test:2: field "name"`},
		"not JSON":      {"{", "not valid JSON"},
		"two documents": {"{} {}", "test"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("test", []byte(test.text))
			if !fault.Is(err, fault.KindInvalid) || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want an error with %q", err, test.want)
			}
		})
	}
}

func mustParse(t testing.TB) *Bundle {
	t.Helper()
	b, err := Parse("test", []byte(goodBundle))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestMoveCarriedOn guards against a move that starts again, with a new deadline,
// because a later release changes another service.
func TestMoveCarriedOn(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	first, err := NewDraft(mustParse(t), nil, nil, "a", start)
	if err != nil {
		t.Fatal(err)
	}
	b := mustParse(t)
	b.Services["other"] = Service{SharePercent: map[string]int{"v1": 100}, QueueLength: 1, RetryPercent: 1}
	second, err := NewDraft(b, first.Document(), first.Manifest(), "a", start.Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := second.Document().Move("quote"), first.Document().Move("quote"); !proto.Equal(got, want) {
		t.Errorf("got move %v, want %v", got, want)
	}
	if got := len(second.Parts()); got != 1 {
		t.Errorf("%d parts changed, want 1", got)
	}
	if got := second.Manifest().Root(); string(got) != string(first.Manifest().Next(second.Document().Release()).Root()) {
		t.Error("the manifest does not follow from the release")
	}
}

// FuzzParse guards against a panic or an error of the wrong kind on any input, and
// against a checked bundle whose encoded parts cannot be decoded.
func FuzzParse(f *testing.F) {
	f.Add([]byte(goodBundle))
	f.Add([]byte("{"))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Parse("fuzz", data)
		if err != nil {
			if fault.KindOf(err) != fault.KindInvalid {
				t.Errorf("got kind %q, want %q", fault.KindOf(err), fault.KindInvalid)
			}
			return
		}
		if b.Check() != nil {
			return
		}
		for _, part := range b.Parts() {
			encoded, err := part.Encode()
			if err != nil {
				continue
			}
			if _, err := DecodePart(encoded); err != nil {
				t.Errorf("a checked part cannot be read back: %v", err)
			}
		}
	})
}

// FuzzOpenAndVerify guards against a panic on any release, and against altered
// bytes that pass the verification of signatures.
func FuzzOpenAndVerify(f *testing.F) {
	draft, err := NewDraft(mustParse(f), nil, nil, "a", time.UnixMilli(1_700_000_000_000))
	if err != nil {
		f.Fatal(err)
	}
	key, err := keys.Generate("operator", strings.NewReader(strings.Repeat("k", 64)))
	if err != nil {
		f.Fatal(err)
	}
	ring, err := keys.NewRing(map[string]string{"operator": key.Public()}, 1)
	if err != nil {
		f.Fatal(err)
	}
	draft.Document().Sign(key)
	signed := draft.Document().Signed()
	good := signed.GetBody()
	f.Add(good, signed.GetSignatures()[0].GetValue())
	f.Fuzz(func(t *testing.T, body, signature []byte) {
		d, err := Open(&wire.SignedRelease{Body: body, Signatures: []*wire.Signature{{Signer: "operator", Value: signature}}})
		if err != nil {
			return
		}
		if d.Verify(ring) == nil && string(body) != string(good) {
			t.Error("a body that nobody signed was verified")
		}
	})
}
