// Package gossip keeps the records that nodes replicate among themselves:
// members, endpoints, halts, traffic shares, evidence and crash counts. Records
// of one key are ordered by version, so replicas converge in any order of
// delivery. The package does no I/O.
package gossip

import (
	"bytes"
	"math/bits"
	"strings"
	"sync"
	"time"
	"unique"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	shardCount = 16
	// BucketCount is the number of digests that a comparison exchanges.
	BucketCount = 256
	// rumourBonus is added to the logarithm of the number of records' readers.
	rumourBonus = 3
)

// Prefixes of the keys by kind of record.
const (
	PrefixMember   = "m/"
	PrefixEndpoint = "e/"
	PrefixHalt     = "h/"
	PrefixCrash    = "c/"
	PrefixShare    = "s/"
	PrefixEvidence = "v/"
	PrefixRollout  = "r/"
)

// Store is the replica of one node.
type Store struct {
	shards    [shardCount]shard
	rumours   rumours
	now       func() time.Time
	onChange  []func(*wire.Record)
	onSource  []func(*wire.Record)
	sendLimit func() int
}

type shard struct {
	mu      sync.RWMutex
	records map[string]*wire.Record
	digests [BucketCount / shardCount]uint64
}

// Option changes a Store under construction.
type Option func(*Store)

// WithClock replaces the wall clock.
func WithClock(now func() time.Time) Option {
	return func(s *Store) { s.now = now }
}

// WithAudience sets the function that tells how many nodes hear a rumour.
func WithAudience(size func() int) Option {
	return func(s *Store) { s.sendLimit = func() int { return bits.Len(uint(size())) + rumourBonus } }
}

// New returns an empty store.
func New(opts ...Option) *Store {
	s := &Store{now: time.Now, sendLimit: func() int { return rumourBonus }}
	for i := range s.shards {
		s.shards[i].records = make(map[string]*wire.Record)
	}
	s.rumours.sends = make(map[string]int)
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// OnChange adds a function called after a record is stored. It must be set
// before the store is used, and must not block.
func (s *Store) OnChange(changed func(*wire.Record)) { s.onChange = append(s.onChange, changed) }

// OnLocal adds a function called after this node itself sets a record.
func (s *Store) OnLocal(changed func(*wire.Record)) { s.onSource = append(s.onSource, changed) }

// Set stores a record that this node wrote and spreads it.
func (s *Store) Set(r *wire.Record) bool {
	if !s.merge(r) {
		return false
	}
	if isAddressed(r.GetKey()) {
		return true
	}
	s.rumours.add(r.GetKey())
	for _, changed := range s.onSource {
		changed(r)
	}
	return true
}

// Apply merges records from a peer and returns how many were new. New records
// are spread further when rumour is true.
func (s *Store) Apply(records []*wire.Record, rumour bool) int {
	fresh := 0
	for _, r := range records {
		if !s.merge(r) {
			continue
		}
		fresh++
		if rumour && !isAddressed(r.GetKey()) {
			s.rumours.add(r.GetKey())
		}
	}
	return fresh
}

func (s *Store) merge(r *wire.Record) bool {
	if r.GetKey() == "" || r.GetBody() == nil || s.expired(r) {
		return false
	}
	shareStrings(r)
	bucket := bucketOf(r.GetKey())
	sh := &s.shards[bucket%shardCount]
	sh.mu.Lock()
	old := sh.records[r.GetKey()]
	if old != nil && !Newer(r, old) {
		sh.mu.Unlock()
		return false
	}
	sh.records[r.GetKey()] = r
	if isDurable(r.GetKey()) {
		sh.digests[bucket/shardCount] ^= digestOf(old) ^ digestOf(r)
	}
	sh.mu.Unlock()
	for _, changed := range s.onChange {
		changed(r)
	}
	return true
}

// shareStrings lets the records of a fleet share the names that repeat in them.
func shareStrings(r *wire.Record) {
	if member := r.GetMember(); member != nil {
		member.DataCentre = unique.Make(member.DataCentre).Value()
	}
	if e := r.GetEndpoint(); e != nil {
		e.DataCentre = unique.Make(e.DataCentre).Value()
		e.Service = unique.Make(e.Service).Value()
		e.Version = unique.Make(e.Version).Value()
	}
}

// Newer reports whether a replaces b, a record of the same key.
func Newer(a, b *wire.Record) bool {
	if a.GetEpoch() != b.GetEpoch() {
		return a.GetEpoch() > b.GetEpoch()
	}
	if a.GetStep() != b.GetStep() {
		return a.GetStep() > b.GetStep()
	}
	return bytes.Compare(encode(a), encode(b)) > 0
}

func encode(r *wire.Record) []byte {
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	return data
}

func (s *Store) expired(r *wire.Record) bool {
	return r.GetExpiresUnixMs() != 0 && r.GetExpiresUnixMs() < s.now().UnixMilli()
}

// Get returns the record of a key, or nil.
func (s *Store) Get(key string) *wire.Record {
	sh := &s.shards[bucketOf(key)%shardCount]
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	return sh.records[key]
}

// List returns the records whose key starts with prefix, in no order.
func (s *Store) List(prefix string) []*wire.Record {
	var found []*wire.Record
	for i := range s.shards {
		found = s.shards[i].list(prefix, found)
	}
	return found
}

func (sh *shard) list(prefix string, found []*wire.Record) []*wire.Record {
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	for key, r := range sh.records {
		if strings.HasPrefix(key, prefix) {
			found = append(found, r)
		}
	}
	return found
}

// Len returns the number of records.
func (s *Store) Len() int {
	n := 0
	for i := range s.shards {
		s.shards[i].mu.RLock()
		n += len(s.shards[i].records)
		s.shards[i].mu.RUnlock()
	}
	return n
}

// Sweep removes expired records and returns them.
func (s *Store) Sweep() []*wire.Record {
	var removed []*wire.Record
	for i := range s.shards {
		removed = s.sweepShard(&s.shards[i], removed)
	}
	return removed
}

func (s *Store) sweepShard(sh *shard, removed []*wire.Record) []*wire.Record {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for key, r := range sh.records {
		if !s.expired(r) {
			continue
		}
		delete(sh.records, key)
		if isDurable(key) {
			sh.digests[bucketOf(key)/shardCount] ^= digestOf(r)
		}
		removed = append(removed, r)
	}
	return removed
}

// Digest returns one hash over all durable records.
func (s *Store) Digest() uint64 {
	var digest uint64
	for _, d := range s.Buckets() {
		digest ^= d
	}
	return digest
}

// Buckets returns the hash over the durable records of each bucket.
func (s *Store) Buckets() []uint64 {
	buckets := make([]uint64, BucketCount)
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.RLock()
		for j, d := range sh.digests {
			buckets[j*shardCount+i] = d
		}
		sh.mu.RUnlock()
	}
	return buckets
}

