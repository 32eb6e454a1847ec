package request

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/quarantine"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// newServingOwner returns an owner with one backend server that answers each request
// with answer and closes the connection.
func newServingOwner(t *testing.T, answer func(conn net.Conn)) *Owner {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn)
				}
			}()
		}
	}()
	cm := common.New()
	crashTracker := quarantine.NewCrashTracker(cm, gossip.New(), "self", func() uint64 { return 1 })
	no := func(string, string) bool { return false }
	o, cleanUp := NewOwner(cm, rollout.NewRecorder(cm.Now), crashTracker, OwnerHooks{
		QueueLength:  func(string) int { return 4 },
		Joined:       func() bool { return true },
		Halted:       no,
		IsMoveTarget: no,
		Announce:     func(*wire.Endpoint) {},
	})
	t.Cleanup(cleanUp)
	o.HandleAnnouncement(&wire.Endpoint{Instance: "i", Service: "s", Version: "v1", Address: l.Addr().String(), Slots: 4})
	return o
}

func serveGet(o *Owner, timeout time.Duration, send func(*wire.CallAnswer) error) error {
	in := &wire.CallRequest{Service: "s", Version: "v1", Instance: "i", Route: "r", Method: http.MethodGet, Target: []byte("/"), Host: "h", Idempotent: true, RemainingMs: timeout.Milliseconds()}
	return o.Serve(context.Background(), in, send)
}

// TestBodyWithoutEnd guards against a node whose memory grows with the body of a
// backend server in trouble that sends bytes until the connection is closed. While
// the receiver of the chunks waits, no more of the body may be read.
func TestBodyWithoutEnd(t *testing.T) {
	tests := map[string]struct{ head, part string }{
		"no length": {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 4096)},
		"chunked":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			o := newServingOwner(t, func(conn net.Conn) { writeWithoutEnd(conn, test.head, test.part, &sent) })
			chunks, isLast := 0, false
			err := serveGet(o, 500*time.Millisecond, func(answer *wire.CallAnswer) error {
				chunks++
				isLast = isLast || answer.GetLast()
				time.Sleep(100 * time.Millisecond)
				return nil
			})
			const maxSent = 16 << 20 // what the sockets' buffers may take
			if got := sent.Load(); got > maxSent {
				t.Errorf("the node read up to %d bytes while the receiver waited, want at most %d", got, maxSent)
			}
			if err == nil || isLast || chunks == 0 {
				t.Errorf("got error %v after %d chunks, last %v, want chunks and an error", err, chunks, isLast)
			}
		})
	}
}

// writeWithoutEnd writes head and then part again and again until the connection is
// closed, and counts the bytes.
func writeWithoutEnd(conn net.Conn, head, part string, sent *atomic.Int64) {
	_, err := conn.Write([]byte(head))
	for err == nil {
		var n int
		n, err = conn.Write([]byte(part))
		sent.Add(int64(n))
	}
}

// TestLongAnswerWithoutLength guards against a long answer whose length is not known
// in advance and that is changed, cut, or taken for whole when it breaks off.
func TestLongAnswerWithoutLength(t *testing.T) {
	const size = maxBufferedAnswerBytes + 3*maxChunkBytes + 7
	body := strings.Repeat("0123456789abcdef", size/16+1)[:size]
	tests := map[string]struct {
		answer    string
		wantWhole bool
	}{
		"chunked": {fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body), true},
		"closed":  {"\r\n" + body, true},
		"cut":     {fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s", size+1, body), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newServingOwner(t, func(conn net.Conn) { _, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n" + test.answer)) })
			var got strings.Builder
			isLast := false
			err := serveGet(o, 5*time.Second, func(answer *wire.CallAnswer) error {
				got.Write(answer.GetBody())
				isLast = answer.GetLast()
				if answer.GetReason() != "" {
					return errors.New(string(verdict.Reason(answer.GetReason())))
				}
				return nil
			})
			if isWhole := err == nil && isLast && got.String() == body; isWhole != test.wantWhole {
				t.Errorf("got %d bytes, last %v, error %v, want a whole answer: %v", got.Len(), isLast, err, test.wantWhole)
			}
		})
	}
}

// TestNodeThatHasNotJoined guards against a request that is refused although a node could
// serve it, because another one that has just started does not know its version's state.
func TestNodeThatHasNotJoined(t *testing.T) {
	started := newServingOwner(t, func(conn net.Conn) { _, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")) })
	started.hooks.Joined = func() bool { return false }
	e, _ := newTestEntry(t, 4, nil)
	asked := 0
	e.hooks.CallPeer = func(ctx context.Context, _ string, in *wire.CallRequest, received func(*wire.CallAnswer) error) error {
		if asked++; asked < 4 {
			return started.Serve(ctx, in, received)
		}
		return answered.respond(received)
	}
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body")))
	if asked != 4 || w.Code != http.StatusOK {
		t.Errorf("got status %d after %d nodes were asked, want %d after 4", w.Code, asked, http.StatusOK)
	}
}
