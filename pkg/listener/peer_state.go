package listener

import (
	"net"

	"golang.org/x/sys/unix"
)

// States of a TCP connection, as the kernel numbers them.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// isClosedByPeer reports whether the other end has closed or reset a connection, also if
// there is input that was not read.
func isClosedByPeer(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && (info.State == tcpClose || info.State == tcpCloseWait)
	})
	return err == nil && closed
}

// unacknowledgedBytes returns the number of bytes, with the end of the connection as one, that
// were written and that the other end has not acknowledged. It is 0 if that cannot be told.
func unacknowledgedBytes(tcp *net.TCPConn) int {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	if err != nil {
		return 0
	}
	return n
}
