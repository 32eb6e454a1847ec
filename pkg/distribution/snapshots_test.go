package distribution

import (
	"errors"
	"testing"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
)

// decodeTestContent reads a version out of one byte.
func decodeTestContent(content []byte) (uint64, []bundle.Part, error) {
	if len(content) == 0 {
		return 0, nil, errors.New("broken")
	}
	return uint64(content[0]), nil, nil
}

// TestSnapshotsNeverGoBack: whatever order snapshots come in, the sequence in
// force never falls, and what is known already is not read again.
func TestSnapshotsNeverGoBack(t *testing.T) {
	type offer struct {
		revision int64
		content  string
	}
	tests := map[string]struct {
		offers []offer
		want   uint64
		reads  int
	}{
		"in order":                       {[]offer{{10, "\x02"}, {20, "\x05"}}, 5, 2},
		"an older one later":             {[]offer{{20, "\x05"}, {10, "\x02"}}, 5, 1},
		"the same from peers":            {[]offer{{20, "\x05"}, {20, "\x05"}, {20, "\x05"}}, 5, 1},
		"a broken one":                   {[]offer{{10, "\x02"}, {20, ""}}, 2, 2},
		"an older version written later": {[]offer{{10, "\x05"}, {20, "\x02"}}, 5, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			reads := 0
			s := NewSnapshots(common.New(), func(content []byte) (uint64, []bundle.Part, error) {
				reads++
				return decodeTestContent(content)
			}, func(*routing.Table) {})
			for _, o := range test.offers {
				_ = s.Offer(o.revision, []byte(o.content))
			}
			if s.Sequence() != test.want || s.Table().Sequence() != test.want || reads != test.reads {
				t.Errorf("sequence %d in force after %d reads, want %d after %d", s.Sequence(), reads, test.want, test.reads)
			}
		})
	}
}
