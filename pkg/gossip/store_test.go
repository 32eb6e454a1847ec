package gossip

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
	"unsafe"

	"pgregory.net/rapid"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

func crash(key string, epoch, step uint64) *wire.Record {
	return &wire.Record{Key: PrefixCrash + key, Epoch: epoch, Step: step, Body: &wire.Record_Crash{Crash: &wire.Crash{Fingerprint: key, Weight: uint32(step)}}}
}

// TestConverges guards against replicas that stay different although they received
// the same records, in another order or some of them more than once.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var records []*wire.Record
		for range rapid.IntRange(1, 30).Draw(rt, "records") {
			key := fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "key"))
			records = append(records, crash(key, rapid.Uint64Range(0, 3).Draw(rt, "epoch"), rapid.Uint64Range(0, 3).Draw(rt, "step")))
		}
		one, other := New(), New()
		one.Apply(records, true)
		other.Apply(rapid.Permutation(records).Draw(rt, "order"), true)
		other.Apply(records, true)
		if one.Digest() != other.Digest() {
			rt.Fatalf("digests differ: %d and %d records", one.Len(), other.Len())
		}
		if differing := one.Differing(other.Buckets()); len(differing) != 0 {
			rt.Fatalf("buckets differ: %v", differing)
		}
	})
}

// TestRepair guards against differences that a comparison of bucket digests does
// not find, here after one replica missed every seventh record.
func TestRepair(t *testing.T) {
	one, other := New(), New()
	for i := range 500 {
		r := crash(fmt.Sprint(i), 1, 1)
		one.Apply([]*wire.Record{r}, false)
		if i%7 != 0 {
			other.Apply([]*wire.Record{r}, false)
		}
	}
	differing := one.Differing(other.Buckets())
	records, covered := one.InBuckets(differing, 1<<20)
	other.Apply(records, false)
	if len(covered) != len(differing) || one.Digest() != other.Digest() {
		t.Errorf("digests differ after a repair of %d of %d buckets", len(covered), len(differing))
	}
}

// TestBroadcastsEnd guards against records that are broadcast forever, or too few
// times to reach all nodes.
func TestBroadcastsEnd(t *testing.T) {
	s := New(WithReceiverCount(func() int { return 1000 }))
	s.Set(crash("a", 1, 1))
	sends := 0
	for range 100 {
		sends += len(s.Broadcasts(1000, false))
	}
	if want := 10 + extraSends; sends != want {
		t.Errorf("sent %d times, want %d", sends, want)
	}
	if s.HasBroadcasts() {
		t.Error("the record is still queued for broadcast")
	}
}

// TestSharesStayInTheDataCentre guards against shares that are broadcast to other
// data centres. Shares are not durable records.
func TestSharesStayInTheDataCentre(t *testing.T) {
	s := New()
	s.Set(&wire.Record{Key: PrefixShare + "x", Body: &wire.Record_Share{Share: &wire.Share{}}})
	if got := len(s.Broadcasts(1000, true)); got != 0 {
		t.Errorf("%d shares were sent to another data centre, want 0", got)
	}
	if got := len(s.Broadcasts(1000, false)); got != 1 {
		t.Errorf("%d shares were sent, want 1", got)
	}
}

// TestExpiry guards against an expired record that stays in the digests, or that is
// stored again when a replica that still has it sends it.
func TestExpiry(t *testing.T) {
	now := time.UnixMilli(1000)
	s := New(WithClock(func() time.Time { return now }))
	r := crash("a", 1, 1)
	r.ExpiresUnixMs = 2000
	s.Set(r)
	now = time.UnixMilli(3000)
	if got := len(s.Sweep()); got != 1 || s.Len() != 0 || s.Digest() != 0 {
		t.Errorf("swept %d, left %d with digest %d, want 1, 0 and 0", got, s.Len(), s.Digest())
	}
	if s.Set(r) {
		t.Error("an expired record was stored again")
	}
}

// BenchmarkDigest measures the digest of 50,000 records.
func BenchmarkDigest(b *testing.B) {
	s := New()
	for i := range 50000 {
		s.Apply([]*wire.Record{crash(fmt.Sprint(i), 1, 1)}, false)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Digest()
	}
}

