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
	linkDelay       = 30 * time.Millisecond
	platformDelayMS = 600
	lostAnswers     = 3
	// stopTimeout is above the stop timeout in the nodes' settings.
	stopTimeout = 12 * time.Second
	// restartPause is the time between the end of a stopped node and its restart.
	restartPause = 300 * time.Millisecond
)

// faultInjector executes the entries of a schedule. Entries that target the same
// host run one after the other, so that each has its own effect; all others may
// overlap.
type faultInjector struct {
	deployment *deployment.Deployment
	hosts      []*deployment.Host
	hostLocks  []sync.Mutex
	releases   *releaser
	journal    *journal
	// faults holds the platform's faults that are in effect; mu guards it.
	mu     sync.Mutex
	faults standin.PlatformFaults
}

// run starts each entry at its time and returns when all effects have ended.
func (s *faultInjector) run(ctx context.Context, entries []Entry) {
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
			if e.Kind.targetsHost() {
				s.hostLocks[e.Host].Lock()
				defer s.hostLocks[e.Host].Unlock()
			}
			end := s.journal.begin(e)
			s.inject(ctx, e)
			end()
		}()
	}
	wg.Wait()
}

// inject executes one entry and removes its effect after its duration.
func (s *faultInjector) inject(ctx context.Context, e Entry) {
	h := s.hosts[e.Host]
	switch e.Kind {
	case NodeKill:
		h.Node.Kill()
		common.Sleep(ctx, e.Duration)
		s.startNode(h)
	case NodeStop:
		h.Node.Stop(stopTimeout)
		common.Sleep(ctx, restartPause)
		s.startNode(h)
	case NodePause:
		h.Node.Pause()
		common.Sleep(ctx, e.Duration)
		h.Node.Resume()
	case BackendKill, BackendStop:
		s.replaceBackend(ctx, h, e)
	case LinkReset:
		h.Proxy.CloseConnections()
	case LinkDelay, LinkSilence, LinkOneWay:
		h.Proxy.SetFaults(linkFaults(e.Kind))
		common.Sleep(ctx, e.Duration)
		h.Proxy.SetFaults(faultproxy.Faults{})
	case Partition:
		s.partition(ctx, e)
	case PlatformOneWay:
		proxy := s.deployment.PlatformProxy(h.DataCentre)
		proxy.SetFaults(faultproxy.Faults{SilenceAnswers: true})
		common.Sleep(ctx, e.Duration)
		proxy.SetFaults(faultproxy.Faults{})
	case Release:
		s.releases.rollOutNext(ctx)
	default:
		s.injectPlatformFault(ctx, e)
	}
}

func linkFaults(kind Kind) faultproxy.Faults {
	switch kind {
	case LinkDelay:
		return faultproxy.Faults{Delay: linkDelay}
	case LinkOneWay:
		return faultproxy.Faults{SilenceAnswers: true}
	}
	return faultproxy.Faults{SilenceOpen: true}
}

func (s *faultInjector) startNode(h *deployment.Host) {
	if err := s.deployment.StartNode(h); err != nil {
		s.journal.recordViolation("node of %s does not start: %v", h.Name, err)
	}
}

// replaceBackend ends the newest backend server of a host and starts another.
func (s *faultInjector) replaceBackend(ctx context.Context, h *deployment.Host, e Entry) {
	old := h.Backends[len(h.Backends)-1]
	if e.Kind == BackendKill {
		old.Process.Kill()
		common.Sleep(ctx, e.Duration)
	} else {
		s.journal.recordDrain(old, time.Now())
		old.Process.Signal(syscall.SIGTERM)
	}
	if _, err := s.deployment.AddBackend(h, backendOptions(old.Service)); err != nil {
		s.journal.recordViolation("backend server beside %s does not start: %v", h.Name, err)
	}
	if e.Kind == BackendStop {
		<-old.Process.Done()
	}
}

func (s *faultInjector) partition(ctx context.Context, e Entry) {
	a := s.hosts[e.Host].DataCentre
	b := s.hosts[(e.Host+len(s.hosts)/2)%len(s.hosts)].DataCentre
	if a == b {
		return
	}
	s.deployment.SetPartition(a, b, true)
	common.Sleep(ctx, e.Duration)
	s.deployment.SetPartition(a, b, false)
}

// injectPlatformFault sets one fault of the platform for the entry's duration.
// Faults of the platform may overlap.
func (s *faultInjector) injectPlatformFault(ctx context.Context, e Entry) {
	s.updatePlatformFaults(func(f *standin.PlatformFaults) { setPlatformFault(f, e.Kind, true) })
	common.Sleep(ctx, e.Duration)
	s.updatePlatformFaults(func(f *standin.PlatformFaults) { setPlatformFault(f, e.Kind, false) })
}

func setPlatformFault(f *standin.PlatformFaults, kind Kind, on bool) {
	f.LoseAnswers, f.ExpireLeases = 0, false
	switch kind {
	case PlatformDown:
		f.Down = on
	case PlatformSlow:
		f.DelayMS = 0
		if on {
			f.DelayMS = platformDelayMS
		}
	case PlatformLost:
		if on {
			f.LoseAnswers = lostAnswers
		}
	case PlatformLapse:
		f.ExpireLeases = on
	}
}

func (s *faultInjector) updatePlatformFaults(change func(*standin.PlatformFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	if err := s.deployment.SetPlatformFaults(s.faults); err != nil {
		s.journal.recordViolation("the stand-in platform does not answer: %v", err)
	}
}
