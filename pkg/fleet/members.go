// Package fleet keeps the membership of the deployment and an index of the backend
// servers on its hosts. It does no I/O; the node package probes other nodes and
// exchanges records.
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
	// RelaysPerDataCentre is the number of nodes in each data centre that watch
	// the platform and exchange gossip with other data centres.
	RelaysPerDataCentre = 3
	// suspicionTimeout is the time that a suspected node has to refute the
	// suspicion before it is declared dead.
	suspicionTimeout = 4 * time.Second
	// deadRetention is the time after which the record of a member that died or
	// left expires.
	deadRetention = 10 * time.Minute
)

// Members is one node's view of the membership of the fleet. It is safe for concurrent use.
type Members struct {
	*common.Common
	store       *gossip.Store
	self        *wire.Member
	incarnation atomic.Uint64
	// selfMu orders the changes that this node makes to its own record.
	selfMu sync.Mutex
	// storeLost is set while this node cannot reach the store.
	storeLost atomic.Bool

	mu        sync.RWMutex
	byNode    map[string]*wire.Record
	suspected map[string]time.Time
}

// NewMembers returns the membership view of the node self and starts a new
// incarnation of that node, numbered by the time in milliseconds. The node is
// announced by Join.
func NewMembers(cm *common.Common, store *gossip.Store, self *wire.Member) *Members {
	m := &Members{
		Common:    cm,
		store:     store,
		self:      self,
		byNode:    make(map[string]*wire.Record),
		suspected: make(map[string]time.Time),
	}
	m.incarnation.Store(uint64(cm.Now().UnixMilli()))
	store.OnChange(m.applyRecord)
	return m
}

// Incarnation returns the number of this node's current incarnation, which is the
// epoch of its records. Later incarnations have higher numbers.
func (m *Members) Incarnation() uint64 { return m.incarnation.Load() }

// Self returns this node's member entry.
func (m *Members) Self() *wire.Member { return m.self }

func memberKey(node string) string { return gossip.PrefixMember + node }

// Join announces this node as alive.
func (m *Members) Join() {
	m.setSelf(wire.MemberState_MEMBER_STATE_ALIVE, 0)
}

// Leave announces that this node leaves the fleet.
func (m *Members) Leave() {
	m.selfMu.Lock()
	defer m.selfMu.Unlock()
	step := uint64(0)
	if r := m.store.Get(memberKey(m.self.GetNode())); r != nil {
		step = r.GetStep()
	}
	m.setSelf(wire.MemberState_MEMBER_STATE_LEFT, step+1)
}

// AnnounceStoreLost announces whether this node cannot reach the store, if that has
// changed.
func (m *Members) AnnounceStoreLost(lost bool) {
	m.selfMu.Lock()
	defer m.selfMu.Unlock()
	if m.storeLost.Swap(lost) == lost {
		return
	}
	if r := m.store.Get(memberKey(m.self.GetNode())); r.GetMember().GetState() == wire.MemberState_MEMBER_STATE_ALIVE {
		m.setSelf(wire.MemberState_MEMBER_STATE_ALIVE, r.GetStep()+1)
	}
}

func (m *Members) setSelf(state wire.MemberState, step uint64) {
	member := withState(m.self, state)
	member.StoreLost = m.storeLost.Load()
	m.store.Set(m.newRecord(member, m.incarnation.Load(), step))
}

