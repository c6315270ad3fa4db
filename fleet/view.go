package fleet

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

// Entry is the latest known state of one process. An entry replaces one with a lower epoch, or with
// the same epoch and a lower sequence number.
type Entry[P any] struct {
	ID      string
	Addr    netip.AddrPort
	Epoch   int64
	Seq     uint64
	Payload P
}

// AgedEntry is an entry with the time since it was last updated here.
type AgedEntry[P any] struct {
	Entry[P]
	Age time.Duration
}

// newer reports whether e replaces o.
func (e Entry[P]) newer(o Entry[P]) bool {
	if e.Epoch != o.Epoch {
		return e.Epoch > o.Epoch
	}
	return e.Seq > o.Seq
}

// View is one process's partial view of its peers, spread by gossip.
//
// Each exchange carries the sender's own entry and a bounded number of others chosen at random, so
// that message size does not grow with the fleet.
type View[P any] struct {
	self    Entry[P]
	timeout time.Duration
	seeds   []netip.AddrPort
	peers   map[string]*peerRecord[P]
}

// peerRecord is an entry with the time of its last update here.
type peerRecord[P any] struct {
	entry Entry[P]
	at    time.Time
}

// NewView returns the view of a process that knows only its seeds. A peer whose entry has not been
// updated for timeout counts as lost.
func NewView[P any](id string, addr netip.AddrPort, epoch int64, seeds []netip.AddrPort, timeout time.Duration) *View[P] {
	return &View[P]{
		self:    Entry[P]{ID: id, Addr: addr, Epoch: epoch},
		timeout: timeout,
		seeds:   seeds,
		peers:   make(map[string]*peerRecord[P]),
	}
}

// SetSeeds replaces the seeds.
func (v *View[P]) SetSeeds(seeds []netip.AddrPort) { v.seeds = seeds }

// Message returns what to send: the own entry with a new payload, and at most relay live entries of
// others, chosen at random. Choosing the most recently updated ones instead left the remaining
// entries unsent.
func (v *View[P]) Message(now time.Time, rng *rand.Rand, payload P, relay int) []Entry[P] {
	v.self.Seq++
	v.self.Payload = payload
	live := v.Live(now)
	rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return append([]Entry[P]{v.self}, live[:min(len(live), relay)]...)
}

// Merge records a message and returns the ids of peers that were not live before. A received entry
// with this process's own id and a higher epoch means that the clock was set back before this
// process started; the process then raises its own epoch above it.
func (v *View[P]) Merge(now time.Time, entries []Entry[P]) (joined []string) {
	for _, e := range entries {
		if e.ID == v.self.ID {
			if e.Epoch > v.self.Epoch {
				v.self.Epoch = e.Epoch + 1
			}
			continue
		}
		k, ok := v.peers[e.ID]
		if ok && !e.newer(k.entry) {
			continue
		}
		if !ok || now.Sub(k.at) > v.timeout {
			joined = append(joined, e.ID)
		}
		v.peers[e.ID] = &peerRecord[P]{entry: e, at: now}
	}
	return joined
}

// UpdatePayload changes the payload of a peer's entry if the entry has the given epoch.
func (v *View[P]) UpdatePayload(id string, epoch int64, change func(*P)) {
	if k, ok := v.peers[id]; ok && k.entry.Epoch == epoch {
		change(&k.entry.Payload)
	}
}

// NewerEpoch returns an entry with the id, address and epoch of a known incarnation of a peer that
// is newer than the given epoch. It is sent to that peer so that it can raise its own epoch.
func (v *View[P]) NewerEpoch(id string, epoch int64) (e Entry[P], ok bool) {
	k, ok := v.peers[id]
	if !ok || k.entry.Epoch <= epoch {
		return e, false
	}
	return Entry[P]{ID: id, Addr: k.entry.Addr, Epoch: k.entry.Epoch}, true
}

// Epoch returns this process's own epoch.
func (v *View[P]) Epoch() int64 { return v.self.Epoch }

// forgetTimeouts is the number of timeouts for which a lost peer is remembered, so that an old
// entry forwarded late does not add it again.
const forgetTimeouts = 20

// Expire returns the ids of the peers lost since the last call, which was made at before, and
// removes peers lost long ago.
func (v *View[P]) Expire(before, now time.Time) (lost []string) {
	for id, k := range v.peers {
		gone := now.Sub(k.at)
		if gone > v.timeout && before.Sub(k.at) <= v.timeout {
			lost = append(lost, id)
		}
		if gone > forgetTimeouts*v.timeout {
			delete(v.peers, id)
		}
	}
	slices.Sort(lost)
	return lost
}

// Live returns the entries of the peers updated within the timeout.
func (v *View[P]) Live(now time.Time) []Entry[P] {
	heard := v.LiveWithAge(now)
	out := make([]Entry[P], len(heard))
	for i, h := range heard {
		out[i] = h.Entry
	}
	return out
}

// LiveWithAge returns the same entries as Live, each with its age.
func (v *View[P]) LiveWithAge(now time.Time) []AgedEntry[P] {
	var out []AgedEntry[P]
	for _, k := range v.peers {
		if age := now.Sub(k.at); age <= v.timeout {
			out = append(out, AgedEntry[P]{k.entry, age})
		}
	}
	slices.SortFunc(out, func(a, b AgedEntry[P]) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Digest identifies the set of processes updated within a given time, this one included.
func (v *View[P]) Digest(now time.Time, within time.Duration) uint64 {
	ids := []string{v.self.ID}
	for id, k := range v.peers {
		if now.Sub(k.at) <= within {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return xxh3.HashString(strings.Join(ids, "\n"))
}

// Pick returns at most n distinct addresses of live peers, chosen at random, and one seed that is
// not among the live peers, so that partitions of the fleet find each other again.
func (v *View[P]) Pick(now time.Time, rng *rand.Rand, n int) []netip.AddrPort {
	live := v.Live(now)
	rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	known := map[netip.AddrPort]bool{v.self.Addr: true}
	var out []netip.AddrPort
	for _, e := range live {
		known[e.Addr] = true
		if len(out) < n {
			out = append(out, e.Addr)
		}
	}
	var unknownSeeds []netip.AddrPort
	for _, s := range v.seeds {
		if !known[s] {
			unknownSeeds = append(unknownSeeds, s)
		}
	}
	if len(unknownSeeds) > 0 {
		out = append(out, unknownSeeds[rng.IntN(len(unknownSeeds))])
	}
	return out
}

// AllAddresses returns the addresses of all live peers and of all seeds.
func (v *View[P]) AllAddresses(now time.Time) []netip.AddrPort {
	all := slices.Clone(v.seeds)
	for _, e := range v.Live(now) {
		all = append(all, e.Addr)
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(a netip.AddrPort) bool { return a == v.self.Addr })
}
