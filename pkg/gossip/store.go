// Package gossip keeps the records that nodes replicate among themselves:
// members, endpoints, halts, traffic shares, evidence, crash counts, evacuations and rollout
// states. Records with the same key are ordered by epoch and step, so replicas
// converge whatever the order of delivery. The package does no I/O.
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
	// BucketCount is the number of buckets into which the keys are hashed. Nodes
	// compare one digest per bucket to find the records that differ.
	BucketCount = 256
	// extraSends is added to the number of binary digits of the receiver count.
	// The sum is the number of times that a record is broadcast.
	extraSends = 3
)

// Key prefixes, one for each kind of record.
const (
	PrefixMember     = "m/"
	PrefixEndpoint   = "e/"
	PrefixHalt       = "h/"
	PrefixCrash      = "c/"
	PrefixShare      = "s/"
	PrefixEvidence   = "v/"
	PrefixRollout    = "r/"
	PrefixEvacuation = "x/"
)

// Store is one node's replica of the records. It holds only records that can be encoded, so
// that none of them spoils a message to other nodes. It is safe for concurrent use.
type Store struct {
	shards     [shardCount]shard
	broadcasts broadcastQueue
	now        func() time.Time
	onChange   []func(*wire.Record)
	onLocal    []func(*wire.Record)
	maxSends   func() int
	// unencodable is called with each record that is refused because it cannot be encoded.
	unencodable func(key string, err error)
}

// shard holds the records of every bucket whose number modulo shardCount is the
// shard's index, and the digests of these buckets.
type shard struct {
	mu      sync.RWMutex
	records map[string]*wire.Record
	digests [BucketCount / shardCount]uint64
}

// Option configures a Store in New.
type Option func(*Store)

// WithClock replaces time.Now as the clock that decides when records expire.
func WithClock(now func() time.Time) Option {
	return func(s *Store) { s.now = now }
}

// WithReceiverCount sets the function that returns the number of nodes that receive a
// broadcast. The number of times that a record is sent grows with its logarithm.
func WithReceiverCount(count func() int) Option {
	return func(s *Store) { s.maxSends = func() int { return bits.Len(uint(count())) + extraSends } }
}

// WithUnencodable sets the function that is called with the key of each record that the
// store refuses because it cannot be encoded. It must not block.
func WithUnencodable(refused func(key string, err error)) Option {
	return func(s *Store) { s.unencodable = refused }
}

// New returns an empty store.
func New(opts ...Option) *Store {
	s := &Store{now: time.Now, maxSends: func() int { return extraSends }, unencodable: func(string, error) {}}
	for i := range s.shards {
		s.shards[i].records = make(map[string]*wire.Record)
	}
	s.broadcasts.sends = make(map[string]int)
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// OnChange adds a function that is called after a new or newer record is stored.
// Add functions before the store is used. They must not block.
func (s *Store) OnChange(changed func(*wire.Record)) { s.onChange = append(s.onChange, changed) }

// OnLocal adds a function that is called after Set queued a record for broadcast.
// Add functions before the store is used. They must not block.
func (s *Store) OnLocal(changed func(*wire.Record)) { s.onLocal = append(s.onLocal, changed) }

// Set stores a record that this node wrote and queues it for broadcast, unless
// records of its kind are sent to single nodes only. It returns false if the
// record is not newer than the one stored, has expired, lacks a key or body, or
// cannot be encoded.
func (s *Store) Set(r *wire.Record) bool {
	if !s.merge(r) {
		return false
	}
	if isAddressed(r.GetKey()) {
		return true
	}
	s.broadcasts.add(r.GetKey())
	for _, changed := range s.onLocal {
		changed(r)
	}
	return true
}

// Apply merges records that were decoded from a peer's message, which it takes over,
// and returns how many were new or newer. These are queued for broadcast to further
// nodes when rebroadcast is true.
func (s *Store) Apply(records []*wire.Record, rebroadcast bool) int {
	added := 0
	for _, r := range records {
		internStrings(r)
		if !s.merge(r) {
			continue
		}
		added++
		if rebroadcast && !isAddressed(r.GetKey()) {
			s.broadcasts.add(r.GetKey())
		}
	}
	return added
}

// merge stores a record if it is newer than the one stored, and reports whether it did.
func (s *Store) merge(r *wire.Record) bool {
	if r.GetKey() == "" || r.GetBody() == nil || s.expired(r) {
		return false
	}
	bucket := bucketOf(r.GetKey())
	stored, err := s.shards[bucket%shardCount].replace(bucket, r)
	if err != nil {
		s.unencodable(r.GetKey(), err)
	}
	if !stored {
		return false
	}
	for _, changed := range s.onChange {
		changed(r)
	}
	return true
}

// replace stores a record of a bucket if it is newer than the one stored, and reports
// whether it did. It returns an error if the record cannot be encoded.
func (sh *shard) replace(bucket int, r *wire.Record) (bool, error) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	old := sh.records[r.GetKey()]
	if old != nil && !Newer(r, old) {
		return false, nil
	}
	data, err := encode(r)
	if err != nil {
		return false, err
	}
	sh.records[r.GetKey()] = r
	if isDurable(r.GetKey()) {
		sh.digests[bucket/shardCount] ^= digestOf(old) ^ xxhash.Sum64(data)
	}
	return true, nil
}

