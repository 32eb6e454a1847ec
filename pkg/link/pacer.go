// Package link divides the bandwidth of a host's link among the request bodies that the
// host receives from other nodes. It does no I/O.
package link

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// PartBytes is the number of bytes for which a transfer is granted credit at once.
	PartBytes = 16 << 10
	// maxQueueTime bounds the time that granted bytes keep the link busy, so that small
	// requests wait behind bodies for no longer.
	maxQueueTime = 25 * time.Millisecond
	// minWindow is the least number of bytes that are granted and have not arrived: with one
	// part the link would be idle while the next credit is on its way.
	minWindow = 2 * PartBytes
	// unknownWindow is used for a link of unknown bandwidth.
	unknownWindow = 1 << 20
	// bodiesShare is the part of the bandwidth with which the arrival of bodies is
	// estimated. The rest is for requests and answers without large bodies.
	bodiesShare = 0.8
)

// Pacer grants credit to transfers in the order in which they were accepted. It answers
// the load in which bodies fill a narrow link: without it the small calls that running
// requests wait for are queued behind all bodies that were sent, and are late. It is safe
// for concurrent use.
type Pacer struct {
	now            func() time.Time
	bytesPerSecond float64
	window         int64

	mu          sync.Mutex
	outstanding int64
	// backlog is the number of bytes of all transfers that have not arrived.
	backlog   int64
	transfers []*Transfer
}

// NewPacer returns a pacer for a link of mbps Mbit/s, or of unknown bandwidth if that is 0.
func NewPacer(now func() time.Time, mbps float64) *Pacer {
	const bitsPerByte, mega = 8, 1e6
	p := &Pacer{now: now, bytesPerSecond: mbps * mega / bitsPerByte, window: unknownWindow}
	if mbps > 0 {
		p.window = max(minWindow, int64(p.bytesPerSecond*maxQueueTime.Seconds()))
	}
	return p
}

// Transfer is one body on its way. Its methods are called by one goroutine at a time.
type Transfer struct {
	pacer *Pacer
	// left counts the bytes that have not arrived, and granted those of them for which
	// credit was given.
	left, granted int64
	// turn is closed when credit is granted to the waiting transfer.
	turn    chan struct{}
	waiting bool
}

// Accept returns a transfer of a number of bytes that can arrive until a time. Otherwise it
// returns false and the time after which the transfer could arrive in that time.
func (p *Pacer) Accept(bytes int64, latest time.Time) (t *Transfer, retryAfter time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if overrun := p.now().Add(p.duration(p.backlog + bytes)).Sub(latest); overrun > 0 {
		return nil, overrun, false
	}
	t = &Transfer{pacer: p, left: bytes}
	p.backlog += bytes
	p.transfers = append(p.transfers, t)
	return t, 0, true
}

// Wait returns the time that the transfers which were accepted take.
func (p *Pacer) Wait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.duration(p.backlog)
}

// duration returns the time in which a number of bytes arrives.
func (p *Pacer) duration(bytes int64) time.Duration {
	if p.bytesPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / (p.bytesPerSecond * bodiesShare) * float64(time.Second))
}

// Credit waits for credit for the next part and returns its length in bytes, or the error
// of ctx. Received must follow before the next call.
func (t *Transfer) Credit(ctx context.Context) (int64, error) {
	p := t.pacer
	p.mu.Lock()
	t.turn, t.waiting = make(chan struct{}), true
	p.grant()
	p.mu.Unlock()
	select {
	case <-t.turn:
		return t.granted, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// grant gives credit to waiting transfers as long as the window allows. One part is always
// allowed. The caller holds p.mu.
func (p *Pacer) grant() {
	for _, t := range p.transfers {
		n := min(max(t.left, 1), PartBytes)
		if !t.waiting {
			continue
		}
		if p.outstanding > 0 && p.outstanding+n > p.window {
			return
		}
		p.outstanding += n
		t.granted, t.waiting = n, false
		close(t.turn)
	}
}

// Received records the arrival of a part of n bytes, which uses up the credit.
func (t *Transfer) Received(n int64) {
	p := t.pacer
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outstanding -= t.granted
	t.granted = 0
	n = min(n, t.left)
	t.left -= n
	p.backlog -= n
	p.grant()
}

// Close ends the transfer, also one that has not arrived whole.
func (t *Transfer) Close() {
	p := t.pacer
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outstanding -= t.granted
	p.backlog -= t.left
	t.granted, t.left, t.waiting = 0, 0, false
	p.transfers = slices.DeleteFunc(p.transfers, func(other *Transfer) bool { return other == t })
	p.grant()
}
