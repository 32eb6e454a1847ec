package request

import (
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// Heartbeat takes an announcement in whose place in the life of the backend
// server is known, so that a late one changes nothing. The argument known is
// what peers know of the backend server, or nil. It reports whether the backend
// server began to leave by it.
func (o *Owner) Heartbeat(record, known *wire.Endpoint) bool {
	o.mu.RLock()
	b := o.backends[record.GetInstance()]
	o.mu.RUnlock()
	if b != nil {
		known = b.Record()
	}
	if known != nil && isLate(record, known) {
		o.Count(`hibiscusrock_announcements_late_total`)
		if b != nil || !known.GetDraining() {
			return false
		}
		// A restarted node keeps what it had acknowledged before.
		record = proto.Clone(known).(*wire.Endpoint)
	}
	wasDraining := b != nil && known.GetDraining()
	o.Announce(record)
	return record.GetDraining() && !wasDraining
}

// leftNumber is above every number of an announcement: nothing follows a leave.
const leftNumber = 1 << 62

// Leave takes a backend server out of use for the rest of its life, also when
// this node does not know it yet. It reports whether it was in use. The
// argument born is the start of its life in Unix milliseconds, or 0.
func (o *Owner) Leave(instance string, born int64) bool {
	o.mu.RLock()
	b := o.backends[instance]
	o.mu.RUnlock()
	record := &wire.Endpoint{Instance: instance, BornUnixMs: born}
	if born == 0 {
		record.BornUnixMs = o.Now().UnixMilli()
	}
	wasInUse := true
	if b != nil {
		known := b.Record()
		if born != 0 && born < known.GetBornUnixMs() {
			return false
		}
		record = proto.Clone(known).(*wire.Endpoint)
		wasInUse = !known.GetDraining()
	}
	record.Draining = true
	record.Number = leftNumber
	o.Announce(record)
	return wasInUse
}

// Adopt takes over what an earlier life of this node was told of a backend
// server, unless this node was told more since, and reports whether it did.
func (o *Owner) Adopt(record *wire.Endpoint) bool {
	for _, b := range o.Backends() {
		known := b.Record()
		if known.GetInstance() != record.GetInstance() || !isLate(known, record) {
			return false
		}
	}
	o.Announce(proto.Clone(record).(*wire.Endpoint))
	return true
}

// isLate reports whether an announcement was made before the one known.
func isLate(record, known *wire.Endpoint) bool {
	if record.GetBornUnixMs() != known.GetBornUnixMs() {
		return record.GetBornUnixMs() < known.GetBornUnixMs()
	}
	return record.GetNumber() < known.GetNumber()
}
