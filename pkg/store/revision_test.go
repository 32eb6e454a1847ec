package store

import (
	"testing"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
)

// TestRevisionsOfErasInOrder guards against a revision of a restored store that counts as
// older than one that the store gave out before and lost.
func TestRevisionsOfErasInOrder(t *testing.T) {
	inOrder := []int64{0, InEra(0, 1), InEra(0, 900), InEra(1, 1), InEra(1, 2), InEra(2, 1), InEra(maxEra, 1), InEra(maxEra, 1<<numberBits-1)}
	for i, revision := range inOrder[1:] {
		if before := inOrder[i]; revision <= before {
			t.Errorf("revision %d of era %d is not above %d of era %d", NumberOf(revision), EraOf(revision), NumberOf(before), EraOf(before))
		}
	}
	if got := InEra(3, 0); got != 0 {
		t.Errorf("the number 0 became %d in an era, want 0", got)
	}
}

// TestErasRise guards against an era that falls back to that of a delayed answer, or to one
// that cannot be read.
func TestErasRise(t *testing.T) {
	tests := map[string]struct {
		answers []string
		of      int64
		newest  int64
	}{
		"no answer names one":     {[]string{"", ""}, 0, 0},
		"restored":                {[]string{"1", "2"}, 2, 2},
		"delayed answer":          {[]string{"1", "3", "2"}, 2, 3},
		"answer without one":      {[]string{"4", ""}, 4, 4},
		"cannot be read":          {[]string{"4", "five"}, 4, 4},
		"beyond the largest era":  {[]string{"4", "9000000000000"}, 4, 4},
		"below zero":              {[]string{"4", "-1"}, 4, 4},
		"does not fit in 64 bits": {[]string{"4", "99999999999999999999999"}, 4, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := NewEras(common.New())
			var of int64
			for _, text := range test.answers {
				of = e.Of(text)
			}
			if of != test.of || e.Newest() != test.newest {
				t.Errorf("got era %d and newest %d, want %d and %d", of, e.Newest(), test.of, test.newest)
			}
		})
	}
}
