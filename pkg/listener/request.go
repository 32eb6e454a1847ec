package listener

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/buffers"
	"github.com/hibiscusrock/hibiscusrock/pkg/common"
)

const (
	readBufferBytes = 4 << 10
	// maxBodyAheadBytes is the length up to which the body of a request behind others
	// is read before its turn.
	maxBodyAheadBytes = 16 << 10
)

// requestError is a request that cannot be read as HTTP/1.1; the caller gets its
// status and text as an answer.
type requestError struct {
	status int
	text   string
}

func (e *requestError) Error() string { return e.text }

var (
	errHeadTooLarge       = &requestError{http.StatusRequestHeaderFieldsTooLarge, "the head of the request is too large"}
	errNoRoom             = &requestError{http.StatusServiceUnavailable, "the node has no room for the request"}
	errMalformed          = &requestError{http.StatusBadRequest, "the request is not HTTP/1.1"}
	errNoHost             = &requestError{http.StatusBadRequest, "the request has no valid Host header"}
	errHeaderName         = &requestError{http.StatusBadRequest, "a header has an invalid name"}
	errHeaderValue        = &requestError{http.StatusBadRequest, "a header has an invalid value"}
	errVersion            = &requestError{http.StatusHTTPVersionNotSupported, "the version of HTTP is not supported"}
	errExpectation        = &requestError{http.StatusExpectationFailed, "the expectation is not supported"}
	errReadTimedOut       = errors.New("the request did not arrive in time")
	errConnectionStopping = errors.New("the connection is stopping")
)

// What a head takes in memory beyond that of an ordinary one is taken from the buffers.
const (
	ordinaryHeadBytes = 8 << 10
	// headLineBytes is the memory that a line takes in addition to its bytes.
	headLineBytes = 128
	// headCopies is the number of copies of a head that a request holds.
	headCopies = 2
)

// headMemory returns the memory that a head takes once it is parsed.
func headMemory(head []byte) int64 {
	return int64(headCopies*len(head) + headLineBytes*bytes.Count(head, []byte("\n")))
}

// requestReader reads the requests of one connection.
type requestReader struct {
	limits  Limits
	raw     net.Conn
	buffers *buffers.Pool
	// head is the part of the buffers that the head which is being read takes, or nil.
	head   *buffers.Lease
	source *common.BoundedReader
	buffer *bufio.Reader
	// afterPost is set behind a POST request. Some callers send an empty line there
	// that belongs to no request.
	afterPost bool
}

func newRequestReader(raw net.Conn, limits Limits, pool *buffers.Pool) *requestReader {
	source := common.NewBoundedReader(raw)
	return &requestReader{limits: limits, raw: raw, buffers: pool, source: source, buffer: bufio.NewReaderSize(source, readBufferBytes)}
}

// takeHead returns the part of the buffers that the head which was read takes, or nil. It
// is the caller's to release.
func (r *requestReader) takeHead() *buffers.Lease {
	head := r.head
	r.head = nil
	return head
}

// releaseHead releases the part of the buffers that no request has taken over.
func (r *requestReader) releaseHead() {
	if r.head != nil {
		r.head.Release()
		r.head = nil
	}
}

// beginHead takes the part of the buffers that a head needs while it is read. What has
// arrived of an ordinary head takes none. A caller that does not go on sending gives up its
// part when others need it.
func (r *requestReader) beginHead() error {
	buffered, _ := r.buffer.Peek(r.buffer.Buffered())
	if memory := headMemory(buffered); memory > ordinaryHeadBytes || !r.isHeadBuffered() {
		r.head = r.buffers.Open(func() { _ = r.raw.SetReadDeadline(past) })
		r.source.OnRead(func(p []byte) error {
			if !r.head.Grow(headMemory(p)) {
				return errNoRoom
			}
			return nil
		})
		if !r.head.Grow(memory) {
			return errNoRoom
		}
	}
	return nil
}

// endHead keeps the part of the buffers of a head that is not ordinary, unless it failed.
func (r *requestReader) endHead(failed bool) {
	r.source.OnRead(nil)
	if r.head != nil && (failed || r.head.Held() <= ordinaryHeadBytes || !r.head.Settle()) {
		r.releaseHead()
	}
}

// consumed returns the bytes that were read and parsed.
func (r *requestReader) consumed() int64 { return r.source.Total() - int64(r.buffer.Buffered()) }

