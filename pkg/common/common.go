// Package common holds the logger, the metrics and the clock, which most
// constructors take, and helpers for waiting.
package common

import (
	"context"
	"io"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/hibiscusrock/hibiscusrock/pkg/event"
)

// Common carries the logger, the metrics and the clock of one process.
type Common struct {
	log *logrus.Entry
	set *metrics.Set
	now func() time.Time
}

// Option changes a Common under construction.
type Option func(*Common)

// WithClock replaces the wall clock.
func WithClock(now func() time.Time) Option {
	return func(c *Common) { c.now = now }
}

// WithLog sets the logger.
func WithLog(log *logrus.Entry) Option {
	return func(c *Common) { c.log = log }
}

// New returns a Common. Without options it discards log lines and uses the wall
// clock.
func New(opts ...Option) *Common {
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	c := &Common{log: logrus.NewEntry(discard), set: metrics.NewSet(), now: time.Now}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// NewLog returns a JSON logger that writes to w, with the node's name and data
// centre on each line.
func NewLog(w io.Writer, node, dataCentre string) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return log.WithFields(logrus.Fields{"node": node, "data_centre": dataCentre})
}

// Log returns the logger.
func (c *Common) Log() *logrus.Entry { return c.log }

// Event returns a logger whose lines have the given event name.
func (c *Common) Event(name event.Name) *logrus.Entry { return c.log.WithField("event", name) }

// Now returns the current time.
func (c *Common) Now() time.Time { return c.now() }

// Metrics returns the metrics that /metrics serves.
func (c *Common) Metrics() *metrics.Set { return c.set }

// Count increments a counter. The name includes the labels.
func (c *Common) Count(name string) { c.set.GetOrCreateCounter(name).Inc() }

// Observe adds the seconds that passed since the given time to a histogram. The
// name includes the labels.
func (c *Common) Observe(name string, since time.Time) {
	c.set.GetOrCreateHistogram(name).Update(c.now().Sub(since).Seconds())
}

// ReportPanic counts and logs a panic that was recovered in the given part of the program.
func (c *Common) ReportPanic(scope string, reason any) {
	c.Count(`hibiscusrock_handler_panics_total`)
	c.Event(event.HandlerPanicked).WithField("scope", scope).WithField("error", reason).WithField("stack", string(debug.Stack())).Error("recovered from a panic")
}

// Contain must be deferred. It recovers from a panic, reports it and then calls after,
// unless that is nil.
func (c *Common) Contain(scope string, after func()) {
	reason := recover()
	if reason == nil {
		return
	}
	c.ReportPanic(scope, reason)
	if after != nil {
		after()
	}
}

// Jittered returns a random duration from d/2 up to 3d/2. It panics unless d is
// positive.
func Jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// Sleep waits for d and returns true, or false if ctx ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
