package fleet

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

type testFleet struct {
	now       time.Time
	store     *gossip.Store
	members   *Members
	endpoints *Endpoints
}

func newTestFleet() *testFleet {
	f := &testFleet{now: time.UnixMilli(1_700_000_000_000)}
	clock := func() time.Time { return f.now }
	f.store = gossip.New(gossip.WithClock(clock))
	f.members = NewMembers(common.New(common.WithClock(clock)), f.store, &wire.Member{Node: "self", DataCentre: "plateau", Address: "127.0.0.1:1"})
	f.endpoints = NewEndpoints(f.store, f.members)
	f.members.Join()
	return f
}

func (f *testFleet) addNode(node, dataCentre string, epoch uint64) {
	f.store.Apply([]*wire.Record{{Key: memberKey(node), Epoch: epoch, Body: &wire.Record_Member{Member: &wire.Member{Node: node, DataCentre: dataCentre, Address: node + ":1"}}}}, false)
}

func (f *testFleet) addEndpoint(node string, epoch, step uint64, change func(*wire.Endpoint)) {
	e := &wire.Endpoint{Node: node, Instance: "i", Service: "s", Version: "v1", DataCentre: "plateau", Address: "127.0.0.1:9000", Slots: 4}
	if change != nil {
		change(e)
	}
	f.store.Apply([]*wire.Record{{Key: EndpointKey(node, "i"), Epoch: epoch, Step: step, Body: &wire.Record_Endpoint{Endpoint: e}}}, false)
}

// TestUsable guards against new work for backend servers that cannot take it, and
// against usable backend servers that are left out. The latter happens when a
// message of an earlier incarnation arrives late, or a suspicion counts as death.
func TestUsable(t *testing.T) {
	tests := map[string]struct {
		change func(*testFleet)
		want   int
	}{
		"announced":                         {func(*testFleet) {}, 1},
		"draining":                          {func(f *testFleet) { f.addEndpoint("n", 1, 1, func(e *wire.Endpoint) { e.Draining = true }) }, 0},
		"down":                              {func(f *testFleet) { f.addEndpoint("n", 1, 1, func(e *wire.Endpoint) { e.Down = true }) }, 0},
		"node suspect":                      {func(f *testFleet) { f.members.Suspect("n") }, 1},
		"node dead":                         {func(f *testFleet) { f.members.Suspect("n"); f.now = f.now.Add(suspicionTimeout); f.members.Tick() }, 0},
		"node restarted":                    {func(f *testFleet) { f.addNode("n", "plateau", 2) }, 0},
		"message of an earlier incarnation": {func(f *testFleet) { f.addEndpoint("n", 0, 9, func(e *wire.Endpoint) { e.Down = true }) }, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet()
			f.addNode("n", "plateau", 1)
			f.addEndpoint("n", 1, 0, nil)
			test.change(f)
			if got := f.endpoints.Count("s", "", ""); got != test.want {
				t.Errorf("%d endpoints are usable, want %d", got, test.want)
			}
		})
	}
}

// TestRefute guards against a running node that stays declared dead after other
// nodes could not reach it for a while.
func TestRefute(t *testing.T) {
	f := newTestFleet()
	own := f.store.Get(memberKey("self"))
	f.store.Apply([]*wire.Record{{Key: memberKey("self"), Epoch: own.GetEpoch(), Step: 5, Body: &wire.Record_Member{
		Member: &wire.Member{Node: "self", DataCentre: "plateau", Address: "127.0.0.1:1", State: wire.MemberState_MEMBER_STATE_DEAD},
	}}}, false)
	state, _, _ := f.members.State("self")
	if state != wire.MemberState_MEMBER_STATE_ALIVE {
		t.Errorf("own state is %v after the node was declared dead, want alive", state)
	}
}

// TestRelaysAgree guards against nodes with the same view of the membership that
// choose different relays.
func TestRelaysAgree(t *testing.T) {
	f := newTestFleet()
	var all []*wire.Member
	for i := range 50 {
		f.addNode(fmt.Sprintf("n%d", i), "plateau", 1)
	}
	all = append(f.members.Peers(), f.members.Self())
	relays := Relays(all)
	own := false
	for _, relay := range relays {
		own = own || relay.GetNode() == "self"
	}
	if len(relays) != RelaysPerDataCentre || own != f.members.IsRelay() {
		t.Errorf("%d relays with self %v, want %d and %v", len(relays), own, RelaysPerDataCentre, f.members.IsRelay())
	}
}

// TestPlannedMemory guards against records that exceed the memory of a node, 32 MB,
// when the fleet has its planned size. A node with the planned services but a
// small fleet has 23 MB resident, and the heap grows by half between garbage
// collections; this leaves 6 MB for the records.
func TestPlannedMemory(t *testing.T) {
	const nodes, services, limitMegabytes = 26000, 2500, 6
	before := heapBytes()
	f := newTestFleet()
	for i := range nodes {
		node := fmt.Sprintf("node-%05d", i)
		f.addNode(node, fmt.Sprintf("dc-%02d", i%21), 1)
		f.addEndpoint(node, 1, 0, func(e *wire.Endpoint) { e.Service = fmt.Sprintf("service-%d", i%services) })
	}
	grown := float64(heapBytes()-before) / (1 << 20)
	t.Logf("%d nodes with a backend server each take %.1f MB", nodes, grown)
	if grown > limitMegabytes {
		t.Errorf("the planned fleet takes %.1f MB, want at most %d", grown, limitMegabytes)
	}
	runtime.KeepAlive(f)
}

// heapBytes returns the bytes of live heap objects after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
