package common

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/event"
)

const (
	// maxQueuedLines bounds the memory of lines that are queued while the reader
	// of the log is slow.
	maxQueuedLines = 1024
	// maxLinesPerSecond bounds the processor time spent on logging under load. After
	// a quiet time up to maxBurstLines may be written at once.
	maxLinesPerSecond = 200
	maxBurstLines     = 400
)

// LogWriter passes log lines to a writer without blocking the caller. Lines above
// the rate limit, for which the queue is full or that cannot be written are dropped
// and counted; their number is logged before the next line that is written.
type LogWriter struct {
	lines      chan []byte
	dropped    atomic.Uint64
	tokens     float64
	refilledAt time.Time
	now        func() time.Time
}

// NewLogWriter starts a log writer, which runs until ctx ends. The channel is
// closed once the lines that were queued at that time are written.
func NewLogWriter(ctx context.Context, w io.Writer) (*LogWriter, <-chan struct{}) {
	l := &LogWriter{lines: make(chan []byte, maxQueuedLines), tokens: maxBurstLines, refilledAt: time.Now(), now: time.Now}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(ctx, w)
	}()
	return l, done
}

// Write implements io.Writer. It is not safe for concurrent use; the logger calls
// it for one line at a time.
func (l *LogWriter) Write(line []byte) (int, error) {
	now := l.now()
	l.tokens = min(l.tokens+now.Sub(l.refilledAt).Seconds()*maxLinesPerSecond, maxBurstLines)
	l.refilledAt = now
	if l.tokens < 1 {
		l.dropped.Add(1)
		return len(line), nil
	}
	l.tokens--
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

func (l *LogWriter) run(ctx context.Context, w io.Writer) {
	for {
		select {
		case line := <-l.lines:
			l.write(w, line)
		case <-ctx.Done():
			l.drain(w)
			return
		}
	}
}

func (l *LogWriter) drain(w io.Writer) {
	for {
		select {
		case line := <-l.lines:
			l.write(w, line)
		default:
			return
		}
	}
}

func (l *LogWriter) write(w io.Writer, line []byte) {
	if n := l.dropped.Swap(0); n > 0 {
		if _, err := fmt.Fprintf(w, "{\"event\":%q,\"lines\":%d}\n", event.LogLinesDropped, n); err != nil {
			l.dropped.Add(n)
		}
	}
	if _, err := w.Write(line); err != nil {
		l.dropped.Add(1)
	}
}
