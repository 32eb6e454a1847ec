package store

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
)

// TestStoreAnswerWithoutEnd guards against memory that grows with the bytes of a store in
// trouble.
func TestStoreAnswerWithoutEnd(t *testing.T) {
	const (
		timeout = 500 * time.Millisecond
		// socketBytes is what the buffers of the sockets may take.
		socketBytes = 6 << 20
		kb          = 1 << 10
	)
	tests := map[string]struct {
		first, repeated string
		maxBytes        int64
	}{
		"status line":         {"HTTP/1.1 200 ", "a", 64 * kb},
		"headers":             {"HTTP/1.1 200 OK\r\n", "X-Filler: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n", 64 * kb},
		"one header":          {"HTTP/1.1 200 OK\r\nX: ", "a", 64 * kb},
		"informational heads": {"", "HTTP/1.1 103 Early Hints\r\n\r\n", 64 * kb},
		"noise":               {"", "\x00\xff", 64 * kb},
		"body":                {"HTTP/1.1 200 OK\r\n\r\n", "a", maxAnswerBytes},
		"body with a length":  {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n", "a", maxAnswerBytes},
		"chunks":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\naa\r\n", 4 * maxAnswerBytes},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			address := newFlood(t, test.first, strings.Repeat(test.repeated, 4096/len(test.repeated)), &sent)
			s, cleanUp := NewSender(common.New(), timeout)
			defer cleanUp()
			began := time.Now()
			answer, err := s.Send(t.Context(), Call{Method: "GET", URL: "http://" + address + "/"})
			if err == nil && len(answer.Body) > maxAnswerBytes {
				t.Errorf("got a body of %d bytes, want at most %d", len(answer.Body), maxAnswerBytes)
			}
			if took := time.Since(began); took > maxCallTime+timeout {
				t.Errorf("the call took %v, want at most %v", took, maxCallTime+timeout)
			}
			if got, want := sent.Load(), test.maxBytes+socketBytes; got > want {
				t.Errorf("the store could send %d bytes, want at most %d", got, want)
			}
		})
	}
}

// newFlood listens and sends first and then part again and again on each connection until it
// is closed. It counts the bytes and returns its address.
func newFlood(t *testing.T, first, part string, sent *atomic.Int64) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, err := conn.Write([]byte(first))
				for err == nil {
					var n int
					n, err = conn.Write([]byte(part))
					sent.Add(int64(n))
				}
			}()
		}
	}()
	return listener.Addr().String()
}
