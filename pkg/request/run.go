package request

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/hibiscusrock/hibiscusrock/pkg/admission"
	"github.com/hibiscusrock/hibiscusrock/pkg/backend"
	"github.com/hibiscusrock/hibiscusrock/pkg/booking"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// maxMismatchedAnswers bounds the answers to other requests that are skipped
	// on one connection before it is closed.
	maxMismatchedAnswers = 4
	// After a mismatched answer, the run waits for the matching one for
	// matchingAnswerWaitFactor times the time that the work usually takes, plus
	// minMatchingAnswerWait.
	minMatchingAnswerWait    = 50 * time.Millisecond
	matchingAnswerWaitFactor = 2
)

var (
	errMismatchedAnswers = errors.New("the answers belong to other requests")
	errRefusalTooLong    = errors.New("the refusal of a backend server is too long")
)

// run is one execution of a request on one backend server.
type run struct {
	owner   *Owner
	backend *Backend
	record  *wire.Endpoint
	in      *wire.CallRequest
	// body is the body if it is not in in, or nil.
	body     *Body
	work     admission.Work
	deadline time.Time
	send     func(*wire.CallAnswer) error
	// answered is called when the head of the answer has arrived.
	answered  func()
	claim     *booking.Claim
	outcome   admission.Outcome
	started   time.Time
	requestID string
	// mismatched is set once an answer to another request arrived.
	mismatched bool
	// observation counts the run as evidence for or against the version.
	observation *rollout.Observation
	// incarnation is that of the backend server, and exposure this run as a possible cause
	// of its crash.
	incarnation *incarnation
	exposure    *exposure
	// isUnanswered is set if the run has ended and the backend server may still work on it.
	isUnanswered bool
}

// do sends the request to the backend server, and the answer or a refusal to the
// entry node.
func (r *run) do(ctx context.Context) error {
	r.incarnation = r.backend.currentIncarnation()
	r.exposure = r.incarnation.begin(r.in, r.owner.crashTracker.Marks(r.in.GetFingerprint()))
	defer r.endExposure()
	r.started = r.owner.Now()
	r.observation = r.owner.recorder.Start(rollout.Request{
		Service: r.in.GetService(), Version: r.in.GetVersion(), Route: r.in.GetRoute(),
		Cold: r.backend.recordRun(r.started), Late: r.isLate(),
	})
	defer r.observation.Abandon()
	answer, err := r.fetchAnswer(ctx)
	r.owner.Observe(`hibiscusrock_backend_server_seconds`, r.started)
	if err != nil {
		return r.handleError(ctx, err)
	}
	r.answered()
	defer answer.Close()
	if r.isReplaced(answer) || r.isShed(answer) {
		if err := readRefusal(answer); err != nil {
			r.countCut(ctx)
			return r.handleError(ctx, err)
		}
	}
	if r.isReplaced(answer) {
		answer.CloseConnection()
		// Another backend server has the address, so the expected one is gone.
		r.outcome = admission.Failed
		r.owner.markDown(r.backend)
		r.incarnation.discard(r.exposure)
		r.countCrash("address_taken")
		return r.refuseNotRun(verdict.BackendReplaced)
	}
	r.owner.recordAlive(r.incarnation)
	r.applyRateLimit(answer)
	r.backend.applyLoad(answer.Header().Get(r.owner.headers.Load))
	r.applyLeaving(answer)
	if r.isShed(answer) {
		// A faulty backend server may write the refusal once more.
		answer.CloseConnection()
		return r.refuseShed(answer)
	}
	return r.deliver(ctx, answer)
}

// isLate reports whether the objective of the request passed before its run began.
func (r *run) isLate() bool {
	return !r.work.Objective.IsZero() && r.started.After(r.work.Objective)
}

