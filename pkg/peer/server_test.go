package peer

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// panickingPeer panics at its first call.
type panickingPeer struct {
	wire.DRPCPeerUnimplementedServer
	calls atomic.Int64
}

func (p *panickingPeer) Call(_ *wire.CallRequest, stream wire.DRPCPeer_CallStream) error {
	if p.calls.Add(1) == 1 {
		panic("unexpected")
	}
	return stream.Send(&wire.CallAnswer{Last: true})
}

// scarceListener has no descriptor for its first connections.
type scarceListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *scarceListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestServerOutlivesErrors guards against a node that ends with a panic in the
// handling of one call, or because it was out of descriptors for a moment.
func TestServerOutlivesErrors(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &scarceListener{Listener: tcp}
	l.failures.Store(3)
	server, err := NewServer(common.New(), []byte("secret"), &panickingPeer{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := server.Serve(ctx, l)
	client, cleanUp := NewClient(common.New(), []byte("secret"), nil)
	call := func() error {
		return client.Call(context.Background(), tcp.Addr().String(), &wire.CallRequest{}, func(*wire.CallAnswer) error { return nil })
	}
	if call() == nil {
		t.Error("the call whose handler panicked succeeded")
	}
	if err := call(); err != nil {
		t.Errorf("the next call failed with %v", err)
	}
	cleanUp()
	cancel()
	if err := <-done; err != nil {
		t.Errorf("the server ended with %v", err)
	}
}
