package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
)

const (
	announceInterval = 300 * time.Millisecond
	announceTimeout  = time.Second
	leaveTimeout     = 20 * time.Second
	// leaveGrace is how long a leaving backend server still accepts requests, so
	// that nodes that have not received its announcement yet are not refused.
	leaveGrace      = 4 * time.Second
	crashExitStatus = 3
	// CrashMark in the path or body of a request makes a backend server exit if
	// CrashOnMark is set.
	CrashMark = "crash-the-backend-server"
)

// BackendFaults are the faults that a backend server injects. FailRoute,
// AfterRequests, OverInFlight and OverPerSecond restrict FailPercent and SlowMS;
// all four conditions must hold for a request to fail or to be slow.
type BackendFaults struct {
	// FailPercent of the affected requests get an answer with status 500.
	FailPercent int `json:"fail_percent"`
	// FailRoute is the prefix of the affected paths.
	FailRoute string `json:"fail_route"`
	// AfterRequests is the number of requests, from the start of the process, that are not affected.
	AfterRequests int `json:"after_requests"`
	// OverInFlight is the number of requests in flight above which requests are affected.
	OverInFlight int `json:"over_in_flight"`
	// OverPerSecond is the number of requests in a second above which further requests are affected.
	OverPerSecond int `json:"over_per_second"`
	// SlowMS is the time in milliseconds added to each affected request.
	SlowMS int `json:"slow_ms"`
	// CutPercent of answers are cut off in the middle of the body.
	CutPercent int `json:"cut_percent"`
	// DuplicateAnswers sends each answer twice on the same connection.
	DuplicateAnswers bool `json:"duplicate"`
	// CrashOnMark makes the process exit with status 3 when a request contains CrashMark,
	// after the milliseconds that its query parameter crash_after_ms names.
	CrashOnMark bool `json:"crash_on_mark"`
	// ShedPercent of requests are refused with status 503 before they run.
	ShedPercent int `json:"shed_percent"`
	// StopAnnouncements stops the announcements to the node.
	StopAnnouncements bool `json:"mute_heartbeat"`
}

// Run describes one request that a backend server ran.
type Run struct {
	Key    string    `json:"key"`
	Method string    `json:"method"`
	Path   string    `json:"path"`
	Mark   string    `json:"mark"`
	At     time.Time `json:"at"`
	Failed bool      `json:"failed"`
}

// MarkHeader carries an identifier that the caller gives to a request, so that tests
// can look up the runs of the request.
const MarkHeader = "Lab-Mark"

// Backend is a fake backend server that injects faults.
type Backend struct {
	service, version, instance string
	slots                      int
	workTime                   time.Duration
	crash                      func()
	started                    time.Time

	mu     sync.Mutex
	faults BackendFaults
	runLog *json.Encoder
	// pendingCutPercent is the sum of CutPercent over the answers so far, less 100 for each cut answer.
	pendingCutPercent int
	inFlight          int
	received          int
	leaving           bool
	// currentSecond is a Unix time; requestsThisSecond counts the requests begun in it.
	currentSecond      int64
	requestsThisSecond int
}

// NewBackend returns a backend server that takes the duration work for each
// request. It writes a Run as a line of JSON to runs before it runs a request.
func NewBackend(service, version, instance string, slots int, work time.Duration, runs io.Writer) *Backend {
	return &Backend{
		service:  service,
		version:  version,
		instance: instance,
		slots:    slots,
		workTime: work,
		crash:    func() { os.Exit(crashExitStatus) },
		runLog:   json.NewEncoder(runs),
		started:  time.Now(),
	}
}

// SetFaults replaces the injected faults.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// Handler returns the HTTP handler, which serves all paths. POST /_lab/faults
// replaces the faults by a BackendFaults in JSON.
func (b *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /_lab/faults", func(w http.ResponseWriter, r *http.Request) {
		var f BackendFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		b.SetFaults(f)
	})
	mux.HandleFunc("/", b.serve)
	return mux
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f, faulty := b.beginRequest(r.URL.Path)
	defer b.endRequest()
	if f.ShedPercent > 0 && rand.IntN(100) < f.ShedPercent {
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	failed := faulty && rand.IntN(100) < f.FailPercent
	b.recordRun(r, failed)
	if f.CrashOnMark && (strings.Contains(r.URL.Path, CrashMark) || bytes.Contains(body, []byte(CrashMark))) {
		b.crashAfter(queryMS(r, "crash_after_ms", 0))
	}
	work := queryMS(r, "work_ms", b.workTime)
	if faulty {
		work += time.Duration(f.SlowMS) * time.Millisecond
	}
	if !common.Sleep(r.Context(), work) {
		return
	}
	if failed {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	b.writeAnswer(w, r, body, f)
}

// crashAfter ends the process after a time, whatever becomes of the request.
func (b *Backend) crashAfter(d time.Duration) {
	if d == 0 {
		b.crash()
		return
	}
	time.AfterFunc(d, b.crash)
}

// queryMS returns a query parameter in milliseconds, or other if the request has none.
func queryMS(r *http.Request, name string, other time.Duration) time.Duration {
	ms, err := strconv.Atoi(r.URL.Query().Get(name))
	if err != nil {
		return other
	}
	return time.Duration(ms) * time.Millisecond
}

// beginRequest counts a request, and returns the present faults and whether FailPercent
// and SlowMS apply to the request.
func (b *Backend) beginRequest(path string) (BackendFaults, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight++
	b.received++
	if now := time.Now().Unix(); now != b.currentSecond {
		b.currentSecond, b.requestsThisSecond = now, 0
	}
	b.requestsThisSecond++
	f := b.faults
	faulty := b.requestsThisSecond > f.OverPerSecond && strings.HasPrefix(path, f.FailRoute) && b.received > f.AfterRequests && b.inFlight > f.OverInFlight
	return f, faulty
}

func (b *Backend) endRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
}

