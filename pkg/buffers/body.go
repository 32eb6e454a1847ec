package buffers

import (
	"errors"
	"io"
)

const (
	minSegmentBytes = 4 << 10
	maxSegmentBytes = 32 << 10
)

// ErrNoRoom is the error of a body for which its pool has no room.
var ErrNoRoom = errors.New("no room in the buffers")

// Body holds the bytes of one message body in segments, which its lease counts. It is not
// safe for concurrent use.
type Body struct {
	lease    *Lease
	segments [][]byte
	size     int64
	// isShared is set once others may read the segments, also after Release: a connection
	// that is being closed may still write them.
	isShared bool
}

// NewBody returns an empty body. It owns the lease.
func NewBody(lease *Lease) *Body { return &Body{lease: lease} }

// Size returns the number of bytes that the body holds.
func (b *Body) Size() int64 { return b.size }

// Lease returns the lease of the body.
func (b *Body) Lease() *Lease { return b.lease }

// Fill reads from r until the body holds limit bytes or r ends, and reports whether r has
// ended. It fails with ErrNoRoom if the pool has no room, and with the errors of r.
func (b *Body) Fill(r io.Reader, limit int64) (ended bool, err error) {
	for b.size < limit {
		free, err := b.free()
		if err != nil {
			return false, err
		}
		n, err := r.Read(free[:min(int64(len(free)), limit-b.size)])
		b.grow(n)
		if n > 0 {
			b.lease.Touch()
		}
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// Append adds bytes to the body. It fails with ErrNoRoom if the pool has no room.
func (b *Body) Append(p []byte) error {
	for len(p) > 0 {
		free, err := b.free()
		if err != nil {
			return err
		}
		n := copy(free, p)
		b.grow(n)
		p = p[n:]
	}
	return nil
}

// free returns the unused end of the last segment, after adding one if that is full.
func (b *Body) free() ([]byte, error) {
	if n := len(b.segments); n > 0 && len(b.segments[n-1]) < cap(b.segments[n-1]) {
		last := b.segments[n-1]
		return last[len(last):cap(last)], nil
	}
	size := minSegmentBytes
	if n := len(b.segments); n > 0 {
		size = min(2*cap(b.segments[n-1]), maxSegmentBytes)
	}
	if !b.lease.Grow(int64(size)) {
		return nil, ErrNoRoom
	}
	segment := b.lease.pool.segment(size)
	b.segments = append(b.segments, segment)
	return segment[:size], nil
}

func (b *Body) grow(n int) {
	last := &b.segments[len(b.segments)-1]
	*last = (*last)[:len(*last)+n]
	b.size += int64(n)
}

// Bytes returns a copy of all bytes.
func (b *Body) Bytes() []byte {
	all := make([]byte, 0, b.size)
	for _, s := range b.segments {
		all = append(all, s...)
	}
	return all
}

// Reader returns a reader of the body from its begin. The body keeps its bytes.
func (b *Body) Reader() io.Reader {
	b.isShared = true
	return &reader{segments: b.segments}
}

// Pop returns the first segment and removes it from the body, or nil. The bytes are valid
// until the next call of Pop or Release, but count no more.
func (b *Body) Pop() []byte {
	if len(b.segments) == 0 {
		return nil
	}
	b.isShared = true
	first := b.segments[0]
	b.segments = b.segments[1:]
	b.size -= int64(len(first))
	b.lease.Shrink(int64(cap(first)))
	return first
}

// Release gives up the bytes and the lease. The body must not be used afterwards.
func (b *Body) Release() {
	if !b.isShared {
		b.lease.pool.recycle(b.segments)
	}
	b.segments, b.size = nil, 0
	b.lease.Release()
}

// reader reads segments one after the other.
type reader struct {
	segments [][]byte
	offset   int
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	for len(r.segments) > 0 && r.offset == len(r.segments[0]) {
		r.segments, r.offset = r.segments[1:], 0
	}
	if len(r.segments) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.segments[0][r.offset:])
	r.offset += n
	return n, nil
}
