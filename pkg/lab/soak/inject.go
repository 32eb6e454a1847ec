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
	// reloadInterval is the time between the signals to a stopping node that its settings
	// have changed.
	reloadInterval = 100 * time.Millisecond
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
func (i *faultInjector) run(ctx context.Context, entries []Entry) {
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
				i.hostLocks[e.Host].Lock()
				defer i.hostLocks[e.Host].Unlock()
			}
			end := i.journal.begin(e)
			i.inject(ctx, e)
			end()
		}()
	}
	wg.Wait()
}

// inject executes one entry and removes its effect after its duration.
func (i *faultInjector) inject(ctx context.Context, e Entry) {
	h := i.hosts[e.Host]
	switch e.Kind {
	case NodeKill:
		h.Node.Kill()
		common.Sleep(ctx, e.Duration)
		i.startNode(h)
	case NodeStop:
		i.stopNode(ctx, h)
		common.Sleep(ctx, restartPause)
		i.startNode(h)
	case NodePause:
		h.Node.Pause()
		common.Sleep(ctx, e.Duration)
		h.Node.Resume()
	case BackendKill, BackendStop:
		i.replaceBackend(ctx, h, e)
	case LinkReset:
		h.Proxy.CloseConnections()
	case LinkDelay, LinkSilence, LinkOneWay:
		h.Proxy.SetFaults(linkFaults(e.Kind))
		common.Sleep(ctx, e.Duration)
		h.Proxy.SetFaults(faultproxy.Faults{})
	case Partition:
		i.partition(ctx, e)
	case PlatformOneWay:
		proxy := i.deployment.PlatformProxy(h.DataCentre)
		proxy.SetFaults(faultproxy.Faults{SilenceAnswers: true})
		common.Sleep(ctx, e.Duration)
		proxy.SetFaults(faultproxy.Faults{})
	case Release:
		i.releases.rollOutNext(ctx)
	default:
		i.injectPlatformFault(ctx, e)
	}
}

// stopNode stops a node, which gets SIGHUP all the while and must end by itself. One that
// has just been started and does not serve yet may end by the stop signal.
func (i *faultInjector) stopNode(ctx context.Context, h *deployment.Host) {
	node, reloaded := h.Node, make(chan struct{})
	_, err := h.State(ctx)
	hasServed := err == nil
	go func() {
		defer close(reloaded)
		for {
			select {
			case <-node.Done():
				return
			case <-time.After(reloadInterval):
				node.Signal(syscall.SIGHUP)
			}
		}
	}()
	node.Stop(stopTimeout)
	<-reloaded
	got := node.Status()
	if got == "signal: terminated" && !hasServed {
		return
	}
	if got != "exit status 0" {
		i.journal.recordViolation("the node of %s ended its stop with %q", h.Name, got)
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

func (i *faultInjector) startNode(h *deployment.Host) {
	if err := i.deployment.StartNode(h); err != nil {
		i.journal.recordViolation("node of %s does not start: %v", h.Name, err)
	}
}

// replaceBackend ends the newest backend server of a host and starts another.
func (i *faultInjector) replaceBackend(ctx context.Context, h *deployment.Host, e Entry) {
	old := h.Backends[len(h.Backends)-1]
	if e.Kind == BackendKill {
		old.Process.Kill()
		common.Sleep(ctx, e.Duration)
	} else {
		i.journal.recordDrain(old, time.Now())
		old.Process.Signal(syscall.SIGTERM)
	}
	if _, err := i.deployment.AddBackend(h, backendOptions(old.Service)); err != nil {
		i.journal.recordViolation("backend server beside %s does not start: %v", h.Name, err)
	}
	if e.Kind == BackendStop {
		<-old.Process.Done()
	}
}

func (i *faultInjector) partition(ctx context.Context, e Entry) {
	a := i.hosts[e.Host].DataCentre
	b := i.hosts[(e.Host+len(i.hosts)/2)%len(i.hosts)].DataCentre
	if a == b {
		return
	}
	i.deployment.SetPartition(a, b, true)
	common.Sleep(ctx, e.Duration)
	i.deployment.SetPartition(a, b, false)
}

// injectPlatformFault sets one fault of the platform for the entry's duration.
// Faults of the platform may overlap.
func (i *faultInjector) injectPlatformFault(ctx context.Context, e Entry) {
	i.updatePlatformFaults(func(f *standin.PlatformFaults) { setPlatformFault(f, e.Kind, true) })
	common.Sleep(ctx, e.Duration)
	i.updatePlatformFaults(func(f *standin.PlatformFaults) { setPlatformFault(f, e.Kind, false) })
}

// setPlatformFault sets or clears one fault. LoseAnswers and ExpireLeases act once each
// time they are set, so every change clears them first: otherwise an overlapping fault
// would trigger them again.
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

func (i *faultInjector) updatePlatformFaults(change func(*standin.PlatformFaults)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	change(&i.faults)
	if err := i.deployment.SetPlatformFaults(i.faults); err != nil {
		i.journal.recordViolation("the stand-in platform does not answer: %v", err)
	}
}