// Differing returns the buckets whose hash is not the one given.
func (s *Store) Differing(buckets []uint64) []uint32 {
	var differing []uint32
	for i, d := range s.Buckets() {
		if i < len(buckets) && buckets[i] != d {
			differing = append(differing, uint32(i))
		}
	}
	return differing
}

// InBuckets returns the durable records of the buckets, up to about maxBytes.
// It returns the buckets that were covered.
func (s *Store) InBuckets(buckets []uint32, maxBytes int) ([]*wire.Record, []uint32) {
	var found []*wire.Record
	size := 0
	for i, bucket := range buckets {
		if bucket >= BucketCount {
			continue
		}
		if size > maxBytes {
			return found, buckets[:i]
		}
		for _, r := range s.inBucket(int(bucket)) {
			found = append(found, r)
			size += proto.Size(r)
		}
	}
	return found, buckets
}

func (s *Store) inBucket(bucket int) []*wire.Record {
	sh := &s.shards[bucket%shardCount]
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	var found []*wire.Record
	for key, r := range sh.records {
		if bucketOf(key) == bucket && isDurable(key) {
			found = append(found, r)
		}
	}
	return found
}

// Rumours returns records to send, those sent least often first, up to about
// maxBytes. A record is returned a number of times that grows with the
// logarithm of the audience. Other data centres are sent durable records only.
func (s *Store) Rumours(maxBytes int, remote bool) []*wire.Record {
	var batch []*wire.Record
	size := 0
	for _, key := range s.rumours.next(s.sendLimit(), maxBytes/smallestRecord) {
		r := s.Get(key)
		if r == nil || (remote && !isDurable(key)) {
			continue
		}
		size += proto.Size(r)
		if size > maxBytes && len(batch) > 0 {
			break
		}
		batch = append(batch, r)
		s.rumours.sent(key)
	}
	return batch
}

// HasRumours reports whether records wait to be spread.
func (s *Store) HasRumours() bool { return s.rumours.len() > 0 }

func isDurable(key string) bool {
	return !strings.HasPrefix(key, PrefixShare) && !strings.HasPrefix(key, PrefixEvidence)
}

// isAddressed reports whether records of a kind are sent to those who need
// them, instead of being spread to all.
func isAddressed(key string) bool { return strings.HasPrefix(key, PrefixEvidence) }

func bucketOf(key string) int { return int(xxhash.Sum64String(key) >> 56) }

func digestOf(r *wire.Record) uint64 {
	if r == nil {
		return 0
	}
	return xxhash.Sum64(encode(r))
}
