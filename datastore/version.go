package datastore

import "fmt"

// Version is a position in the history of a store: the era of the store and, within it, a number that increases with every write. The
// store may come back from an older copy of itself; it then gives out numbers again, in the next era. Versions are ordered by <: those
// of a later era are above all earlier ones, so that they order positions also across such a return.
//
// A store without eras has the era zero, in which versions and numbers are equal. Only the clients of stores make versions from
// numbers, and encodings of versions for other daemons.
type Version uint64

// The layout of a version.
const (
	// eraShift is the position of the era in a version.
	eraShift = 40
	// MaxEra is the highest era that a version can hold.
	MaxEra = 1<<(64-eraShift) - 1
	// MaxNumber is the highest number that a version can hold.
	MaxNumber = 1<<eraShift - 1
)

// NewVersion returns the version of the number in the era. Both must be within their limits.
func NewVersion(era, number uint64) Version {
	return Version(era<<eraShift | number)
}

// Era returns the era of the version.
func (version Version) Era() uint64 {
	return uint64(version >> eraShift)
}

// Number returns the number of the version within its era.
func (version Version) Number() uint64 {
	return uint64(version & MaxNumber)
}

// String returns the era and the number of the version, for logs.
func (version Version) String() string {
	return fmt.Sprintf("%d.%d", version.Era(), version.Number())
}
