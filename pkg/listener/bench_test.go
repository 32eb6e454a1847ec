package listener

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const benchWork = 5 * time.Millisecond

func benchHandler(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/work" {
		time.Sleep(benchWork)
	}
	_, _ = io.WriteString(w, strings.Repeat("x", 400))
}

// BenchmarkSentAhead compares ten requests sent ahead on one connection with ten
// requests on ten connections: the ratio of the median times.
func BenchmarkSentAhead(b *testing.B) {
	const n = 10
	_, address := startServer(b, benchHandler, DefaultLimits())
	one := dial(b, address)
	var ten []*caller
	for range n {
		ten = append(ten, dial(b, address))
	}
	var ahead, apart []time.Duration
	for b.Loop() {
		_ = one.raw.SetDeadline(time.Now().Add(testTimeout))
		started := time.Now()
		one.send(strings.Repeat(get("/work"), n))
		for range n {
			one.wantAnswer(http.StatusOK, "")
		}
		ahead = append(ahead, time.Since(started))
		started = time.Now()
		var wg sync.WaitGroup
		for _, c := range ten {
			_ = c.raw.SetDeadline(time.Now().Add(testTimeout))
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.send(get("/work"))
				c.wantAnswer(http.StatusOK, "")
			}()
		}
		wg.Wait()
		apart = append(apart, time.Since(started))
	}
	b.ReportMetric(float64(median(ahead))/float64(median(apart)), "ahead/apart")
}

func median(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)/2]
}

// BenchmarkPlainRequest compares a request on a kept connection with the server of
// the standard library.
func BenchmarkPlainRequest(b *testing.B) {
	_, ours := startServer(b, benchHandler, DefaultLimits())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() { _ = http.Serve(l, http.HandlerFunc(benchHandler)) }()
	for name, address := range map[string]string{"listener": ours, "net_http": l.Addr().String()} {
		b.Run(name, func(b *testing.B) {
			c := dial(b, address)
			_ = c.raw.SetDeadline(time.Time{})
			b.ReportAllocs()
			for b.Loop() {
				c.send(get("/plain"))
				c.wantAnswer(http.StatusOK, "")
			}
		})
	}
}
