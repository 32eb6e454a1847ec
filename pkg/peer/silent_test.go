package peer

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/faultproxy"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// TestSilentPeerIsFoundOnce guards against a call that waits for a timeout on each
// idle connection to a peer that no longer answers. One ping and one attempt to
// open a new connection must be enough to fail.
func TestSilentPeerIsFoundOnce(t *testing.T) {
	const idle = 8
	proxy, closeProxy, err := faultproxy.New("127.0.0.1:0", startServer(t, "the deployment secret"))
	if err != nil {
		t.Fatal(err)
	}
	defer closeProxy()
	now := time.Now()
	var mu sync.Mutex
	clock := func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return now
	}
	client, cleanUp := NewClient(common.New(common.WithClock(clock)), []byte("the deployment secret"), nil)
	defer cleanUp()
	fillPool(t, client, proxy.Address(), idle)
	mu.Lock()
	now = now.Add(2 * pingAfterIdle)
	mu.Unlock()
	proxy.SetFaults(faultproxy.Faults{SilenceAll: true})
	began := time.Now()
	err = client.Call(context.Background(), proxy.Address(), &wire.CallRequest{Idempotent: true}, func(*wire.CallAnswer) error { return nil })
	// The proxy accepts connections, so the call fails when the handshake times out.
	const slack = 150 * time.Millisecond
	if took, limit := time.Since(began), pingTimeout+dialTimeout+slack; err == nil || took > limit {
		t.Errorf("got %v after %v, want an error within %v", err, took, limit)
	}
}

// fillPool puts n idle connections to address into a client's pool.
func fillPool(t *testing.T, client *Client, address string, n int) {
	t.Helper()
	for range n {
		cn, err := client.dial(context.Background(), address)
		if err != nil {
			t.Fatal(err)
		}
		defer client.returnConn(address, cn)
	}
}
