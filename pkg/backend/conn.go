package backend

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
)

// conn is one connection to a backend server. It carries one request at a time.
type conn struct {
	raw net.Conn
	// duplex writes to and reads from raw. A write of a long body must not take the error
	// of a reset from the read of the answer.
	duplex *common.DuplexConn
	// source counts and bounds what reader reads from duplex.
	source   *common.BoundedReader
	reader   *bufio.Reader
	lastUsed time.Time
	// idleTime is how long the connection was idle before the current request; 0
	// for a new connection.
	idleTime time.Duration
	// answerStarted reports whether a byte arrived after the request was written.
	answerStarted bool
	// idleTimeout is how long the connection may be idle, by the last answer.
	idleTimeout time.Duration
	// bodyWritten is closed when writing a long body has ended or failed; nil when
	// no long body is being written.
	bodyWritten chan struct{}
	// writeFailed is set before bodyWritten is closed when writing the body failed.
	writeFailed bool
}

func newConn(raw net.Conn) *conn {
	duplex := common.NewDuplexConn(raw)
	source := common.NewBoundedReader(duplex)
	return &conn{raw: raw, duplex: duplex, source: source, reader: bufio.NewReaderSize(source, readBufferSize), idleTimeout: maxIdleTime}
}

// roundTrip writes a request and reads the head of the answer. A body longer than
// maxInlineBody is written while roundTrip waits for the answer, because a backend
// server may answer before it has read the body. An error that wraps ErrNotSent
// means that no byte was written.
func (cn *conn) roundTrip(r *Request) (*http.Response, error) {
	cn.answerStarted = false
	head := encodeHead(r)
	first := head
	if len(r.Body) <= maxInlineBody {
		first = append(head, r.Body...)
	}
	n, err := cn.duplex.Write(first)
	if err != nil && n == 0 {
		return nil, errors.Join(ErrNotSent, err)
	}
	if err != nil {
		return nil, err
	}
	switch {
	case r.Stream != nil:
		cn.writeBody(func() error { return r.writeStream(cn.duplex) })
	case len(r.Body) > maxInlineBody:
		cn.writeBody(func() error {
			_, err := cn.duplex.Write(r.Body)
			return err
		})
	}
	return cn.readHead(r.Method)
}

// writeBody writes a long body in the background.
func (cn *conn) writeBody(write func() error) {
	done := make(chan struct{})
	cn.bodyWritten = done
	go func() {
		defer close(done)
		cn.writeFailed = write() != nil
	}()
}

// writeStream writes the body that Stream returns. If that breaks off, it closes the
// connection, as the backend server would wait for the rest.
func (r *Request) writeStream(raw net.Conn) error {
	buffer := make([]byte, streamBufferBytes)
	body := r.Stream()
	for written := int64(0); ; {
		n, err := body.Read(buffer)
		written += int64(n)
		if failed := r.writePart(raw, buffer[:n]); failed != nil {
			return failed
		}
		if errors.Is(err, io.EOF) && (r.StreamBytes < 0 || written == r.StreamBytes) {
			if r.StreamBytes < 0 {
				_, err := io.WriteString(raw, "0\r\n\r\n")
				return err
			}
			return nil
		}
		if err != nil {
			_ = raw.Close()
			return err
		}
	}
}

// writePart writes a part of a body, as a chunk if the length of the body is not known.
func (r *Request) writePart(raw net.Conn, part []byte) error {
	if len(part) == 0 {
		return nil
	}
	if r.StreamBytes >= 0 {
		_, err := raw.Write(part)
		return err
	}
	chunk := append([]byte(strconv.FormatInt(int64(len(part)), 16)+"\r\n"), part...)
	_, err := raw.Write(append(chunk, "\r\n"...))
	return err
}

// isStale reports whether an error on a reused connection shows that the other
// end had probably dropped it while it was idle.
func (cn *conn) isStale(err error) bool {
	disconnected := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	return disconnected && !cn.answerStarted
}

// readHead reads the head of the final answer and skips informational (1xx) answers. All
// of that may have maxHeadBytes.
func (cn *conn) readHead(method string) (*http.Response, error) {
	cn.source.Bound(maxHeadBytes)
	defer cn.source.Unbound()
	_, err := cn.reader.Peek(1)
	cn.answerStarted = err == nil
	for {
		resp, err := cn.readOneHead(method)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// readOneHead reads one head and checks its bytes.
func (cn *conn) readOneHead(method string) (*http.Response, error) {
	var h headScanner
	buffered, _ := cn.reader.Peek(cn.reader.Buffered())
	if err := h.scan(buffered); err != nil {
		return nil, err
	}
	cn.source.OnRead(h.scan)
	defer cn.source.OnRead(nil)
	resp, err := http.ReadResponse(cn.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp, h.hasCoding); err != nil {
		return nil, err
	}
	return resp, nil
}

// checkHead returns an error unless what follows the head can be told from it. A body
// behind an informational answer would be read as the head of the next answer. HTTP/1.0 has
// no transfer codings, so one leaves open what its body is.
func checkHead(resp *http.Response, hasCoding bool) error {
	switch {
	case hasCoding && !resp.ProtoAtLeast(1, 1):
		return fmt.Errorf("%w: a transfer coding in %s", ErrInvalidHead, resp.Proto)
	case resp.ProtoMajor != 1:
		return fmt.Errorf("%w: protocol %s", ErrInvalidHead, strconv.Quote(resp.Proto))
	case resp.StatusCode < http.StatusContinue || resp.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: status %s", ErrInvalidHead, strconv.Quote(resp.Status))
	case resp.StatusCode < http.StatusOK && announcesBody(resp):
		return fmt.Errorf("%w: a body behind status %s", ErrInvalidHead, strconv.Quote(resp.Status))
	}
	return nil
}

func announcesBody(resp *http.Response) bool {
	length := resp.Header.Get("Content-Length")
	return len(resp.TransferEncoding) > 0 || length != "" && length != "0"
}

// isReusable reports whether the connection may carry another request after resp
// was read to its end. It also sets the idle timeout by resp.
func (cn *conn) isReusable(resp *http.Response) bool {
	if resp.Close || cn.reader.Buffered() > 0 {
		return false
	}
	if cn.bodyWritten != nil {
		select {
		case <-cn.bodyWritten:
			cn.bodyWritten = nil
		default:
			return false
		}
	}
	cn.idleTimeout = idleTimeoutOf(resp.Header)
	return !cn.writeFailed
}

// isHealthy reports whether an idle connection is open and no byte has arrived on
// it.
func (cn *conn) isHealthy() bool {
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
	healthy := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		healthy = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && healthy
}

// encodeHead returns the request line and the headers. Content-Length is set for
// a request with a body and for methods that usually have one.
func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for _, h := range r.Header {
		b.WriteString(h.GetName())
		b.WriteString(": ")
		b.Write(h.GetValue())
		b.WriteString("\r\n")
	}
	switch {
	case r.Stream != nil && r.StreamBytes < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Stream != nil:
		b.WriteString("Content-Length: " + strconv.FormatInt(r.StreamBytes, 10) + "\r\n")
	case len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
