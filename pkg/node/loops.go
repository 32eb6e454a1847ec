package node

import (
	"context"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
)

// loopRestartPause is the pause before a background loop that panicked starts again.
const loopRestartPause = time.Second

// startLoop runs a background loop until it returns; the channel is closed then. A loop that
// panics is reported and starts again, so run must not rely on being called only once.
func (n *Node) startLoop(ctx context.Context, name string, run func(context.Context)) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for again := true; again; {
			again = !n.runContained(ctx, name, run) && common.Sleep(ctx, loopRestartPause)
		}
	}()
	return done
}

// startTask runs a task once; the channel is closed when it ends. A panic is reported.
func (n *Node) startTask(ctx context.Context, name string, run func(context.Context)) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.runContained(ctx, name, run)
	}()
	return done
}

// runContained reports whether run returned, which it does not if it panics.
func (n *Node) runContained(ctx context.Context, name string, run func(context.Context)) (returned bool) {
	defer n.Contain(name, nil)
	run(ctx)
	return true
}
