package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// dialTimeout bounds the TCP connect and the handshake together.
	dialTimeout = 400 * time.Millisecond
	// connectTimeout bounds the TCP connect. It exceeds the round trip between the
	// regions farthest apart, 110 ms. It leaves no time to send a lost packet
	// again, because it is cheaper to send the call to another node.
	connectTimeout            = 150 * time.Millisecond
	idleExpiration            = 30 * time.Second
	maxIdleConnectionsPerPeer = 32
	maxIdleConnections        = 2048
	maxMessageBytes           = 4 << 20
	softCancelGrace           = 5 * time.Millisecond
	// pingAfterIdle is the time without use after which a pooled connection is
	// pinged before it carries a call.
	pingAfterIdle = 250 * time.Millisecond
	pingTimeout   = connectTimeout
)

// ErrSilent marks a call whose peer sent neither an answer nor a progress message for silenceTimeout.
var ErrSilent = errors.New("the peer sent no message in time")

// ErrNotSent marks a call that certainly did not leave this node, so that it can be sent to another one.
var ErrNotSent = errors.New("the call was not sent")

// Client calls other nodes over pooled, authenticated connections. It is safe for concurrent use.
type Client struct {
	*common.Common
	secret []byte
	local  net.Addr
	pool   *drpcpool.Pool[string, *conn]
	sent   atomic.Uint64
	recv   atomic.Uint64

	codecErrors *codecErrors
}

// conn is a connection to a peer and the time of the last answer received on it.
type conn struct {
	*drpcconn.Conn
	lastAnswer time.Time
}

// NewClient returns a client that connects from the IP address local (nil for any),
// and a function that closes its pooled connections. secret is the deployment
// secret that all nodes share.
func NewClient(cm *common.Common, secret []byte, local net.IP) (*Client, func()) {
	c := &Client{Common: cm, secret: secret, local: &net.TCPAddr{IP: local}, codecErrors: newCodecErrors(cm)}
	c.pool = drpcpool.New[string, *conn](drpcpool.Options{
		Expiration:  idleExpiration,
		Capacity:    maxIdleConnections,
		KeyCapacity: maxIdleConnectionsPerPeer,
	})
	return c, func() { _ = c.pool.Close() }
}

// managerOptions returns the drpc options of both ends of a connection.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		SoftCancel:      true,
		SoftCancelGrace: softCancelGrace,
	}
}

// dial opens a connection and runs the handshake within dialTimeout.
func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	deadline := time.Now().Add(dialTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	raw, err := (&net.Dialer{LocalAddr: c.local, Timeout: connectTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		c.Count(`hibiscusrock_peer_dial_failures_total`)
		return nil, fault.Wrap(err, fault.KindUnavailable, "cannot connect to "+address, "check that the node runs and that the network reaches it")
	}
	if err := clientHandshake(raw, c.secret, deadline); err != nil {
		_ = raw.Close()
		c.Count(`hibiscusrock_peer_handshake_failures_total`)
		return nil, err
	}
	c.Count(`hibiscusrock_peer_connections_opened_total`)
	counted := &countedConn{Conn: raw, sent: &c.sent, recv: &c.recv}
	return &conn{Conn: drpcconn.NewWithOptions(counted, drpcconn.Options{Manager: managerOptions()}), lastAnswer: c.Now()}, nil
}

// takeConn returns a connection to address that is known to work: a pooled one
// that was used recently or answers a ping, or a new one. If a pooled connection
// does not answer, all idle connections to that peer are closed, because pinging
// each of them would take a timeout each.
func (c *Client) takeConn(ctx context.Context, address string) (*conn, error) {
	cn, ok := c.pool.Take(address)
	if !ok {
		return c.dial(ctx, address)
	}
	if c.Now().Sub(cn.lastAnswer) < pingAfterIdle || c.answersPing(ctx, cn) {
		return cn, nil
	}
	c.Count(`hibiscusrock_peer_silent_connections_total`)
	_ = cn.Close()
	c.dropIdle(address)
	if err := ctx.Err(); err != nil {
		return nil, fault.Wrap(err, fault.KindTimeout, "no connection to "+address+" answered", "check the network to that node")
	}
	return c.dial(ctx, address)
}

// dropIdle closes the idle connections to a peer.
func (c *Client) dropIdle(address string) {
	for {
		cn, ok := c.pool.Take(address)
		if !ok {
			return
		}
		_ = cn.Close()
	}
}

// answersPing reports whether the peer answers a ping on the connection within pingTimeout.
func (c *Client) answersPing(ctx context.Context, cn *conn) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := wire.NewDRPCPeerClient(cn).Ping(ctx, &wire.PingRequest{})
	return err == nil
}

