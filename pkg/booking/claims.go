// Package booking makes sure that a non-idempotent request with an
// Idempotency-Key runs at most once: a claim is written to the platform's store
// before the request is dispatched, and resends find it there.
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
	// MaxKeptAnswer bounds the body of an answer that is kept for resends, in bytes.
	MaxKeptAnswer = 64 << 10
	pollInterval  = 100 * time.Millisecond
	// updateTimeout bounds the store calls that finish or release a claim.
	updateTimeout      = 5 * time.Second
	maxReleaseAttempts = 3
)

// Store holds the functions of the platform's store that claims need.
type Store struct {
	// Get returns a key's value, or false when the key does not exist.
	Get func(ctx context.Context, key string) (store.KeyValue, bool, error)
	// Swap writes a key if its revision is the one given, where 0 means that the
	// key does not exist. It returns whether it did, and the key's present value.
	Swap func(ctx context.Context, modRevision int64, writes ...store.Write) (bool, store.KeyValue, error)
	// DeleteIf removes a key if its revision is the one given.
	DeleteIf func(ctx context.Context, key string, modRevision int64) (bool, error)
	// Lease returns the lease to which claims are bound; the store deletes a claim
	// when its lease expires.
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

// Claim is this node's exclusive right to run one request.
type Claim struct {
	claims   *Claims
	key      string
	document *wire.Claim
	revision int64
}

// Acquire writes the claim for a request. It returns one of three results: a
// claim when the request may run, the kept answer when it ran before, or a
// refusal. While another request holds the claim, Acquire waits for its answer
// until ctx ends. Attempts of one caller's request share a nonce; an attempt may
// follow another one only after the verdict that the earlier one did not run.
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
		kept, retry, refusal := c.resolve(ctx, claim, present)
		if !retry {
			return nil, kept, refusal
		}
	}
}

// write creates the claim in the store. It returns the stored value and true
// when there is another claim for the key.
func (c *Claim) write(ctx context.Context) (store.KeyValue, bool, *verdict.Refusal) {
	lease, err := c.claims.store.Lease(ctx)
	if err != nil {
		return store.KeyValue{}, false, c.claims.unavailable()
	}
	content, err := c.encode()
	if err != nil {
		return store.KeyValue{}, false, c.claims.unavailable()
	}
	swapped, present, err := c.claims.store.Swap(ctx, 0, store.Write{Key: c.key, Value: content, Lease: lease})
	if err == nil && swapped {
		c.revision = present.ModRevision
		return store.KeyValue{}, false, nil
	}
	if err != nil {
		// The store may have written the claim although the answer was lost.
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

// isOwn reports whether this node wrote the stored claim, for the same request
// of the caller, and the claim has no answer yet.
func (c *Claim) isOwn(present store.KeyValue) bool {
	document := decode(present.Value)
	return document.GetNonce() == c.document.GetNonce() && document.GetNode() == c.document.GetNode() && !document.GetFinished()
}

func (c *Claims) unavailable() *verdict.Refusal {
	c.Count(`hibiscusrock_claims_unavailable_total`)
	return verdict.Refuse(verdict.NotRun, verdict.ClaimsUnavailable)
}

// resolve handles a request whose key another request has claimed. It returns the
// kept answer or a refusal, or true when the other claim was released or its
// lease expired, so that this one has to be written again.
func (c *Claims) resolve(ctx context.Context, own *Claim, present store.KeyValue) (*wire.Claim, bool, *verdict.Refusal) {
	document := decode(present.Value)
	if document.GetFingerprint() != own.document.GetFingerprint() {
		return nil, false, verdict.Refuse(verdict.NotRun, verdict.ClaimMismatch)
	}
	if document.GetFinished() {
		return c.keptAnswer(document)
	}
	c.Count(`hibiscusrock_claims_attached_total`)
	kv, found, err := c.await(ctx, own.key)
	if err == nil && !found {
		return nil, true, nil
	}
	if document = decode(kv.Value); err == nil && document.GetFinished() {
		return c.keptAnswer(document)
	}
	return nil, false, verdict.Refuse(verdict.Unknown, verdict.ClaimHeld)
}

// keptAnswer returns a finished claim, or a refusal when the answer was too large
// to keep. The second result is always false, as in resolve.
func (c *Claims) keptAnswer(document *wire.Claim) (*wire.Claim, bool, *verdict.Refusal) {
	if document.GetTruncated() {
		return nil, false, verdict.Refuse(verdict.Ran, verdict.ClaimAnswerLost)
	}
	c.Count(`hibiscusrock_claims_replayed_total`)
	return document, false, nil
}

// await polls the store until a claim is finished or deleted, or ctx ends. It
// returns the claim's last value, or false when the claim was deleted: it was
// released, or its lease expired.
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

// Finish stores the answer of the request for resends. A body larger than
// MaxKeptAnswer is left out, and resends are then refused. When the store
// cannot be reached, the claim stays unfinished and resends are refused with an
// unknown outcome. The answer is not kept either when the claim is gone from the
// store, for example because its lease expired.
func (c *Claim) Finish(status int32, headers []*wire.Header, body []byte) {
	c.document.Headers = headers
	c.document.Body = body
	if len(body) > MaxKeptAnswer {
		c.document.Body = nil
		c.document.Truncated = true
	}
	c.finish(status)
}

// FinishTooLong stores that the request ran and that its answer was too long to be
// kept.
func (c *Claim) FinishTooLong(status int32) {
	c.document.Truncated = true
	c.finish(status)
}

func (c *Claim) finish(status int32) {
	c.document.Finished = true
	c.document.Status = status
	ctx, cancel := context.WithTimeout(context.Background(), updateTimeout)
	defer cancel()
	content, err := c.encode()
	lease := int64(0)
	if err == nil {
		lease, err = c.claims.store.Lease(ctx)
	}
	if err == nil {
		_, _, err = c.claims.store.Swap(ctx, c.revision, store.Write{Key: c.key, Value: content, Lease: lease})
	}
	if err != nil {
		c.claims.Count(`hibiscusrock_claims_unfinished_total`)
	}
}

// Release deletes the claim of a request that certainly did not run. When the
// store cannot be reached, the claim stays and resends are refused with an
// unknown outcome.
func (c *Claim) Release() {
	ctx, cancel := context.WithTimeout(context.Background(), updateTimeout)
	defer cancel()
	for range maxReleaseAttempts {
		if _, err := c.claims.store.DeleteIf(ctx, c.key, c.revision); err == nil {
			return
		}
	}
	c.claims.Count(`hibiscusrock_claims_unreleased_total`)
}

func (c *Claim) encode() ([]byte, error) { return proto.Marshal(c.document) }

func decode(data []byte) *wire.Claim {
	document := &wire.Claim{}
	_ = proto.Unmarshal(data, document)
	return document
}
