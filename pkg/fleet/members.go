// Package fleet knows the nodes of the deployment and the backend servers on
// their hosts. Decisions are taken here; the node package does the I/O.
package fleet

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// RelaysPerDataCentre is the number of nodes of a data centre that watch the
	// platform and gossip with other data centres.
	RelaysPerDataCentre = 3
	suspicionTimeout    = 4 * time.Second
	deadRetention       = 10 * time.Minute
)

// Members is the membership of the fleet as one node sees it.
type Members struct {
	*common.Common
	store       *gossip.Store
	self        *wire.Member
	incarnation atomic.Uint64

	mu        sync.RWMutex
	byNode    map[string]*wire.Record
	suspected map[string]time.Time
}

// NewMembers returns the membership of the node self, which starts now.
func NewMembers(cm *common.Common, store *gossip.Store, self *wire.Member) *Members {
	m := &Members{
		Common:    cm,
		store:     store,
		self:      self,
		byNode:    make(map[string]*wire.Record),
		suspected: make(map[string]time.Time),
	}
	m.incarnation.Store(uint64(cm.Now().UnixMilli()))
	store.OnChange(m.observe)
	return m
}

// Incarnation orders the lives of this node; it is the epoch of its records.
func (m *Members) Incarnation() uint64 { return m.incarnation.Load() }

// Self returns this node's own member.
func (m *Members) Self() *wire.Member { return m.self }

func memberKey(node string) string { return gossip.PrefixMember + node }

// Join announces this node as alive.
func (m *Members) Join() {
	m.setSelf(wire.MemberState_MEMBER_STATE_ALIVE, 0)
}

// Leave announces that this node stops.
func (m *Members) Leave() {
	step := uint64(0)
	if r := m.store.Get(memberKey(m.self.GetNode())); r != nil {
		step = r.GetStep()
	}
	m.setSelf(wire.MemberState_MEMBER_STATE_LEFT, step+1)
}

func (m *Members) setSelf(state wire.MemberState, step uint64) {
	member := withState(m.self, state)
	m.store.Set(m.newRecord(member, m.incarnation.Load(), step))
}

func withState(member *wire.Member, state wire.MemberState) *wire.Member {
	return &wire.Member{Node: member.GetNode(), DataCentre: member.GetDataCentre(), Address: member.GetAddress(), LinkMbps: member.GetLinkMbps(), State: state}
}

func (m *Members) newRecord(member *wire.Member, epoch, step uint64) *wire.Record {
	r := &wire.Record{Key: memberKey(member.GetNode()), Epoch: epoch, Step: step, Body: &wire.Record_Member{Member: member}}
	if isGone(member.GetState()) {
		r.ExpiresUnixMs = m.Now().Add(deadRetention).UnixMilli()
	}
	return r
}

func isGone(state wire.MemberState) bool {
	return state == wire.MemberState_MEMBER_STATE_DEAD || state == wire.MemberState_MEMBER_STATE_LEFT
}

// observe follows member records and refutes what others say of this node.
func (m *Members) observe(r *wire.Record) {
	member := r.GetMember()
	if member == nil {
		return
	}
	if member.GetNode() == m.self.GetNode() && m.refutes(r) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	node := member.GetNode()
	m.byNode[node] = r
	switch member.GetState() {
	case wire.MemberState_MEMBER_STATE_SUSPECT:
		if _, ok := m.suspected[node]; !ok {
			m.suspected[node] = m.Now()
		}
	default:
		delete(m.suspected, node)
	}
}

func (m *Members) refutes(r *wire.Record) bool {
	member := r.GetMember()
	sameLife := member.GetState() == wire.MemberState_MEMBER_STATE_ALIVE && r.GetEpoch() == m.incarnation.Load()
	sameAddress := member.GetAddress() == m.self.GetAddress()
	leaving := member.GetState() == wire.MemberState_MEMBER_STATE_LEFT && r.GetEpoch() == m.incarnation.Load()
	if (sameLife && sameAddress) || leaving {
		return false
	}
	if !sameAddress {
		m.Count(`hibiscusrock_member_duplicate_names_total`)
		m.Event(event.PeerNameTaken).WithField("other", member.GetAddress()).Error("another node uses this node's name; give each node its own name in the settings")
	}
	m.Count(`hibiscusrock_member_refutations_total`)
	m.incarnation.Store(max(m.incarnation.Load(), r.GetEpoch()))
	m.setSelf(wire.MemberState_MEMBER_STATE_ALIVE, r.GetStep()+1)
	return true
}

