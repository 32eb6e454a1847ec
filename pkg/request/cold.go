package request

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscusrock/hibiscusrock/pkg/backend"
	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// ColdCheckInterval is the time between two health checks of a backend server that
	// may have become cold. It may get the requests of one interval before that shows.
	ColdCheckInterval = 500 * time.Millisecond
	coldCheckTimeout  = 400 * time.Millisecond
	// unknownColdTime bounds the time for which a backend server counts as cold because
	// nothing tells whether it is.
	unknownColdTime     = 10 * time.Second
	maxHealthAnswerBody = 4 << 10
)

// coldState is what this node knows of the cold time of a backend server.
type coldState struct {
	// until is the end of the cold time that was announced last.
	until time.Time
	// unknown is set while neither a heartbeat nor a health check has told whether the
	// backend server is cold: after the start of this node, after the backend server was
	// down, and after the end of an evacuation.
	unknown bool
}

// applyCold limits the requests that are started a second while the backend server is
// cold or that is not known. It returns whether the limit applies now.
func (o *Owner) applyCold(b *Backend) bool {
	limit := o.hooks.ColdStart(b.Record().GetService())
	b.mu.Lock()
	until, unknown := b.cold.until, b.cold.unknown
	b.mu.Unlock()
	if limit == nil {
		b.gate.EndCold()
		return false
	}
	now := o.Now()
	if unknown {
		until = now.Add(unknownColdTime)
	}
	wasCold := b.gate.IsCold()
	if now.Before(until) {
		b.gate.LimitCold(limit.PerSecond, until)
	} else {
		b.gate.EndCold()
	}
	if isCold := b.gate.IsCold(); isCold != wasCold {
		o.Event(event.BackendServerCold).WithFields(logrus.Fields{
			"instance": b.Record().GetInstance(), "cold": isCold, "known": !unknown, "per_second": limit.PerSecond, "left_ms": max(0, until.Sub(now).Milliseconds()),
		}).Info("backend server turned cold, or is cold no more")
	}
	return now.Before(until)
}

// learnCold records for how long a backend server is cold, by a heartbeat or a health
// check.
func (o *Owner) learnCold(b *Backend, left time.Duration) {
	b.mu.Lock()
	b.cold = coldState{until: o.Now().Add(left)}
	b.mu.Unlock()
	o.applyCold(b)
}

// assumeCold counts a backend server as cold until it tells.
func (o *Owner) assumeCold(b *Backend) {
	b.mu.Lock()
	b.cold.unknown = true
	b.mu.Unlock()
	o.applyCold(b)
}

// ApplyColdLimits applies the limits of a changed configuration.
func (o *Owner) ApplyColdLimits() {
	for _, b := range o.Backends() {
		o.applyCold(b)
	}
}

// CheckCold asks those backend servers for their cold time that have a limit for it and
// for which a health check may tell more than the last heartbeat did.
func (o *Owner) CheckCold(ctx context.Context) {
	for _, b := range o.Backends() {
		limit, record := o.hooks.ColdStart(b.Record().GetService()), b.Record()
		if limit == nil || limit.HealthPath == "" || record.GetDown() || record.GetAddress() == "" {
			continue
		}
		b.mu.Lock()
		unknown, client := b.cold.unknown, b.client
		b.mu.Unlock()
		if started := b.gate.TakeStarts(); !unknown && float64(started) < limit.PerSecond*ColdCheckInterval.Seconds() {
			continue
		}
		o.checkCold(ctx, b, client, limit)
	}
}

func (o *Owner) checkCold(ctx context.Context, b *Backend, client *backend.Client, limit *bundle.ColdStart) {
	ctx, cancel := context.WithTimeout(ctx, coldCheckTimeout)
	defer cancel()
	o.Count(`hibiscusrock_health_checks_total`)
	answer, err := client.Do(ctx, &backend.Request{Method: http.MethodGet, Target: limit.HealthPath, Host: b.Record().GetAddress()})
	if err != nil {
		return
	}
	defer answer.Close()
	_, err = io.CopyN(io.Discard, answer, maxHealthAnswerBody)
	switch {
	case err == nil:
		answer.CloseConnection()
	case !errors.Is(err, io.EOF):
		// An answer that breaks off tells nothing.
		return
	}
	b.applyLoad(answer.Header().Get(o.headers.Load))
	if answer.Status() != http.StatusOK {
		return
	}
	text := answer.Header().Get(o.headers.ColdMS)
	ms, err := strconv.ParseInt(text, 10, 64)
	if text != "" && (err != nil || ms < 0) {
		return
	}
	o.learnCold(b, time.Duration(ms)*time.Millisecond)
}

// SetEvacuated refuses all requests for the backend servers of this host, also those that
// wait, or ends that. The servers count as cold then until they tell, since nothing has
// been sent to them for a while.
func (o *Owner) SetEvacuated(evacuated bool) {
	if o.evacuated.Swap(evacuated) == evacuated {
		return
	}
	for _, b := range o.Backends() {
		if !evacuated {
			o.assumeCold(b)
		}
		o.openGate(b, b.Record())
	}
}

// openGate opens the gate of a backend server, or closes it if that drains or its data
// centre is evacuated.
func (o *Owner) openGate(b *Backend, record *wire.Endpoint) {
	switch {
	case record.GetDraining():
		b.gate.Close(verdict.Refuse(verdict.NotRun, verdict.Draining))
	case o.evacuated.Load():
		b.gate.Close(verdict.Refuse(verdict.NotRun, verdict.Evacuated))
	default:
		b.gate.Open()
	}
}
