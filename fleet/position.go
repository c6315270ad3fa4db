package fleet

// A position orders writes over all incarnations of a store. It holds the store's era in the high
// bits and the version within that era in the low bits. A write of a later era therefore compares
// as later, although a store restored from an older copy reuses version numbers.

// The bit layout of a position. A fencing token is derived from a position and may have 53 bits; an
// era uses what the version leaves of them.
const (
	versionBits = 40
	maxEra      = 1<<(53-versionBits) - 2
)

// ValidEra reports whether a number can be an era.
func ValidEra(era int64) bool { return era >= 0 && era <= maxEra }

// Position returns the position of a version in an era. A version above the maximum, which no store
// reaches, is clamped to it.
func Position(era, version int64) int64 {
	return era<<versionBits | min(max(0, version), 1<<versionBits-1)
}

// Era returns the era of a position.
func Era(position int64) int64 { return position >> versionBits }

// Version returns the version of a position within its era.
func Version(position int64) int64 { return position & (1<<versionBits - 1) }
