// Package load sends bounded requests to nodes as callers would, and counts
// what came back.
package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/standin"
)

const connectionsPerHost = 64

// Plan describes a load.
type Plan struct {
	// Addresses are the caller addresses that requests go to in turn.
	Addresses []string
	Method    string
	Path      string
	// Keyed gives each request an idempotency key.
	Keyed     bool
	PerSecond float64
	Requests  int
	Workers   int
	Timeout   time.Duration
}

// Answer is what became of one request.
type Answer struct {
	Mark    string
	Key     string
	Status  int
	Verdict string
	Reason  string
	Version string
	Body    string
	Err     string
	Sent    time.Time
	Took    time.Duration
}

// IsOwn reports whether a successful answer is whole and belongs to the request.
func (a Answer) IsOwn() bool {
	return a.Status == http.StatusOK && strings.Contains(a.Body, "mark="+a.Mark+" ") && strings.HasSuffix(strings.TrimRight(a.Body, "x"), "\n")
}

// Result holds all answers of a load.
type Result struct {
	Answers []Answer
}

// Run sends the planned requests and waits for their answers, or the end of ctx.
func Run(ctx context.Context, plan Plan) Result {
	client := NewClient(plan.Timeout)
	defer client.CloseIdleConnections()
	limiter := rate.NewLimiter(rate.Limit(plan.PerSecond), 1)
	work := make(chan int)
	answers := make([]Answer, plan.Requests)
	var wg sync.WaitGroup
	for range plan.Workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range work {
				answers[i] = plan.send(ctx, client, i)
			}
		}()
	}
	sent := 0
	for sent < plan.Requests && limiter.Wait(ctx) == nil {
		work <- sent
		sent++
	}
	close(work)
	wg.Wait()
	return Result{Answers: answers[:sent]}
}

// NewClient returns a caller's HTTP client.
func NewClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: connectionsPerHost}}
}

func (p Plan) send(ctx context.Context, client *http.Client, i int) Answer {
	key := ""
	if p.Keyed {
		key = uuid.NewString()
	}
	return Send(ctx, client, p.Method, "http://"+p.Addresses[i%len(p.Addresses)]+p.Path, key)
}

// Send sends one request and reads its whole answer.
func Send(ctx context.Context, client *http.Client, method, url, key string) Answer {
	a := Answer{Mark: uuid.NewString(), Key: key, Sent: time.Now()}
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader([]byte("order"))
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		a.Err = err.Error()
		return a
	}
	// The library must not resend on its own what the system promised to run once.
	req.GetBody = nil
	req.Header.Set(standin.MarkHeader, a.Mark)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := client.Do(req)
	if err == nil {
		err = a.read(resp)
	}
	if err != nil {
		a.Err = err.Error()
	}
	a.Took = time.Since(a.Sent)
	return a
}

func (a *Answer) read(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	a.Status = resp.StatusCode
	a.Verdict = resp.Header.Get("Hibiscusrock-Verdict")
	a.Reason = resp.Header.Get("Hibiscusrock-Reason")
	a.Version = resp.Header.Get("Hibiscusrock-Version")
	body, err := io.ReadAll(resp.Body)
	a.Body = string(body)
	return err
}

// Succeeded counts the answers with status 200.
func (r Result) Succeeded() int {
	n := 0
	for _, a := range r.Answers {
		if a.Status == http.StatusOK && a.Err == "" {
			n++
		}
	}
	return n
}

// ByVersion counts the answers by version.
func (r Result) ByVersion() map[string]int {
	counts := make(map[string]int)
	for _, a := range r.Answers {
		if a.Version != "" {
			counts[a.Version]++
		}
	}
	return counts
}

// Failures counts what did not succeed, by status and reason.
func (r Result) Failures() map[string]int {
	counts := make(map[string]int)
	for _, a := range r.Answers {
		if a.Status != http.StatusOK || a.Err != "" {
			counts[fmt.Sprintf("%d %s %s %s", a.Status, a.Reason, a.Verdict, a.Err)]++
		}
	}
	return counts
}

// Quantile returns a quantile of the time that successful answers took.
func (r Result) Quantile(q float64) time.Duration {
	var took []time.Duration
	for _, a := range r.Answers {
		if a.Status == http.StatusOK {
			took = append(took, a.Took)
		}
	}
	if len(took) == 0 {
		return 0
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	return took[min(int(q*float64(len(took))), len(took)-1)]
}
