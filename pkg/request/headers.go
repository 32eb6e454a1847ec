package request

import (
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// encodeHeaders returns the headers that travel end to end.
func encodeHeaders(header http.Header) []*wire.Header {
	skip := make(map[string]bool, len(hopHeaders))
	for _, name := range hopHeaders {
		skip[name] = true
	}
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			skip[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	headers := make([]*wire.Header, 0, len(header))
	for name, values := range header {
		if skip[name] {
			continue
		}
		for _, value := range values {
			headers = append(headers, &wire.Header{Name: name, Value: value})
		}
	}
	return headers
}

// chunkReader cuts an answer into chunks. An answer of known length ends with
// its last byte; a chunk of a streamed answer is passed on as soon as it arrives.
type chunkReader struct {
	body   io.Reader
	left   int64
	buffer []byte
}

func newChunkReader(resp *http.Response) *chunkReader {
	left := resp.ContentLength
	if resp.Request.Method == http.MethodHead {
		left = 0
	}
	size := int64(chunkBytes)
	if left >= 0 {
		size = min(size, left)
	}
	return &chunkReader{body: resp.Body, left: left, buffer: make([]byte, size)}
}

// next returns the next chunk and whether it is the last. The chunk is valid
// until the next call.
func (c *chunkReader) next() ([]byte, bool, error) {
	if c.left < 0 {
		return c.nextStreamed()
	}
	chunk := c.buffer[:min(int64(len(c.buffer)), c.left)]
	if _, err := io.ReadFull(c.body, chunk); err != nil {
		return nil, false, err
	}
	c.left -= int64(len(chunk))
	return chunk, c.left == 0, nil
}

func (c *chunkReader) nextStreamed() ([]byte, bool, error) {
	n, err := c.body.Read(c.buffer)
	if errors.Is(err, io.EOF) {
		return c.buffer[:n], true, nil
	}
	return c.buffer[:n], false, err
}
