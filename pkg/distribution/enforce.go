package distribution

import "github.com/hibiscusrock/hibiscusrock/pkg/event"

// RecordHeld records that a node announced that it holds the release with the given
// sequence, and enforces the newest release if enough nodes hold it now. local
// is true for nodes of this data centre.
func (h *Holder) RecordHeld(node string, sequence uint64, local bool) {
	now := announcedRelease{sequence: sequence, local: local}
	h.mu.Lock()
	changed := h.peers[node] != now
	h.peers[node] = now
	h.mu.Unlock()
	if changed {
		h.Tick()
	}
}

// Forget removes a node that died or left the fleet.
func (h *Holder) Forget(node string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.peers, node)
}

// HeldBy returns the sequence that a node last announced, or 0.
func (h *Holder) HeldBy(node string) uint64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.peers[node].sequence
}

// Start allows the node to enforce releases whose sequence is at least floor.
// Before that the node only collects releases, so that a restarted node cannot
// enforce a release older than the one it enforced before.
func (h *Holder) Start(floor uint64) {
	h.mu.Lock()
	h.floor = max(h.floor, floor)
	h.started = true
	h.mu.Unlock()
	h.Tick()
}

// Tick enforces the newest release if it may be enforced: Start was called, the
// release is newer than the one in force, and enough other nodes hold it.
func (h *Holder) Tick() {
	next := h.enforceNext(min(minHolders, h.alivePeers()))
	if next == nil {
		return
	}
	h.Count(`hibiscusrock_release_enforced_total`)
	h.Event(event.ConfigurationInForce).WithField("sequence", next.document.Sequence()).Info("release in force")
	h.onEnforced(next.table)
}

// enforceNext enforces the newest release if it may be enforced and returns it, and nil
// otherwise.
func (h *Holder) enforceNext(required int) *verifiedRelease {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := h.enforceable(required)
	if next != nil {
		h.enforced.Store(next.table)
	}
	return next
}

// enforceable returns the newest release if it may be enforced, and nil
// otherwise. required is the number of other nodes of the data centre that must
// hold the release. The caller holds h.mu.
func (h *Holder) enforceable(required int) *verifiedRelease {
	next := h.newest
	if next == nil || !h.started || next.document.Sequence() < h.floor {
		return nil
	}
	if next.document.Sequence() <= h.enforced.Load().Sequence() {
		return nil
	}
	holders := 0
	for _, peer := range h.peers {
		if peer.local && peer.sequence >= next.document.Sequence() {
			holders++
		}
	}
	if holders < required {
		return nil
	}
	return next
}
