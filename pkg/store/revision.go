package store

// numberBits is the number of bits of a revision that hold the store's own number; the
// bits above hold the era.
const (
	numberBits = 40
	maxEra     = 1<<(63-numberBits) - 1
)

// InEra returns the revision that the store numbered in an era. A restored store gives
// its numbers out again; with the era, revisions stay in the order of the writes. The
// number 0, which means none, is 0 in every era.
func InEra(era, number int64) int64 {
	if number == 0 {
		return 0
	}
	return era<<numberBits | number
}

// EraOf returns the era of a revision.
func EraOf(n int64) int64 { return n >> numberBits }

// NumberOf returns the store's own number of a revision.
func NumberOf(n int64) int64 { return n & (1<<numberBits - 1) }
