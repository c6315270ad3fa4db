package fleet

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"github.com/zeebo/xxh3"
)

// Member is a process of the fleet, as described to the others.
type Member struct {
	ID string
	// Addr is the address of its peer endpoint.
	Addr netip.AddrPort
	// Zone is its failure domain.
	Zone string
	// Epoch is the process's start time in nanoseconds. It distinguishes the process from earlier
	// ones with the same name.
	Epoch int64
	// Power is its capacity for work relative to the other members. A member with zero power never
	// acts as a relay and owns no numbers.
	Power float64
	// TakesHandoffs is set if it serves requests that others hand over.
	TakesHandoffs bool
}

// The number of relays of a fleet. With three, two may fail at the same time. Each relay answers
// the reports of about 32 members, four per second from each.
const (
	minRelays       = 3
	membersPerRelay = 32
)

// RelayCount returns how many of a fleet's members act as relays.
func RelayCount(members int) int {
	return max(minRelays, (members+membersPerRelay-1)/membersPerRelay)
}

// Relays returns the n members that act as relays, the first choice first: those with the most
// power, and among equals by rendezvous hashing. Processes that know the same members select the
// same relays, and the loss of one relay does not change the selection of the others.
func Relays(members []Member, n int) []Member {
	out := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Power <= 0 })
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(hashFraction(a.ID), hashFraction(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return out[:min(n, len(out))]
}

// hashFraction hashes a string to a number strictly between 0 and 1.
func hashFraction(text string) float64 {
	return (float64(xxh3.HashString(text)>>11) + 0.5) / (1 << 53)
}

// sortByPreference orders relays for a member: those of its own zone first, then by rendezvous
// hashing, which spreads the members over the relays.
func sortByPreference(self Member, relays []Member) []Member {
	out := slices.Clone(relays)
	slices.SortFunc(out, func(a, b Member) int {
		if near := a.Zone == self.Zone; near != (b.Zone == self.Zone) {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Compare(hashFraction(self.ID+a.ID), hashFraction(self.ID+b.ID))
	})
	return out
}

// RendezvousOwner returns the member that owns a number, by rendezvous hashing. Processes that know
// the same members select the same owner. ok is false if there is none.
func RendezvousOwner(members []Member, number uint64) (owner Member, ok bool) {
	best := uint64(0)
	for _, m := range members {
		if rank := xxh3.HashStringSeed(m.ID, number); m.Power > 0 && (!ok || rank > best) {
			best, owner, ok = rank, m, true
		}
	}
	return owner, ok
}

// Digest identifies a set of members. It is the exclusive or of the members' hashes, so that adding
// or removing one member is a single operation. An answer to a reporter leaves that reporter out;
// with a thousand reporters, each digest costs no more than with ten.
func Digest(members ...Member) uint64 {
	sum := uint64(0)
	for _, m := range members {
		sum ^= xxh3.HashString(fmt.Sprintln(m.ID, m.Addr, m.Zone, m.Epoch, m.Power))
	}
	return sum
}