// returnConn puts a connection that has just delivered an answer into the pool.
func (c *Client) returnConn(address string, cn *conn) {
	cn.lastAnswer = c.Now()
	c.pool.Put(address, cn)
}

// invoke runs one unary call within timeout. It closes the connection if the call fails.
func invoke[T any](ctx context.Context, c *Client, name, address string, timeout time.Duration, call func(context.Context, wire.DRPCPeerClient) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var none T
	cn, err := c.takeConn(ctx, address)
	if err != nil {
		return none, err
	}
	out, err := call(ctx, wire.NewDRPCPeerClient(cn))
	if err != nil {
		_ = cn.Close()
		c.codecErrors.report(name, err)
		return none, fault.Wrap(err, fault.KindUnavailable, "the call to "+address+" failed", "check that the node runs and that the network reaches it")
	}
	c.returnConn(address, cn)
	return out, nil
}

const (
	gossipTimeout = 2 * time.Second
	fetchTimeout  = 5 * time.Second
)

// Exchange sends gossip records to a peer and returns the peer's records.
func (c *Client) Exchange(ctx context.Context, address string, in *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	return invoke(ctx, c, "Exchange", address, gossipTimeout, func(ctx context.Context, p wire.DRPCPeerClient) (*wire.ExchangeResponse, error) {
		return p.Exchange(ctx, in)
	})
}

// Compare sends bucket digests to a peer and returns the peer's records in the buckets that differ.
func (c *Client) Compare(ctx context.Context, address string, in *wire.CompareRequest) (*wire.CompareResponse, error) {
	return invoke(ctx, c, "Compare", address, fetchTimeout, func(ctx context.Context, p wire.DRPCPeerClient) (*wire.CompareResponse, error) {
		return p.Compare(ctx, in)
	})
}

// Ping probes a peer, or another node through that peer.
func (c *Client) Ping(ctx context.Context, address string, timeout time.Duration, in *wire.PingRequest) (*wire.PingResponse, error) {
	return invoke(ctx, c, "Ping", address, timeout, func(ctx context.Context, p wire.DRPCPeerClient) (*wire.PingResponse, error) {
		return p.Ping(ctx, in)
	})
}

// TakeCredits asks a peer for credits of a client account's usage cap.
func (c *Client) TakeCredits(ctx context.Context, address string, timeout time.Duration, in *wire.TakeCreditsRequest) (*wire.TakeCreditsResponse, error) {
	return invoke(ctx, c, "TakeCredits", address, timeout, func(ctx context.Context, p wire.DRPCPeerClient) (*wire.TakeCreditsResponse, error) {
		return p.TakeCredits(ctx, in)
	})
}

// FetchRelease fetches a release and a page of its manifest from a peer.
func (c *Client) FetchRelease(ctx context.Context, address string, in *wire.FetchReleaseRequest) (*wire.FetchReleaseResponse, error) {
	return invoke(ctx, c, "FetchRelease", address, fetchTimeout, func(ctx context.Context, p wire.DRPCPeerClient) (*wire.FetchReleaseResponse, error) {
		return p.FetchRelease(ctx, in)
	})
}

// FetchParts fetches bundle parts from a peer.
func (c *Client) FetchParts(ctx context.Context, address string, in *wire.FetchPartsRequest) (*wire.FetchPartsResponse, error) {
	return invoke(ctx, c, "FetchParts", address, fetchTimeout, func(ctx context.Context, p wire.DRPCPeerClient) (*wire.FetchPartsResponse, error) {
		return p.FetchParts(ctx, in)
	})
}

