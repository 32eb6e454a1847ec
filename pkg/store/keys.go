package store

import "fmt"

// Keys and key prefixes of the project in the store. The stored prefix of the
// leader's lease says steward; code and comments say leader.
const (
	HeadKey        = "hibiscusrock/head"
	SeedPrefix     = "hibiscusrock/seed/"
	DraftPrefix    = "hibiscusrock/draft/"
	ReleasePrefix  = "hibiscusrock/release/"
	StatusPrefix   = "hibiscusrock/status/"
	partPrefix     = "hibiscusrock/part/"
	manifestPrefix = "hibiscusrock/manifest/"
	claimPrefix    = "hibiscusrock/claim/"
	leaderPrefix   = "hibiscusrock/steward/"
)

// ReleaseKey returns the key of a release in the release history.
func ReleaseKey(sequence uint64) string { return fmt.Sprintf("%s%012d", ReleasePrefix, sequence) }

// PartKey returns the key of the part with the given hash.
func PartKey(hash []byte) string { return fmt.Sprintf("%s%x", partPrefix, hash) }

// ManifestKey returns the key of the manifest with the given root hash.
func ManifestKey(root []byte) string { return fmt.Sprintf("%s%x", manifestPrefix, root) }

// DraftKey returns the key of the draft with the given identifier.
func DraftKey(id string) string { return DraftPrefix + id }

// SeedKey returns the key of the seed that a node of a data centre publishes.
func SeedKey(dataCentre, node string) string { return SeedPrefix + dataCentre + "/" + node }

// LeaderKey returns the key of the lease of a data centre's leader, the node that
// decides the data centre's traffic shares.
func LeaderKey(dataCentre string) string { return leaderPrefix + dataCentre }

// StatusKey returns the key of a data centre's report on the moves of a service in a release.
func StatusKey(sequence uint64, dataCentre, service string) string {
	return fmt.Sprintf("%s%012d/%s/%s", StatusPrefix, sequence, dataCentre, service)
}

// ClaimKey returns the key of the claim on the idempotency key with the given hash.
func ClaimKey(hash []byte) string { return fmt.Sprintf("%s%x", claimPrefix, hash) }
