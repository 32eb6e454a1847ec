package common

import (
	"context"
	"errors"
	"net"
	"time"
)

const (
	initialAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay     = time.Second
)

// Accept returns the next connection of a listener. It waits and tries again after
// an error that passes, such as a lack of descriptors, and returns other errors and
// that of ctx.
func Accept(ctx context.Context, l net.Listener) (net.Conn, error) {
	for delay := initialAcceptDelay; ; delay = min(2*delay, maxAcceptDelay) {
		raw, err := l.Accept()
		if err == nil || !isTemporary(err) {
			return raw, err
		}
		if !Sleep(ctx, delay) {
			return nil, ctx.Err()
		}
	}
}

func isTemporary(err error) bool {
	var temporary interface{ Temporary() bool }
	return errors.As(err, &temporary) && temporary.Temporary()
}
