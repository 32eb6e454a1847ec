package backend

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestAnswerCutAnywhere guards against an answer that breaks off, in its head or after it,
// and is passed on as a whole one.
func TestAnswerCutAnywhere(t *testing.T) {
	answers := map[string]string{
		"with a length":   "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: 12\r\nX-Last: 1\r\n\r\nwhole answer",
		"chunked":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Last: 1\r\n\r\n5\r\nwhole\r\n7\r\n answer\r\n0\r\n\r\n",
		"after a 100":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nwhole answer",
		"folded header":   "HTTP/1.1 200 OK\r\nX-Folded: a\r\n b\r\nContent-Length: 12\r\n\r\nwhole answer",
		"bare line feeds": "HTTP/1.1 200 OK\nContent-Length: 12\n\nwhole answer",
	}
	ends := map[string]func(*net.TCPConn){
		"closed": func(conn *net.TCPConn) { _ = conn.Close() },
		"reset":  reset,
	}
	for name, whole := range answers {
		for how, end := range ends {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				for length := range len(whole) {
					checkCut(t, whole[:length], end)
				}
			})
		}
	}
}

// TestAnswerWithoutLengthReset guards against an answer that ends with its connection and
// is passed on as a whole one although the connection was reset.
func TestAnswerWithoutLengthReset(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nX-Last: 1\r\n\r\nwhole answer"
	for length := range len(whole) {
		checkCut(t, whole[:length], func(conn *net.TCPConn) {
			// The reset must not overtake the bytes before it.
			const delivery = 5 * time.Millisecond
			time.Sleep(delivery)
			reset(conn)
		})
	}
}

func checkCut(t *testing.T, part string, end func(*net.TCPConn)) {
	t.Helper()
	s := newFakeServer(t, func(_ *fakeServer, _ int64, conn *net.TCPConn) bool {
		_, _ = conn.Write([]byte(part))
		end(conn)
		return false
	})
	c, cleanUp := NewClient(s.address, time.Now)
	defer cleanUp()
	answer, err := c.Do(t.Context(), &Request{Method: "GET", Target: "/", Host: "h"})
	if err != nil {
		return
	}
	defer answer.Close()
	if body, err := io.ReadAll(answer); err == nil {
		t.Errorf("an answer that breaks off after %q passes as whole with status %d and body %q", part, answer.Status(), body)
	}
}
