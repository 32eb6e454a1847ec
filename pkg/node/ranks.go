package node

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// watchersPerDataCentre is the least number of nodes of a data centre that watch the
	// store, so that one may fail. The first of them have a short wait: one node in each
	// nodesPerShortWait, because the others of the data centre ask them.
	watchersPerDataCentre = 2
	nodesPerShortWait     = 100
	// turnsPerWatcher bounds the nodes that watch in turn while those before them cannot
	// reach the store.
	turnsPerWatcher = 4
)

// rank returns this node's rank for a task among the live nodes of the deployment, 0 being
// the first. The order differs from task to task; hosts with faster links come first.
func (n *Node) rank(task string) int { return len(n.ahead(task, n.members.All())) }

// watchRank returns this node's rank among the live nodes of its data centre for the watch of
// the store, without those that cannot reach it.
func (n *Node) watchRank() int {
	ahead := n.ahead("watch", n.members.Peers())
	if len(ahead) >= turnsPerWatcher*watchers(n.countAlivePeers()+1) {
		return len(ahead)
	}
	return len(slices.DeleteFunc(ahead, (*wire.Member).GetStoreLost))
}

// watchTurn reports whether this node is one of those of its data centre that watch the store.
func (n *Node) watchTurn() bool { return n.watchRank() < watchers(n.countAlivePeers()+1) }

// watchers returns the number of nodes that watch the store in a data centre with the given
// number of nodes, and shortWatchers that of those with a short wait.
func watchers(nodes int) int      { return max(watchersPerDataCentre, shortWatchers(nodes)) }
func shortWatchers(nodes int) int { return 1 + nodes/nodesPerShortWait }

// ahead returns those of the members that are alive and rank before this node for a task.
func (n *Node) ahead(task string, members []*wire.Member) []*wire.Member {
	own := n.members.Self()
	return slices.DeleteFunc(members, func(member *wire.Member) bool {
		return member.GetState() != wire.MemberState_MEMBER_STATE_ALIVE || compareForTask(task, member, own) >= 0
	})
}

// compareForTask returns a negative number when a ranks before b for a task.
func compareForTask(task string, a, b *wire.Member) int {
	hash := func(m *wire.Member) uint64 { return xxhash.Sum64String(task + "/" + m.GetNode()) }
	return cmp.Or(cmp.Compare(b.GetLinkMbps(), a.GetLinkMbps()), cmp.Compare(hash(a), hash(b)))
}
