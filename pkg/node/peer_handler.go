package node

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/peer"
	"github.com/hibiscusrock/hibiscusrock/pkg/request"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	manifestPageEntries  = 1000
	maxPartsAnswerBytes  = 3 << 20
	forwardedPingTimeout = 400 * time.Millisecond
)

// peerHandler serves the calls of other nodes.
type peerHandler struct {
	wire.DRPCPeerUnimplementedServer
	node *Node
}

// Call implements wire.DRPCPeerServer.
func (p *peerHandler) Call(in *wire.CallRequest, stream wire.DRPCPeer_CallStream) error {
	return peer.KeepCallAlive(stream.Send, func(send func(*wire.CallAnswer) error) error {
		return p.node.owner.Serve(stream.Context(), in, send)
	})
}

// CallWithBody implements wire.DRPCPeerServer.
func (p *peerHandler) CallWithBody(stream wire.DRPCPeer_CallWithBodyStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	in := first.GetRequest()
	if in.GetBodyBytes() == 0 {
		return fault.New(fault.KindInvalid, "a call with a body in parts does not say its length", "run the same version on all nodes")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	return peer.KeepCallAlive(stream.Send, func(send func(*wire.CallAnswer) error) error {
		body := request.NewBody(in.GetBodyBytes(), peer.BodyParts(stream, send), cancel)
		return p.node.owner.ServeBody(ctx, in, body, send)
	})
}

// Exchange implements wire.DRPCPeerServer.
func (p *peerHandler) Exchange(ctx context.Context, in *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	n := p.node
	n.records.Apply(in.GetRecords(), true)
	n.recordContact(in.GetNode(), in.GetSequence())
	if in.GetSequence() > n.heldSequence() {
		p.receivePush(ctx, in)
	}
	if n.records.HasBroadcasts() {
		wake(n.gossiper.woken)
	}
	confirmation, sequence := n.confirmed()
	return &wire.ExchangeResponse{
		Node:         n.settings.Node,
		Records:      n.records.Broadcasts(maxBroadcastBytes, in.GetDataCentre() != n.settings.DataCentre),
		Digest:       n.records.Digest(),
		Sequence:     sequence,
		Confirmation: confirmation,
	}, nil
}

// receivePush processes the configuration that a peer pushed, or fetches the
// one whose sequence it sent.
func (p *peerHandler) receivePush(ctx context.Context, in *wire.ExchangeRequest) {
	r := p.node.records.Get(gossip.PrefixMember + in.GetNode())
	if r == nil {
		return
	}
	if in.GetRelease() != nil || in.GetSnapshot() != nil || p.node.mayPull(r.GetMember(), in.GetSequence()) {
		p.node.receiveConfiguration(ctx, r.GetMember().GetAddress(), in.GetRelease(), in.GetSnapshot())
	}
}

// Compare implements wire.DRPCPeerServer.
func (p *peerHandler) Compare(_ context.Context, in *wire.CompareRequest) (*wire.CompareResponse, error) {
	if len(in.GetBuckets()) != gossip.BucketCount {
		return nil, fault.New(fault.KindInvalid, fmt.Sprintf("got %d buckets, want %d", len(in.GetBuckets()), gossip.BucketCount), "run the same version on all nodes")
	}
	differing := p.node.records.Differing(in.GetBuckets())
	records, covered := p.node.records.InBuckets(differing, maxCompareBytes)
	return &wire.CompareResponse{Records: records, Differing: covered}, nil
}

// Ping implements wire.DRPCPeerServer.
func (p *peerHandler) Ping(ctx context.Context, in *wire.PingRequest) (*wire.PingResponse, error) {
	n := p.node
	if in.GetNode() != "" {
		n.recordContact(in.GetNode(), in.GetSequence())
	}
	confirmation, sequence := n.confirmed()
	out := &wire.PingResponse{Reached: true, Node: n.settings.Node, Sequence: sequence, Confirmation: confirmation}
	if in.GetTargetAddress() == "" {
		return out, nil
	}
	inner, err := n.control.Ping(ctx, in.GetTargetAddress(), forwardedPingTimeout, &wire.PingRequest{})
	out.Reached = err == nil && inner.GetReached()
	return out, nil
}

// FetchRelease implements wire.DRPCPeerServer.
func (p *peerHandler) FetchRelease(_ context.Context, in *wire.FetchReleaseRequest) (*wire.FetchReleaseResponse, error) {
	if p.node.snapshots != nil {
		packed, err := p.node.snapshots.PackedFor(in.GetHeld())
		return &wire.FetchReleaseResponse{Snapshot: packed}, err
	}
	out := &wire.FetchReleaseResponse{Release: p.node.holder.Release(in.GetSequence())}
	if in.GetPage() == 0 {
		return out, nil
	}
	entries := p.node.holder.Manifest().Entries()
	start := min((int(in.GetPage())-1)*manifestPageEntries, len(entries))
	end := min(start+manifestPageEntries, len(entries))
	out.Entries = entries[start:end]
	out.More = end < len(entries)
	return out, nil
}

// FetchParts implements wire.DRPCPeerServer. It returns the parts up to the first
// that this node lacks or that would exceed maxPartsAnswerBytes in total.
func (p *peerHandler) FetchParts(_ context.Context, in *wire.FetchPartsRequest) (*wire.FetchPartsResponse, error) {
	out := &wire.FetchPartsResponse{}
	if p.node.holder == nil {
		return out, nil
	}
	size := 0
	for _, hash := range in.GetHashes() {
		part := p.node.holder.Part(hash)
		size += len(part)
		if part == nil || size > maxPartsAnswerBytes {
			return out, nil
		}
		out.Parts = append(out.Parts, part)
	}
	return out, nil
}
