package soak

import (
	"context"
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
	quoteService   = "quote"
	orderService   = "order"
)

// call is one request as its caller saw it.
type call struct {
	load.Answer
	method string
	host   int
}

// callers send requests through the nodes of their own hosts, on connections
// that they keep until the node's process is gone.
type callers struct {
	hosts []*deployment.Host

	mu    sync.Mutex
	calls []call
}

// run sends until ctx ends and returns once the last answer is in.
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
	}
	wg.Wait()
}

func (c *callers) runOne(ctx context.Context, host, n int) {
	client := load.NewClient(callTimeout)
	defer client.CloseIdleConnections()
	for i := n; ctx.Err() == nil; i++ {
		switch i % 4 {
		case 0:
			c.send(client, host, http.MethodPost, "/"+orderService+"/1", "")
		case 2:
			// A caller that is not sure sends its booking again by another node.
			key := uuid.NewString()
			c.send(client, host, http.MethodPost, "/"+orderService+"/2", key)
			c.send(client, (host+1)%len(c.hosts), http.MethodPost, "/"+orderService+"/2", key)
		default:
			c.send(client, host, http.MethodGet, "/"+quoteService+"/1", "")
		}
		common.Sleep(ctx, callInterval)
	}
}

// send sends one request. Its own context lets it end after the soak's.
func (c *callers) send(client *http.Client, host int, method, path, key string) {
	answer := load.Send(context.Background(), client, method, "http://"+c.hosts[host].CallerAddress()+path, key)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, call{Answer: answer, method: method, host: host})
}
