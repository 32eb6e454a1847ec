package standin

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ListenNarrow listens on a free port of 127.0.0.1. The connections that it accepts have a
// small receive window, so that a long request is still being written while it is answered. A
// window that shrinks after the accept would make the kernel drop what was sent by the larger
// one.
func ListenNarrow(ctx context.Context) (*net.TCPListener, error) {
	const windowBytes = 16 << 10
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, windowBytes)
		})
		return errors.Join(controlErr, err)
	}}
	l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}