// deliver sends an answer to the entry node. It reads the answer whole first,
// unless that is longer than maxBufferedAnswerBytes.
func (r *run) deliver(ctx context.Context, answer *backend.Answer) error {
	failed := answer.Status() >= minServerErrorStatus
	if err := r.send(&wire.CallAnswer{Progress: true, Status: int32(answer.Status())}); err != nil {
		return err
	}
	if answer.Length() > maxBufferedAnswerBytes {
		return r.stream(ctx, answer, nil)
	}
	body, err := io.ReadAll(io.LimitReader(answer, maxBufferedAnswerBytes+1))
	if err != nil {
		r.countCut(ctx)
		return r.handleError(ctx, err)
	}
	if len(body) > maxBufferedAnswerBytes {
		return r.stream(ctx, answer, body)
	}
	r.recordOutcome(failed)
	r.recordAnswered(answer)
	head := r.answerHead(answer)
	if failed {
		r.owner.logFailure(r.in, head)
	}
	if r.claim != nil {
		r.claim.Finish(head.GetStatus(), head.GetHeaders(), body)
	}
	return r.sendWhole(head, body)
}

// refuseShed refuses a request that the backend server answered without running
// it. A shed status of the route means that the backend server is overloaded.
// Headers.NotRun does not mean that, because a backend server never gets more
// requests at once than the slots that it announced.
func (r *run) refuseShed(answer *backend.Answer) error {
	r.outcome = admission.Failed
	if r.hasShedStatus(answer) {
		r.outcome = admission.Overloaded
	}
	r.backend.health.record(true)
	r.incarnation.discard(r.exposure)
	return r.refuseNotRun(verdict.BackendShed)
}

func (r *run) hasShedStatus(answer *backend.Answer) bool {
	return slices.Contains(r.in.GetShedStatuses(), int32(answer.Status()))
}

// isShed reports whether the backend server answered without running the request.
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

// applyLeaving drains the backend server for the rest of its incarnation if the answer
// says that it is about to stop.
func (r *run) applyLeaving(answer *backend.Answer) {
	if leaving, err := strconv.ParseBool(answer.Header().Get(r.owner.headers.Leaving)); err == nil && leaving {
		r.owner.Leave(r.record.GetInstance(), r.record.GetBornUnixMs())
	}
}

// readRefusal reads the body of an answer that says that the request has not run. A part of
// an answer promises nothing.
func readRefusal(answer *backend.Answer) error {
	_, err := io.CopyN(io.Discard, answer, maxBufferedAnswerBytes)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return cmp.Or(err, errRefusalTooLong)
}

// isReplaced reports whether a backend server other than the expected one got the
// request and did not run it, which it signals by status 421.
func (r *run) isReplaced(answer *backend.Answer) bool {
	return r.owner.headers.ExpectedInstance != "" && answer.Status() == http.StatusMisdirectedRequest
}

// fetchAnswer sends the request and returns the head of its answer. An answer
// that belongs to another request, left over on a reused connection, is skipped.
// If the matching answer does not follow on that connection, an idempotent request
// is sent once more on a new connection.
func (r *run) fetchAnswer(ctx context.Context) (*backend.Answer, error) {
	req := r.newRequest()
	answer, err := r.matchingAnswer(ctx, req)
	canRepeat := r.in.GetIdempotent() && (r.body == nil || r.body.isWhole())
	if errors.Is(err, errMismatchedAnswers) && canRepeat && ctx.Err() == nil {
		req.Fresh = true
		r.backend.gate.ChargeRate()
		return r.matchingAnswer(ctx, req)
	}
	return answer, err
}

// matchingAnswer sends req and returns the first answer that belongs to this
// request.
func (r *run) matchingAnswer(ctx context.Context, req *backend.Request) (*backend.Answer, error) {
	answer, err := r.backend.client.Do(ctx, req)
	for mismatched := 0; err == nil; mismatched++ {
		if r.isMatching(answer) {
			return answer, nil
		}
		r.mismatched = true
		r.owner.Count(`hibiscusrock_answers_crossed_total`)
		r.owner.Event(event.AnswerMismatched).WithField("request", string(r.in.GetRequestId())).WithField("instance", r.in.GetInstance()).Info("answer to another request dropped")
		if mismatched == maxMismatchedAnswers {
			answer.Close()
			return nil, errMismatchedAnswers
		}
		if answer, err = answer.Next(r.matchingAnswerWait()); err != nil {
			return nil, errors.Join(errMismatchedAnswers, err)
		}
	}
	return nil, err
}

