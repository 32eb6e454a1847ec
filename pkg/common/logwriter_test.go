package common

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuckWriter takes nothing until it is released.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffer.Write(p)
}

// TestLogWriterNeverWaits: a reader that takes nothing delays nobody, and what
// was dropped is told.
func TestLogWriterNeverWaits(t *testing.T) {
	const lines = 20000
	ctx, cancel := context.WithCancel(context.Background())
	out := &stuckWriter{release: make(chan struct{})}
	l, done := NewLogWriter(ctx, out)
	begun := time.Now()
	for range lines {
		if _, err := l.Write([]byte("{}\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(begun); took > time.Second {
		t.Errorf("%d lines took %v beside a reader that takes nothing", lines, took)
	}
	close(out.release)
	cancel()
	<-done
	if got := out.buffer.String(); !strings.Contains(got, "log_lines_dropped") {
		t.Error("nothing tells of the lines that were dropped")
	}
	if got := strings.Count(out.buffer.String(), "{}\n"); got > waitingLines+1 {
		t.Errorf("%d lines were kept, want at most %d", got, waitingLines+1)
	}
}
