package distribution

import (
	"math/bits"
	"sync"

	"github.com/klauspost/compress/zstd"

	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// maxBases bounds the snapshots kept to compress newer ones against: changes
	// in quick succession leave peers a few behind.
	maxBases = 6
	// maxUnpackedBytes is above the largest value of a key of the store, which is
	// a megabyte.
	maxUnpackedBytes = 8 << 20
	// baseID names the base within a compressed frame.
	baseID = 1
)

// packer compresses the newest snapshot for other nodes. A node that holds one
// of the last few receives little more than what changed since.
type packer struct {
	mu sync.Mutex
	// bases holds the last snapshots, the newest at the end.
	bases []*wire.Snapshot
	// packed holds the newest snapshot by the sequence it is compressed against.
	packed map[uint64]*wire.Snapshot
}

// add takes in the newest snapshot.
func (p *packer) add(snapshot *wire.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bases = append(p.bases, snapshot)
	if len(p.bases) > maxBases {
		p.bases = append([]*wire.Snapshot(nil), p.bases[1:]...)
	}
	p.packed = make(map[uint64]*wire.Snapshot)
}

func (p *packer) base(sequence uint64) *wire.Snapshot {
	for _, base := range p.bases {
		if base.GetSequence() == sequence {
			return base
		}
	}
	return nil
}

// pack returns the newest snapshot compressed against the one with the given
// sequence, or by itself when that is not kept.
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

// unpack returns the content of a snapshot that another node packed.
func (p *packer) unpack(packed *wire.Snapshot) ([]byte, error) {
	p.mu.Lock()
	base := p.base(packed.GetBase())
	p.mu.Unlock()
	if packed.GetBase() != 0 && base == nil {
		return nil, fault.New(fault.KindMissing, "the snapshot is compressed against one that is not held", "fetch it whole")
	}
	content, err := decompress(packed.GetContent(), base.GetContent())
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInvalid, "the snapshot cannot be decompressed", "run the same version on all nodes")
	}
	return content, nil
}

// compress returns a frame with a checksum; base may be empty.
func compress(content, base []byte) ([]byte, error) {
	opts := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithLowerEncoderMem(true),
		// The window spans the base as well.
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
