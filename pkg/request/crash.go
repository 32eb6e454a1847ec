package request

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/backend"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/quarantine"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	crashProbeTimeout = 50 * time.Millisecond
	crashProbeDelay   = 20 * time.Millisecond
	crashProbes       = 2
	// maxMarkDelay is the time in which the marks of a crash usually reach the other nodes.
	maxMarkDelay = 150 * time.Millisecond
)

// crashRefusal returns the refusal of a request that crashes backend servers, or nil.
func crashRefusal(t *quarantine.CrashTracker, in *wire.CallRequest) *verdict.Refusal {
	left := t.Blocked(in.GetFingerprint())
	if left <= 0 {
		return nil
	}
	return verdict.Refuse(verdict.NotRun, verdict.CrashCausing).WithRetryAfter(left)
}

// countCrash counts the end of an incarnation against the requests that its backend server
// had been given. One that was draining may have ended as planned.
func (o *Owner) countCrash(inc *incarnation, wasDraining bool, evidence string) {
	suspects, ok := inc.crash()
	if !ok {
		return
	}
	if wasDraining || len(suspects) == 0 {
		o.Event(event.CrashNotCounted).WithField("incarnation", inc.id).WithField("evidence", evidence).WithField("draining", wasDraining).WithField("suspects", len(suspects)).Info("the end of a backend server counts against no request")
		return
	}
	if o.crashTracker.Awaits(suspects) {
		time.AfterFunc(maxMarkDelay, func() { o.crashTracker.RecordCrash(inc.id, evidence, suspects) })
		return
	}
	o.crashTracker.RecordCrash(inc.id, evidence, suspects)
}

// checkCrash marks a backend server down and counts its crash if its port is closed.
func (o *Owner) checkCrash(b *Backend) {
	inc, record := b.currentIncarnation(), b.Record()
	if !isRefused(dialTwice(record.GetAddress())) {
		return
	}
	o.markDown(b)
	o.countCrash(inc, record.GetDraining(), "port_closed")
}

// recordAlive records a sign of life of a backend server. It counts in favour of the
// requests that the backend server has outlived.
func (o *Owner) recordAlive(inc *incarnation) {
	outlived, briefly := inc.alive(o.Now())
	for _, e := range outlived {
		o.crashTracker.RecordSurvival(e.suspect.Fingerprint, e.marks)
	}
	for _, e := range briefly {
		o.crashTracker.RecordBriefSurvival(e.suspect.Fingerprint)
	}
}

// beginIncarnation replaces the incarnation by a new one. The caller holds b.mu.
func (b *Backend) beginIncarnation(record *wire.Endpoint) {
	b.incarnations++
	b.incarnation = newIncarnation(record.GetInstance() + "/" + strconv.FormatInt(record.GetBornUnixMs(), 10) + "/" + strconv.FormatUint(b.incarnations, 10))
}

func (b *Backend) currentIncarnation() *incarnation {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.incarnation
}

// hasLostConnections reports whether the backend server has closed all idle connections since
// the last call.
func (b *Backend) hasLostConnections() bool {
	b.mu.Lock()
	client := b.client
	b.mu.Unlock()
	return client.DropClosed()
}

// countCrash counts the crash of the backend server that the request was sent to.
func (r *run) countCrash(evidence string) {
	r.owner.countCrash(r.incarnation, r.backend.Record().GetDraining(), evidence)
}

// recordAnswered records that the backend server has answered the request in full. Only
// an answer that is no failure can show that the request is harmless, and a backend server
// that gives up a request at its deadline may still work on it.
func (r *run) recordAnswered(answer *backend.Answer) {
	if answer.Status() == http.StatusGatewayTimeout {
		return
	}
	r.incarnation.answer(r.exposure, answer.Status() < minServerErrorStatus, r.owner.Now())
}

// endExposure leaves the request to the backend server if that has not answered it.
func (r *run) endExposure() {
	r.isUnanswered = r.incarnation.leave(r.exposure, r.owner.Now())
}

// dialTwice dials a backend server that broke a connection, crashProbes times and
// crashProbeDelay apart, and returns the first error.
func dialTwice(address string) error {
	for range crashProbes {
		conn, err := net.DialTimeout("tcp", address, crashProbeTimeout)
		if err != nil {
			return err
		}
		_ = conn.Close()
		time.Sleep(crashProbeDelay)
	}
	return nil
}

// isRefused reports whether an error shows that nothing listens at an address. A timeout
// does not: the backend server may be busy.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
