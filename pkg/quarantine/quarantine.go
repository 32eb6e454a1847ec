// Package quarantine finds requests that crash the backend servers that run
// them. Nodes share their marks against requests by gossip, so that all of them
// refuse such a request.
package quarantine

import (
	"bytes"
	"encoding/hex"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// A mark weighs culpritWeight if no other request was as likely to cause the crash.
	culpritWeight = 2
	markRetention = 10 * time.Minute
	// maxMarks bounds the marks above which only requests that have one already, and
	// those without another likely cause, get further ones.
	maxMarks = 4096
)

// Fingerprint returns a hexadecimal hash that is the same for a request and its
// resends. It covers the service, method, target and body.
func Fingerprint(service, method, target string, body []byte) string {
	return FingerprintOf(service, method, target, bytes.NewReader(body))
}

// FingerprintOf is Fingerprint with a reader of the body, which does not fail.
func FingerprintOf(service, method, target string, body io.Reader) string {
	d := xxhash.New()
	// Claims in the store hold hashes with these separators.
	_, _ = d.WriteString(service + "\x00\x00" + method + "\x00" + target + "\x00")
	_, _ = io.Copy(d, body)
	return hex.EncodeToString(d.Sum(nil))
}

// mark is a crash record and the time at which this node received it.
type mark struct {
	record *wire.Record
	seen   time.Time
}

// CrashTracker holds the marks against requests in the whole fleet. It is safe for
// concurrent use.
type CrashTracker struct {
	*common.Common
	store *gossip.Store
	node  string
	// epoch returns the epoch of the records that this node writes.
	epoch func() uint64

	mu sync.Mutex
	// marks holds the marks by fingerprint and record key, and count their number.
	marks     map[string]map[string]mark
	count     int
	survivors map[string]survivor
}

// NewCrashTracker returns a crash tracker that shares its marks through store.
func NewCrashTracker(cm *common.Common, store *gossip.Store, node string, epoch func() uint64) *CrashTracker {
	t := &CrashTracker{
		Common:    cm,
		store:     store,
		node:      node,
		epoch:     epoch,
		marks:     make(map[string]map[string]mark),
		survivors: make(map[string]survivor),
	}
	store.OnChange(t.observe)
	return t
}

func (t *CrashTracker) observe(r *wire.Record) {
	crash := r.GetCrash()
	if crash == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	byKey := t.marks[crash.GetFingerprint()]
	if byKey == nil {
		byKey = make(map[string]mark)
		t.marks[crash.GetFingerprint()] = byKey
	}
	m, known := byKey[r.GetKey()]
	if !known {
		m.seen = t.Now()
		t.count++
	}
	m.record = r
	byKey[r.GetKey()] = m
}

// Forget removes an expired record from the marks. Records other than crashes are
// ignored.
func (t *CrashTracker) Forget(r *wire.Record) {
	crash := r.GetCrash()
	if crash == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	byKey := t.marks[crash.GetFingerprint()]
	if _, known := byKey[r.GetKey()]; known {
		t.count--
	}
	delete(byKey, r.GetKey())
	if len(byKey) == 0 {
		delete(t.marks, crash.GetFingerprint())
	}
}

// Blocked returns the time for which a request must not run, or 0.
func (t *CrashTracker) Blocked(fingerprint string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	return max(t.suspicionOf(fingerprint).blockedUntil(now).Sub(now), 0)
}

// IsSuspect reports whether a request may have caused a crash, so that it must not run
// on a backend server beside another suspect. The argument crashes is the number of its
// earlier attempts that ended in a crash, of which this node may not know yet.
func (t *CrashTracker) IsSuspect(fingerprint string, crashes int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspicionOf(fingerprint)
	if s.presumedHarmless || t.isPresumedHarmless(fingerprint) {
		return s.weight >= blockWeight
	}
	return max(s.weight, crashes) > 0
}

// Marks returns the keys of the marks against a request, to be passed to
// RecordSurvival when the run that begins now has ended.
func (t *CrashTracker) Marks(fingerprint string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	byKey := t.marks[fingerprint]
	if len(byKey) == 0 {
		return nil
	}
	keys := make([]string, 0, len(byKey))
	for key := range byKey {
		keys = append(keys, key)
	}
	return keys
}

// RecordCrash marks the requests that most likely caused a crash, out of those that the
// backend server had been given. The incarnation of the backend server is part of the
// records' keys, so that a crash that is reported twice counts once. The argument evidence
// is logged; it says what showed the crash.
func (t *CrashTracker) RecordCrash(incarnation, evidence string, suspects []Suspect) {
	suspects = distinct(suspects)
	if len(suspects) == 0 {
		return
	}
	t.Count(`hibiscusrock_crashes_counted_total`)
	for _, s := range t.likely(suspects) {
		if s.weight < culpritWeight && !t.hasRoom(s.Fingerprint) {
			t.Count(`hibiscusrock_crash_marks_dropped_total`)
			continue
		}
		t.addMark(incarnation, s)
		t.logMark(incarnation, evidence, s)
	}
}

func (t *CrashTracker) addMark(incarnation string, s weighted) {
	t.mu.Lock()
	isPresumedHarmless := t.isPresumedHarmless(s.Fingerprint)
	t.mu.Unlock()
	t.store.Set(&wire.Record{
		Key:           gossip.PrefixCrash + s.Fingerprint + "/" + t.node + "/" + incarnation,
		Epoch:         t.epoch(),
		ExpiresUnixMs: t.Now().Add(markRetention).UnixMilli(),
		Body:          &wire.Record_Crash{Crash: &wire.Crash{Fingerprint: s.Fingerprint, Node: t.node, Weight: s.weight, PresumedHarmless: isPresumedHarmless}},
	})
}

// hasRoom reports whether a request may get a mark of weight 1.
func (t *CrashTracker) hasRoom(fingerprint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count < maxMarks || len(t.marks[fingerprint]) > 0
}

func (t *CrashTracker) logMark(incarnation, evidence string, s weighted) {
	t.mu.Lock()
	total := t.suspicionOf(s.Fingerprint)
	t.mu.Unlock()
	if s.Answered && total.marks == 1 {
		return
	}
	t.Event(event.CrashCounted).WithField("request", s.RequestID).WithField("fingerprint", s.Fingerprint).WithField("incarnation", incarnation).WithField("evidence", evidence).
		WithField("answered", s.Answered).WithField("weight", s.weight).WithField("open_weight", total.weight).WithField("open_marks", total.marks).WithField("presumed_harmless", total.presumedHarmless).Warn("crash counts against a request")
}
