package request

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/hibiscusrock/hibiscusrock/pkg/admission"
	"github.com/hibiscusrock/hibiscusrock/pkg/backend"
	"github.com/hibiscusrock/hibiscusrock/pkg/booking"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// maxCrossed bounds the answers to other requests that are dropped before the
	// connection is given up.
	maxCrossed = 4
	// The own answer behind another one is awaited for a little longer than the
	// work usually takes.
	shortestCrossedWait = 50 * time.Millisecond
	crossedWaitFactor   = 2
)

var errCrossed = errors.New("the answers belong to other requests")

// run is one request on one backend server.
type run struct {
	owner    *Owner
	backend  *Backend
	record   *wire.Endpoint
	in       *wire.CallRequest
	work     admission.Work
	deadline time.Time
	send     func(*wire.CallAnswer) error
	claim    *booking.Claim
	outcome  admission.Outcome
	cold     bool
	id       string
}

func (r *run) do(ctx context.Context) error {
	life := r.backend.currentLife()
	started := r.owner.Now()
	r.cold = r.backend.isCold(started)
	answer, err := r.ownAnswer(ctx)
	r.owner.Observe(`hibiscusrock_backend_server_seconds`, started)
	if err != nil {
		return r.fail(ctx, err, life, started)
	}
	defer answer.Close()
	if r.isReplaced(answer) {
		// Another backend server lives at the address; this one is gone.
		r.outcome = admission.Failed
		r.owner.markDown(r.backend)
		return r.notRun(verdict.BackendReplaced)
	}
	if r.isShed(answer) {
		return r.shed(answer)
	}
	return r.deliver(ctx, answer, life, started)
}

// deliver passes an answer on. One of moderate length is read whole first.
func (r *run) deliver(ctx context.Context, answer *backend.Answer, life string, started time.Time) error {
	failed := answer.Status() >= statusServerFailure
	if answer.Length() > wholeBytes && r.claim == nil {
		r.finish(failed, r.owner.Now().Sub(started))
		return r.stream(answer)
	}
	body, err := io.ReadAll(answer)
	if err != nil {
		r.owner.Count(`hibiscusrock_answers_cut_total`)
		return r.fail(ctx, err, life, started)
	}
	r.finish(failed, r.owner.Now().Sub(started))
	if !failed {
		r.owner.ward.Succeeded(r.in.GetFingerprint())
	}
	head := r.head(answer)
	if failed {
		r.owner.logFailure(r.in, head)
	}
	if r.claim != nil {
		r.claim.Finish(head.GetStatus(), head.GetHeaders(), body)
	}
	return r.sendWhole(head, body)
}

// shed gives the verdict on a request that the backend server did not run. By a
// declared status it says that it has too much work. The header says nothing of
// its load, because it never has more work than the slots that it announced.
func (r *run) shed(answer *backend.Answer) error {
	r.outcome = admission.Failed
	if r.hasShedStatus(answer) {
		r.outcome = admission.Overloaded
	}
	r.backend.health.add(true)
	return r.notRun(verdict.BackendShed)
}

func (r *run) hasShedStatus(answer *backend.Answer) bool {
	return slices.Contains(r.in.GetShedStatuses(), int32(answer.Status()))
}

func (r *run) isShed(answer *backend.Answer) bool {
	if r.hasShedStatus(answer) {
		return true
	}
	name := r.owner.headers.NotRun
	if name == "" {
		return false
	}
	return answer.Header().Get(name) != ""
}

// isReplaced reports whether the answer says that the request did not run,
// because another backend server than the expected one got it.
func (r *run) isReplaced(answer *backend.Answer) bool {
	return r.owner.headers.Expect != "" && answer.Status() == http.StatusMisdirectedRequest
}

// ownAnswer returns the head of the answer to this request. An answer to
// another request, left over on a reused connection, is dropped; should the
// backend server not go on with the connection, an idempotent request goes out
// once more on one of its own.
func (r *run) ownAnswer(ctx context.Context) (*backend.Answer, error) {
	req := r.newRequest()
	answer, err := r.ownAnswerOf(ctx, req)
	if errors.Is(err, errCrossed) && r.in.GetIdempotent() && ctx.Err() == nil {
		req.Fresh = true
		return r.ownAnswerOf(ctx, req)
	}
	return answer, err
}

func (r *run) ownAnswerOf(ctx context.Context, req *backend.Request) (*backend.Answer, error) {
	answer, err := r.backend.client.Do(ctx, req)
	for crossed := 0; err == nil; crossed++ {
		if r.isOwn(answer) {
			return answer, nil
		}
		r.owner.Count(`hibiscusrock_answers_crossed_total`)
		r.owner.Event(event.AnswerCrossed).WithField("request", r.in.GetRequestId()).WithField("instance", r.in.GetInstance()).Info("answer to another request dropped")
		if crossed == maxCrossed {
			answer.Close()
			return nil, errCrossed
		}
		if answer, err = answer.Next(r.crossedWait()); err != nil {
			return nil, errors.Join(errCrossed, err)
		}
	}
	return nil, err
}

