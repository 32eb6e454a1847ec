package node

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// ranks returns this node's rank for a task among the live nodes of the
// deployment and among those of its data centre, 0 being the first. The order
// differs from task to task; hosts with faster links come first.
func (n *Node) ranks(task string) (all, local int) {
	own := n.members.Self()
	for _, member := range n.members.All() {
		alive := member.GetState() == wire.MemberState_MEMBER_STATE_ALIVE
		if !alive || compareForTask(task, member, own) >= 0 {
			continue
		}
		all++
		if member.GetDataCentre() == n.settings.DataCentre {
			local++
		}
	}
	return all, local
}

// compareForTask returns a negative number when a ranks before b for a task.
func compareForTask(task string, a, b *wire.Member) int {
	hash := func(m *wire.Member) uint64 { return xxhash.Sum64String(task + "/" + m.GetNode()) }
	return cmp.Or(cmp.Compare(b.GetLinkMbps(), a.GetLinkMbps()), cmp.Compare(hash(a), hash(b)))
}
