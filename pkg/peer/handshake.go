// Package peer is the protocol between nodes: authenticated connections, a
// pool that never reuses a silent connection, and typed calls over drpc.
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

func proof(secret []byte, role string, nonces ...[]byte) []byte {
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

// connect proves to the server at the other end that this node knows the
// deployment secret, and checks that the server knows it as well.
func connect(conn net.Conn, secret []byte, deadline time.Time) error {
	_ = conn.SetDeadline(deadline)
	ours := newNonce()
	if _, err := conn.Write(append([]byte(magic), ours...)); err != nil {
		return refuse(err, "the peer closed the connection")
	}
	answer := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return refuse(err, "the peer did not answer the handshake")
	}
	theirs, got := answer[:nonceBytes], answer[nonceBytes:]
	if !hmac.Equal(got, proof(secret, "server", ours, theirs)) {
		return refuse(nil, "the peer does not know the deployment secret")
	}
	if _, err := conn.Write(proof(secret, "client", ours, theirs)); err != nil {
		return refuse(err, "the peer closed the connection")
	}
	return conn.SetDeadline(time.Time{})
}

// accept is the server's side of connect.
func accept(conn net.Conn, secret []byte) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	hello := make([]byte, len(magic)+nonceBytes)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return refuse(err, "the handshake was cut short")
	}
	if string(hello[:len(magic)]) != magic {
		return refuse(nil, "the connection is not from a node")
	}
	theirs, ours := hello[len(magic):], newNonce()
	if _, err := conn.Write(append(ours, proof(secret, "server", theirs, ours)...)); err != nil {
		return refuse(err, "the peer closed the connection")
	}
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, got); err != nil {
		return refuse(err, "the handshake was cut short")
	}
	if !hmac.Equal(got, proof(secret, "client", theirs, ours)) {
		return refuse(nil, "the peer does not know the deployment secret")
	}
	return conn.SetDeadline(time.Time{})
}

func refuse(err error, message string) error {
	const remedy = "check that both nodes have the same deployment_secret and that the address is a peer address"
	if err == nil {
		return fault.New(fault.KindRefused, message, remedy)
	}
	return fault.Wrap(err, fault.KindUnavailable, message, remedy)
}