// crossedWait returns how long the own answer is awaited behind one that
// belongs to another request. One that must not run again is awaited to the end.
func (r *run) crossedWait() time.Duration {
	if !r.in.GetIdempotent() {
		return 0
	}
	return shortestCrossedWait + crossedWaitFactor*r.backend.gate.Forecast(r.work).Work
}

// isOwn reports whether an answer belongs to this request, as far as the
// backend server repeats the request's identifier.
func (r *run) isOwn(answer *backend.Answer) bool {
	id := answer.Header().Get(r.owner.headers.RequestID)
	return id == "" || id == r.id
}

func (r *run) newRequest() *backend.Request {
	h := r.owner.headers
	r.id = r.in.GetRequestId()
	if !h.KeepRequestID {
		r.id = uuid.NewString()
	}
	left := max(r.deadline.Sub(r.owner.Now()), time.Millisecond)
	headers := slices.Clone(r.in.GetHeaders())
	for _, own := range []*wire.Header{
		{Name: h.RequestID, Value: r.id},
		{Name: h.RemainingMS, Value: strconv.FormatInt(left.Milliseconds(), 10)},
		{Name: h.Caller, Value: r.in.GetCaller()},
		{Name: h.Expect, Value: r.record.GetInstance()},
	} {
		if own.GetName() != "" && own.GetValue() != "" {
			headers = append(headers, own)
		}
	}
	return &backend.Request{
		Method: r.in.GetMethod(),
		Target: r.in.GetTarget(),
		Host:   r.in.GetHost(),
		Header: headers,
		Body:   r.in.GetBody(),
		Once:   !r.in.GetIdempotent(),
	}
}

// finish records an outcome that the backend server itself gave.
func (r *run) finish(failed bool, took time.Duration) {
	r.outcome = admission.Succeeded
	if failed {
		r.outcome = admission.Failed
	}
	r.owner.recorder.Record(r.in.GetService(), r.in.GetVersion(), r.in.GetRoute(), failed, r.cold, took)
	r.backend.breaker.Record(failed)
	r.backend.health.add(failed)
}

// fail gives the verdict on a request whose answer did not arrive.
func (r *run) fail(ctx context.Context, err error, life string, started time.Time) error {
	if errors.Is(err, backend.ErrNotSent) {
		r.outcome = admission.Failed
		if ctx.Err() == nil {
			r.owner.markDown(r.backend)
		}
		return r.notRun(verdict.BackendRefused)
	}
	took := r.owner.Now().Sub(started)
	switch {
	case r.backend.isDown():
		return r.unknown(verdict.BackendCrashed)
	case errors.Is(ctx.Err(), context.Canceled):
		return r.unknown(verdict.CallerGone)
	case ctx.Err() != nil:
		r.finish(true, took)
		r.outcome = admission.Overloaded
		return r.unknown(verdict.DeadlinePassed)
	case !r.owner.isDead(r.record.GetAddress()):
		// A connection that was forgotten while idle is no failure of the
		// backend server.
		if !errors.Is(err, backend.ErrStale) {
			r.finish(true, took)
		}
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
	return r.owner.sendRefusal(r.backend, r.in, verdict.Refuse(verdict.NotRun, reason), r.send)
}

func (r *run) unknown(reason verdict.Reason) error {
	return r.owner.sendRefusal(r.backend, r.in, verdict.Refuse(verdict.Unknown, reason), r.send)
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

// stream passes a long answer on as it arrives.
func (r *run) stream(answer *backend.Answer) error {
	out := r.head(answer)
	left := answer.Length()
	buffer := make([]byte, chunkBytes)
	for {
		chunk := buffer[:min(int64(len(buffer)), left)]
		if _, err := io.ReadFull(answer, chunk); err != nil {
			r.owner.Count(`hibiscusrock_answers_cut_total`)
			return err
		}
		left -= int64(len(chunk))
		out.Body = chunk
		out.Last = left == 0
		if err := r.send(out); err != nil || out.Last {
			return err
		}
		out = &wire.CallAnswer{}
	}
}

func (r *run) head(answer *backend.Answer) *wire.CallAnswer {
	head := &wire.CallAnswer{
		Verdict: wire.Verdict_VERDICT_RAN,
		Status:  int32(answer.Status()),
		Headers: encodeHeaders(answer.Header()),
	}
	r.backend.report(r.work, head)
	return head
}

func (r *run) sendWhole(answer *wire.CallAnswer, body []byte) error {
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