func withState(member *wire.Member, state wire.MemberState) *wire.Member {
	return &wire.Member{Node: member.GetNode(), DataCentre: member.GetDataCentre(), Address: member.GetAddress(), LinkMbps: member.GetLinkMbps(), State: state, StoreLost: member.GetStoreLost()}
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

// applyRecord updates the view with a changed member record and refutes false states of this node.
func (m *Members) applyRecord(r *wire.Record) {
	member := r.GetMember()
	if member == nil {
		return
	}
	if member.GetNode() == m.self.GetNode() && m.refute(r) {
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

// refute announces this node as alive with a newer record if r, a record of this
// node, is wrong: it has another address, or declares the node suspect or dead,
// or is of another incarnation. It returns false if r is right or announces that
// this incarnation leaves.
func (m *Members) refute(r *wire.Record) bool {
	member := r.GetMember()
	isCurrent := member.GetState() == wire.MemberState_MEMBER_STATE_ALIVE && r.GetEpoch() == m.incarnation.Load()
	sameAddress := member.GetAddress() == m.self.GetAddress()
	leaving := member.GetState() == wire.MemberState_MEMBER_STATE_LEFT && r.GetEpoch() == m.incarnation.Load()
	if (isCurrent && sameAddress) || leaving {
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

// Suspect announces that node is suspected to be dead after a failed probe.
func (m *Members) Suspect(node string) {
	m.changeState(node, wire.MemberState_MEMBER_STATE_ALIVE, wire.MemberState_MEMBER_STATE_SUSPECT)
}

// changeState announces a changed state of another node. It does nothing for this
// node, or if the node's recorded state is not from.
func (m *Members) changeState(node string, from, to wire.MemberState) {
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

// Tick declares members dead that have been suspect for suspicionTimeout.
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
		m.changeState(node, wire.MemberState_MEMBER_STATE_SUSPECT, wire.MemberState_MEMBER_STATE_DEAD)
	}
}

// Forget removes the member of an expired record, unless a newer record replaced it.
func (m *Members) Forget(r *wire.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if member := r.GetMember(); member != nil && m.byNode[member.GetNode()] == r {
		delete(m.byNode, member.GetNode())
	}
}

// State returns the state of a node and the epoch of its current incarnation. It
// returns false for an unknown node.
func (m *Members) State(node string) (wire.MemberState, uint64, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r, ok := m.byNode[node]
	if !ok {
		return 0, 0, false
	}
	return r.GetMember().GetState(), r.GetEpoch(), true
}

// linkMbps returns the bandwidth of a node's link in Mbit/s, or 0 if it is not known.
func (m *Members) linkMbps(node string) uint32 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.byNode[node].GetMember().GetLinkMbps()
}

// All returns every member with a record, this node and dead members included.
func (m *Members) All() []*wire.Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	members := make([]*wire.Member, 0, len(m.byNode))
	for _, r := range m.byNode {
		members = append(members, r.GetMember())
	}
	return members
}

// Len returns the number of members that All returns.
func (m *Members) Len() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.byNode)
}

// Peers returns the other nodes of this data centre that neither died nor left.
func (m *Members) Peers() []*wire.Member {
	return m.filter(func(member *wire.Member) bool {
		return member.GetDataCentre() == m.self.GetDataCentre()
	})
}

// PeersWithDead returns the other nodes of this data centre that did not announce that
// they leave. Unlike Peers it includes nodes that were declared dead.
func (m *Members) PeersWithDead() []*wire.Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var peers []*wire.Member
	for node, r := range m.byNode {
		member := r.GetMember()
		left := member.GetState() == wire.MemberState_MEMBER_STATE_LEFT
		if node != m.self.GetNode() && !left && member.GetDataCentre() == m.self.GetDataCentre() {
			peers = append(peers, member)
		}
	}
	return peers
}

// Gone returns the other nodes that died or left, of this data centre and of the
// others.
func (m *Members) Gone() (local, remote []*wire.Member) {
	for _, member := range m.All() {
		switch {
		case !isGone(member.GetState()) || member.GetNode() == m.self.GetNode():
		case member.GetDataCentre() == m.self.GetDataCentre():
			local = append(local, member)
		default:
			remote = append(remote, member)
		}
	}
	return local, remote
}

// IsGone reports whether a member died or left.
func IsGone(member *wire.Member) bool { return isGone(member.GetState()) }

// Remote returns the nodes of other data centres that neither died nor left.
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

// IsRelay reports whether this node is a relay of its data centre: one of the
// RelaysPerDataCentre members that are alive and whose hash is lowest. The nodes
// need no consensus on this. They choose different relays only while their views
// of the membership differ, and one relay too many costs only one more watch.
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

// Relays returns the likely relays among members, all of one data centre: those
// whose hash is lowest. It sorts members in place.
func Relays(members []*wire.Member) []*wire.Member {
	slices.SortFunc(members, func(a, b *wire.Member) int {
		return cmp.Or(cmp.Compare(rank(a.GetNode()), rank(b.GetNode())), cmp.Compare(a.GetNode(), b.GetNode()))
	})
	return members[:min(len(members), RelaysPerDataCentre)]
}

// rank returns the hash of a node's name by which relays are chosen.
func rank(node string) uint64 { return xxhash.Sum64String("relay/" + node) }
