package bundle

import (
	"crypto/sha256"
	"encoding/hex"
)

// Account is a client account. Callers name it by one of its keys, of which nodes hold the
// digests only.
type Account struct {
	Name string `json:"name"`
	// KeyDigests are the digests of the keys, as KeyDigest returns them.
	KeyDigests []string `json:"key_digests"`
	// Priority takes the place of the priority of the routes; nil leaves that.
	Priority *int `json:"priority,omitempty"`
	// RatePerSecond and Burst cap the requests of the account over all nodes: this many a
	// second, and this many more at once. A rate of 0 sets no cap.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
}

// IsCapped reports whether the account has a usage cap.
func (a *Account) IsCapped() bool { return a.RatePerSecond > 0 }

// KeyDigest returns the digest of a key in hexadecimal, by which keys are held and compared.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Snapshot is a whole configuration of the users' store.
type Snapshot struct {
	// Sequence orders configurations; a higher one is newer.
	Sequence uint64
	Parts    []Part
	// Accounts are the client accounts; without any, callers need no key.
	Accounts []Account
	// Content is what nodes keep and pass on of the configuration: no keys of accounts.
	Content []byte
}
