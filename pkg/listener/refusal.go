package listener

import (
	"io"
	"net/http"
)

// refusedRequest returns the request for which a caller gets an answer although it
// cannot be read. req is what was read of it, or nil.
func refusedRequest(req *http.Request) *http.Request {
	refused := &http.Request{Method: http.MethodGet, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: make(http.Header), Close: true}
	if req != nil && req.Method == http.MethodHead {
		refused.Method = req.Method
	}
	return refused
}

// refusingHandler answers with the status and text of a requestError.
func refusingHandler(invalid *requestError) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		if invalid.status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", "1")
		}
		w.WriteHeader(invalid.status)
		_, _ = io.WriteString(w, invalid.text+"\n")
	})
}
