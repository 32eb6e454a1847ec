package rig2

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// beatInterval is heartbeat-s of the examples.
	beatInterval = 1500 * time.Millisecond
	beatTimeout  = time.Second
	// idleTimeout is how long an instance keeps an idle connection.
	idleTimeout = 10 * time.Second
)

// Exchange is one request at an instance, whose head was read.
type Exchange struct {
	Instance *Instance
	Request  *http.Request
	ID       string
	conn     net.Conn
}

// Write sends bytes to the node.
func (x *Exchange) Write(p []byte) error {
	_, err := x.conn.Write(p)
	return err
}

// Head returns the head of an answer with the headers of a sound instance.
func (x *Exchange) Head(status, length int, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Hibiscusrock-Attempt-Id: %s\r\nX-Hibiscusrock-Server-Seal: seal-%s-%s\r\nContent-Length: %d\r\n%s\r\n",
		status, http.StatusText(status), x.ID, x.Instance.ID, x.ID, length, more)
}

// Answer sends a whole answer.
func (x *Exchange) Answer(status int, body []byte) error {
	return x.Write(append([]byte(x.Head(status, len(body), "")), body...))
}

// Instance is a stand-in of an instance of a service.
type Instance struct {
	ID, Service, Version, Address string
	Slots                         int
	Node                          *Node
	// Serve handles a request and reports whether the connection may be used again.
	Serve func(*Exchange) bool

	born int64
	seq  atomic.Int64
	// reported is the status of the answer to the last status report, 0 for none.
	reported atomic.Int64
	listener net.Listener
}

// Start starts an instance that announces itself to its node.
func (i *Instance) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	i.listener, i.Address, i.born = l, l.Addr().String(), time.Now().UnixMilli()
	go i.accept()
	go i.beat()
	return nil
}

func (i *Instance) accept() {
	for {
		c, err := i.listener.Accept()
		if err != nil {
			return
		}
		go i.serveConn(c)
	}
}

func (i *Instance) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		if _, err := reader.Peek(1); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		x := &Exchange{Instance: i, Request: req, ID: req.Header.Get("X-Hibiscusrock-Attempt-Id"), conn: c}
		if !i.serveOne(x) {
			return
		}
	}
}

func (i *Instance) serveOne(x *Exchange) bool {
	if x.Request.URL.Path == "/health" {
		head := "HTTP/1.1 200 OK\r\nX-Hibiscusrock-Instance-Id: " + i.ID + "\r\nContent-Length: 0\r\n\r\n"
		return x.Write([]byte(head)) == nil
	}
	if expected := x.Request.Header.Get("X-Hibiscusrock-Expect-Instance"); expected != "" && expected != i.ID {
		_, _ = io.Copy(io.Discard, x.Request.Body)
		return x.Answer(http.StatusMisdirectedRequest, nil) == nil
	}
	return i.Serve(x)
}

func (i *Instance) beat() {
	for {
		i.beatOnce()
		time.Sleep(beatInterval)
	}
}

// beatOnce sends one status report.
func (i *Instance) beatOnce() {
	data, _ := json.Marshal(map[string]any{
		"address": i.Address, "born": i.born,
		"info":   map[string]any{"service": i.Service, "version": i.Version, "zone": i.Node.Zone, "slots": i.Slots},
		"status": map[string]any{"state": "ready", "seq-no": i.seq.Add(1), "cold-left-s": 0},
	})
	client := &http.Client{Timeout: beatTimeout}
	resp, err := client.Post("http://"+i.Node.Control+"/v1/rpc?call=instances.heartbeat&of="+i.ID, "application/json", bytes.NewReader(data))
	if err != nil {
		i.reported.Store(0)
		return
	}
	_ = resp.Body.Close()
	i.reported.Store(int64(resp.StatusCode))
}

// Chunk returns a part of a body in the chunked coding.
func Chunk(p []byte) []byte {
	b := append([]byte(strconv.FormatInt(int64(len(p)), 16)+"\r\n"), p...)
	return append(b, "\r\n"...)
}
