package peer

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// progressInterval is the time between the progress messages for a call that has
	// no answer yet.
	progressInterval = 200 * time.Millisecond
	// silenceTimeout is the time without any message after which a call whose answer has
	// not begun fails with ErrSilent. It allows for two lost progress messages.
	silenceTimeout = 700 * time.Millisecond
)

// KeepCallAlive runs serve and sends a progress message every progressInterval
// until serve sends its first answer. This lets the caller tell a slow call from
// a connection that no longer delivers messages. The status of a progress message that
// serve sends is passed on with the next one; credit for a body is passed on at once.
func KeepCallAlive(send func(*wire.CallAnswer) error, serve func(send func(*wire.CallAnswer) error) error) error {
	var mu sync.Mutex
	answered := false
	progress := &wire.CallAnswer{Progress: true}
	timer := time.NewTimer(progressInterval)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-timer.C:
			}
			mu.Lock()
			if !answered {
				_ = send(progress)
			}
			mu.Unlock()
			timer.Reset(progressInterval)
		}
	}()
	defer func() {
		close(stop)
		timer.Stop()
		<-done
	}()
	return serve(func(answer *wire.CallAnswer) error {
		mu.Lock()
		defer mu.Unlock()
		if answer.GetBodyCredit() > 0 {
			return send(answer)
		}
		if answer.GetProgress() {
			progress = answer
			return nil
		}
		answered = true
		return send(answer)
	})
}

// silenceTimer cancels a call that receives no message for silenceTimeout before its
// answer begins.
type silenceTimer struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// withSilenceTimeout returns a context that is cancelled with the cause ErrSilent
// when no message is noted for silenceTimeout.
func withSilenceTimeout(ctx context.Context) (context.Context, *silenceTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &silenceTimer{cancel: cancel}
	s.timer = time.AfterFunc(silenceTimeout, func() { cancel(ErrSilent) })
	return ctx, s
}

// receive notes a message. Once the head of the answer has arrived, silence ends the call no
// more: a pause may be the backend server's or the reader's, and nobody else can send the
// rest of the answer.
func (s *silenceTimer) receive(answer *wire.CallAnswer) {
	if answer.GetProgress() && answer.GetStatus() == 0 {
		s.timer.Reset(silenceTimeout)
		return
	}
	s.timer.Stop()
}

func (s *silenceTimer) stop() {
	s.timer.Stop()
	s.cancel(nil)
}