// matchingAnswerWait returns how long to wait for the matching answer after one
// that belongs to another request. The result 0 means until the request's context
// ends: a request that is not idempotent cannot be sent again instead.
func (r *run) matchingAnswerWait() time.Duration {
	if !r.in.GetIdempotent() {
		return 0
	}
	return minMatchingAnswerWait + matchingAnswerWaitFactor*r.backend.gate.Forecast(r.work).Work
}

// isMatching reports whether an answer belongs to this request. An answer without
// a request identifier is taken as matching only from a backend server that has not
// repeated one yet, because some backend servers never do.
func (r *run) isMatching(answer *backend.Answer) bool {
	id := answer.Header().Get(r.owner.headers.RequestID)
	if id == "" && r.requestID != "" {
		return !r.backend.repeatsID.Load()
	}
	if id != "" && id == r.requestID {
		r.backend.repeatsID.Store(true)
	}
	return id == r.requestID
}

func (r *run) newRequest() *backend.Request {
	h := r.owner.headers
	r.requestID = string(r.in.GetRequestId())
	if !h.KeepRequestID {
		r.requestID = uuid.NewString()
	}
	left := max(r.deadline.Sub(r.owner.Now()), time.Millisecond)
	headers := slices.Clone(r.in.GetHeaders())
	for _, own := range []struct{ name, value string }{
		{h.RequestID, r.requestID},
		{h.RemainingMS, strconv.FormatInt(left.Milliseconds(), 10)},
		{h.Caller, r.in.GetCaller()},
		{h.Account, r.in.GetAccount()},
		{h.ExpectedInstance, r.record.GetInstance()},
	} {
		if own.name != "" && own.value != "" {
			headers = append(headers, &wire.Header{Name: own.name, Value: []byte(own.value)})
		}
	}
	req := &backend.Request{
		Method:        r.in.GetMethod(),
		Target:        string(r.in.GetTarget()),
		Host:          r.in.GetHost(),
		Header:        headers,
		Body:          r.in.GetBody(),
		NonIdempotent: !r.in.GetIdempotent(),
	}
	if r.body != nil {
		req.Stream, req.StreamBytes = r.body.reader, r.body.length
	}
	return req
}

// took returns the time since the request was sent to the backend server.
func (r *run) took() time.Duration { return r.owner.Now().Sub(r.started) }

// recordOutcome records whether the backend server failed the request, for the
// admission gate, the rollout evidence, the breaker and the failure rate.
func (r *run) recordOutcome(failed bool) {
	switch {
	case failed:
		r.outcome = admission.Failed
	case r.mismatched:
		r.outcome = admission.Delayed
	default:
		r.outcome = admission.Succeeded
	}
	r.observation.End(failed)
	r.backend.breaker.Record(failed)
	r.backend.health.record(failed)
}

// handleError refuses a request whose answer did not arrive in full. If the backend
// server no longer accepts connections, it is marked down.
func (r *run) handleError(ctx context.Context, err error) error {
	if errors.Is(err, backend.ErrNotSent) {
		return r.handleNotSent(ctx, err)
	}
	switch {
	case r.body.err() != nil:
		// The sender of the body failed, not the backend server.
		return r.refuseUnknown(verdict.CallerGone)
	case r.backend.isDown():
		return r.refuseUnknown(verdict.BackendCrashed)
	case errors.Is(ctx.Err(), context.Canceled):
		return r.refuseUnknown(verdict.CallerGone)
	case ctx.Err() != nil:
		r.recordOutcome(true)
		r.outcome = admission.Overloaded
		return r.refuseUnknown(verdict.DeadlinePassed)
	}
	if errors.Is(err, backend.ErrInvalidHead) {
		r.owner.Count(`hibiscusrock_answers_invalid_total`)
		r.recordOutcome(true)
		return r.refuseUnknown(verdict.AnswerLost)
	}
	dialErr := dialTwice(r.record.GetAddress())
	if dialErr == nil {
		// The reset of an idle connection that the backend server had dropped
		// is not counted as a failure of the backend server.
		if !errors.Is(err, backend.ErrStale) {
			r.recordOutcome(true)
		}
		return r.refuseUnknown(verdict.AnswerLost)
	}
	// One crash fails all requests in flight but is recorded once as evidence.
	if r.owner.markDown(r.backend) {
		r.recordOutcome(true)
	}
	if isRefused(dialErr) {
		r.countCrash("connection_broken")
	}
	return r.refuseUnknown(verdict.BackendCrashed)
}

