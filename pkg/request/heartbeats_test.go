package request

import (
	"testing"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/quarantine"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

func newTestOwner(t *testing.T) *Owner {
	t.Helper()
	cm := common.New()
	ward := quarantine.NewWard(cm, gossip.New(), "self", func() uint64 { return 1 })
	o, cleanUp := NewOwner(cm, rollout.NewRecorder(), ward, OwnerHooks{
		QueueLength: func(string) int { return 8 },
		Halted:      func(string, string) bool { return false },
		Moving:      func(string, string) bool { return false },
		Announce:    func(*wire.Endpoint) {},
	})
	t.Cleanup(cleanUp)
	return o
}

func testRecord(born int64, number uint64, draining bool) *wire.Endpoint {
	return &wire.Endpoint{
		Instance: "i", Service: "s", Version: "v1", Address: "127.0.0.1:1", Slots: 4,
		BornUnixMs: born, Number: number, Draining: draining,
	}
}

// TestLateWordsChangeNothing: whatever order announcements, leaves and news of
// an earlier life of the node arrive in, a backend server that left stays out.
func TestLateWordsChangeNothing(t *testing.T) {
	beat := func(born int64, number uint64, draining bool) func(*Owner) {
		return func(o *Owner) { o.Heartbeat(testRecord(born, number, draining), nil) }
	}
	leave := func(born int64) func(*Owner) { return func(o *Owner) { o.Leave("i", born) } }
	adopt := func(born int64, number uint64, draining bool) func(*Owner) {
		return func(o *Owner) { o.Adopt(testRecord(born, number, draining)) }
	}
	tests := map[string]struct {
		words []func(*Owner)
		want  bool
	}{
		"ready":                                   {[]func(*Owner){beat(1, 1, false)}, false},
		"draining":                                {[]func(*Owner){beat(1, 1, false), beat(1, 2, true)}, true},
		"a late ready after draining":             {[]func(*Owner){beat(1, 3, true), beat(1, 2, false)}, true},
		"a heartbeat after the leave":             {[]func(*Owner){beat(1, 1, false), leave(1), beat(1, 9, false)}, true},
		"a late heartbeat of an earlier life":     {[]func(*Owner){beat(5, 1, true), beat(1, 9, false)}, true},
		"a new life":                              {[]func(*Owner){beat(1, 1, false), leave(1), beat(2, 1, false)}, false},
		"a late leave of an earlier life":         {[]func(*Owner){beat(2, 1, false), leave(1)}, false},
		"left before the node knew it":            {[]func(*Owner){leave(1), adopt(1, 4, false)}, true},
		"left before the node knew it, then beat": {[]func(*Owner){leave(1), beat(1, 5, false)}, true},
		"adopted twice, the newer last":           {[]func(*Owner){adopt(1, 4, false), adopt(1, 6, true)}, true},
		"adopted twice, the older last":           {[]func(*Owner){adopt(1, 6, true), adopt(1, 4, false)}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newTestOwner(t)
			for _, word := range test.words {
				word(o)
			}
			if got := o.Backends()[0].Record().GetDraining(); got != test.want {
				t.Errorf("got draining %v, want %v", got, test.want)
			}
		})
	}
}
