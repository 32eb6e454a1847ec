// Package load sends a fixed number of requests at a limited rate to nodes, as callers do, and
// counts the answers.
package load

import (
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

const (
	maxIdleConnsPerHost = 64
	orderBody           = "order"
)

// Plan describes the requests of a load. Requests is their number. At most Workers of them are
// in flight at the same time, and each may take Timeout.
type Plan struct {
	// Addresses are the caller addresses of nodes, which receive the requests in turn.
	Addresses []string
	Method    string
	Path      string
	// IdempotencyKeys gives each request an idempotency key.
	IdempotencyKeys   bool
	RequestsPerSecond float64
	Requests          int
	Workers           int
	Timeout           time.Duration
}

// Answer is the outcome of one request. Mark and Key are those of the request, and Err is
// empty if the whole answer was read.
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

// MatchesRequest reports whether the answer has status 200, is complete, and belongs to the request: the
// body is one line that repeats the mark of the request, and padding.
func (a Answer) MatchesRequest() bool {
	return a.Status == http.StatusOK && strings.Contains(a.Body, "mark="+a.Mark+" ") && strings.HasSuffix(strings.TrimRight(a.Body, "x"), "\n")
}

// Result holds the answers to all requests sent, in the order of sending.
type Result struct {
	Answers []Answer
}

// Run sends the requests of plan and waits for their answers. It sends no more once ctx ends.
func Run(ctx context.Context, plan Plan) Result {
	client := NewClient(plan.Timeout)
	defer client.CloseIdleConnections()
	limiter := rate.NewLimiter(rate.Limit(plan.RequestsPerSecond), 1)
	indexes := make(chan int)
	answers := make([]Answer, plan.Requests)
	var wg sync.WaitGroup
	for range plan.Workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range indexes {
				answers[i] = plan.send(ctx, client, i)
			}
		}()
	}
	sent := 0
	for sent < plan.Requests && limiter.Wait(ctx) == nil {
		indexes <- sent
		sent++
	}
	close(indexes)
	wg.Wait()
	return Result{Answers: answers[:sent]}
}

// NewClient returns an HTTP client for a caller. Timeout limits each request with its answer.
func NewClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}}
}

func (p Plan) send(ctx context.Context, client *http.Client, i int) Answer {
	key := ""
	if p.IdempotencyKeys {
		key = uuid.NewString()
	}
	return Send(ctx, client, p.Method, "http://"+p.Addresses[i%len(p.Addresses)]+p.Path, key)
}

// Send sends one request and reads its whole answer. An empty key sends no idempotency key.
func Send(ctx context.Context, client *http.Client, method, url, key string) Answer {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(orderBody)
	}
	return send(ctx, client, method, url, key, body)
}

// SendLate sends a booking of which the last byte follows the rest after a pause.
func SendLate(ctx context.Context, client *http.Client, url string, pause time.Duration) Answer {
	begun, end := strings.NewReader(orderBody[:1]), strings.NewReader(orderBody[1:])
	return send(ctx, client, http.MethodPost, url, "", io.MultiReader(begun, &pausedReader{Reader: end, pause: pause}))
}

// pausedReader waits before its first byte.
type pausedReader struct {
	io.Reader
	pause time.Duration
}

// Read implements io.Reader.
func (r *pausedReader) Read(p []byte) (int, error) {
	time.Sleep(r.pause)
	r.pause = 0
	return r.Reader.Read(p)
}

func send(ctx context.Context, client *http.Client, method, url, key string, body io.Reader) Answer {
	a := Answer{Mark: uuid.NewString(), Key: key, Sent: time.Now()}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		a.Err = err.Error()
		return a
	}
	if body != nil {
		req.ContentLength = int64(len(orderBody))
	}
	// Without GetBody, net/http does not resend a request body by itself. The system runs
	// a non-idempotent request at most once, so the client must not send it twice.
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

// Succeeded counts the answers with status 200 that were read without an error.
func (r Result) Succeeded() int {
	n := 0
	for _, a := range r.Answers {
		if a.Status == http.StatusOK && a.Err == "" {
			n++
		}
	}
	return n
}

// ByVersion counts the answers by the version that the node reported in the header.
func (r Result) ByVersion() map[string]int {
	counts := make(map[string]int)
	for _, a := range r.Answers {
		if a.Version != "" {
			counts[a.Version]++
		}
	}
	return counts
}

// Failures counts the answers that did not succeed by "status reason verdict error".
func (r Result) Failures() map[string]int {
	counts := make(map[string]int)
	for _, a := range r.Answers {
		if a.Status != http.StatusOK || a.Err != "" {
			counts[fmt.Sprintf("%d %s %s %s", a.Status, a.Reason, a.Verdict, a.Err)]++
		}
	}
	return counts
}

// Quantile returns the quantile q, from 0 to 1, of the times of the answers with status 200.
// It returns 0 if there are none.
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
