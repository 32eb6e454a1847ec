package listener

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
)

// oneConn is a listener that accepts one connection.
type oneConn struct {
	conn chan net.Conn
	end  chan struct{}
	once sync.Once
}

func newOneConn(c net.Conn) *oneConn {
	l := &oneConn{conn: make(chan net.Conn, 1), end: make(chan struct{})}
	l.conn <- c
	return l
}

func (l *oneConn) Accept() (net.Conn, error) {
	select {
	case c := <-l.conn:
		return c, nil
	case <-l.end:
		return nil, net.ErrClosed
	}
}

func (l *oneConn) Close() error {
	l.once.Do(func() { close(l.end) })
	return nil
}

func (*oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// recorder keeps the requests that reach a handler, in the order of their marks.
type recorder struct {
	mu       sync.Mutex
	requests []string
}

func (rec *recorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.requests = append(rec.requests, fmt.Sprintf("%s %s %s %q %v", r.Method, r.Host, r.RequestURI, body, err != nil))
	w.WriteHeader(http.StatusOK)
}

// FuzzRequests sends arbitrary bytes to a Server and to the server of the standard
// library. Each request that the Server passes on has to be one that the other
// passes on, byte for byte and in its order: a request that only one of them sees
// could be smuggled past a check.
func FuzzRequests(f *testing.F) {
	f.Add([]byte(get("/a") + get("/b")))
	f.Add([]byte(post("/a") + get("/b") + post("/c")))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n" + get("/b")))
	f.Add([]byte("GET / HTTP/1.0\r\n\r\n" + get("/b")))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + get("/b")))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get("/b")))
	f.Add([]byte("\r\n" + get("/a") + "x"))
	f.Fuzz(func(t *testing.T, data []byte) {
		ours, theirs := &recorder{}, &recorder{}
		s, cleanUp := New(common.New(), ours, WithIdempotent(func(*http.Request) bool { return false }))
		defer cleanUp()
		exchangeBytes(data, func(l net.Listener) func(context.Context) error {
			s.Serve(t.Context(), l)
			return s.Shutdown
		})
		exchangeBytes(data, func(l net.Listener) func(context.Context) error {
			server := &http.Server{Handler: theirs, DisableGeneralOptionsHandler: true}
			go func() { _ = server.Serve(l) }()
			return server.Shutdown
		})
		if got, want := ours.requests, theirs.requests; len(got) > len(want) || !slices.Equal(got, want[:len(got)]) {
			t.Errorf("got requests %q, want the first of %q", got, want)
		}
	})
}

// exchangeBytes sends data and a last request on one connection and reads until the
// server closes it, or stays silent since data has left it waiting for a body. It returns when the handlers have ended: serve returns the
// function that waits for that.
func exchangeBytes(data []byte, serve func(net.Listener) func(context.Context) error) {
	const silence = 200 * time.Millisecond
	const last = "GET /last HTTP/1.1\r\nHost: last\r\nConnection: close\r\n\r\n"
	near, far := net.Pipe()
	l := newOneConn(far)
	shutDown := serve(l)
	written := make(chan struct{})
	go func() {
		defer close(written)
		_ = near.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = near.Write(append(slices.Clone(data), last...))
	}()
	buffer := make([]byte, 4096)
	for {
		_ = near.SetReadDeadline(time.Now().Add(silence))
		if _, err := near.Read(buffer); err != nil {
			break
		}
	}
	_ = near.Close()
	<-written
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_ = shutDown(ctx)
}
