package node

import (
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
)

// TestHostCallsWithoutEnd guards against memory that grows with the bytes and connections of
// a backend server in trouble at the address for the host.
func TestHostCallsWithoutEnd(t *testing.T) {
	const (
		connections = 300
		// memoryBytes is what a node may take in all.
		memoryBytes = 32 << 20
	)
	tests := map[string]string{
		"head": "POST /any HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", 900<<10),
		"body": "PUT /v1/backend-servers/a HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000000000\r\n\r\n{\"service\":\"" + strings.Repeat("a", 900<<10),
	}
	for name, bytes := range tests {
		t.Run(name, func(t *testing.T) {
			before := heapBytes()
			flood(t, startHostServer(t), connections, bytes)
			time.Sleep(time.Second)
			if got := heapBytes() - before; got > memoryBytes {
				t.Errorf("%d connections take %d bytes of memory, want at most %d", connections, got, memoryBytes)
			}
		})
	}
}

// flood opens connections and sends bytes on each.
func flood(t *testing.T, address string, connections int, bytes string) {
	t.Helper()
	for range connections {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		go func() { _, _ = conn.Write([]byte(bytes)) }()
	}
}

func startHostServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := (&Node{Common: common.New()}).newHostServer()
	ended := serveHTTP(server, l)
	t.Cleanup(func() {
		_ = server.Close()
		<-ended
	})
	return l.Addr().String()
}

// heapBytes returns the memory of the objects in use.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
