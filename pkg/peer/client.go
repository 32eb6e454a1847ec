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
	dialTimeout = 400 * time.Millisecond
	// connectTimeout is above the round trip between the regions farthest apart,
	// 110 ms; a lost packet is cheaper to send to another node.
	connectTimeout     = 150 * time.Millisecond
	idleExpiration     = 30 * time.Second
	connectionsPerPeer = 32
	connectionsInAll   = 2048
	largestMessage     = 4 << 20
	softCancelGrace    = 5 * time.Millisecond
	// A pooled connection unused for provenFor is pinged before it carries a call.
	provenFor    = 250 * time.Millisecond
	proofTimeout = connectTimeout
)

// ErrSilent marks a call whose peer gave no sign of life for too long.
var ErrSilent = errors.New("the peer is silent")

// ErrNotSent marks a call that certainly never reached the peer.
var ErrNotSent = errors.New("not sent")

// Client calls other nodes.
type Client struct {
	*common.Common
	secret []byte
	local  net.Addr
	pool   *drpcpool.Pool[string, *conn]
	sent   atomic.Uint64
	recv   atomic.Uint64
}

type conn struct {
	*drpcconn.Conn
	lastAnswer time.Time
}

// NewClient returns a client that connects from the IP address local, and its
// clean-up function.
func NewClient(cm *common.Common, secret []byte, local net.IP) (*Client, func()) {
	c := &Client{Common: cm, secret: secret, local: &net.TCPAddr{IP: local}}
	c.pool = drpcpool.New[string, *conn](drpcpool.Options{
		Expiration:  idleExpiration,
		Capacity:    connectionsInAll,
		KeyCapacity: connectionsPerPeer,
	})
	return c, func() { _ = c.pool.Close() }
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: largestMessage},
		SoftCancel:      true,
		SoftCancelGrace: softCancelGrace,
	}
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	deadline := time.Now().Add(dialTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	raw, err := (&net.Dialer{LocalAddr: c.local, Timeout: connectTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		c.Count(`hibiscusrock_peer_dial_failures_total`)
		return nil, fault.Wrap(err, fault.KindUnavailable, "cannot connect to "+address, "check that the node runs and that the network reaches it")
	}
	if err := connect(raw, c.secret, deadline); err != nil {
		_ = raw.Close()
		c.Count(`hibiscusrock_peer_handshake_failures_total`)
		return nil, err
	}
	c.Count(`hibiscusrock_peer_connections_opened_total`)
	counted := &countedConn{Conn: raw, sent: &c.sent, recv: &c.recv}
	return &conn{Conn: drpcconn.NewWithOptions(counted, drpcconn.Options{Manager: managerOptions()}), lastAnswer: c.Now()}, nil
}

// take returns a connection that is known to answer. Once one did not, the
// others to that peer are not tried either.
func (c *Client) take(ctx context.Context, address string) (*conn, error) {
	cn, ok := c.pool.Take(address)
	if !ok {
		return c.dial(ctx, address)
	}
	if c.Now().Sub(cn.lastAnswer) < provenFor || c.proves(ctx, cn) {
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

// dropIdle closes the pooled connections to a peer.
func (c *Client) dropIdle(address string) {
	for {
		cn, ok := c.pool.Take(address)
		if !ok {
			return
		}
		_ = cn.Close()
	}
}

func (c *Client) proves(ctx context.Context, cn *conn) bool {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	_, err := wire.NewDRPCPeerClient(cn).Ping(ctx, &wire.PingRequest{})
	return err == nil
}

func (c *Client) giveBack(address string, cn *conn) {
	cn.lastAnswer = c.Now()
	c.pool.Put(address, cn)
}

// invoke runs one unary call; a connection whose call failed is closed.
func invoke[T any](ctx context.Context, c *Client, address string, timeout time.Duration, call func(context.Context, wire.DRPCPeerClient) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var none T
	cn, err := c.take(ctx, address)
	if err != nil {
		return none, err
	}
	out, err := call(ctx, wire.NewDRPCPeerClient(cn))
	if err != nil {
		_ = cn.Close()
		return none, fault.Wrap(err, fault.KindUnavailable, "the call to "+address+" failed", "check that the node runs and that the network reaches it")
	}
	c.giveBack(address, cn)
	return out, nil
}

const (
	gossipTimeout = 2 * time.Second
	fetchTimeout  = 5 * time.Second
)

// Exchange swaps gossip records with a peer.
func (c *Client) Exchange(ctx context.Context, address string, in *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	return invoke(ctx, c, address, gossipTimeout, func(ctx context.Context, p wire.DRPCPeerClient) (*wire.ExchangeResponse, error) {
		return p.Exchange(ctx, in)
	})
}

// Compare asks a peer for the records of buckets that differ.
func (c *Client) Compare(ctx context.Context, address string, in *wire.CompareRequest) (*wire.CompareResponse, error) {
	return invoke(ctx, c, address, fetchTimeout, func(ctx context.Context, p wire.DRPCPeerClient) (*wire.CompareResponse, error) {
		return p.Compare(ctx, in)
	})
}

// Ping probes a peer, or another node through it.
func (c *Client) Ping(ctx context.Context, address string, timeout time.Duration, in *wire.PingRequest) (*wire.PingResponse, error) {
	return invoke(ctx, c, address, timeout, func(ctx context.Context, p wire.DRPCPeerClient) (*wire.PingResponse, error) {
		return p.Ping(ctx, in)
	})
}

// FetchRelease asks a peer for a release and a page of its manifest.
func (c *Client) FetchRelease(ctx context.Context, address string, in *wire.FetchReleaseRequest) (*wire.FetchReleaseResponse, error) {
	return invoke(ctx, c, address, fetchTimeout, func(ctx context.Context, p wire.DRPCPeerClient) (*wire.FetchReleaseResponse, error) {
		return p.FetchRelease(ctx, in)
	})
}

// FetchParts asks a peer for bundle parts.
func (c *Client) FetchParts(ctx context.Context, address string, in *wire.FetchPartsRequest) (*wire.FetchPartsResponse, error) {
	return invoke(ctx, c, address, fetchTimeout, func(ctx context.Context, p wire.DRPCPeerClient) (*wire.FetchPartsResponse, error) {
		return p.FetchParts(ctx, in)
	})
}

// Call runs a request on the node at address and passes each chunk of the
// answer to received. An error that wraps ErrNotSent means that the request
// certainly did not leave this node.
func (c *Client) Call(ctx context.Context, address string, in *wire.CallRequest, received func(*wire.CallAnswer) error) error {
	cn, err := c.take(ctx, address)
	if err != nil {
		return errors.Join(ErrNotSent, err)
	}
	watched, silence := watchSilence(ctx)
	defer silence.stop()
	if !in.GetIdempotent() {
		// Only the answer itself ends a request that must not run again.
		watched = ctx
	}
	stream, err := wire.NewDRPCPeerClient(cn).Call(watched, in)
	if err != nil {
		_ = cn.Close()
		return fault.Wrap(err, fault.KindUnavailable, "the connection to "+address+" broke", "")
	}
	for {
		answer, err := stream.Recv()
		if err != nil {
			_ = cn.Close()
			return c.lost(watched, address, err)
		}
		silence.heard()
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
	c.giveBack(address, cn)
	return nil
}

// lost returns the error of a call without an answer. Other connections to a
// silent peer are not used again.
func (c *Client) lost(ctx context.Context, address string, err error) error {
	if !errors.Is(context.Cause(ctx), ErrSilent) {
		return fault.Wrap(err, fault.KindUnavailable, "the answer of "+address+" was cut", "")
	}
	c.Count(`hibiscusrock_peer_silent_calls_total`)
	c.dropIdle(address)
	return errors.Join(ErrSilent, err)
}

// Traffic returns the bytes sent and received on connections this node opened.
func (c *Client) Traffic() (sent, received uint64) { return c.sent.Load(), c.recv.Load() }

// countedConn counts the bytes of a connection.
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