// handleNotSent refuses a request of which no byte was sent.
func (r *run) handleNotSent(ctx context.Context, err error) error {
	r.outcome = admission.Failed
	r.incarnation.discard(r.exposure)
	if ctx.Err() == nil {
		r.owner.markDown(r.backend)
		if isRefused(err) {
			r.countCrash("connection_refused")
		}
	}
	return r.refuseNotRun(verdict.BackendRefused)
}

// refuseNotRun refuses a request that has not run, and releases its claim.
func (r *run) refuseNotRun(reason verdict.Reason) error {
	r.observation.Discard()
	if r.claim != nil {
		r.claim.Release()
	}
	return r.owner.sendRefusal(r.backend, r.in, verdict.Refuse(verdict.NotRun, reason), r.send)
}

// refuseUnknown refuses a request that may have run. Its claim stays held.
func (r *run) refuseUnknown(reason verdict.Reason) error {
	refusal := verdict.Refuse(verdict.Unknown, reason)
	answer := r.owner.refusalAnswer(r.backend, r.in, refusal)
	r.owner.logOutcomeUnknown(r.in, refusal, answer, r.took())
	return r.send(answer)
}

// stream sends a long answer to the entry node as it arrives, after the part of its
// body that was read already. took is the time until its head arrived. The answer
// may have no end: one chunk of it is in memory at a time, and the end of the
// request's context ends it.
func (r *run) stream(ctx context.Context, answer *backend.Answer, first []byte) error {
	r.observation.HeadArrived()
	out := r.answerHead(answer)
	body := io.MultiReader(bytes.NewReader(first), answer)
	buffer := make([]byte, maxChunkBytes)
	for {
		n, err := fill(body, buffer)
		if err != nil && !errors.Is(err, io.EOF) {
			r.countCut(ctx)
			r.recordOutcome(true)
			if ctx.Err() == nil {
				r.owner.checkCrash(r.backend)
			}
			return err
		}
		out.Body, out.Last = buffer[:n], err != nil
		if out.GetLast() {
			r.recordOutcome(answer.Status() >= minServerErrorStatus)
			r.recordAnswered(answer)
			r.finishStreamed(answer)
		}
		if err := r.send(out); err != nil || out.GetLast() {
			return err
		}
		out = &wire.CallAnswer{}
	}
}

// countCut counts an answer that did not arrive in full by what ended it.
func (r *run) countCut(ctx context.Context) {
	cause := "backend_server"
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		cause = "deadline"
	case ctx.Err() != nil:
		cause = "canceled"
	}
	r.owner.Count(`hibiscusrock_answers_cut_total{cause="` + cause + `"}`)
}

// finishStreamed finishes the claim of a request whose answer was streamed. Such an
// answer is too long to be kept.
func (r *run) finishStreamed(answer *backend.Answer) {
	if r.claim != nil {
		r.claim.FinishTooLong(int32(answer.Status()))
	}
}

// fill reads until p is full or r ends. Unlike io.ReadFull it returns the error of r
// as it is, so that an answer that breaks off differs from one that ends.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = r.Read(p[n:])
		n += m
	}
	return n, err
}

// answerHead returns the first chunk of an answer, still without a body.
func (r *run) answerHead(answer *backend.Answer) *wire.CallAnswer {
	head := &wire.CallAnswer{
		Verdict: wire.Verdict_VERDICT_RAN,
		Status:  int32(answer.Status()),
		Headers: encodeHeaders(answer.Header()),
	}
	r.backend.addLoadReport(r.work, head)
	head.LinkWaitMs = uint32(r.owner.link.Wait().Milliseconds())
	return head
}

// sendWhole sends an answer that was read whole, in chunks.
func (r *run) sendWhole(answer *wire.CallAnswer, body []byte) error {
	for len(body) > maxChunkBytes {
		answer.Body = body[:maxChunkBytes]
		if err := r.send(answer); err != nil {
			return err
		}
		answer = &wire.CallAnswer{}
		body = body[maxChunkBytes:]
	}
	answer.Body = body
	answer.Last = true
	return r.send(answer)
}
