package store

import (
	"context"
	"net"
	"net/http"
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
		// bufferBytes is what the client's buffer may hold beyond what it has processed.
		bufferBytes = 64 << 10
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
			address := newFlood(t, test.first, strings.Repeat(test.repeated, 4096/len(test.repeated)))
			s, cleanUp := NewSender(common.New(), timeout)
			defer cleanUp()
			received := countReceived(s)
			began := time.Now()
			answer, err := s.Send(t.Context(), Call{Method: "GET", URL: "http://" + address + "/"})
			if err == nil && len(answer.Body) > maxAnswerBytes {
				t.Errorf("got a body of %d bytes, want at most %d", len(answer.Body), maxAnswerBytes)
			}
			if took := time.Since(began); took > maxCallTime+timeout {
				t.Errorf("the call took %v, want at most %v", took, maxCallTime+timeout)
			}
			if got, want := received.Load(), test.maxBytes+bufferBytes; got > want {
				t.Errorf("%d bytes were read, want at most %d", got, want)
			}
		})
	}
}

// countReceived returns a counter of the bytes that a sender reads from now on.
func countReceived(s *Sender) *atomic.Int64 {
	var received atomic.Int64
	transport := s.http.Transport.(*http.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		return &countedConn{Conn: conn, received: &received}, err
	}
	return &received
}

type countedConn struct {
	net.Conn
	received *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// newFlood listens and sends first and then part again and again on each connection until it
// is closed. It returns its address.
func newFlood(t *testing.T, first, part string) string {
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
					_, err = conn.Write([]byte(part))
				}
			}()
		}
	}()
	return listener.Addr().String()
}
