package request

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// Headers names the headers that callers and backend servers exchange with the
// nodes. An empty name leaves a header out.
type Headers struct {
	// RequestID identifies one request; backend servers repeat it in the answer.
	RequestID string
	// KeepRequestID passes the caller's identifier on instead of a new one for each run.
	KeepRequestID bool
	// RemainingMS holds the milliseconds for which the caller waits.
	RemainingMS string
	// Caller holds the service of the host on which the request began.
	Caller string
	// Expect holds the instance for which the request is meant.
	Expect string
	// NotRun marks an answer of a backend server that did not run the request.
	NotRun string
	// Promise is set when 429, 503, 408 and 421 tell callers that the request
	// has not run: an outcome that is unknown then has another status.
	Promise bool
	// FractionalRetryAfter allows Retry-After values below a second.
	FractionalRetryAfter bool
}

// DefaultHeaders returns the product's own names.
func DefaultHeaders() Headers {
	return Headers{RequestID: "Hibiscusrock-Request-Id", RemainingMS: "Hibiscusrock-Remaining-Ms"}
}

// own returns the headers of a caller's request that nodes replace.
func (h Headers) own() []string {
	return []string{h.RequestID, h.RemainingMS, h.Caller, h.Expect, "Content-Length"}
}

// retryAfter returns the value of Retry-After.
func (h Headers) retryAfter(d time.Duration) string {
	const decimals = 3
	if h.FractionalRetryAfter {
		return strconv.FormatFloat(d.Seconds(), 'f', decimals, 64)
	}
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}

var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// encodeHeaders returns the headers that travel end to end, but those in without.
func encodeHeaders(header http.Header, without ...string) []*wire.Header {
	skip := make(map[string]bool, len(hopHeaders)+len(without))
	for _, name := range hopHeaders {
		skip[name] = true
	}
	for _, name := range without {
		skip[http.CanonicalHeaderKey(name)] = true
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
