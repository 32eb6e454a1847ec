package store

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
)

// maxInformational bounds the informational answers before an answer. The library leaves it
// to a trace, if there is one.
const maxInformational = 5

// errInvalidHead marks an answer whose head does not tell what follows it.
var errInvalidHead = errors.New("invalid head of an answer of the store")

// send sends a request to a store. It returns an error for an answer with an invalid status
// or field name, and for an informational one with a body, which would be read as the head of
// the answer.
func send(client *http.Client, req *http.Request) (*http.Response, error) {
	informational := 0
	trace := &httptrace.ClientTrace{Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
		informational++
		length := header.Get("Content-Length")
		if informational > maxInformational {
			return fmt.Errorf("%w: more than %d informational ones", errInvalidHead, maxInformational)
		}
		if header.Get("Transfer-Encoding") != "" || length != "" && length != "0" {
			return fmt.Errorf("%w: a body behind status %d", errInvalidHead, code)
		}
		return common.CheckFieldNames(header)
	}}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	err = common.CheckFieldNames(resp.Header)
	if resp.StatusCode < http.StatusOK {
		err = fmt.Errorf("%w: status %s", errInvalidHead, strconv.Quote(resp.Status))
	}
	if err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// readBody reads a body up to a number of bytes, and checks the trailers behind it.
func readBody(resp *http.Response, body io.Reader, maxBytes int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxBytes))
	if err == nil {
		err = common.CheckFieldNames(resp.Trailer)
	}
	return data, err
}
