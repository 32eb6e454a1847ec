package listener

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// ShortAnswerBytes is the length from which an answer is sent before it is complete.
	ShortAnswerBytes = 64 << 10
	// maxPooledBytes bounds the buffers that are kept for later answers.
	maxPooledBytes = 16 << 10
)

var errAnswerTooLong = errors.New("the answer is longer than its Content-Length")

var answerBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// answer is the http.ResponseWriter of one request. What the handler writes before
// the request's turn is held back.
type answer struct {
	conn     *conn
	exchange *exchange
	header   http.Header
	status   int
	// body holds what was written and not yet sent; reserved counts the part of it
	// that was taken from the allowances.
	body     []byte
	reserved int64
	// heldByNode counts the bytes that were taken from the allowance of the node only.
	heldByNode int64
	// headSent is set once the head was sent to the caller.
	headSent bool
	// declared is the length that the handler declared, or -1.
	declared int64
	written  int64
	chunked  bool
	// untilClose is set when only the end of the connection ends the answer.
	untilClose bool
	// aborted is set when the handler panicked: the answer is not complete.
	aborted bool
}

func newAnswer(c *conn, x *exchange) *answer {
	return &answer{conn: c, exchange: x, header: make(http.Header), declared: -1}
}

// Header implements http.ResponseWriter.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	if a.status != 0 {
		return
	}
	a.status = status
	length, err := strconv.ParseInt(a.header.Get("Content-Length"), 10, 64)
	if err != nil || length < 0 {
		a.header.Del("Content-Length")
		return
	}
	a.declared = length
}

// Write implements http.ResponseWriter. Before the request's turn it blocks when
// the answer exceeds the bytes that may be held back. At its turn an answer with started
// requests behind it is held back as far as the node's allowance goes: if it broke off
// after a part was sent, theirs could not be sent any more.
func (a *answer) Write(p []byte) (int, error) {
	if a.status == 0 {
		a.WriteHeader(http.StatusOK)
	}
	if len(p) == 0 {
		return 0, nil
	}
	if !a.hasBody() {
		if !bodyAllowed(a.status) {
			return 0, http.ErrBodyNotAllowed
		}
		return len(p), nil
	}
	if a.declared >= 0 && a.written+int64(len(p)) > a.declared {
		return 0, errAnswerTooLong
	}
	if !a.exchange.hasTurn() && !a.reserve(int64(len(p))) && !a.exchange.awaitTurn() {
		return 0, a.exchange.request.Context().Err()
	}
	a.body = append(a.body, p...)
	a.written += int64(len(p))
	if len(a.body) >= ShortAnswerBytes && a.exchange.hasTurn() && a.beginParts(int64(len(p))) {
		return len(p), a.send(false)
	}
	return len(p), nil
}

// beginParts reports whether what was written may be sent before the answer is
// complete. n is the number of bytes that are held back otherwise.
func (a *answer) beginParts(n int64) bool {
	if a.headSent || a.conn.beginParts(a.exchange, false) {
		return true
	}
	if a.conn.server.held.take(n) {
		a.heldByNode += n
		return false
	}
	a.conn.server.Count(`hibiscusrock_answers_before_started_total`)
	return a.conn.beginParts(a.exchange, true)
}

// reserve takes n bytes from the allowances of the connection and of the node.
func (a *answer) reserve(n int64) bool {
	if !a.conn.held.take(n) {
		return false
	}
	if !a.conn.server.held.take(n) {
		a.conn.held.add(-n)
		return false
	}
	a.reserved += n
	return true
}

func (a *answer) release() {
	a.conn.held.add(-a.reserved)
	a.conn.server.held.add(-a.reserved - a.heldByNode)
	a.reserved, a.heldByNode = 0, 0
}

// Reset discards the answer so far, so that another one can be written. It returns
// false if a part was sent to the caller.
func (a *answer) Reset() bool {
	if a.headSent {
		return false
	}
	a.release()
	a.header, a.status, a.declared = make(http.Header), 0, -1
	a.body, a.written = nil, 0
	return true
}

// FlushError sends what was written, if it is the request's turn and no request behind
// it was started.
func (a *answer) FlushError() error {
	if a.status == 0 {
		a.WriteHeader(http.StatusOK)
	}
	if !a.exchange.hasTurn() || !a.headSent && !a.conn.beginParts(a.exchange, false) {
		return nil
	}
	return a.send(false)
}

// complete sends the rest of the answer at the request's turn. An answer that is
// not complete ends the connection.
func (a *answer) complete() {
	if a.status == 0 && !a.aborted {
		a.WriteHeader(http.StatusOK)
	}
	if a.aborted || a.hasBody() && a.declared >= 0 && a.written < a.declared {
		a.conn.abort()
		return
	}
	// A failed write has ended the connection already.
	if err := a.send(true); err == nil && a.untilClose {
		a.conn.resetOnClose(false)
	}
}

// send writes the head, if that was not sent, and the body so far. final is set
// when the answer is complete.
func (a *answer) send(final bool) error {
	b := answerBuffers.Get().(*bytes.Buffer)
	defer func() {
		if b.Cap() <= maxPooledBytes {
			answerBuffers.Put(b)
		}
	}()
	b.Reset()
	if !a.headSent {
		a.headSent = true
		a.writeHead(b, final)
	}
	a.writeBody(b, final)
	a.body = nil
	a.release()
	return a.conn.write(b.Bytes())
}

func (a *answer) writeBody(b *bytes.Buffer, final bool) {
	const hexadecimal = 16
	if a.chunked && len(a.body) > 0 {
		b.WriteString(strconv.FormatInt(int64(len(a.body)), hexadecimal) + "\r\n")
	}
	b.Write(a.body)
	if a.chunked && len(a.body) > 0 {
		b.WriteString("\r\n")
	}
	if a.chunked && final {
		b.WriteString("0\r\n\r\n")
	}
}

// writeHead chooses how the end of the body is marked and writes the head.
func (a *answer) writeHead(b *bytes.Buffer, final bool) {
	req := a.exchange.request
	switch {
	case a.declared >= 0 || !bodyAllowed(a.status):
	case final:
		if a.hasBody() || len(a.body) > 0 {
			a.header.Set("Content-Length", strconv.Itoa(len(a.body)))
		}
	case a.hasBody() && req.ProtoAtLeast(1, 1):
		a.chunked = true
		a.header.Set("Transfer-Encoding", "chunked")
	case a.hasBody():
		a.untilClose = true
		a.conn.resetOnClose(true)
	}
	closes := a.exchange.body != nil && !a.exchange.body.discard()
	if a.conn.isLastAnswer(a.exchange, closes || a.untilClose) {
		a.header.Set("Connection", "close")
	} else if !req.ProtoAtLeast(1, 1) {
		a.header.Set("Connection", "keep-alive")
	}
	if a.header.Get("Date") == "" {
		a.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	b.WriteString("HTTP/1.1 " + strconv.Itoa(a.status) + " " + http.StatusText(a.status) + "\r\n")
	_ = a.header.Write(b)
	b.WriteString("\r\n")
}

// hasBody reports whether the body of the answer is sent to the caller.
func (a *answer) hasBody() bool {
	return bodyAllowed(a.status) && a.exchange.request.Method != http.MethodHead
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