// internStrings lets records share the memory of names that occur in many
// records: data centres, services and versions. It changes r, which nobody else may
// read yet.
func internStrings(r *wire.Record) {
	if member := r.GetMember(); member != nil {
		member.DataCentre = unique.Make(member.DataCentre).Value()
	}
	if e := r.GetEndpoint(); e != nil {
		e.DataCentre = unique.Make(e.DataCentre).Value()
		e.Service = unique.Make(e.Service).Value()
		e.Version = unique.Make(e.Version).Value()
	}
}

// Newer reports whether a replaces b, a record with the same key. Records are
// ordered by epoch, then by step; if both are equal, the encoded records are
// compared, so that all replicas keep the same one.
func Newer(a, b *wire.Record) bool {
	if a.GetEpoch() != b.GetEpoch() {
		return a.GetEpoch() > b.GetEpoch()
	}
	if a.GetStep() != b.GetStep() {
		return a.GetStep() > b.GetStep()
	}
	encodedA, _ := encode(a)
	encodedB, _ := encode(b)
	return bytes.Compare(encodedA, encodedB) > 0
}

// encode returns an error for a record with a string that is not UTF-8.
func encode(r *wire.Record) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(r)
}

func (s *Store) expired(r *wire.Record) bool {
	return r.GetExpiresUnixMs() != 0 && r.GetExpiresUnixMs() < s.now().UnixMilli()
}

// Get returns the record with the given key, or nil if there is none.
func (s *Store) Get(key string) *wire.Record {
	sh := &s.shards[bucketOf(key)%shardCount]
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	return sh.records[key]
}

// HoldsNewer reports whether the store holds a newer record with the key of r.
func (s *Store) HoldsNewer(r *wire.Record) bool {
	held := s.Get(r.GetKey())
	return held != nil && Newer(held, r)
}

// List returns the records whose key starts with prefix, in no particular order.
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

// Digest returns one hash of all durable records.
func (s *Store) Digest() uint64 {
	var digest uint64
	for _, d := range s.Buckets() {
		digest ^= d
	}
	return digest
}

// Buckets returns the hash of the durable records in each of the BucketCount buckets.
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

// Differing returns the numbers of the buckets whose hash differs from the one in buckets.
func (s *Store) Differing(buckets []uint64) []uint32 {
	var differing []uint32
	for i, d := range s.Buckets() {
		if i < len(buckets) && buckets[i] != d {
			differing = append(differing, uint32(i))
		}
	}
	return differing
}

// InBuckets returns the durable records in the given buckets and the buckets
// whose records are included. It stops after the bucket with which the records
// exceed maxBytes. Bucket numbers that do not exist are skipped.
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

// Broadcasts returns the next batch of queued records to broadcast, those sent least
// often first. The batch has at most maxBytes, or is a single larger record. The
// number of times that a record is returned grows with the logarithm of the number
// of receivers. remote is true when the receiver is in another data centre, which
// receives durable records only.
func (s *Store) Broadcasts(maxBytes int, remote bool) []*wire.Record {
	var batch []*wire.Record
	size := 0
	for _, key := range s.broadcasts.next(s.maxSends(), maxBytes/minRecordBytes) {
		r := s.Get(key)
		if r == nil || (remote && !isDurable(key)) {
			continue
		}
		size += proto.Size(r)
		if size > maxBytes && len(batch) > 0 {
			break
		}
		batch = append(batch, r)
		s.broadcasts.markSent(key)
	}
	return batch
}

// HasBroadcasts reports whether records are queued for broadcast.
func (s *Store) HasBroadcasts() bool { return s.broadcasts.len() > 0 }

// isDurable reports whether records of a kind are part of the digests, by which
// replicas are compared and repaired, and are broadcast to other data centres.
func isDurable(key string) bool {
	return !strings.HasPrefix(key, PrefixShare) && !strings.HasPrefix(key, PrefixEvidence)
}

// isAddressed reports whether records of a kind are sent only to the nodes that
// need them and are not broadcast.
func isAddressed(key string) bool { return strings.HasPrefix(key, PrefixEvidence) }

// bucketOf returns the bucket of a key: the first 8 bits of its hash.
func bucketOf(key string) int { return int(xxhash.Sum64String(key) >> 56) }

func digestOf(r *wire.Record) uint64 {
	if r == nil {
		return 0
	}
	data, _ := encode(r)
	return xxhash.Sum64(data)
}
