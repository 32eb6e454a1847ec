package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// NewID returns the id of a new client attempt.
func NewID() string { return fmt.Sprintf("%016x", 0x5eed000000000000+lastID.Add(1)) }

// Request is one client attempt.
type Request struct {
	ID       string
	Method   string
	Host     string
	Target   string
	Body     string
	Deadline time.Duration
	// Headers holds further header lines, each with its line end.
	Headers string
}

// Bytes returns the request as it is sent.
func (q Request) Bytes() string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s", q.Method, q.Target, q.Host, AttemptID, q.ID, DeadlineMS, q.Deadline.Milliseconds(), q.Headers)
	if q.Method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.Body))
	}
	return head + "\r\n" + q.Body
}

// Answer is what a client saw of the answer to a request.
type Answer struct {
	Request Request
	Status  int
	Seal    string
	ID      string
	Body    string
	Header  http.Header
	// Err is set when there was no complete answer.
	Err error
	// SentAt and EndedAt are when the last byte of the request was written and when the
	// answer was complete or failed.
	SentAt  time.Time
	EndedAt time.Time
}

// Caller is a client with one kept connection.
type Caller struct {
	rig    *Rig
	node   *Node
	conn   net.Conn
	reader *bufio.Reader
}

// NewCaller returns a client on the machine of a node.
func (r *Rig) NewCaller(n *Node) *Caller { return &Caller{rig: r, node: n} }

// Close closes the connection.
func (c *Caller) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// Do sends a request and waits for its answer until its deadline.
func (c *Caller) Do(q Request) Answer { return c.DoAll(q)[0] }

// DoAll sends requests in a row and waits for their answers. The requests behind one
// without a complete answer have none.
func (c *Caller) DoAll(requests ...Request) []Answer {
	answers := make([]Answer, len(requests))
	err := c.connect()
	for k, q := range requests {
		answers[k] = Answer{Request: q, Err: err}
		if err == nil {
			c.rig.Note("sent", "request %s to %s: %s %s", q.ID, c.node.Name, q.Method, q.Target)
			_, err = io.WriteString(c.conn, q.Bytes())
			answers[k].Err, answers[k].SentAt = err, time.Now()
		}
	}
	for k := range answers {
		a := &answers[k]
		if a.Err == nil && c.conn == nil {
			a.Err = errClosed
		}
		if a.Err == nil {
			c.receive(a)
		}
		a.EndedAt = time.Now()
		if a.Err != nil {
			c.Close()
		}
		c.note(*a)
	}
	return answers
}

var errClosed = errors.New("the connection has ended before")

func (c *Caller) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := c.node.Dial()
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// receive reads the answer.
func (c *Caller) receive(a *Answer) {
	_ = c.conn.SetReadDeadline(a.SentAt.Add(a.Request.Deadline + time.Second))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: a.Request.Method})
	if err != nil {
		a.Err = err
		return
	}
	data, err := io.ReadAll(resp.Body)
	a.Status, a.Seal, a.ID, a.Body, a.Header, a.Err = resp.StatusCode, resp.Header.Get(Seal), resp.Header.Get(AttemptID), string(data), resp.Header, err
	if resp.Close {
		c.Close()
	}
}

func (c *Caller) note(a Answer) {
	if a.Err != nil {
		c.rig.Note("failed", "request %s: %v", a.Request.ID, a.Err)
		return
	}
	c.rig.Note("answer", "request %s: status %d, seal %q", a.Request.ID, a.Status, a.Seal)
}
