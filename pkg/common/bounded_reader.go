package common

import (
	"errors"
	"io"
)

// ErrBound is the error of a BoundedReader at its bound.
var ErrBound = errors.New("more bytes than the bound")

// BoundedReader counts the bytes that it reads from another reader. While it is
// bounded it refuses to read more than the bound, so that input without an end is
// not taken for a long one.
type BoundedReader struct {
	source  io.Reader
	total   int64
	bounded bool
	left    int64
	onRead  func([]byte) error
	// refused is the error of onRead, or nil.
	refused error
}

// NewBoundedReader returns a reader without a bound.
func NewBoundedReader(source io.Reader) *BoundedReader { return &BoundedReader{source: source} }

// Bound allows n more bytes until Unbound is called.
func (r *BoundedReader) Bound(n int64) { r.bounded, r.left = true, n }

// Unbound removes the bound.
func (r *BoundedReader) Unbound() { r.bounded = false }

// OnRead sets a function that is called with the bytes of each read, or nil. Its error ends
// that read and, as some readers go on after an error, all others until OnRead is called.
func (r *BoundedReader) OnRead(f func([]byte) error) { r.onRead, r.refused = f, nil }

// Total returns the number of bytes that were read.
func (r *BoundedReader) Total() int64 { return r.total }

// Read implements io.Reader. It returns ErrBound at the bound.
func (r *BoundedReader) Read(p []byte) (int, error) {
	if r.refused != nil {
		return 0, r.refused
	}
	if r.bounded {
		if r.left <= 0 {
			return 0, ErrBound
		}
		p = p[:min(int64(len(p)), r.left)]
	}
	n, err := r.source.Read(p)
	r.total += int64(n)
	r.left -= int64(n)
	if r.onRead != nil && n > 0 {
		if r.refused = r.onRead(p[:n]); r.refused != nil {
			return 0, r.refused
		}
	}
	return n, err
}
