package distribution

import (
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// TestEvidenceDoesNotGetNewer guards against evidence that becomes newer when nodes pass it
// on, or when the answer with it is delayed.
func TestEvidenceDoesNotGetNewer(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start
	clock := func() time.Time { return now }
	nodes := []*Freshness{NewFreshness(clock), NewFreshness(clock), NewFreshness(clock)}
	nodes[0].Confirm(start, 7)
	for step := range 1000 {
		asking, asked := nodes[(step+1)%len(nodes)], nodes[step%len(nodes)]
		sentAt := now
		now = now.Add(1500 * time.Microsecond)
		answer := asked.Confirmation()
		now = now.Add(time.Millisecond)
		asking.ConfirmBy(answer, sentAt)
	}
	for i, f := range nodes {
		if got, want := f.Age(), now.Sub(start); got < want {
			t.Errorf("node %d: evidence of age %v, want at least %v", i, got, want)
		}
		if got := f.Revision(); got != 7 {
			t.Errorf("node %d: revision %d, want 7", i, got)
		}
	}
}

func TestFreshnessWithoutEvidence(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewFreshness(func() time.Time { return now })
	if got := f.Confirmation(); got != nil {
		t.Errorf("got the confirmation %v, want none", got)
	}
	f.ConfirmBy(nil, now)
	if got := f.Age(); got < 24*time.Hour {
		t.Errorf("without evidence: got age %v, want a day or more", got)
	}
	f.ConfirmBy(&wire.Confirmation{AgeMs: 300, Revision: 5}, now.Add(-200*time.Millisecond))
	f.Confirm(now.Add(-time.Hour), 4)
	if got, want := f.Age(), 500*time.Millisecond; got != want {
		t.Errorf("got age %v, want %v", got, want)
	}
	if got := f.Revision(); got != 5 {
		t.Errorf("got revision %d, want 5", got)
	}
}
