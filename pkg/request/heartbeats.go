package request

import (
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// Heartbeat applies an announcement that carries its number within the backend
// server's incarnation, so that a late one changes nothing. The argument known is
// the record that peers have of the backend server, or nil. Heartbeat reports
// whether the announcement made the backend server start to drain.
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
		// A restarted node restores a drain that it acknowledged before the
		// restart.
		record = proto.Clone(known).(*wire.Endpoint)
	}
	if b == nil && known != nil && known.GetBornUnixMs() == record.GetBornUnixMs() {
		record.RateLimit = known.RateLimit
	}
	wasDraining := b != nil && known.GetDraining()
	o.HandleAnnouncement(record)
	return record.GetDraining() && !wasDraining
}

// leaveNumber is the number of a leave. It is above the number of any announcement,
// so that every announcement of the same incarnation is late after a leave.
const leaveNumber = 1 << 62

// Leave drains a backend server for the rest of its incarnation, also when this
// node does not know the backend server yet. Leave returns false if the backend
// server was draining already or a newer incarnation is known. The argument born
// is the start of the incarnation in Unix milliseconds, or 0 if unknown.
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
		if known.GetNumber() == leaveNumber && known.GetBornUnixMs() == born {
			return false
		}
		record = proto.Clone(known).(*wire.Endpoint)
		wasInUse = !known.GetDraining()
	}
	record.Draining = true
	record.Number = leaveNumber
	o.HandleAnnouncement(record)
	return wasInUse
}

// Adopt applies a record that an earlier incarnation of this node published for a
// backend server, unless this node has received that announcement or a later one
// since, or knows another backend server. It reports whether the record was applied.
func (o *Owner) Adopt(record *wire.Endpoint) bool {
	for _, b := range o.Backends() {
		known := b.Record()
		if known.GetInstance() == record.GetInstance() && known.GetBornUnixMs() == record.GetBornUnixMs() {
			b.mu.Lock()
			b.adoptRateLimit(record, o.Now())
			b.mu.Unlock()
		}
		if known.GetInstance() != record.GetInstance() || !isLate(known, record) {
			return false
		}
	}
	o.HandleAnnouncement(proto.Clone(record).(*wire.Endpoint))
	if b := o.backend(record.GetInstance()); b != nil {
		// The record does not tell whether the backend server is cold now.
		o.assumeCold(b)
	}
	return true
}

func (o *Owner) backend(instance string) *Backend {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.backends[instance]
}

// isLate reports whether an announcement was made before the known one, by
// incarnation and then by number.
func isLate(record, known *wire.Endpoint) bool {
	if record.GetBornUnixMs() != known.GetBornUnixMs() {
		return record.GetBornUnixMs() < known.GetBornUnixMs()
	}
	return record.GetNumber() < known.GetNumber()
}
