// Package booking makes a non-idempotent request that carries an
// Idempotency-Key run at most once, by a claim on the platform that is written
// before the request is dispatched.
package booking

import (
	"context"
	"crypto/sha256"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/store"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

const (
	// LargestKeptAnswer bounds the answers kept for resends, in bytes.
	LargestKeptAnswer = 64 << 10
	pollInterval      = 100 * time.Millisecond
	settleTimeout     = 5 * time.Second
	releaseAttempts   = 3
)

// Store is the part of the platform that claims need.
type Store struct {
	// Get returns a key's value.
	Get func(ctx context.Context, key string) (store.KeyValue, bool, error)
	// Swap writes a key if its revision is the one given.
	Swap func(ctx context.Context, modRevision int64, writes ...store.Write) (bool, store.KeyValue, error)
	// DeleteIf removes a key if its revision is the one given.
	DeleteIf func(ctx context.Context, key string, modRevision int64) (bool, error)
	// Lease returns the lease to which claims are bound, which bounds their life.
	Lease func(ctx context.Context) (int64, error)
}

// Claims writes and reads claims.
type Claims struct {
	*common.Common
	store Store
	node  string
}

// NewClaims returns the claims of a node.
func NewClaims(cm *common.Common, store Store, node string) *Claims {
	return &Claims{Common: cm, store: store, node: node}
}

// Claim is the right to run one request, held by this node.
type Claim struct {
	claims   *Claims
	key      string
	document *wire.Claim
	revision int64
}

// Acquire writes the claim for a request. It returns a claim when the request
// may run; the kept answer when it ran before; or a refusal. Attempts of one
// caller's request share a nonce, and may follow each other only after a
// verdict of not run.
func (c *Claims) Acquire(ctx context.Context, service, idempotencyKey, nonce, fingerprint string) (*Claim, *wire.Claim, *verdict.Refusal) {
	hash := sha256.Sum256([]byte(service + "\x00" + idempotencyKey))
	claim := &Claim{
		claims:   c,
		key:      store.ClaimKey(hash[:]),
		document: &wire.Claim{Nonce: nonce, Node: c.node, Fingerprint: fingerprint},
	}
	for {
		present, found, refusal := claim.write(ctx)
		if refusal != nil {
			return nil, nil, refusal
		}
		if !found {
			return claim, nil, nil
		}
		kept, retry, refusal := c.judge(ctx, claim, present)
		if !retry {
			return nil, kept, refusal
		}
	}
}

// write creates the claim. It returns the present value when another claim stands.
func (c *Claim) write(ctx context.Context) (store.KeyValue, bool, *verdict.Refusal) {
	lease, err := c.claims.store.Lease(ctx)
	if err != nil {
		return store.KeyValue{}, false, c.claims.unavailable()
	}
	swapped, present, err := c.claims.store.Swap(ctx, 0, store.Write{Key: c.key, Value: c.encode(), Lease: lease})
	if err == nil && swapped {
		c.revision = present.ModRevision
		return store.KeyValue{}, false, nil
	}
	if err != nil {
		// The write may have taken effect although its answer was lost.
		found := false
		present, found, err = c.claims.store.Get(ctx, c.key)
		if err != nil || !found {
			return store.KeyValue{}, false, c.claims.unavailable()
		}
	}
	if c.isOwn(present) {
		c.revision = present.ModRevision
		return store.KeyValue{}, false, nil
	}
	return present, true, nil
}

// isOwn reports whether a stored claim was written for this very request by
// this node, and its answer is not known.
func (c *Claim) isOwn(present store.KeyValue) bool {
	document := decode(present.Value)
	return document.GetNonce() == c.document.GetNonce() && document.GetNode() == c.document.GetNode() && !document.GetFinished()
}

func (c *Claims) unavailable() *verdict.Refusal {
	c.Count(`hibiscusrock_claims_unavailable_total`)
	return verdict.Refuse(verdict.NotRun, verdict.ClaimsUnavailable)
}

// judge decides about a request whose key is claimed already.
func (c *Claims) judge(ctx context.Context, own *Claim, present store.KeyValue) (*wire.Claim, bool, *verdict.Refusal) {
	document := decode(present.Value)
	if document.GetFingerprint() != own.document.GetFingerprint() {
		return nil, false, verdict.Refuse(verdict.NotRun, verdict.ClaimMismatch)
	}
	if document.GetFinished() {
		return c.answerFrom(document)
	}
	c.Count(`hibiscusrock_claims_attached_total`)
	kv, found, err := c.await(ctx, own.key)
	if err == nil && !found {
		return nil, true, nil
	}
	if document = decode(kv.Value); err == nil && document.GetFinished() {
		return c.answerFrom(document)
	}
	return nil, false, verdict.Refuse(verdict.Unknown, verdict.ClaimHeld)
}

func (c *Claims) answerFrom(document *wire.Claim) (*wire.Claim, bool, *verdict.Refusal) {
	if document.GetTruncated() {
		return nil, false, verdict.Refuse(verdict.Ran, verdict.ClaimAnswerLost)
	}
	c.Count(`hibiscusrock_claims_replayed_total`)
	return document, false, nil
}

// await follows a claim in flight until it is finished or released, or ctx ends.
func (c *Claims) await(ctx context.Context, key string) (store.KeyValue, bool, error) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		kv, found, err := c.store.Get(ctx, key)
		if err != nil || !found || decode(kv.Value).GetFinished() {
			return kv, found, err
		}
		select {
		case <-ctx.Done():
			return kv, true, nil
		case <-ticker.C:
		}
	}
}

// Finish keeps the answer of the request for resends.
func (c *Claim) Finish(status int32, headers []*wire.Header, body []byte) {
	c.document.Finished = true
	c.document.Status = status
	c.document.Headers = headers
	c.document.Body = body
	if len(body) > LargestKeptAnswer {
		c.document.Body = nil
		c.document.Truncated = true
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	lease, err := c.claims.store.Lease(ctx)
	if err == nil {
		_, _, err = c.claims.store.Swap(ctx, c.revision, store.Write{Key: c.key, Value: c.encode(), Lease: lease})
	}
	if err != nil {
		c.claims.Count(`hibiscusrock_claims_unfinished_total`)
	}
}

// Release gives the claim up after the request certainly did not run. When the
// platform does not answer, the claim stands and resends learn that its outcome
// is unknown.
func (c *Claim) Release() {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	for range releaseAttempts {
		if _, err := c.claims.store.DeleteIf(ctx, c.key, c.revision); err == nil {
			return
		}
	}
	c.claims.Count(`hibiscusrock_claims_unreleased_total`)
}

func (c *Claim) encode() []byte {
	data, _ := proto.Marshal(c.document)
	return data
}

func decode(data []byte) *wire.Claim {
	document := &wire.Claim{}
	_ = proto.Unmarshal(data, document)
	return document
}
