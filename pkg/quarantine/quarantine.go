// Package quarantine finds requests that crash the backend servers which run
// them, and refuses such a request everywhere.
package quarantine

import (
	"encoding/hex"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// CrashLimit is the number of backend servers that a request may crash.
	CrashLimit       = 2
	retention        = 10 * time.Minute
	successRetention = time.Minute
	successesKept    = 4096
)

// Fingerprint identifies a request over its resends: by its idempotency key if
// it has one, else by its method, target and body.
func Fingerprint(service, key, method, target string, body []byte) string {
	d := xxhash.New()
	_, _ = d.WriteString(service + "\x00" + key)
	if key == "" {
		_, _ = d.WriteString("\x00" + method + "\x00" + target + "\x00")
		_, _ = d.Write(body)
	}
	return hex.EncodeToString(d.Sum(nil))
}

// Ward counts crashes by fingerprint over the whole fleet.
type Ward struct {
	*common.Common
	store *gossip.Store
	node  string
	epoch func() uint64

	mu        sync.Mutex
	counts    map[string]map[string]*wire.Record
	succeeded map[string]time.Time
}

// NewWard returns a ward that shares its counts through store.
func NewWard(cm *common.Common, store *gossip.Store, node string, epoch func() uint64) *Ward {
	w := &Ward{
		Common:    cm,
		store:     store,
		node:      node,
		epoch:     epoch,
		counts:    make(map[string]map[string]*wire.Record),
		succeeded: make(map[string]time.Time),
	}
	store.OnChange(w.observe)
	return w
}

func (w *Ward) observe(r *wire.Record) {
	crash := r.GetCrash()
	if crash == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	byKey := w.counts[crash.GetFingerprint()]
	if byKey == nil {
		byKey = make(map[string]*wire.Record)
		w.counts[crash.GetFingerprint()] = byKey
	}
	byKey[r.GetKey()] = r
}

// Forget drops an expired record.
func (w *Ward) Forget(r *wire.Record) {
	crash := r.GetCrash()
	if crash == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	byKey := w.counts[crash.GetFingerprint()]
	delete(byKey, r.GetKey())
	if len(byKey) == 0 {
		delete(w.counts, crash.GetFingerprint())
	}
}

// Blocked reports whether a request crashed too many backend servers.
func (w *Ward) Blocked(fingerprint string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	crashes := 0
	for _, r := range w.counts[fingerprint] {
		crashes += int(r.GetCrash().GetCount())
	}
	return crashes >= CrashLimit
}

// Succeeded notes that a request ran to its end, which clears it of crashes
// that merely happened while it ran.
func (w *Ward) Succeeded(fingerprint string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.succeeded) >= successesKept {
		w.dropOldSuccesses()
	}
	w.succeeded[fingerprint] = w.Now()
}

func (w *Ward) dropOldSuccesses() {
	before := w.Now().Add(-successRetention)
	for fingerprint, at := range w.succeeded {
		if at.Before(before) {
			delete(w.succeeded, fingerprint)
		}
	}
	if len(w.succeeded) >= successesKept {
		clear(w.succeeded)
	}
}

// Crashed counts the crash of one backend server while it ran a request. Life
// names the backend server's process, so that one crash counts once. A request
// that ran to its end a short while ago is not counted.
func (w *Ward) Crashed(fingerprint, life string) {
	w.mu.Lock()
	at, innocent := w.succeeded[fingerprint]
	innocent = innocent && w.Now().Sub(at) < successRetention
	w.mu.Unlock()
	if innocent {
		return
	}
	w.Count(`hibiscusrock_crashes_counted_total`)
	w.store.Set(&wire.Record{
		Key:           gossip.PrefixCrash + fingerprint + "/" + w.node + "/" + life,
		Epoch:         w.epoch(),
		ExpiresUnixMs: w.Now().Add(retention).UnixMilli(),
		Body:          &wire.Record_Crash{Crash: &wire.Crash{Fingerprint: fingerprint, Node: w.node, Count: 1}},
	})
}
