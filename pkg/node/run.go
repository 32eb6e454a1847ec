package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/config"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/listener"
)

const (
	hostHeaderTimeout = 5 * time.Second
	// hostReadTimeout bounds the time in which a whole request of this host arrives, so that
	// a client cannot keep a connection with bytes that never end.
	hostReadTimeout  = 10 * time.Second
	hostIdleTimeout  = time.Minute
	maxHostHeadBytes = 16 << 10
	// maxHostConnections bounds the connections to each of the addresses for this host.
	maxHostConnections = 256
	// stopReserve is the part of the stop timeout that is left for the process
	// to exit by itself.
	stopReserve = 150 * time.Millisecond
	// serversEndTimeout bounds the wait for the servers to end after a stop.
	serversEndTimeout = 100 * time.Millisecond
	// answerReserve is the part of the stop timeout that is left for answers on their
	// way to the caller.
	answerReserve = 100 * time.Millisecond
	// drainNotice is the time for other nodes to learn that the backend servers
	// of this host accept no new requests.
	drainNotice = 500 * time.Millisecond
)

// Run serves until ctx ends, then stops gracefully: no request in flight is cut
// off unless the stop timeout passes. It returns an error if an address cannot
// be listened on or a server fails.
func (n *Node) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	callers, closeCallers := listener.New(n.Common, n.entry, listener.WithLimits(n.callerLimits()), listener.WithBuffers(n.callerBuffers), listener.WithIdempotent(n.entry.IsIdempotent), listener.WithShortAnswers(n.entry.ExpectsShortAnswer))
	defer closeCallers()
	host := n.newHostServer()
	servers, err := n.serveAll(background, callers, host)
	if err != nil {
		return err
	}
	loops := n.startLoops(background)
	n.ready.Store(true)
	n.Event(event.NodeStarted).WithField("sequence", n.heldSequence()).Info("node started")
	ends := merge(servers)
	err = waitForEnd(ctx, ends)
	n.ready.Store(false)
	n.stop(callers)
	stopBackground()
	for _, loop := range loops {
		<-loop
	}
	_ = host.Close()
	if err == nil {
		n.awaitServers(ends, len(servers))
	}
	n.Event(event.NodeStopped).Info("node stopped")
	return err
}

// callerLimits returns the limits of callers' connections.
func (n *Node) callerLimits() listener.Limits {
	limits := listener.DefaultLimits()
	limits.Connections = n.settings.MaxCallerConnections
	return limits
}

// newHostServer returns the server for this host.
func (n *Node) newHostServer() *http.Server {
	return &http.Server{Handler: n.hostHandler(), ReadHeaderTimeout: hostHeaderTimeout, MaxHeaderBytes: maxHostHeadBytes, ReadTimeout: hostReadTimeout, IdleTimeout: hostIdleTimeout}
}

// serveAll listens on every address in the settings and starts the servers.
func (n *Node) serveAll(ctx context.Context, callers *listener.Server, host *http.Server) ([]<-chan error, error) {
	peers, err := listen(n.settings.PeerAddress)
	if err != nil {
		return nil, err
	}
	ended := []<-chan error{n.server.Serve(ctx, peers)}
	fromCallers, err := listen(n.settings.CallerAddress)
	if err != nil {
		return nil, err
	}
	ended = append(ended, callers.Serve(ctx, fromCallers))
	for _, address := range []string{n.settings.HostAddress, n.settings.ReadyAddress, n.settings.MetricsAddress} {
		if address == "" {
			continue
		}
		l, err := listen(address)
		if err != nil {
			return nil, err
		}
		limited := common.NewLimitedListener(l, maxHostConnections, func() { n.Count(`hibiscusrock_host_connections_refused_total`) })
		ended = append(ended, serveHTTP(host, limited))
	}
	return ended, nil
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.KindUnavailable, "cannot listen on "+address, "free the port or change the address in the settings")
	}
	return l, nil
}

