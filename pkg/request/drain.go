package request

import (
	"context"
	"sync"
)

// drain counts requests in flight and lets a stopping owner wait for their end.
type drain struct {
	mu       sync.Mutex
	inFlight int
	stopping bool
	idle     chan struct{}
}

func newDrain() *drain { return &drain{idle: make(chan struct{})} }

// enter counts one more request in flight, or returns false after stop.
func (d *drain) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping {
		return false
	}
	d.inFlight++
	return true
}

func (d *drain) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	if d.stopping && d.inFlight == 0 {
		close(d.idle)
	}
}

// stop refuses new requests and waits until none is in flight. It returns the
// error of ctx if that ends first.
func (d *drain) stop(ctx context.Context) error {
	d.mu.Lock()
	if !d.stopping {
		d.stopping = true
		if d.inFlight == 0 {
			close(d.idle)
		}
	}
	d.mu.Unlock()
	select {
	case <-d.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
