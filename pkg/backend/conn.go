package backend

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

// conn is one connection; it carries one request at a time.
type conn struct {
	raw      net.Conn
	reader   *bufio.Reader
	lastUsed time.Time
	// rested is the time since the last use when a request took the connection; 0
	// on a new one.
	rested time.Duration
	// answered is set once a byte arrived after the request was written.
	answered    bool
	idleTimeout time.Duration
	// writing is closed once a long body was written, or its writing failed.
	writing chan struct{}
	// broken is set before writing is closed when the body was not written whole.
	broken bool
}

// roundTrip writes a request and reads the head of the answer. A long body is
// written while the answer is awaited, because a backend server may answer
// before it has read the body.
func (cn *conn) roundTrip(r *Request) (*http.Response, error) {
	cn.answered = false
	head := encodeHead(r)
	first := head
	if len(r.Body) <= inlineBody {
		first = append(head, r.Body...)
	}
	n, err := cn.raw.Write(first)
	if err != nil && n == 0 {
		return nil, errors.Join(ErrNotSent, err)
	}
	if err != nil {
		return nil, err
	}
	if len(r.Body) > inlineBody {
		cn.writeBody(r.Body)
	}
	return cn.readHead(r.Method)
}

func (cn *conn) writeBody(body []byte) {
	done := make(chan struct{})
	cn.writing = done
	go func() {
		defer close(done)
		_, err := cn.raw.Write(body)
		cn.broken = err != nil
	}()
}

// isStale reports whether an error on a kept connection is that of one
// which the other end had dropped before.
func (cn *conn) isStale(err error) bool {
	gone := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	return gone && !cn.answered
}

// readHead reads the head of the final answer.
func (cn *conn) readHead(method string) (*http.Response, error) {
	_, err := cn.reader.Peek(1)
	cn.answered = err == nil
	for {
		resp, err := http.ReadResponse(cn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// isReusable reports whether the connection may carry another request after a
// whole answer.
func (cn *conn) isReusable(resp *http.Response) bool {
	if resp.Close || cn.reader.Buffered() > 0 {
		return false
	}
	if cn.writing != nil {
		select {
		case <-cn.writing:
			cn.writing = nil
		default:
			return false
		}
	}
	cn.idleTimeout = idleTimeoutOf(resp.Header)
	return !cn.broken
}

// isQuiet reports whether an idle connection is open and nothing arrived on it.
func (cn *conn) isQuiet() bool {
	if cn.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := cn.raw.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

// encodeHead returns the request line and the headers.
func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for _, h := range r.Header {
		b.WriteString(h.GetName() + ": " + h.GetValue() + "\r\n")
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