func serveHTTP(server *http.Server, l net.Listener) <-chan error {
	done := make(chan error, 1)
	go func() {
		err := server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		done <- err
	}()
	return done
}

// merge returns a channel that yields what each of the channels does.
func merge(channels []<-chan error) <-chan error {
	merged := make(chan error, len(channels))
	for _, ch := range channels {
		go func() { merged <- <-ch }()
	}
	return merged
}

// waitForEnd returns when ctx ends, or with an error when a server does.
func waitForEnd(ctx context.Context, ends <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-ends:
		return fault.Wrap(err, fault.KindInternal, "a server of this node stopped serving", "see the log")
	}
}

// awaitServers waits until a number of servers has ended, so that their addresses are free
// when Run returns, but not longer than serversEndTimeout.
func (n *Node) awaitServers(ends <-chan error, servers int) {
	timer := time.NewTimer(serversEndTimeout)
	defer timer.Stop()
	for range servers {
		select {
		case <-ends:
		case <-timer.C:
			n.Event(event.StopTimedOut).Warn("servers had not ended")
			return
		}
	}
}

// ApplySettings puts those of the settings into effect that a running node can change. It
// is safe for concurrent use.
func (n *Node) ApplySettings(settings config.Settings) {
	n.live.Store(&settings)
	if n.adapter != nil {
		n.entry.SetCaller(settings.CallerService)
	}
}

// stop drains this node. It notifies callers, then the other nodes, and then waits
// until the requests of callers and of other nodes have ended. Until the other
// nodes are notified, the backend servers of this host go on working for them. A
// request that may outlast the stop is refused before it runs.
func (n *Node) stop(callers *listener.Server) {
	n.Event(event.NodeStopping).Info("node stopping")
	settings := n.live.Load()
	ctx, cancel := context.WithTimeout(context.Background(), settings.StopTimeout()-stopReserve)
	defer cancel()
	finishBy := n.Now().Add(settings.StopTimeout() - stopReserve - answerReserve)
	n.entry.BeginStop(finishBy)
	n.owner.BeginStop(finishBy)
	callers.BeginStop()
	time.Sleep(settings.StopNotice() - drainNotice)
	drained := n.Now()
	n.owner.DrainAll()
	n.gossiper.flush(ctx)
	time.Sleep(min(settings.StopNotice(), drainNotice) - n.Now().Sub(drained))
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

// withdraw removes this node's registration, through which starting nodes find
// it.
func (n *Node) withdraw(ctx context.Context) {
	if n.storeBootstrapper != nil {
		n.storeBootstrapper.registrar.withdraw(ctx)
		return
	}
	n.releaseBootstrapper.registrar.withdraw(ctx)
}

// startLoops starts the background loops; the channel of each is closed when it
// ends.
func (n *Node) startLoops(ctx context.Context) []<-chan struct{} {
	n.members.Join()
	loops := []<-chan struct{}{
		n.startLoop(ctx, "gossip", n.gossiper.run),
		n.startLoop(ctx, "relay queue", n.gossiper.runRelayQueue),
		n.startLoop(ctx, "probes", n.runProbes),
		n.startLoop(ctx, "housekeeping", n.runHousekeeping),
		n.startLoop(ctx, "health checks of cold backend servers", n.runColdChecks),
	}
	if n.adapter != nil {
		return append(
			loops,
			n.startLoop(ctx, "registration and join", n.storeBootstrapper.run),
			n.startLoop(ctx, "watch of the store", n.followStore),
			n.startLoop(ctx, "confirmation of the configuration", n.keepConfirmed),
			n.startLoop(ctx, "roll-outs", n.rollouts.run),
		)
	}
	return append(
		loops,
		n.startLoop(ctx, "seeds and join", n.releaseBootstrapper.run),
		n.startLoop(ctx, "watch of the newest release", n.runRelay),
		n.startLoop(ctx, "moves", n.moves.run),
	)
}