// awaitByte waits for the first byte of the next request.
func (r *requestReader) awaitByte() error {
	const maxSkipped = 4
	for skipped := 0; ; skipped++ {
		next, err := r.buffer.Peek(1)
		if err != nil {
			return err
		}
		isLineEnd := next[0] == '\r' || next[0] == '\n'
		if !r.afterPost || !isLineEnd || skipped == maxSkipped {
			return nil
		}
		_, _ = r.buffer.Discard(1)
	}
}

// isHeadBuffered reports whether the whole head has arrived, so that reading it
// does not block.
func (r *requestReader) isHeadBuffered() bool {
	buffered, _ := r.buffer.Peek(r.buffer.Buffered())
	return bytes.Contains(buffered, []byte("\r\n\r\n"))
}

// readHead reads the head of a request whose first byte has arrived. A
// requestError is a request that cannot be served.
func (r *requestReader) readHead() (*http.Request, error) {
	r.source.Bound(r.limits.HeaderBytes)
	defer r.source.Unbound()
	err := r.beginHead()
	var req *http.Request
	if err == nil {
		req, err = http.ReadRequest(r.buffer)
	}
	r.endHead(err != nil)
	if err != nil {
		return nil, classifyReadError(err)
	}
	r.afterPost = req.Method == http.MethodPost
	return req, checkRequest(req)
}

// bufferedBody is a body that was read from the connection already.
type bufferedBody struct{ bytes.Reader }

// Close implements io.Closer.
func (*bufferedBody) Close() error { return nil }

// readBody replaces the body of a request by its bytes if it is short and its
// length is known.
func (r *requestReader) readBody(req *http.Request) error {
	if req.ContentLength <= 0 || req.ContentLength > maxBodyAheadBytes || expectsContinue(req) {
		return nil
	}
	_ = r.raw.SetReadDeadline(time.Now().Add(r.limits.BodyTimeout))
	data, err := io.ReadAll(req.Body)
	if err != nil {
		return classifyReadError(err)
	}
	b := &bufferedBody{}
	b.Reset(data)
	req.Body = b
	return nil
}

func classifyReadError(err error) error {
	var netErr net.Error
	switch {
	case errors.Is(err, common.ErrBound):
		return errHeadTooLarge
	case errors.Is(err, errNoRoom):
		return errNoRoom
	case errors.As(err, &netErr) && netErr.Timeout():
		return errReadTimedOut
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return err
	}
	return errMalformed
}

// checkRequest refuses what http.ReadRequest accepts but a server must not serve.
func checkRequest(req *http.Request) error {
	switch {
	case req.ProtoMajor != 1:
		return errVersion
	case !isValidHost(req.Host) && (req.Host != "" || req.ProtoAtLeast(1, 1)):
		return errNoHost
	case req.Header.Get("Expect") != "" && !expectsContinue(req):
		return errExpectation
	}
	for name, values := range req.Header {
		if !isValidName(name) {
			return errHeaderName
		}
		for _, value := range values {
			if !common.IsFieldValue(value) {
				return errHeaderValue
			}
		}
	}
	return nil
}

func expectsContinue(req *http.Request) bool {
	return strings.EqualFold(req.Header.Get("Expect"), "100-continue")
}

// isValidHost reports whether a Host header is not empty and has only characters
// of host names, addresses and ports.
func isValidHost(host string) bool {
	return consistsOf(host, "!$%&'()*+,-.:;=@[]_~")
}

// isValidName reports whether a header name is a token.
func isValidName(name string) bool { return consistsOf(name, "!#$%&'*+-.^_`|~") }

// consistsOf reports whether text is not empty and has only letters and digits of
// ASCII and the other characters given.
func consistsOf(text, others string) bool {
	for _, b := range []byte(text) {
		alphanumeric := '0' <= b && b <= '9' || 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
		if !alphanumeric && strings.IndexByte(others, b) < 0 {
			return false
		}
	}
	return text != ""
}

// arrivalContext is the context of a request together with its time of arrival.
type arrivalContext struct {
	context.Context
	arrival time.Time
}

type arrivalKey struct{}

// Value implements context.Context.
func (c *arrivalContext) Value(key any) any {
	if key == (arrivalKey{}) {
		return c.arrival
	}
	return c.Context.Value(key)
}

// Arrival returns when the request with this context was read. It returns false
// for the context of a request that no Server has read.
func Arrival(ctx context.Context) (time.Time, bool) {
	arrival, ok := ctx.Value(arrivalKey{}).(time.Time)
	return arrival, ok
}
