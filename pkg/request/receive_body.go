package request

import (
	"context"
	"errors"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/buffers"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// peerHeldDivisor: one body takes at most this part of the peers' pool. A longer one is
	// passed on to the backend server as it arrives.
	peerHeldDivisor = 4
	// streamedSlotsDivisor: bodies that are too long to be held take at most this part of
	// a backend server's slots, because a slow sender keeps the slot for as long as it sends.
	streamedSlotsDivisor = 3
	streamedRetryAfter   = 500 * time.Millisecond
)

// canHold reports whether this node can hold a body whose length is known.
func (o *Owner) canHold(body *Body) bool {
	return body.length > 0 && body.length <= o.buffers.Max()/peerHeldDivisor
}

// latestArrival returns the time until which the body of a request has to arrive: so that
// the request meets its objective, since a queue of bodies that lasts until their deadlines
// makes all of them late. One that is late already may take half of the time that it has left.
func latestArrival(in *wire.CallRequest, now, deadline time.Time) time.Time {
	usual := time.Duration(in.GetUsualMs()) * time.Millisecond
	objective := time.Duration(in.GetObjectiveMs()) * time.Millisecond
	switch {
	case objective > usual:
		return now.Add(objective - usual)
	case objective == 0:
		return deadline.Add(-usual)
	}
	return now.Add((deadline.Sub(now) - usual) / 2)
}

// receiveBody takes a body that another node holds into the buffers of this node, as the
// link allows. It refuses one that cannot arrive in time before anything of it is sent.
func (o *Owner) receiveBody(ctx context.Context, in *wire.CallRequest, body *Body, deadline time.Time) (*Body, *verdict.Refusal) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	transfer, retryAfter, ok := o.link.Accept(body.length, latestArrival(in, o.Now(), deadline))
	if !ok {
		return nil, verdict.Refuse(verdict.NotRun, verdict.LinkBusy).WithRetryAfter(retryAfter)
	}
	defer transfer.Close()
	next := body.parts()
	held := buffers.NewBody(o.buffers.Open(func() {
		cancel()
		body.interrupt()
	}))
	for last := false; !last; {
		credit, err := transfer.Credit(ctx)
		var part []byte
		if err == nil {
			part, last, err = next(int(credit))
		}
		if err == nil {
			err = held.Append(part)
		}
		if err != nil {
			evicted := held.Lease().IsEvicted()
			held.Release()
			if errors.Is(err, buffers.ErrNoRoom) || evicted {
				return nil, verdict.Refuse(verdict.NotRun, verdict.BuffersFull).WithRetryAfter(buffersRetryAfter)
			}
			return nil, verdict.Refuse(verdict.NotRun, verdict.CallerGone)
		}
		transfer.Received(int64(len(part)))
	}
	if held.Size() != body.length || !held.Lease().Settle() {
		held.Release()
		return nil, verdict.Refuse(verdict.NotRun, verdict.BodyUnreadable)
	}
	return &Body{held: held, length: body.length, interrupt: func() {}}, nil
}

// enterStream counts a request whose body is sent on as it arrives, or returns false if
// the backend server has as many of them as it may.
func (b *Backend) enterStream() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.streams >= max(1, int(b.record.GetSlots())/streamedSlotsDivisor) {
		return false
	}
	b.streams++
	return true
}

func (b *Backend) leaveStream() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.streams--
}
