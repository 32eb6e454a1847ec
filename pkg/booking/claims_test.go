package booking

import (
	"context"
	"testing"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// newMemoryStore returns a store that keeps one key.
func newMemoryStore() Store {
	var kept store.KeyValue
	return Store{
		Get: func(context.Context, string) (store.KeyValue, bool, error) { return kept, kept.ModRevision > 0, nil },
		Swap: func(_ context.Context, revision int64, writes ...store.Write) (bool, store.KeyValue, error) {
			if revision != kept.ModRevision {
				return false, kept, nil
			}
			kept = store.KeyValue{Key: writes[0].Key, Value: writes[0].Value, ModRevision: revision + 1}
			return true, kept, nil
		},
		Lease: func(context.Context) (int64, error) { return 1, nil },
	}
}

// TestKeptAnswerBeyondUTF8 guards against a claim that is overwritten with nothing because
// the answer has a value that is not UTF-8. A resend was then told that nothing ran.
func TestKeptAnswerBeyondUTF8(t *testing.T) {
	const value, key, fingerprint = "caf\xe9", "order-\xff", "f"
	memory := newMemoryStore()
	first, _, refusal := NewClaims(common.New(), memory, "a").Acquire(t.Context(), "quotes", key, "first", fingerprint)
	if refusal != nil {
		t.Fatal(refusal.Reason())
	}
	first.Finish(200, []*wire.Header{{Name: "X-Odd", Value: []byte(value)}}, []byte("answer"))
	_, kept, refusal := NewClaims(common.New(), memory, "b").Acquire(t.Context(), "quotes", key, "second", fingerprint)
	if refusal != nil {
		t.Fatalf("the resend was refused: %s", refusal.Reason())
	}
	if got := string(kept.GetHeaders()[0].GetValue()); got != value || kept.GetStatus() != 200 || string(kept.GetBody()) != "answer" {
		t.Errorf("got the answer %d %q with %q, want 200 with %q", kept.GetStatus(), kept.GetBody(), got, value)
	}
}

// TestUnencodableAnswer guards against a claim that is overwritten with nothing because the
// answer cannot be encoded.
func TestUnencodableAnswer(t *testing.T) {
	const key, fingerprint = "order", "f"
	memory := newMemoryStore()
	first, _, refusal := NewClaims(common.New(), memory, "a").Acquire(t.Context(), "quotes", key, "first", fingerprint)
	if refusal != nil {
		t.Fatal(refusal.Reason())
	}
	first.Finish(200, []*wire.Header{{Name: "\xff"}}, nil)
	ctx, cancel := context.WithTimeout(t.Context(), pollInterval)
	defer cancel()
	_, _, refusal = NewClaims(common.New(), memory, "b").Acquire(ctx, "quotes", key, "second", fingerprint)
	if refusal == nil || refusal.Verdict() != verdict.Unknown {
		t.Errorf("got the refusal %v of the resend, want one with the verdict unknown", refusal)
	}
}
