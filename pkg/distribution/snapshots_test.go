package distribution

import (
	"errors"
	"testing"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
)

// decodeTestContent returns the first byte of content as the sequence.
func decodeTestContent(content []byte) (uint64, []bundle.Part, error) {
	if len(content) == 0 {
		return 0, nil, errors.New("content is empty")
	}
	return uint64(content[0]), nil, nil
}

// TestSnapshotsNeverGoBack guards against an older snapshot that replaces a newer
// one, which happens when snapshots arrive out of order or an older version is
// written to the store later. It also checks that a snapshot whose revision is
// known is not decoded again.
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
		"in order":                          {[]offer{{10, "\x02"}, {20, "\x05"}}, 5, 2},
		"older revision arrives later":      {[]offer{{20, "\x05"}, {10, "\x02"}}, 5, 1},
		"same revision repeated":            {[]offer{{20, "\x05"}, {20, "\x05"}, {20, "\x05"}}, 5, 1},
		"content cannot be decoded":         {[]offer{{10, "\x02"}, {20, ""}}, 2, 2},
		"older version at a newer revision": {[]offer{{10, "\x05"}, {20, "\x02"}}, 5, 2},
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
				t.Errorf("sequence %d in force after decoding %d times, want %d after %d", s.Sequence(), reads, test.want, test.reads)
			}
		})
	}
}
