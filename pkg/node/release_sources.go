package node

import (
	"context"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/catalog"
	"github.com/hibiscusrock/hibiscusrock/pkg/distribution"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// pull fetches the newest configuration of a peer, a release or a snapshot
// depending on the mode. It does nothing while another fetch runs.
func (g *gossiper) pull(ctx context.Context, address string) {
	if !g.fetching.CompareAndSwap(false, true) {
		return
	}
	defer g.fetching.Store(false)
	out, err := g.control.FetchRelease(ctx, address, &wire.FetchReleaseRequest{Held: g.heldSequence()})
	if err != nil || (out.GetRelease() == nil && out.GetSnapshot() == nil) {
		return
	}
	g.receiveConfiguration(ctx, address, out.GetRelease(), out.GetSnapshot())
}

func (n *Node) offer(ctx context.Context, signed *wire.SignedRelease, source distribution.Source) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	err := n.holder.Offer(ctx, signed, source)
	if err != nil && !fault.Is(err, fault.KindStale) {
		n.Event(event.ConfigurationRefused).WithError(err).Warn("release refused")
	}
}

// peerSource fetches the documents of a release from a peer.
func (n *Node) peerSource(address string) distribution.Source {
	return distribution.Source{
		Release: func(ctx context.Context, sequence uint64) (*wire.SignedRelease, error) {
			out, err := n.control.FetchRelease(ctx, address, &wire.FetchReleaseRequest{Sequence: sequence})
			return out.GetRelease(), err
		},
		Manifest: func(ctx context.Context, _ *bundle.Document) (bundle.Manifest, error) {
			return n.fetchManifest(ctx, address)
		},
		Parts: func(ctx context.Context, hashes [][]byte) ([][]byte, error) {
			out, err := n.control.FetchParts(ctx, address, &wire.FetchPartsRequest{Hashes: hashes})
			return out.GetParts(), err
		},
	}
}

func (n *Node) fetchManifest(ctx context.Context, address string) (bundle.Manifest, error) {
	var entries []*wire.ManifestEntry
	for page := uint32(1); ; page++ {
		out, err := n.control.FetchRelease(ctx, address, &wire.FetchReleaseRequest{Page: page})
		if err != nil {
			return nil, err
		}
		entries = append(entries, out.GetEntries()...)
		if !out.GetMore() {
			return bundle.NewManifest(entries), nil
		}
	}
}

// receiveHead offers the platform's newest release to the holder. It returns
// the sequence of the release, or 0 if the release cannot be decoded or is not
// validly signed.
func (n *Node) receiveHead(ctx context.Context, kv store.KeyValue) uint64 {
	document, err := catalog.Decode(kv.Value)
	if err != nil {
		n.Count(`hibiscusrock_release_refused_total{reason="undecodable"}`)
		return 0
	}
	if document.Sequence() > n.holder.Held().Sequence() {
		n.offer(ctx, document.Signed(), n.platformSource())
	}
	if document.Verify(n.holder.Ring()) != nil {
		return 0
	}
	return document.Sequence()
}

// platformSource fetches the documents of a release from the platform.
func (n *Node) platformSource() distribution.Source {
	return catalog.New(n.platform).Source()
}
