package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
)

const (
	headerTimeout     = 5 * time.Second
	idleCallerTimeout = 2 * time.Minute
	largestHeader     = 64 << 10
	// stopReserve is the part of the stop timeout that is left for the process
	// to end by itself.
	stopReserve = 150 * time.Millisecond
	// drainNotice is the time in which other nodes hear that the backend servers
	// of this host take no new work.
	drainNotice = 500 * time.Millisecond
)

// Run serves until ctx ends, then stops gracefully: no request in flight is cut
// unless the stop timeout passes.
func (n *Node) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	callers := &http.Server{Handler: n.entry, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleCallerTimeout, MaxHeaderBytes: largestHeader}
	host := &http.Server{Handler: n.hostHandler(), ReadHeaderTimeout: headerTimeout}
	ended, err := n.serveAll(background, callers, host)
	if err != nil {
		return err
	}
	loops := n.startLoops(background)
	n.ready.Store(true)
	n.Event(event.NodeStarted).WithField("sequence", n.held()).Info("node started")
	err = waitForEnd(ctx, ended)
	n.ready.Store(false)
	n.stop(callers)
	stopBackground()
	for _, loop := range loops {
		<-loop
	}
	_ = host.Close()
	n.Event(event.NodeStopped).Info("node stopped")
	return err
}

// serveAll listens on every address of the settings and starts the servers.
func (n *Node) serveAll(ctx context.Context, callers, host *http.Server) ([]<-chan error, error) {
	peers, err := listen(n.settings.PeerAddress)
	if err != nil {
		return nil, err
	}
	ended := []<-chan error{n.server.Serve(ctx, peers)}
	for _, served := range []struct {
		address string
		server  *http.Server
	}{
		{n.settings.CallerAddress, callers},
		{n.settings.HostAddress, host},
		{n.settings.ReadyAddress, host},
		{n.settings.MetricsAddress, host},
	} {
		if served.address == "" {
			continue
		}
		listener, err := listen(served.address)
		if err != nil {
			return nil, err
		}
		ended = append(ended, serveHTTP(served.server, listener))
	}
	return ended, nil
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.KindUnavailable, "cannot listen on "+address, "free the port or change the address in the settings")
	}
	return listener, nil
}

func serveHTTP(server *http.Server, listener net.Listener) <-chan error {
	done := make(chan error, 1)
	go func() {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		done <- err
	}()
	return done
}

// waitForEnd returns when ctx ends or any of the servers fails.
func waitForEnd(ctx context.Context, ended []<-chan error) error {
	failed := make(chan error, len(ended))
	for _, ch := range ended {
		go func() { failed <- <-ch }()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return fault.Wrap(err, fault.KindInternal, "a listener ended", "see the log")
	}
}

// stop drains this node: callers hear of it first, then other nodes, then the
// requests of both run to their end. Until other nodes are told, the backend
// servers of this host go on working for them.
func (n *Node) stop(callers *http.Server) {
	n.Event(event.NodeStopping).Info("node stopping")
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopTimeout()-stopReserve)
	defer cancel()
	n.entry.BeginStop()
	time.Sleep(n.settings.StopNotice() - drainNotice)
	drained := n.Now()
	n.owner.DrainAll()
	n.gossiper.flush(ctx)
	time.Sleep(min(n.settings.StopNotice(), drainNotice) - n.Now().Sub(drained))
	var wg sync.WaitGroup
	for _, stop := range []func(context.Context) error{callers.Shutdown, n.owner.Stop} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := stop(ctx); err != nil {
				n.Event(event.StopTimedOut).WithError(err).Warn("requests were still in flight at the stop timeout")
			}
		}()
	}
	wg.Wait()
	n.members.Leave()
	n.gossiper.flush(ctx)
	n.withdraw(ctx)
}

// withdraw removes this node from where starting nodes find it.
func (n *Node) withdraw(ctx context.Context) {
	if n.joiner != nil {
		n.joiner.registrar.withdraw(ctx)
		return
	}
	n.starter.registrar.withdraw(ctx)
}

// startLoops starts the background loops; each closes its channel at its end.
func (n *Node) startLoops(ctx context.Context) []<-chan struct{} {
	n.members.Join()
	loops := []<-chan struct{}{
		loop(ctx, n.gossiper.run),
		loop(ctx, n.gossiper.runAddressed),
		loop(ctx, n.runProbes),
		loop(ctx, n.runHousekeeping),
	}
	if n.link != nil {
		return append(loops, loop(ctx, n.joiner.run), loop(ctx, n.followStore), loop(ctx, n.rollouts.run))
	}
	return append(loops, loop(ctx, n.starter.run), loop(ctx, n.runRelay), loop(ctx, n.moves.run))
}

func loop(ctx context.Context, run func(context.Context)) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		run(ctx)
	}()
	return done
}
