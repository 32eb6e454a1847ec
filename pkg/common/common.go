// Package common holds the values that most constructors need.
package common

import (
	"context"
	"io"
	"math/rand/v2"
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

// New returns a Common that logs nowhere unless an option says otherwise.
func New(opts ...Option) *Common {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	c := &Common{log: logrus.NewEntry(quiet), set: metrics.NewSet(), now: time.Now}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// NewLog returns a JSON logger that writes to w, with the node's name on each line.
func NewLog(w io.Writer, node, dataCentre string) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return log.WithFields(logrus.Fields{"node": node, "data_centre": dataCentre})
}

// Log returns the logger.
func (c *Common) Log() *logrus.Entry { return c.log }

// Event returns the logger for a line of the given kind.
func (c *Common) Event(name event.Name) *logrus.Entry { return c.log.WithField("event", name) }

// Now returns the time of the process clock.
func (c *Common) Now() time.Time { return c.now() }

// Metrics returns the set that /metrics shows.
func (c *Common) Metrics() *metrics.Set { return c.set }

// Count adds one to the counter of the given full name, labels included.
func (c *Common) Count(name string) { c.set.GetOrCreateCounter(name).Inc() }

// Observe adds the time since a moment to the histogram of the given full name,
// in seconds.
func (c *Common) Observe(name string, since time.Time) {
	c.set.GetOrCreateHistogram(name).Update(c.now().Sub(since).Seconds())
}

// Jittered returns a duration between half and one and a half of d.
func Jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// Sleep waits for d, or until ctx ends; then it returns false.
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
