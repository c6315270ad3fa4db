package route

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

// What targets of two releases of their software write does not fit together, so a stream goes on only at
// the release that began it. No router can ask for the release of a stream whose router is gone, so it
// follows from the id of the request that began the stream: ids are hashed to slots, and a split assigns
// the slots of a pool to releases. Splits that ended are kept for as long as a stream may last.

// ReleaseSlots is the number of slots into which the ids of requests are hashed.
const ReleaseSlots = 64

// releaseSlotBits is the number of bits of a hash that name a slot.
const releaseSlotBits = 6

// ReleaseSlot returns the slot of a request id.
func ReleaseSlot(id string) int { return int(xxh3.HashString(id) >> (64 - releaseSlotBits)) }

// ReleaseSplit assigns the slots of a pool to releases from a time on.
type ReleaseSplit struct {
	// From is when the split takes effect; zero means that it has been in effect for ever.
	From time.Time
	// Names are releases, and Slots the position in Names of each slot's release, or UnknownRelease.
	Names []string
	Slots [ReleaseSlots]int8
}

// UnknownRelease marks a slot whose release is not known.
const UnknownRelease = -1

// WholeSplit returns a split that assigns all slots to one release.
func WholeSplit(from time.Time, release string) ReleaseSplit {
	return ReleaseSplit{From: from, Names: []string{release}}
}

// unknownSplit returns a split of which nothing is known.
func unknownSplit(from time.Time) ReleaseSplit {
	s := ReleaseSplit{From: from}
	for i := range s.Slots {
		s.Slots[i] = UnknownRelease
	}
	return s
}

// Release returns the release of a slot; ok is false if it is not known.
func (s *ReleaseSplit) Release(slot int) (release string, ok bool) {
	if i := s.Slots[slot]; i >= 0 && int(i) < len(s.Names) {
		return s.Names[i], true
	}
	return "", false
}

// String returns the number of slots of each release, for operators.
func (s *ReleaseSplit) String() string {
	counts := s.counts()
	var out []string
	for _, release := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%s %d/%d", release, counts[release], ReleaseSlots))
	}
	return strings.Join(out, ", ")
}

// counts returns the number of slots of each release.
func (s *ReleaseSplit) counts() map[string]int {
	out := make(map[string]int)
	for slot := range s.Slots {
		if release, ok := s.Release(slot); ok {
			out[release]++
		}
	}
	return out
}

// ReleaseHistory holds the splits of a pool. The zero value means that none is known.
type ReleaseHistory struct {
	// Number grows with each change.
	Number int64
	// Splits are ordered by the time from which they apply.
	Splits []ReleaseSplit
	// begin is the earliest time at which this router begins streams under the newest split.
	begin time.Time
}

// At returns the split in effect at a time, or nil if none is known.
func (h ReleaseHistory) At(now time.Time) *ReleaseSplit {
	for i := len(h.Splits) - 1; i >= 0; i-- {
		if !h.Splits[i].From.After(now) {
			return &h.Splits[i]
		}
	}
	return nil
}

// beginning returns the split under which streams begin, or nil if none is known.
func (h ReleaseHistory) beginning(now time.Time) *ReleaseSplit {
	split := h.At(now)
	if n := len(h.Splits); n > 1 && split == &h.Splits[n-1] && now.Before(h.begin) {
		return &h.Splits[n-2]
	}
	return split
}

// newest returns the split that takes effect last, or nil.
func (h ReleaseHistory) newest() *ReleaseSplit {
	if len(h.Splits) == 0 {
		return nil
	}
	return &h.Splits[len(h.Splits)-1]
}

// Between returns the releases of a slot between two times. Known is false if a part of that time is not
// covered or the slot's release was not known.
func (h ReleaseHistory) Between(slot int, from, to time.Time) (releases []string, known bool) {
	known = h.At(from) != nil
	for i := range h.Splits {
		s := &h.Splits[i]
		ended := i+1 < len(h.Splits) && !h.Splits[i+1].From.After(from)
		if ended || s.From.After(to) {
			continue
		}
		release, ok := s.Release(slot)
		switch {
		case !ok:
			known = false
		case !slices.Contains(releases, release):
			releases = append(releases, release)
		}
	}
	return releases, known
}

// without drops the splits that ended before a time.
func (h ReleaseHistory) without(before time.Time) ReleaseHistory {
	first := 0
	for first+1 < len(h.Splits) && !h.Splits[first+1].From.After(before) {
		first++
	}
	h.Splits = h.Splits[first:]
	return h
}

// Limits of the imbalance between the slots of a release and its share of the pool's targets: slots move
// once a release has more than imbalanceFactor times its share of them, and imbalanceSlots on top.
const (
	imbalanceFactor = 1.5
	imbalanceSlots  = 4
)

// next returns the split that follows if the releases have the given weights; ok is false if the slots
// may stay where they are. As few slots as possible move.
func (s *ReleaseSplit) next(from time.Time, weights map[string]float64) (out ReleaseSplit, ok bool) {
	want := apportion(weights)
	if len(want) == 0 || !s.unbalanced(want) {
		return out, false
	}
	out = ReleaseSplit{From: from, Names: slices.Sorted(maps.Keys(want))}
	index := make(map[string]int8, len(want))
	for i, name := range out.Names {
		index[name] = int8(i)
	}
	for slot := range out.Slots {
		out.Slots[slot] = UnknownRelease
		if release, known := s.Release(slot); known && want[release] > 0 {
			want[release]--
			out.Slots[slot] = index[release]
		}
	}
	for slot := range out.Slots {
		if out.Slots[slot] != UnknownRelease {
			continue
		}
		for i, name := range out.Names {
			if want[name] > 0 {
				want[name]--
				out.Slots[slot] = int8(i)
				break
			}
		}
	}
	return out, true
}

// unbalanced reports whether slots have to move so that each release has about the wanted number.
func (s *ReleaseSplit) unbalanced(want map[string]int) bool {
	have, assigned := s.counts(), 0
	for release, n := range have {
		assigned += n
		if float64(n) > imbalanceFactor*float64(want[release])+imbalanceSlots || want[release] == 0 {
			return true
		}
	}
	for release, n := range want {
		if float64(n) > imbalanceFactor*float64(have[release])+imbalanceSlots || have[release] == 0 {
			return true
		}
	}
	return assigned < ReleaseSlots
}

// apportion divides the slots by weight with largest remainders. Each release with a weight gets at least
// one slot, those of the largest weight first if there are too many.
func apportion(weights map[string]float64) map[string]int {
	names := slices.Collect(maps.Keys(weights))
	names = slices.DeleteFunc(names, func(n string) bool { return weights[n] <= 0 })
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	if len(names) == 0 {
		return nil
	}
	names = names[:min(len(names), ReleaseSlots)]
	total := 0.0
	for _, n := range names {
		total += weights[n]
	}
	out, left := make(map[string]int, len(names)), ReleaseSlots
	remainder := make(map[string]float64, len(names))
	for _, n := range names {
		share := weights[n] / total * ReleaseSlots
		out[n] = max(1, int(share))
		remainder[n] = share - float64(out[n])
		left -= out[n]
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(remainder[b], remainder[a]) })
	for i := 0; left > 0; i++ {
		out[names[i%len(names)]]++
		left--
	}
	for i := len(names) - 1; left < 0; i = (i + len(names) - 1) % len(names) {
		if out[names[i]] > 1 {
			out[names[i]]--
			left++
		}
	}
	return out
}
