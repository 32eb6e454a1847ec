package peer

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// signInterval is the time between signs of life on a connection whose call
	// is still at work.
	signInterval = 200 * time.Millisecond
	// silenceLimit is the time without a sign of life after which a call counts
	// as lost; it leaves room for two lost signs.
	silenceLimit = 700 * time.Millisecond
)

// KeepCallAlive runs serve and sends signs of life until it sends its first
// answer, so that the caller notices a connection that went silent.
func KeepCallAlive(send func(*wire.CallAnswer) error, serve func(send func(*wire.CallAnswer) error) error) error {
	var mu sync.Mutex
	answered := false
	timer := time.NewTimer(signInterval)
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
				_ = send(&wire.CallAnswer{Progress: true})
			}
			mu.Unlock()
			timer.Reset(signInterval)
		}
	}()
	err := serve(func(answer *wire.CallAnswer) error {
		mu.Lock()
		defer mu.Unlock()
		answered = true
		return send(answer)
	})
	close(stop)
	timer.Stop()
	<-done
	return err
}

// silence ends a call that gives no sign of life.
type silence struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// watchSilence returns a context that ends with ErrSilent when heard is not
// called for silenceLimit.
func watchSilence(ctx context.Context) (context.Context, *silence) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &silence{cancel: cancel}
	s.timer = time.AfterFunc(silenceLimit, func() { cancel(ErrSilent) })
	return ctx, s
}

func (s *silence) heard() { s.timer.Reset(silenceLimit) }

func (s *silence) stop() {
	s.timer.Stop()
	s.cancel(nil)
}