func (b *Backend) recordRun(r *http.Request, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.runLog.Encode(Run{Key: r.Header.Get("Idempotency-Key"), Method: r.Method, Path: r.URL.Path, Mark: r.Header.Get(MarkHeader), At: time.Now(), Failed: failed})
}

// writeAnswer sends a body with the request's path and mark, so that callers can check that the
// answer belongs to their request. The query parameter size is the minimum length of the body
// in bytes, and pause_ms a pause in the middle of the body.
func (b *Backend) writeAnswer(w http.ResponseWriter, r *http.Request, body []byte, f BackendFaults) {
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	text := fmt.Sprintf("%s %s %s %s %s mark=%s body=%d\n", b.service, b.version, b.instance, r.Method, r.URL.Path, r.Header.Get(MarkHeader), len(body))
	text += strings.Repeat("x", max(size-len(text), 0))
	if b.shouldCut(f.CutPercent) {
		b.writeCutAnswer(w, r, text)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "text/plain")
	header.Set("Content-Length", strconv.Itoa(len(text)))
	header.Set("Hibiscusrock-Request-Id", r.Header.Get("Hibiscusrock-Request-Id"))
	if f.DuplicateAnswers {
		b.writeAnswerTwice(w, r, text)
		return
	}
	if pause := queryMS(r, "pause_ms", 0); pause > 0 {
		_, _ = io.WriteString(w, text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		common.Sleep(r.Context(), pause)
		text = text[len(text)/2:]
	}
	_, _ = io.WriteString(w, text)
}

// shouldCut counts an answer and reports whether to cut it off. Cuts are spread evenly
// over the answers, so that their number does not depend on chance.
func (b *Backend) shouldCut(percent int) bool {
	const fullPercent = 100
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pendingCutPercent += percent
	if b.pendingCutPercent < fullPercent {
		return false
	}
	b.pendingCutPercent -= fullPercent
	return true
}

// rawAnswer returns the bytes of an HTTP/1.1 answer with the body text.
func rawAnswer(r *http.Request, text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nHibiscusrock-Request-Id: %s\r\n\r\n%s", len(text), r.Header.Get("Hibiscusrock-Request-Id"), text)
}

// writeCutAnswer leaves out the second half of the body and closes the connection.
func (b *Backend) writeCutAnswer(w http.ResponseWriter, r *http.Request, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	raw := rawAnswer(r, text)
	_, _ = io.WriteString(conn, raw[:len(raw)-len(text)/2])
	_ = conn.Close()
}

// writeAnswerTwice sends the answer twice, a millisecond apart, and closes the connection
// a second later.
func (b *Backend) writeAnswerTwice(w http.ResponseWriter, r *http.Request, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, rawAnswer(r, text))
	go func() {
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(conn, rawAnswer(r, text))
		time.Sleep(time.Second)
		_ = conn.Close()
	}()
}

type announcement struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving"`
	Started int64  `json:"started_unix_ms"`
}

// Announce announces this backend server, which listens on address, to the node at
// hostAddress until ctx ends. The returned channel is closed after the last announcement.
func (b *Backend) Announce(ctx context.Context, hostAddress, address string) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			b.announceOnce(ctx, hostAddress, address)
			common.Sleep(ctx, announceInterval)
		}
	}()
	return done
}

func (b *Backend) announceOnce(ctx context.Context, hostAddress, address string) {
	b.mu.Lock()
	a := announcement{Service: b.service, Version: b.version, Address: address, Slots: b.slots, Leaving: b.leaving, Started: b.started.UnixMilli()}
	announcementsStopped := b.faults.StopAnnouncements
	b.mu.Unlock()
	if announcementsStopped {
		return
	}
	data, _ := json.Marshal(a)
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+hostAddress+"/v1/backend-servers/"+b.instance, bytes.NewReader(data))
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// Serve serves on listener and announces itself to the node at hostAddress until
// ctx ends. It then announces that it leaves, goes on serving for leaveGrace, waits
// up to leaveTimeout for the requests in flight, and returns. It returns an error if
// serving fails earlier or requests are still in flight after leaveTimeout.
func (b *Backend) Serve(ctx context.Context, listener net.Listener, hostAddress string) error {
	server := &http.Server{Handler: b.Handler(), ReadHeaderTimeout: leaveTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	announceCtx, stopAnnouncing := context.WithCancel(context.Background())
	defer stopAnnouncing()
	done := b.Announce(announceCtx, hostAddress, listener.Addr().String())
	select {
	case <-ctx.Done():
	case err := <-serveErr:
		return err
	}
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	b.announceOnce(context.Background(), hostAddress, listener.Addr().String())
	common.Sleep(context.Background(), leaveGrace)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	err := server.Shutdown(shutdownCtx)
	stopAnnouncing()
	<-done
	return err
}