// Call runs a request on the node at address and passes each message of the
// answer to received; an error of received ends the call. An error that wraps
// ErrNotSent means that the request certainly did not leave this node. An error
// that wraps ErrSilent means that an idempotent request received no message for too
// long while its answer had not begun. All others wait until the connection breaks or ctx ends.
func (c *Client) Call(ctx context.Context, address string, in *wire.CallRequest, received func(*wire.CallAnswer) error) error {
	return c.call(ctx, address, in, received, func(ctx context.Context, p wire.DRPCPeerClient) (answerStream, error) {
		return p.Call(ctx, in)
	})
}

// CallWithBody is Call for a request whose body follows in the parts that next returns, as
// far as the node at address grants credit. interrupt ends a call of next that waits. An
// error of next ends the call.
func (c *Client) CallWithBody(ctx context.Context, address string, in *wire.CallRequest, next func(max int) ([]byte, bool, error), interrupt func(), received func(*wire.CallAnswer) error) error {
	ctx, cancel := context.WithCancel(ctx)
	var sender *bodySender
	defer func() {
		cancel()
		if sender != nil {
			sender.stop(interrupt)
		}
	}()
	passOn := func(answer *wire.CallAnswer) error {
		if answer.GetBodyCredit() > 0 {
			return sender.grant(int(answer.GetBodyCredit()))
		}
		return received(answer)
	}
	return c.call(ctx, address, in, passOn, func(ctx context.Context, p wire.DRPCPeerClient) (answerStream, error) {
		stream, err := p.CallWithBody(ctx)
		if err != nil {
			return nil, err
		}
		sender = startBodySender(c, stream, next, cancel)
		return stream, stream.Send(&wire.CallPart{Request: in})
	})
}

// answerStream is the part of a call that receives the answer.
type answerStream interface {
	Recv() (*wire.CallAnswer, error)
}

func (c *Client) call(ctx context.Context, address string, in *wire.CallRequest, received func(*wire.CallAnswer) error, begin func(context.Context, wire.DRPCPeerClient) (answerStream, error)) error {
	cn, err := c.takeConn(ctx, address)
	if err != nil {
		return errors.Join(ErrNotSent, err)
	}
	watched, timer := withSilenceTimeout(ctx)
	defer timer.stop()
	if !in.GetIdempotent() {
		// A request that must not run twice waits for its answer, because ending
		// it early would leave open whether it ran.
		watched = ctx
	}
	stream, err := begin(watched, wire.NewDRPCPeerClient(cn))
	if err != nil {
		_ = cn.Close()
		c.codecErrors.report("Call", err)
		return fault.Wrap(err, fault.KindUnavailable, "cannot send the request to "+address, "")
	}
	for {
		answer, err := stream.Recv()
		if err != nil {
			_ = cn.Close()
			c.codecErrors.report("Call", err)
			return c.callError(watched, address, err)
		}
		timer.receive(answer)
		if err := received(answer); err != nil {
			_ = cn.Close()
			return err
		}
		if answer.GetLast() {
			break
		}
	}
	if _, err := stream.Recv(); !errors.Is(err, io.EOF) {
		_ = cn.Close()
		return nil
	}
	c.returnConn(address, cn)
	return nil
}

// callError returns the error of a call without a complete answer. It closes the
// idle connections to a peer that became silent.
func (c *Client) callError(ctx context.Context, address string, err error) error {
	if !errors.Is(context.Cause(ctx), ErrSilent) {
		return fault.Wrap(err, fault.KindUnavailable, "no complete answer from "+address, "")
	}
	c.Count(`hibiscusrock_peer_silent_calls_total`)
	c.dropIdle(address)
	return errors.Join(ErrSilent, err)
}

// Traffic returns the bytes sent and received so far on connections that this client opened.
func (c *Client) Traffic() (sent, received uint64) { return c.sent.Load(), c.recv.Load() }

// countedConn adds the bytes sent and received on a connection to counters.
type countedConn struct {
	net.Conn
	sent, recv *atomic.Uint64
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(uint64(n))
	return n, err
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recv.Add(uint64(n))
	return n, err
}
