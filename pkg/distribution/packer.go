package distribution

import (
	"fmt"
	"math/bits"
	"sync"

	"github.com/klauspost/compress/zstd"

	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// maxBases bounds the snapshots kept as compression bases. During changes in
	// quick succession peers hold a snapshot that is a few behind the newest.
	maxBases = 6
	// maxUnpackedBytes bounds the memory used to decompress a snapshot. It exceeds
	// the maximal size of a value in the store, which is 1 MB.
	maxUnpackedBytes = 8 << 20
	// baseID is the zstd dictionary identifier of the base in a compressed frame.
	baseID = 1
)

// packer compresses the newest snapshot for other nodes. The base of the
// compression is the snapshot that the receiver holds, if it is among the last
// maxBases; the result is then little larger than the changes between the two.
type packer struct {
	mu sync.Mutex
	// bases holds the last snapshots, the newest one last.
	bases []*wire.Snapshot
	// packed caches the compressed newest snapshot by the sequence of its base; 0
	// stands for no base.
	packed map[uint64]*wire.Snapshot
}

// add makes snapshot the newest one and discards the cached compressed snapshots.
func (p *packer) add(snapshot *wire.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bases = append(p.bases, snapshot)
	if len(p.bases) > maxBases {
		p.bases = append([]*wire.Snapshot(nil), p.bases[1:]...)
	}
	p.packed = make(map[uint64]*wire.Snapshot)
}

// base returns the snapshot with the given sequence, or nil. The caller holds p.mu.
func (p *packer) base(sequence uint64) *wire.Snapshot {
	for _, base := range p.bases {
		if base.GetSequence() == sequence {
			return base
		}
	}
	return nil
}

// pack returns the newest snapshot, compressed with the snapshot of sequence
// held as its base, or without a base when that snapshot is not kept. It returns
// nil when there is no snapshot.
func (p *packer) pack(held uint64) (*wire.Snapshot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.bases) == 0 {
		return nil, nil
	}
	newest := p.bases[len(p.bases)-1]
	base := p.base(held)
	if base == newest {
		base = nil
	}
	if packed := p.packed[base.GetSequence()]; packed != nil {
		return packed, nil
	}
	content, err := compress(newest.GetContent(), base.GetContent())
	if err != nil {
		return nil, err
	}
	packed := &wire.Snapshot{Sequence: newest.GetSequence(), Revision: newest.GetRevision(), Base: base.GetSequence(), Content: content}
	p.packed[base.GetSequence()] = packed
	return packed, nil
}

// unpack returns the content of a snapshot that another node packed. It fails
// with KindMissing when this node does not keep the base.
func (p *packer) unpack(packed *wire.Snapshot) ([]byte, error) {
	p.mu.Lock()
	base := p.base(packed.GetBase())
	p.mu.Unlock()
	if packed.GetBase() != 0 && base == nil {
		return nil, fault.New(fault.KindMissing, fmt.Sprintf("snapshot %d is compressed with snapshot %d as its base, which is not held", packed.GetSequence(), packed.GetBase()), "fetch the snapshot without a base")
	}
	content, err := decompress(packed.GetContent(), base.GetContent())
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInvalid, fmt.Sprintf("snapshot %d cannot be decompressed", packed.GetSequence()), "run the same version on all nodes")
	}
	return content, nil
}

// compress returns a zstd frame with a checksum. An empty base means no base.
func compress(content, base []byte) ([]byte, error) {
	opts := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithLowerEncoderMem(true),
		// The window covers both the base and the content.
		zstd.WithWindowSize(max(zstd.MinWindowSize, 1<<bits.Len(uint(len(content)+len(base))))),
	}
	if len(base) > 0 {
		opts = append(opts, zstd.WithEncoderDictRaw(baseID, base))
	}
	w, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInternal, "the snapshot cannot be compressed", "")
	}
	defer func() { _ = w.Close() }()
	return w.EncodeAll(content, nil), nil
}

func decompress(frame, base []byte) ([]byte, error) {
	opts := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxUnpackedBytes),
	}
	if len(base) > 0 {
		opts = append(opts, zstd.WithDecoderDictRaw(baseID, base))
	}
	r, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return r.DecodeAll(frame, nil)
}
