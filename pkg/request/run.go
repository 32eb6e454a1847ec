package request

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/hibiscusrock/hibiscusrock/pkg/admission"
	"github.com/hibiscusrock/hibiscusrock/pkg/booking"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

var errCrossed = errors.New("the answer belongs to another request")

// run is one request on one backend server.
type run struct {
	owner   *Owner
	backend *Backend
	record  *wire.Endpoint
	in      *wire.CallRequest
	send    func(*wire.CallAnswer) error
	claim   *booking.Claim
	outcome admission.Outcome
	cold    bool
	id      string
	// connected is set once bytes may have reached the backend server.
	connected atomic.Bool
}

func (r *run) do(ctx context.Context) error {
	life := r.backend.currentLife()
	started := r.owner.Now()
	r.cold = r.backend.isCold(started)
	resp, err := r.ownAnswer(ctx)
	if err != nil {
		return r.fail(ctx, life, started)
	}
	defer func() { _ = resp.Body.Close() }()
	if slices.Contains(r.in.GetShedStatuses(), int32(resp.StatusCode)) {
		r.outcome = admission.Overloaded
		return r.notRun(verdict.BackendShed)
	}
	failed := resp.StatusCode >= statusServerFailure
	r.finish(failed, r.owner.Now().Sub(started))
	err = r.passAnswer(resp)
	if err == nil && !failed {
		r.owner.ward.Succeeded(r.in.GetFingerprint())
	}
	return err
}

// ownAnswer returns the head of the answer to this request. An answer to
// another request, left over on a reused connection, is dropped, and an
// idempotent request goes out once more on a connection of its own.
func (r *run) ownAnswer(ctx context.Context) (*http.Response, error) {
	client := r.owner.fresh
	if r.in.GetIdempotent() {
		client = r.owner.reused
	}
	resp, err := r.roundTrip(ctx, client)
	if err != nil || r.isOwn(resp) {
		return resp, err
	}
	r.owner.Count(`hibiscusrock_answers_crossed_total`)
	_ = resp.Body.Close()
	if client == r.owner.fresh {
		return nil, errCrossed
	}
	resp, err = r.roundTrip(ctx, r.owner.fresh)
	if err == nil && !r.isOwn(resp) {
		_ = resp.Body.Close()
		return nil, errCrossed
	}
	return resp, err
}

// isOwn reports whether an answer belongs to this request, as far as the
// backend server repeats the request's identifier.
func (r *run) isOwn(resp *http.Response) bool {
	id := resp.Header.Get(requestIDHeader)
	return id == "" || id == r.id
}

func (r *run) roundTrip(ctx context.Context, client *http.Client) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { r.connected.Store(true) }}
	url := "http://" + r.record.GetAddress() + r.in.GetTarget()
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.in.GetMethod(), url, bytes.NewReader(r.in.GetBody()))
	if err != nil {
		return nil, err
	}
	for _, h := range r.in.GetHeaders() {
		req.Header.Add(h.GetName(), h.GetValue())
	}
	req.Host = r.in.GetHost()
	r.id = uuid.NewString()
	req.Header.Set(requestIDHeader, r.id)
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(remainingHeader, strconv.FormatInt(deadline.Sub(r.owner.Now()).Milliseconds(), 10))
	}
	return client.Do(req)
}

// finish records an outcome that the backend server itself gave.
func (r *run) finish(failed bool, took time.Duration) {
	r.outcome = admission.Succeeded
	if failed {
		r.outcome = admission.Failed
	}
	r.owner.recorder.Record(r.in.GetService(), r.in.GetVersion(), r.in.GetRoute(), failed, r.cold, took)
	r.backend.breaker.Record(failed)
}

// fail gives the verdict on a request whose answer did not arrive.
func (r *run) fail(ctx context.Context, life string, started time.Time) error {
	if !r.connected.Load() {
		r.outcome = admission.Failed
		if ctx.Err() == nil {
			r.owner.markDown(r.backend)
		}
		return r.notRun(verdict.BackendRefused)
	}
	took := r.owner.Now().Sub(started)
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return r.unknown(verdict.CallerGone)
	case ctx.Err() != nil:
		r.finish(true, took)
		r.outcome = admission.Overloaded
		return r.unknown(verdict.DeadlinePassed)
	case !r.owner.isDead(r.record.GetAddress()):
		r.finish(true, took)
		return r.unknown(verdict.AnswerLost)
	}
	// One death fails all requests in flight, but is one piece of evidence.
	if r.owner.markDown(r.backend) {
		r.finish(true, took)
	}
	r.owner.ward.Crashed(r.in.GetFingerprint(), life)
	return r.unknown(verdict.BackendCrashed)
}

func (r *run) notRun(reason verdict.Reason) error {
	if r.claim != nil {
		r.claim.Release()
	}
	return r.owner.sendRefusal(verdict.Refuse(verdict.NotRun, reason), r.backend.gate.InFlight(), r.send)
}

func (r *run) unknown(reason verdict.Reason) error {
	return r.owner.sendRefusal(verdict.Refuse(verdict.Unknown, reason), r.backend.gate.InFlight(), r.send)
}

// isDead reports whether a backend server that broke a connection has stopped
// accepting others.
func (o *Owner) isDead(address string) bool {
	for range crashProbes {
		conn, err := net.DialTimeout("tcp", address, crashProbeTimeout)
		if err != nil {
			return true
		}
		_ = conn.Close()
		time.Sleep(crashProbeDelay)
	}
	return false
}

// passAnswer streams the answer. The whole answer of a claimed request is kept first.
func (r *run) passAnswer(resp *http.Response) error {
	if r.claim != nil {
		return r.passClaimed(resp)
	}
	answer := r.head(resp)
	chunks := newChunkReader(resp)
	for {
		chunk, last, err := chunks.next()
		if err != nil {
			r.owner.Count(`hibiscusrock_answers_cut_total`)
			return err
		}
		answer.Body = chunk
		answer.Last = last
		if err := r.send(answer); err != nil || last {
			return err
		}
		answer = &wire.CallAnswer{}
	}
}

func (r *run) head(resp *http.Response) *wire.CallAnswer {
	return &wire.CallAnswer{
		Verdict:  wire.Verdict_VERDICT_RAN,
		Status:   int32(resp.StatusCode),
		Headers:  encodeHeaders(resp.Header),
		InFlight: int32(r.backend.gate.InFlight()),
	}
}

func (r *run) passClaimed(resp *http.Response) error {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return r.unknown(verdict.AnswerLost)
	}
	answer := r.head(resp)
	r.claim.Finish(answer.GetStatus(), answer.GetHeaders(), body)
	for len(body) > chunkBytes {
		answer.Body = body[:chunkBytes]
		if err := r.send(answer); err != nil {
			return err
		}
		answer = &wire.CallAnswer{}
		body = body[chunkBytes:]
	}
	answer.Body = body
	answer.Last = true
	return r.send(answer)
}
