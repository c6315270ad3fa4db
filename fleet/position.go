package fleet

// A position in a store's history is one number that grows over all lives of the store:
// its era in the high part, and the version that it gave within that era in the low one. So
// whatever is ordered by position has what was written in a later era as the later, although
// a store that comes back from an older copy gives its versions out again.

// The parts of a position. An era takes what is left of the 53 bits that a fencing number,
// which is made of one, may have.
const (
	versionBits = 40
	maxEra      = 1<<(53-versionBits) - 2
)

// ValidEra reports whether a number can be an era.
func ValidEra(era int64) bool { return era >= 0 && era <= maxEra }

// Position returns the position of a version in an era. A version that is larger than any
// store reaches in its life counts as the largest.
func Position(era, version int64) int64 {
	return era<<versionBits | min(max(0, version), 1<<versionBits-1)
}

// Era returns the era of a position.
func Era(position int64) int64 { return position >> versionBits }

// Version returns the version of a position within its era.
func Version(position int64) int64 { return position & (1<<versionBits - 1) }