// TestSetLeavesTheRecordAlone guards against a write to a record that other goroutines
// read already, as the record of a backend server of this host.
func TestSetLeavesTheRecordAlone(t *testing.T) {
	name := func() string { return strings.Clone("plateau") }
	e := &wire.Endpoint{DataCentre: name(), Service: name(), Version: name()}
	before := []*byte{unsafe.StringData(e.GetDataCentre()), unsafe.StringData(e.GetService()), unsafe.StringData(e.GetVersion())}
	New().Set(&wire.Record{Key: PrefixEndpoint + "a/i", Epoch: 1, Body: &wire.Record_Endpoint{Endpoint: e}})
	after := []*byte{unsafe.StringData(e.GetDataCentre()), unsafe.StringData(e.GetService()), unsafe.StringData(e.GetVersion())}
	if !slices.Equal(before, after) {
		t.Error("Set wrote to a record that it was given")
	}
}

// beyondUTF8 can be encoded in no string of a record.
const beyondUTF8 = "\xff"

// TestUnencodableRecord guards against a record that cannot be encoded, which is kept and so
// spoils the messages with other records, and counts as sent.
func TestUnencodableRecord(t *testing.T) {
	sound := []*wire.Record{crash("a", 1, 1), crash("b", 1, 1)}
	tests := map[string]*wire.Record{
		"key":         crash(beyondUTF8, 1, 1),
		"newer":       {Key: sound[0].GetKey(), Epoch: 2, Body: &wire.Record_Crash{Crash: &wire.Crash{Node: beyondUTF8}}},
		"endpoint":    {Key: PrefixEndpoint + "a/i", Epoch: 1, Body: &wire.Record_Endpoint{Endpoint: &wire.Endpoint{Service: beyondUTF8}}},
		"not durable": {Key: PrefixShare + "s", Epoch: 1, Body: &wire.Record_Share{Share: &wire.Share{Service: beyondUTF8}}},
		"addressed":   {Key: PrefixEvidence + "n", Epoch: 1, Body: &wire.Record_Evidence{Evidence: &wire.Evidence{Node: beyondUTF8}}},
	}
	for name, odd := range tests {
		t.Run(name, func(t *testing.T) {
			var refused []string
			s := newStoreOf(sound, WithUnencodable(func(key string, _ error) { refused = append(refused, key) }))
			other := newStoreOf(sound)
			if s.Set(odd) || s.Apply([]*wire.Record{odd}, true) != 0 {
				t.Error("the record was stored")
			}
			if want := []string{odd.GetKey(), odd.GetKey()}; !slices.Equal(refused, want) {
				t.Errorf("reported %q, want %q", refused, want)
			}
			if s.Digest() != other.Digest() || s.Len() != other.Len() {
				t.Errorf("got %d records with the digest %x, want %d with %x", s.Len(), s.Digest(), other.Len(), other.Digest())
			}
			checkMessages(t, s, len(sound))
		})
	}
}

// newStoreOf returns a store to which records were written.
func newStoreOf(records []*wire.Record, opts ...Option) *Store {
	s := New(opts...)
	for _, r := range records {
		s.Set(r)
	}
	return s
}

// checkMessages checks that broadcasts and a repair can be encoded, that each of them holds
// the wanted number of records, and that the broadcasts end.
func checkMessages(t *testing.T, s *Store, want int) {
	t.Helper()
	for range extraSends {
		batch := s.Broadcasts(1000, false)
		if _, err := proto.Marshal(&wire.ExchangeRequest{Records: batch}); err != nil || len(batch) != want {
			t.Errorf("got a message with %d records, %v, want %d", len(batch), err, want)
		}
	}
	if s.Broadcasts(1000, false); s.HasBroadcasts() {
		t.Error("records are still queued for broadcast")
	}
	repaired, _ := s.InBuckets(s.Differing(make([]uint64, BucketCount)), 1000)
	if _, err := proto.Marshal(&wire.CompareResponse{Records: repaired}); err != nil || len(repaired) != want {
		t.Errorf("got a repair with %d records, %v, want %d", len(repaired), err, want)
	}
}
