package fleet

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"github.com/zeebo/xxh3"
)

// Member is a process of a fleet, as the others need to know it.
type Member struct {
	ID string
	// Addr is its peers' door.
	Addr netip.AddrPort
	// Zone is the failure domain it stands in.
	Zone string
	// Epoch tells the process from earlier ones of the same name: the time of its start in nanoseconds.
	Epoch int64
	// Power is how much work it can take beside the others; one without any relays nothing.
	Power float64
}

// The number of relays of a fleet. With three, two may be lost at once; each answers
// the reports of some 32 members, four a second from each.
const (
	minRelays       = 3
	membersPerRelay = 32
)

// RelayCount returns how many of a fleet's members relay for the others.
func RelayCount(members int) int {
	return max(minRelays, (members+membersPerRelay-1)/membersPerRelay)
}

// Relays returns the n members that relay for the others, the first choice first:
// those with the most power, among equals by rendezvous hashing. All who know the
// same members choose the same, and one that is lost changes no other's choice.
func Relays(members []Member, n int) []Member {
	out := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Power <= 0 })
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(hashFraction(a.ID), hashFraction(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return out[:min(n, len(out))]
}

// hashFraction hashes a text to a number between 0 and 1, both excluded.
func hashFraction(text string) float64 {
	return (float64(xxh3.HashString(text)>>11) + 0.5) / (1 << 53)
}

// sortByPreference orders relays for a member: those of its zone first, then by
// rendezvous, so that the members are spread over them.
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

// RendezvousOwner returns the member that a number belongs to, by rendezvous hashing; all who
// know the same members choose the same. It returns false if there is none.
func RendezvousOwner(members []Member, number uint64) (home Member, ok bool) {
	best := uint64(0)
	for _, m := range members {
		if rank := xxh3.HashStringSeed(m.ID, number); m.Power > 0 && (!ok || rank > best) {
			best, home, ok = rank, m, true
		}
	}
	return home, ok
}

// Digest names a set of members. That of a set with one more is the exclusive or of both, so
// that each of a thousand reporters, who are told of all but themselves, costs no more than one of ten.
func Digest(members ...Member) uint64 {
	sum := uint64(0)
	for _, m := range members {
		sum ^= xxh3.HashString(fmt.Sprintln(m.ID, m.Addr, m.Zone, m.Epoch, m.Power))
	}
	return sum
}
