package store

import "fmt"

// Keys and prefixes of the project on the platform.
const (
	HeadKey        = "hibiscusrock/head"
	SeedPrefix     = "hibiscusrock/seed/"
	DraftPrefix    = "hibiscusrock/draft/"
	ReleasePrefix  = "hibiscusrock/release/"
	StatusPrefix   = "hibiscusrock/status/"
	partPrefix     = "hibiscusrock/part/"
	manifestPrefix = "hibiscusrock/manifest/"
	claimPrefix    = "hibiscusrock/claim/"
	stewardPrefix  = "hibiscusrock/steward/"
)

// ReleaseKey names a release in the history.
func ReleaseKey(sequence uint64) string { return fmt.Sprintf("%s%012d", ReleasePrefix, sequence) }

// PartKey names a part by its hash.
func PartKey(hash []byte) string { return fmt.Sprintf("%s%x", partPrefix, hash) }

// ManifestKey names a manifest by its root.
func ManifestKey(root []byte) string { return fmt.Sprintf("%s%x", manifestPrefix, root) }

// DraftKey names a draft by its identifier.
func DraftKey(id string) string { return DraftPrefix + id }

// SeedKey names the seed of one slot of a data centre.
func SeedKey(dataCentre, node string) string { return SeedPrefix + dataCentre + "/" + node }

// StewardKey names the lease of a data centre's steward.
func StewardKey(dataCentre string) string { return stewardPrefix + dataCentre }

// StatusKey names what a data centre reports about the moves of a service.
func StatusKey(sequence uint64, dataCentre, service string) string {
	return fmt.Sprintf("%s%012d/%s/%s", StatusPrefix, sequence, dataCentre, service)
}

// ClaimKey names the claim of one idempotency key.
func ClaimKey(hash []byte) string { return fmt.Sprintf("%s%x", claimPrefix, hash) }
