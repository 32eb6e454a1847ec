package peer

import (
	"context"
	"net"
	"sync"

	"golang.org/x/time/rate"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// maxHandshakesPerSecond and maxHandshakeBurst limit the rate of accepted connections.
	maxHandshakesPerSecond = 200
	maxHandshakeBurst      = 100
	maxOpenConnections     = 4096
)

// Server accepts connections of other nodes and serves their calls.
type Server struct {
	*common.Common
	secret   []byte
	server   *drpcserver.Server
	limiter  *rate.Limiter
	mu       sync.Mutex
	open     map[net.Conn]bool
	handlers sync.WaitGroup
}

// NewServer returns a server that passes the calls of clients with the same secret to handler.
func NewServer(cm *common.Common, secret []byte, handler wire.DRPCPeerServer) (*Server, error) {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, handler); err != nil {
		return nil, fault.Wrap(err, fault.KindInternal, "cannot register the peer protocol", "")
	}
	return &Server{
		Common:  cm,
		secret:  secret,
		server:  drpcserver.NewWithOptions(&recoveringHandler{Common: cm, next: &reportingHandler{next: mux, codecErrors: newCodecErrors(cm)}}, drpcserver.Options{Manager: managerOptions()}),
		limiter: rate.NewLimiter(maxHandshakesPerSecond, maxHandshakeBurst),
		open:    make(map[net.Conn]bool),
	}, nil
}

// Serve accepts connections until ctx ends or listener fails. It then closes all
// connections, waits for their handlers, and sends its result, nil if ctx ended,
// on the returned channel.
func (s *Server) Serve(ctx context.Context, listener net.Listener) <-chan error {
	done := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		s.closeAll()
	})
	go func() {
		defer stop()
		err := s.acceptLoop(ctx, listener)
		s.closeAll()
		s.handlers.Wait()
		done <- err
	}()
	return done
}

func (s *Server) acceptLoop(ctx context.Context, listener net.Listener) error {
	for {
		raw, err := common.Accept(ctx, listener)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fault.Wrap(err, fault.KindUnavailable, "the peer listener failed", "see the log")
		}
		if !s.limiter.Allow() {
			s.Count(`hibiscusrock_peer_refused_total{reason="handshake_rate"}`)
			_ = raw.Close()
			continue
		}
		if !s.add(raw) {
			s.Count(`hibiscusrock_peer_refused_total{reason="connections"}`)
			_ = raw.Close()
			continue
		}
		s.handlers.Add(1)
		go s.serveConn(ctx, raw)
	}
}

// recoveringHandler answers a call whose handling panicked with an error, so that
// one message does not end the process.
type recoveringHandler struct {
	*common.Common
	next drpc.Handler
}

// HandleRPC implements drpc.Handler.
func (h *recoveringHandler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() {
		reason := recover()
		if reason == nil {
			return
		}
		h.ReportPanic("peer call", reason)
		err = fault.New(fault.KindInternal, "the handler of "+rpc+" panicked", "see the log of the node that was called")
	}()
	return h.next.HandleRPC(stream, rpc)
}

func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	defer s.handlers.Done()
	defer s.remove(raw)
	defer s.Contain("peer connection", nil)
	if err := serverHandshake(raw, s.secret); err != nil {
		s.Count(`hibiscusrock_peer_refused_total{reason="handshake"}`)
		return
	}
	_ = s.server.ServeOne(ctx, raw)
}

// add registers an open connection and returns false at maxOpenConnections.
func (s *Server) add(raw net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= maxOpenConnections {
		return false
	}
	s.open[raw] = true
	return true
}

func (s *Server) remove(raw net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, raw)
	_ = raw.Close()
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for raw := range s.open {
		_ = raw.Close()
	}
}
