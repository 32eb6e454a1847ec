package backend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// fakeServer is a backend server whose answers and connection ends are set by a test.
type fakeServer struct {
	address  string
	opened   atomic.Int64
	requests atomic.Int64
}

// newFakeServer starts a server that calls serve for the n-th request of each
// connection. The connection is closed when serve returns false.
func newFakeServer(t *testing.T, serve func(s *fakeServer, n int64, conn *net.TCPConn) bool) *fakeServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &fakeServer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.opened.Add(1)
			go s.serveConn(conn.(*net.TCPConn), serve)
		}
	}()
	return s
}

func (s *fakeServer) serveConn(conn *net.TCPConn, serve func(*fakeServer, int64, *net.TCPConn) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := int64(1); ; n++ {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		s.requests.Add(1)
		if !serve(s, n, conn) {
			return
		}
	}
}

func answerOK(conn *net.TCPConn) bool {
	_, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	return err == nil
}

// reset closes a connection with a TCP reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// resetSecondRequest answers the first request of a connection and resets the
// connection at the second one, after sending part of an answer.
func resetSecondRequest(part string) func(*fakeServer, int64, *net.TCPConn) bool {
	return func(_ *fakeServer, n int64, conn *net.TCPConn) bool {
		if n == 1 {
			return answerOK(conn)
		}
		if part != "" {
			_, _ = conn.Write([]byte(part))
			time.Sleep(20 * time.Millisecond)
		}
		reset(conn)
		return false
	}
}

func get(t *testing.T, c *Client, nonIdempotent bool) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := c.Do(ctx, &Request{Method: http.MethodGet, Target: "/", Host: "h", NonIdempotent: nonIdempotent})
	if err != nil {
		return err
	}
	defer answer.Close()
	buffer := make([]byte, 16)
	for err == nil {
		_, err = answer.Read(buffer)
	}
	return nil
}

// TestIdleConnectionReset checks that a reset of an idle connection before any
// byte of an answer is distinguished from a reset within an answer and from one on
// a new connection, and that only the first lowers the limit on idle times. A
// backend server that drops idle connections would otherwise be taken for one that
// fails requests, and a failing one for one that drops connections.
func TestIdleConnectionReset(t *testing.T) {
	tests := map[string]struct {
		serve      func(s *fakeServer, n int64, conn *net.TCPConn) bool
		wantErrors []error
		wantStale  bool
	}{
		"idle connection, before the answer": {serve: resetSecondRequest(""), wantErrors: []error{nil, ErrStale}, wantStale: true},
		"idle connection, within the answer": {serve: resetSecondRequest("HTTP/1.1 200 OK\r\n"), wantErrors: []error{nil, errOther}},
		"new connection": {
			serve: func(_ *fakeServer, _ int64, conn *net.TCPConn) bool {
				reset(conn)
				return false
			},
			wantErrors: []error{errOther},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newFakeServer(t, test.serve)
			c, cleanUp := NewClient(s.address, time.Now)
			defer cleanUp()
			for i, want := range test.wantErrors {
				if err := get(t, c, false); !isWanted(err, want) {
					t.Errorf("request %d: got %v, want %v", i, err, want)
				}
			}
			if got := c.currentIdleLimit() < maxIdleTime; got != test.wantStale {
				t.Errorf("got a lower idle limit %v, want %v", got, test.wantStale)
			}
		})
	}
}

// isWanted reports whether err matches want and does not claim that the request
// was not sent.
func isWanted(err, want error) bool {
	if want == errOther {
		return err != nil && !errors.Is(err, ErrStale) && !errors.Is(err, ErrNotSent)
	}
	return errors.Is(err, want) && !errors.Is(err, ErrNotSent)
}

// errOther stands for any error other than ErrStale and ErrNotSent.
var errOther = errors.New("any other error")

// TestStaleConnections checks that after a backend server dropped an idle
// connection, requests that are not idempotent are not sent on connections that
// were idle for about as long, because their outcome would be unknown if these
// were dropped as well.
func TestStaleConnections(t *testing.T) {
	const staleAfter = 200 * time.Millisecond
	s := newFakeServer(t, func(_ *fakeServer, _ int64, conn *net.TCPConn) bool { return answerOK(conn) })
	now := time.Now()
	c, cleanUp := NewClient(s.address, func() time.Time { return now })
	defer cleanUp()
	c.recordStale(staleAfter)
	for range 20 {
		if err := get(t, c, true); err != nil {
			t.Error(err)
		}
		now = now.Add(staleAfter * 3 / 4)
	}
	if got := s.opened.Load(); got != 20 {
		t.Errorf("got %d connections, want one for each request", got)
	}
	now = now.Add(stalePeriod)
	if got := c.currentIdleLimit(); got != maxIdleTime {
		t.Errorf("got an idle limit of %v after the stale period, want %v", got, maxIdleTime)
	}
}

// TestBrokenIdleConnection checks that a request whose idle connection broke
// before any byte was written is sent on a new connection and succeeds. Otherwise
// the caller would see a failure although the backend server is healthy.
func TestBrokenIdleConnection(t *testing.T) {
	s := newFakeServer(t, func(_ *fakeServer, _ int64, conn *net.TCPConn) bool { return answerOK(conn) })
	c, cleanUp := NewClient(s.address, time.Now)
	defer cleanUp()
	if err := get(t, c, true); err != nil {
		t.Fatal(err)
	}
	_ = c.idle[0].raw.(*net.TCPConn).CloseWrite()
	if err := get(t, c, true); err != nil {
		t.Errorf("got %v, want an answer over a new connection", err)
	}
	if got := s.requests.Load(); got != 2 {
		t.Errorf("the backend server received %d requests, want 2", got)
	}
}

// TestAnswerWithoutEnd guards against memory that grows with the bytes of a backend
// server in trouble: a head, or informational answers, without an end. The request
// has to fail long before its deadline, after a bounded number of bytes.
func TestAnswerWithoutEnd(t *testing.T) {
	tests := map[string]struct{ first, repeated string }{
		"status line":          {"HTTP/1.1 200 ", "a"},
		"header names":         {"HTTP/1.1 200 OK\r\n", "X-Filler: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n"},
		"one header":           {"HTTP/1.1 200 OK\r\nX: ", "a"},
		"informational heads":  {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"bytes without a line": {"", "\x00\xff"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			s := newFakeServer(t, func(_ *fakeServer, _ int64, conn *net.TCPConn) bool {
				writeWithoutEnd(conn, test.first, strings.Repeat(test.repeated, 4096/len(test.repeated)), &sent)
				return false
			})
			c, cleanUp := NewClient(s.address, time.Now)
			defer cleanUp()
			started := time.Now()
			if err := get(t, c, false); err == nil || errors.Is(err, ErrNotSent) {
				t.Errorf("got error %v, want one of a request that was sent", err)
			}
			const maxSent = 16 << 20 // what the sockets' buffers may take
			if took := time.Since(started); took > 2*time.Second || sent.Load() > maxSent {
				t.Errorf("failed after %v and %d bytes, want an end at the bound of the head", took, sent.Load())
			}
		})
	}
}

// writeWithoutEnd writes first and then part again and again until the connection is
// closed, and counts the bytes.
func writeWithoutEnd(conn net.Conn, first, part string, sent *atomic.Int64) {
	_, err := conn.Write([]byte(first))
	for err == nil {
		var n int
		n, err = conn.Write([]byte(part))
		sent.Add(int64(n))
	}
}
