// Package peer implements the protocol between nodes: authenticated connections,
// a connection pool that pings idle connections before it reuses them, and typed
// calls over drpc.
package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
)

const (
	handshakeTimeout = 2 * time.Second
	nonceBytes       = 16
	magic            = "HBR1"
)

// handshakeMAC returns the HMAC by which one end of a connection, role "client" or
// "server", proves that it knows the deployment secret. The nonces of both ends
// prevent replays.
func handshakeMAC(secret []byte, role string, nonces ...[]byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(role))
	for _, nonce := range nonces {
		h.Write(nonce)
	}
	return h.Sum(nil)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return nonce
}

// clientHandshake is the handshake of the end that opened the connection. Both ends
// prove to each other that they know the deployment secret. The handshake fails
// at deadline.
func clientHandshake(conn net.Conn, secret []byte, deadline time.Time) error {
	_ = conn.SetDeadline(deadline)
	ours := newNonce()
	if _, err := conn.Write(append([]byte(magic), ours...)); err != nil {
		return handshakeError(err, "the peer closed the connection")
	}
	answer := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return handshakeError(err, "the peer did not answer the handshake")
	}
	theirs, got := answer[:nonceBytes], answer[nonceBytes:]
	if !hmac.Equal(got, handshakeMAC(secret, "server", ours, theirs)) {
		return handshakeError(nil, "the peer does not know the deployment secret")
	}
	if _, err := conn.Write(handshakeMAC(secret, "client", ours, theirs)); err != nil {
		return handshakeError(err, "the peer closed the connection")
	}
	return conn.SetDeadline(time.Time{})
}

// serverHandshake is the handshake of the end that accepted the connection.
func serverHandshake(conn net.Conn, secret []byte) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	hello := make([]byte, len(magic)+nonceBytes)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return handshakeError(err, "the first handshake message of the peer is incomplete")
	}
	if string(hello[:len(magic)]) != magic {
		return handshakeError(nil, "the connection does not use the protocol between nodes")
	}
	theirs, ours := hello[len(magic):], newNonce()
	if _, err := conn.Write(append(ours, handshakeMAC(secret, "server", theirs, ours)...)); err != nil {
		return handshakeError(err, "the peer closed the connection")
	}
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, got); err != nil {
		return handshakeError(err, "the last handshake message of the peer is incomplete")
	}
	if !hmac.Equal(got, handshakeMAC(secret, "client", theirs, ours)) {
		return handshakeError(nil, "the peer does not know the deployment secret")
	}
	return conn.SetDeadline(time.Time{})
}

// handshakeError returns the error of a failed handshake: KindUnavailable if err
// ended the connection, and KindRefused if the peer is not authenticated.
func handshakeError(err error, message string) error {
	const remedy = "check that both nodes have the same deployment_secret and that the address is a peer address"
	if err == nil {
		return fault.New(fault.KindRefused, message, remedy)
	}
	return fault.Wrap(err, fault.KindUnavailable, message, remedy)
}
