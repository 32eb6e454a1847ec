package request

import (
	"context"
	"sync"
)

// drain counts work in flight and lets a stopping owner wait for its end.
type drain struct {
	mu       sync.Mutex
	inFlight int
	stopping bool
	idle     chan struct{}
}

func newDrain() *drain { return &drain{idle: make(chan struct{})} }

// enter counts one more piece of work, or returns false when stopping.
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

// stop refuses new work and waits for the end of what is in flight, or of ctx.
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
