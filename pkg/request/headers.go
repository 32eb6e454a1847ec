package request

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// Headers sets the names of the headers between the nodes and their callers and
// backend servers. A header with an empty name is not used.
type Headers struct {
	// RequestID identifies one request; backend servers repeat it in the answer.
	RequestID string
	// KeepRequestID sends backend servers the caller's identifier instead of a new
	// one for each run.
	KeepRequestID bool
	// RemainingMS holds the time for which the caller still waits, in milliseconds.
	RemainingMS string
	// Caller holds the service of the host on which the request began.
	Caller string
	// AccountKey holds the key of the caller's client account, which backend servers do not
	// get, and Account the name of that.
	AccountKey, Account string
	// ExpectedInstance holds the instance for which the request is meant.
	ExpectedInstance string
	// NotRun marks an answer of a backend server that did not run the request.
	NotRun string
	// RateLimit names the requests a second that the backend server takes from all
	// nodes, for as long as its answers have it.
	RateLimit string
	// ColdMS holds, in answers to health checks, the time in milliseconds for which the
	// backend server is still cold.
	ColdMS string
	// Load holds, in answers and answers to health checks, the requests that the backend
	// server runs, those that wait and its slots, and fourth, if it tells, the percentage of
	// its usual time that work takes on its machine now.
	Load string
	// Leaving is true in the answers of a backend server that is about to stop.
	Leaving string
	// StatusMeansNotRun is set when callers take 408, 421, 429 and 503 to mean that the
	// request has not run. An unknown outcome then gets another status.
	StatusMeansNotRun bool
	// FractionalRetryAfter allows Retry-After values below a second.
	FractionalRetryAfter bool
}

// DefaultHeaders returns the header names that are used unless others are set.
func DefaultHeaders() Headers {
	return Headers{AccountKey: "Hibiscusrock-Account-Key", Account: "Hibiscusrock-Account", RequestID: "Hibiscusrock-Request-Id", RemainingMS: "Hibiscusrock-Remaining-Ms", RateLimit: "Hibiscusrock-Rate-Limit", Leaving: "Hibiscusrock-Leaving"}
}

// replacedHeaders returns the headers of a caller's request that nodes set anew.
func (h Headers) replacedHeaders() []string {
	return []string{h.RequestID, h.RemainingMS, h.Caller, h.ExpectedInstance, "Content-Length"}
}

// retryAfter returns the value of Retry-After in seconds, rounded up to a whole
// second unless FractionalRetryAfter is set.
func (h Headers) retryAfter(d time.Duration) string {
	const decimals = 3
	if h.FractionalRetryAfter {
		return strconv.FormatFloat(d.Seconds(), 'f', decimals, 64)
	}
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}

// hopByHopHeaders apply to one connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// encodeHeaders returns the end-to-end headers except those named in without. It
// also leaves out the headers that Connection lists.
func encodeHeaders(header http.Header, without ...string) []*wire.Header {
	skip := make(map[string]bool, len(hopByHopHeaders)+len(without))
	for _, name := range hopByHopHeaders {
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
	// All values share one piece of memory.
	size := 0
	for _, values := range header {
		for _, value := range values {
			size += len(value)
		}
	}
	all := make([]byte, 0, size)
	for name, values := range header {
		if skip[name] {
			continue
		}
		for _, value := range values {
			begin := len(all)
			all = append(all, value...)
			headers = append(headers, &wire.Header{Name: name, Value: all[begin:len(all):len(all)]})
		}
	}
	return headers
}
