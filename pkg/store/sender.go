package store

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
)

const (
	// maxIdleConns bounds the idle connections of a Sender. A watch and another call run at
	// the same time.
	maxIdleConns = 3
	// keepAliveInterval and keepAliveProbes set the TCP keep-alive, which detects a
	// connection whose peer no longer responds.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// resendDelay is the time without an answer on a connection that was idle before after
	// which a read is sent again on a new one.
	resendDelay = 250 * time.Millisecond
	// maxCallTime, maxHeadBytes and maxAnswerBytes bound an answer that never ends.
	maxCallTime    = 10 * time.Second
	maxHeadBytes   = 64 << 10
	maxAnswerBytes = 8 << 20
)

// errNoAnswer ends a call of whose answer nothing arrived in time.
var errNoAnswer = errors.New("nothing of the answer arrived in time")

// Call is one call to a store.
type Call struct {
	Method, URL string
	// Body is a JSON document, or empty.
	Body []byte
	// Wait is the time for which the store may hold the answer back.
	Wait time.Duration
}

// Answer is a whole answer of a store.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Sender sends calls to a store over HTTP and keeps connections for the next ones. It is
// safe for concurrent use.
type Sender struct {
	*common.Common
	http    *http.Client
	timeout time.Duration
}

// NewSender returns a sender, and a function that closes its idle connections. The timeout
// applies to the time in which nothing of an answer arrives, beyond the wait of the call.
func NewSender(cm *common.Common, timeout time.Duration) (*Sender, func()) {
	dialer := &net.Dialer{Timeout: timeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes}}
	transport := &http.Transport{DialContext: dialDuplex(dialer), MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeadBytes, DisableCompression: true}
	return &Sender{Common: cm, http: &http.Client{Transport: transport}, timeout: timeout}, transport.CloseIdleConnections
}

// Send sends a call and returns its answer. A read that gets no answer on a connection which
// was idle before is sent again on a new one. Idle connections tend to become silent
// together, so they are all closed then.
func (s *Sender) Send(ctx context.Context, call Call) (Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(call.Wait+s.timeout, func() { cancel(errNoAnswer) })
	defer silence.Stop()
	limit := time.AfterFunc(call.Wait+maxCallTime, func() { cancel(errNoAnswer) })
	defer limit.Stop()
	resp, err := s.firstResponse(ctx, call)
	if err != nil {
		if ctx.Err() != nil {
			s.http.CloseIdleConnections()
			err = errors.Join(context.Cause(ctx), err)
		}
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readBody(resp, &progressReader{resp.Body, func() { silence.Reset(s.timeout) }}, maxAnswerBytes)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, err
}

// progressReader calls a function after each read that returned something.
type progressReader struct {
	io.Reader
	onProgress func()
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.onProgress()
	}
	return n, err
}

// sending is the outcome of one sending of a call.
type sending struct {
	number int
	resp   *http.Response
	err    error
}

// sendings are the concurrent sendings of one call.
type sendings struct {
	sender  *Sender
	call    Call
	done    chan sending
	cancels []context.CancelFunc
	ended   int
	// reused is set if the last one got a connection that was idle before.
	reused atomic.Bool
}

// firstResponse returns the first response to a call, which may be sent twice. The body of
// the response can be read until ctx ends.
func (s *Sender) firstResponse(ctx context.Context, call Call) (*http.Response, error) {
	all := &sendings{sender: s, call: call, done: make(chan sending, 2)}
	all.start(ctx)
	timer := time.NewTimer(resendDelay)
	defer timer.Stop()
	for {
		select {
		case one := <-all.done:
			all.ended++
			if one.err == nil || all.ended == len(all.cancels) {
				all.endOthers(one)
				return one.resp, one.err
			}
		case <-timer.C:
			if all.mayResend() {
				s.Count(`hibiscusrock_store_reads_resent_total`)
				s.http.CloseIdleConnections()
				all.start(ctx)
			}
		}
	}
}

func (all *sendings) start(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { all.reused.Store(info.Reused) }})
	number := len(all.cancels)
	all.cancels = append(all.cancels, cancel)
	go func() {
		resp, err := all.sender.do(ctx, all.call)
		all.done <- sending{number, resp, err}
	}()
}

// mayResend reports whether the call is a read that should have been answered by now and was
// sent on a connection that was idle before.
func (all *sendings) mayResend() bool {
	return all.call.Method == http.MethodGet && all.call.Wait < resendDelay && all.reused.Load()
}

// endOthers ends all sendings but the one whose response is used, and waits for their end.
func (all *sendings) endOthers(used sending) {
	for number, cancel := range all.cancels {
		if number != used.number || used.err != nil {
			cancel()
		}
	}
	for ; all.ended < len(all.cancels); all.ended++ {
		if late := <-all.done; late.resp != nil {
			_ = late.resp.Body.Close()
		}
	}
}

func (s *Sender) do(ctx context.Context, call Call) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, call.URL, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if len(call.Body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	return send(s.http, req)
}