// Suspect records that a probe of node failed.
func (m *Members) Suspect(node string) {
	m.accuse(node, wire.MemberState_MEMBER_STATE_ALIVE, wire.MemberState_MEMBER_STATE_SUSPECT)
}

func (m *Members) accuse(node string, from, to wire.MemberState) {
	r := m.store.Get(memberKey(node))
	if r == nil || r.GetMember().GetState() != from || node == m.self.GetNode() {
		return
	}
	member := withState(r.GetMember(), to)
	if m.store.Set(m.newRecord(member, r.GetEpoch(), r.GetStep()+1)) {
		m.Count(`hibiscusrock_member_accusations_total{state="` + to.String() + `"}`)
		m.Event(event.PeerChanged).WithField("member", node).WithField("state", to.String()).Info("member changed state")
	}
}

// Tick declares members dead whose suspicion nobody refuted in time.
func (m *Members) Tick() {
	now := m.Now()
	var expired []string
	m.mu.RLock()
	for node, since := range m.suspected {
		if now.Sub(since) >= suspicionTimeout {
			expired = append(expired, node)
		}
	}
	m.mu.RUnlock()
	for _, node := range expired {
		m.accuse(node, wire.MemberState_MEMBER_STATE_SUSPECT, wire.MemberState_MEMBER_STATE_DEAD)
	}
}

// Forget drops a member whose record expired.
func (m *Members) Forget(r *wire.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if member := r.GetMember(); member != nil && m.byNode[member.GetNode()] == r {
		delete(m.byNode, member.GetNode())
	}
}

// State returns the state of a node and the epoch of its present life.
func (m *Members) State(node string) (wire.MemberState, uint64, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r, ok := m.byNode[node]
	if !ok {
		return 0, 0, false
	}
	return r.GetMember().GetState(), r.GetEpoch(), true
}

// All returns every known member.
func (m *Members) All() []*wire.Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	members := make([]*wire.Member, 0, len(m.byNode))
	for _, r := range m.byNode {
		members = append(members, r.GetMember())
	}
	return members
}

// Len returns the number of known members.
func (m *Members) Len() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.byNode)
}

// Peers returns the other nodes of this data centre that are not gone.
func (m *Members) Peers() []*wire.Member {
	return m.filter(func(member *wire.Member) bool {
		return member.GetDataCentre() == m.self.GetDataCentre()
	})
}

// Known returns the other nodes of this data centre that did not leave on their
// own, those that are taken for dead included.
func (m *Members) Known() []*wire.Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var known []*wire.Member
	for node, r := range m.byNode {
		member := r.GetMember()
		left := member.GetState() == wire.MemberState_MEMBER_STATE_LEFT
		if node != m.self.GetNode() && !left && member.GetDataCentre() == m.self.GetDataCentre() {
			known = append(known, member)
		}
	}
	return known
}

// Remote returns the nodes of other data centres that are not gone.
func (m *Members) Remote() []*wire.Member {
	return m.filter(func(member *wire.Member) bool {
		return member.GetDataCentre() != m.self.GetDataCentre()
	})
}

func (m *Members) filter(want func(*wire.Member) bool) []*wire.Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var found []*wire.Member
	for node, r := range m.byNode {
		member := r.GetMember()
		if node != m.self.GetNode() && !isGone(member.GetState()) && want(member) {
			found = append(found, member)
		}
	}
	return found
}

// IsRelay reports whether this node is among the relays of its data centre: the
// members that rank lowest by hash. No agreement is needed, because one relay
// too many only costs a watch, and ranks differ only while membership does.
func (m *Members) IsRelay() bool {
	own := rank(m.self.GetNode())
	lower := 0
	for _, member := range m.Peers() {
		alive := member.GetState() == wire.MemberState_MEMBER_STATE_ALIVE
		if alive && cmp.Or(cmp.Compare(rank(member.GetNode()), own), cmp.Compare(member.GetNode(), m.self.GetNode())) < 0 {
			lower++
		}
	}
	return lower < RelaysPerDataCentre
}

// Relays returns the members that rank lowest, which are likely relays, out of
// members of one data centre.
func Relays(members []*wire.Member) []*wire.Member {
	slices.SortFunc(members, func(a, b *wire.Member) int {
		return cmp.Or(cmp.Compare(rank(a.GetNode()), rank(b.GetNode())), cmp.Compare(a.GetNode(), b.GetNode()))
	})
	return members[:min(len(members), RelaysPerDataCentre)]
}

func rank(node string) uint64 { return xxhash.Sum64String("relay/" + node) }
