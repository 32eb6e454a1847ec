package backend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// standin is a backend server whose connections end as a test says.
type standin struct {
	address  string
	opened   atomic.Int64
	requests atomic.Int64
}

// newStandin serves connections with serve, which returns whether the
// connection goes on.
func newStandin(t *testing.T, serve func(s *standin, n int64, conn *net.TCPConn) bool) *standin {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &standin{address: listener.Addr().String()}
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

func (s *standin) serveConn(conn *net.TCPConn, serve func(*standin, int64, *net.TCPConn) bool) {
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

func answerWell(conn *net.TCPConn) bool {
	_, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	return err == nil
}

// reset closes a connection so that its peer sees a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// resetSecond answers the first request of a connection and resets the second
// after a part of its answer.
func resetSecond(part string) func(*standin, int64, *net.TCPConn) bool {
	return func(_ *standin, n int64, conn *net.TCPConn) bool {
		if n == 1 {
			return answerWell(conn)
		}
		if part != "" {
			_, _ = conn.Write([]byte(part))
			time.Sleep(20 * time.Millisecond)
		}
		reset(conn)
		return false
	}
}

func get(t *testing.T, c *Client, once bool) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := c.Do(ctx, &Request{Method: http.MethodGet, Target: "/", Host: "h", Once: once})
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

// TestKeptConnectionReset: a reset of a kept connection before any byte of an
// answer is told apart from one in the middle of an answer and from one on a
// new connection, and only the first teaches the client to reuse sooner.
func TestKeptConnectionReset(t *testing.T) {
	tests := map[string]struct {
		serve      func(s *standin, n int64, conn *net.TCPConn) bool
		wantErrors []error
		wantStale  bool
	}{
		"kept, before the answer": {serve: resetSecond(""), wantErrors: []error{nil, ErrStale}, wantStale: true},
		"kept, within the answer": {serve: resetSecond("HTTP/1.1 200 OK\r\n"), wantErrors: []error{nil, errAny}},
		"new": {
			serve: func(_ *standin, _ int64, conn *net.TCPConn) bool {
				reset(conn)
				return false
			},
			wantErrors: []error{errAny},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newStandin(t, test.serve)
			c, cleanUp := NewClient(s.address, time.Now)
			defer cleanUp()
			for i, want := range test.wantErrors {
				if err := get(t, c, false); !isWanted(err, want) {
					t.Errorf("request %d: got %v, want %v", i, err, want)
				}
			}
			if got := c.currentRestLimit() < maxIdle; got != test.wantStale {
				t.Errorf("got a shorter rest %v, want %v", got, test.wantStale)
			}
		})
	}
}

// isWanted reports whether an error of a request that was sent is the one wanted.
func isWanted(err, want error) bool {
	if want == errAny {
		return err != nil && !errors.Is(err, ErrStale) && !errors.Is(err, ErrNotSent)
	}
	return errors.Is(err, want) && !errors.Is(err, ErrNotSent)
}

var errAny = errors.New("any")

// TestStaleConnections: once a backend server forgot an idle connection,
// requests that may run once do not go out on one that has rested as long.
func TestStaleConnections(t *testing.T) {
	const forgets = 200 * time.Millisecond
	s := newStandin(t, func(_ *standin, _ int64, conn *net.TCPConn) bool { return answerWell(conn) })
	now := time.Now()
	c, cleanUp := NewClient(s.address, func() time.Time { return now })
	defer cleanUp()
	c.noteStale(forgets)
	for range 20 {
		if err := get(t, c, true); err != nil {
			t.Error(err)
		}
		now = now.Add(forgets * 3 / 4)
	}
	if got := s.opened.Load(); got != 20 {
		t.Errorf("got %d connections, want one for each request", got)
	}
	now = now.Add(staleTime)
	if got := c.currentRestLimit(); got != maxIdle {
		t.Errorf("got a rest of at most %v after a while, want %v again", got, maxIdle)
	}
}

// TestBrokenIdleConnection: a kept connection that broke before a request could
// be written is replaced without a word to the caller.
func TestBrokenIdleConnection(t *testing.T) {
	s := newStandin(t, func(_ *standin, _ int64, conn *net.TCPConn) bool { return answerWell(conn) })
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
		t.Errorf("the backend server got %d requests, want 2", got)
	}
}
