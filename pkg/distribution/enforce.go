package distribution

import "github.com/hibiscusrock/hibiscusrock/pkg/event"

// Heard records that a node holds a sequence; local says whether it is of this
// data centre.
func (h *Holder) Heard(node string, sequence uint64, local bool) {
	now := holding{sequence: sequence, local: local}
	h.mu.Lock()
	changed := h.peers[node] != now
	h.peers[node] = now
	h.mu.Unlock()
	if changed {
		h.Tick()
	}
}

// Forget drops a node that is gone.
func (h *Holder) Forget(node string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.peers, node)
}

// HeldBy returns the sequence that a node was last heard to hold.
func (h *Holder) HeldBy(node string) uint64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.peers[node].sequence
}

// Start allows enforcing, from the given sequence on. Until then the node only
// collects, so that a restart cannot bring an older release back into force.
func (h *Holder) Start(floor uint64) {
	h.mu.Lock()
	h.floor = max(h.floor, floor)
	h.released = true
	h.mu.Unlock()
	h.Tick()
}

// Tick enforces the newest release once enough other nodes hold it.
func (h *Holder) Tick() {
	need := min(holdersBeforeEnforcing, h.alivePeers())
	h.mu.Lock()
	next := h.enforceable(need)
	if next != nil {
		h.enforced.Store(next.table)
	}
	h.mu.Unlock()
	if next == nil {
		return
	}
	h.Count(`hibiscusrock_release_enforced_total`)
	h.Event(event.ConfigurationInForce).WithField("sequence", next.document.Sequence()).Info("release in force")
	h.onEnforced(next.table)
}

func (h *Holder) enforceable(need int) *held {
	next := h.newest
	if next == nil || !h.released || next.document.Sequence() < h.floor {
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
	if holders < need {
		return nil
	}
	return next
}
