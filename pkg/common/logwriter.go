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
	// waitingLines bounds the memory of lines that wait for a slow reader of
	// the log.
	waitingLines = 1024
	// linesPerSecond bounds the processor time that logs take under load.
	linesPerSecond = 200
	burstLines     = 400
)

// LogWriter passes log lines to a writer without ever waiting for it. Lines
// beyond a rate, or that the writer does not take in time, are counted and
// dropped; the next line that is written tells how many.
type LogWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	tokens  float64
	at      time.Time
	now     func() time.Time
}

// NewLogWriter returns a log writer, and a channel that is closed once it has
// written what waited when ctx ended.
func NewLogWriter(ctx context.Context, w io.Writer) (*LogWriter, <-chan struct{}) {
	l := &LogWriter{lines: make(chan []byte, waitingLines), tokens: burstLines, at: time.Now(), now: time.Now}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(ctx, w)
	}()
	return l, done
}

// Write implements io.Writer; the logger calls it for one line at a time.
func (l *LogWriter) Write(line []byte) (int, error) {
	now := l.now()
	l.tokens = min(l.tokens+now.Sub(l.at).Seconds()*linesPerSecond, burstLines)
	l.at = now
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
		_, _ = fmt.Fprintf(w, "{\"event\":%q,\"lines\":%d}\n", event.LogLinesDropped, n)
	}
	_, _ = w.Write(line)
}
