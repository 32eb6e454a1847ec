package peer

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// handler answers pings only.
type handler struct {
	wire.DRPCPeerUnimplementedServer
}

// Ping implements wire.DRPCPeerServer.
func (*handler) Ping(context.Context, *wire.PingRequest) (*wire.PingResponse, error) {
	return &wire.PingResponse{Reached: true}, nil
}

func startServer(t testing.TB, secret string) string {
	t.Helper()
	server, err := NewServer(common.New(), []byte(secret), &handler{})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := server.Serve(ctx, listener)
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return listener.Addr().String()
}

// TestHandshake guards against a node that accepts calls of a client without the
// deployment secret.
func TestHandshake(t *testing.T) {
	tests := map[string]struct {
		secret string
		want   bool
	}{
		"same secret":  {"the deployment secret", true},
		"other secret": {"some other secret", false},
		"no secret":    {"", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address := startServer(t, "the deployment secret")
			client, cleanUp := NewClient(common.New(), []byte(test.secret), nil)
			defer cleanUp()
			out, err := client.Ping(context.Background(), address, time.Second, &wire.PingRequest{})
			if got := err == nil && out.GetReached(); got != test.want {
				t.Errorf("reached is %v (%v), want %v", got, err, test.want)
			}
		})
	}
}

// FuzzAccept guards against a server that accepts a connection of a client without
// the secret, whatever bytes that client sends first.
func FuzzAccept(f *testing.F) {
	f.Add([]byte(magic))
	f.Add(append([]byte(magic), bytes.Repeat([]byte{7}, nonceBytes+32)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		client, server := net.Pipe()
		defer func() { _ = client.Close() }()
		refused := make(chan error, 1)
		go func() {
			refused <- serverHandshake(server, []byte("secret"))
			_ = server.Close()
		}()
		go func() {
			buffer := make([]byte, 256)
			for {
				if _, err := client.Read(buffer); err != nil {
					return
				}
			}
		}()
		_, _ = client.Write(data)
		_ = client.Close()
		if err := <-refused; err == nil {
			t.Error("a connection without the secret was accepted")
		}
	})
}
