package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/deployment"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/faultproxy"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/standin"
)

const (
	linkDelay     = 30 * time.Millisecond
	platformDelay = 600
	lostAnswers   = 3
	// stopTimeout is above the stop timeout of the nodes' settings.
	stopTimeout = 12 * time.Second
	// restartPause is the time after which an ended process starts again.
	restartPause = 300 * time.Millisecond
)

// striker brings the entries of a schedule about. Entries on one host wait for
// each other, so that each has its own effect; all others overlap.
type striker struct {
	deployment *deployment.Deployment
	hosts      []*deployment.Host
	busy       []sync.Mutex
	releases   *releases
	journal    *journal
	// faults are the platform's faults that are in effect.
	mu     sync.Mutex
	faults standin.Faults
}

// run strikes each entry at its time and returns when all effects are taken back.
func (s *striker) run(ctx context.Context, entries []Entry) {
	began := time.Now()
	var wg sync.WaitGroup
	for _, e := range entries {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(began.Add(e.At))):
		}
		if ctx.Err() != nil {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			if e.Kind.onNode() {
				s.busy[e.Host].Lock()
				defer s.busy[e.Host].Unlock()
			}
			end := s.journal.begin(e)
			s.strike(ctx, e)
			end()
		}()
	}
	wg.Wait()
}

// strike brings one entry about, and takes its effect back after its time.
func (s *striker) strike(ctx context.Context, e Entry) {
	h := s.hosts[e.Host]
	switch e.Kind {
	case NodeKill:
		h.Node.Kill()
		common.Sleep(ctx, e.For)
		s.startNode(h)
	case NodeStop:
		h.Node.Stop(stopTimeout)
		common.Sleep(ctx, restartPause)
		s.startNode(h)
	case NodePause:
		h.Node.Pause()
		common.Sleep(ctx, e.For)
		h.Node.Resume()
	case BackendKill, BackendStop:
		s.replaceBackend(ctx, h, e)
	case LinkReset:
		h.Proxy.Cut()
	case LinkDelay, LinkSilence, LinkOneWay:
		h.Proxy.Set(linkFaults(e.Kind))
		common.Sleep(ctx, e.For)
		h.Proxy.Set(faultproxy.Faults{})
	case Partition:
		s.partition(ctx, e)
	case PlatformOneWay:
		proxy := s.deployment.PlatformProxy(h.DataCentre)
		proxy.Set(faultproxy.Faults{SilenceAnswers: true})
		common.Sleep(ctx, e.For)
		proxy.Set(faultproxy.Faults{})
	case Release:
		s.releases.start(ctx)
	default:
		s.strikePlatform(ctx, e)
	}
}

func linkFaults(kind Kind) faultproxy.Faults {
	switch kind {
	case LinkDelay:
		return faultproxy.Faults{Delay: linkDelay}
	case LinkOneWay:
		return faultproxy.Faults{SilenceAnswers: true}
	}
	return faultproxy.Faults{Silence: true}
}

func (s *striker) startNode(h *deployment.Host) {
	if err := s.deployment.StartNode(h); err != nil {
		s.journal.violate("node of %s does not start: %v", h.Name, err)
	}
}

// replaceBackend ends the newest backend server of a host and starts another.
func (s *striker) replaceBackend(ctx context.Context, h *deployment.Host, e Entry) {
	old := h.Backends[len(h.Backends)-1]
	if e.Kind == BackendKill {
		old.Process.Kill()
		common.Sleep(ctx, e.For)
	} else {
		s.journal.leaving(old, time.Now())
		old.Process.Signal(syscall.SIGTERM)
	}
	if _, err := s.deployment.AddBackend(h, backendOptions(old.Service)); err != nil {
		s.journal.violate("backend server beside %s does not start: %v", h.Name, err)
	}
	if e.Kind == BackendStop {
		<-old.Process.Done()
	}
}

func (s *striker) partition(ctx context.Context, e Entry) {
	a := s.hosts[e.Host].DataCentre
	b := s.hosts[(e.Host+len(s.hosts)/2)%len(s.hosts)].DataCentre
	if a == b {
		return
	}
	s.deployment.Partition(a, b, true)
	common.Sleep(ctx, e.For)
	s.deployment.Partition(a, b, false)
}

// strikePlatform changes the platform's faults, which may overlap.
func (s *striker) strikePlatform(ctx context.Context, e Entry) {
	s.setPlatform(func(f *standin.Faults) { applyPlatform(f, e.Kind, true) })
	common.Sleep(ctx, e.For)
	s.setPlatform(func(f *standin.Faults) { applyPlatform(f, e.Kind, false) })
}

func applyPlatform(f *standin.Faults, kind Kind, on bool) {
	f.LoseAnswers, f.LapseLeases = 0, false
	switch kind {
	case PlatformDown:
		f.Down = on
	case PlatformSlow:
		f.DelayMS = 0
		if on {
			f.DelayMS = platformDelay
		}
	case PlatformLost:
		if on {
			f.LoseAnswers = lostAnswers
		}
	case PlatformLapse:
		f.LapseLeases = on
	}
}

func (s *striker) setPlatform(change func(*standin.Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	if err := s.deployment.SetPlatformFaults(s.faults); err != nil {
		s.journal.violate("the stand-in platform does not answer: %v", err)
	}
}
