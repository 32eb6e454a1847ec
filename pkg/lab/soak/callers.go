package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/deployment"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/load"
)

const (
	callersPerHost = 2
	callInterval   = 40 * time.Millisecond
	callTimeout    = 3 * time.Second
	maxLatePause   = 1500 * time.Millisecond
	leaveInterval  = 100 * time.Millisecond
	quoteService   = "quote"
	orderService   = "order"
)

// call is one request and the answer that its caller received.
type call struct {
	load.Answer
	method string
	host   int
}

// callers sends requests through the node of each caller's own host. A caller
// reuses its idle connections until the node's process ends.
type callers struct {
	hosts []*deployment.Host

	mu    sync.Mutex
	calls []call
}

// run sends requests until ctx ends and returns when the last answer has been
// received.
func (c *callers) run(ctx context.Context) {
	var wg sync.WaitGroup
	for host := range c.hosts {
		for n := range callersPerHost {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.runOne(ctx, host, n)
			}()
		}
		for _, run := range []func(context.Context, int){c.runLate, c.runLeaving} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				run(ctx, host)
			}()
		}
	}
	wg.Wait()
}

// runLate sends bookings whose last byte comes late, so that a stop finds them begun.
func (c *callers) runLate(ctx context.Context, host int) {
	client := load.NewClient(callTimeout)
	defer client.CloseIdleConnections()
	for common.Sleep(ctx, callInterval) {
		pause := time.Duration(rand.Int64N(int64(maxLatePause)))
		answer := load.SendLate(context.Background(), client, "http://"+c.hosts[host].CallerAddress()+"/"+orderService+"/3", pause)
		c.record(call{Answer: answer, method: http.MethodPost, host: host})
	}
}

// runLeaving sends a request and a part of the next one ahead, and leaves.
func (c *callers) runLeaving(ctx context.Context, host int) {
	const next = "POST /" + orderService + "/4 HTTP/1.1\r\nHost: leaving\r\nContent-Length: 5\r\n\r\n"
	for common.Sleep(ctx, leaveInterval) {
		conn, err := net.DialTimeout("tcp", c.hosts[host].CallerAddress(), callTimeout)
		if err != nil {
			continue
		}
		_, _ = io.WriteString(conn, "GET /"+quoteService+"/2 HTTP/1.1\r\nHost: leaving\r\n\r\n"+next[:rand.IntN(len(next))])
		common.Sleep(ctx, time.Duration(rand.Int64N(int64(callInterval))))
		_ = conn.Close()
	}
}

func (c *callers) runOne(ctx context.Context, host, n int) {
	client := load.NewClient(callTimeout)
	defer client.CloseIdleConnections()
	for i := n; ctx.Err() == nil; i++ {
		switch i % 4 {
		case 0:
			c.send(client, host, http.MethodPost, "/"+orderService+"/1", "")
		case 2:
			// Sends the booking again through another node, like a caller that does
			// not know whether its first request ran.
			key := uuid.NewString()
			c.send(client, host, http.MethodPost, "/"+orderService+"/2", key)
			c.send(client, (host+1)%len(c.hosts), http.MethodPost, "/"+orderService+"/2", key)
		default:
			c.send(client, host, http.MethodGet, "/"+quoteService+"/1", "")
		}
		common.Sleep(ctx, callInterval)
	}
}

// send sends one request and records its answer. It uses a context of its own,
// so that a request in flight completes after the soak's context has ended.
func (c *callers) send(client *http.Client, host int, method, path, key string) {
	answer := load.Send(context.Background(), client, method, "http://"+c.hosts[host].CallerAddress()+path, key)
	c.record(call{Answer: answer, method: method, host: host})
}

func (c *callers) record(a call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, a)
}
