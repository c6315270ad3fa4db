package route

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawWeights draws weights of releases, some of which are zero or tiny.
func drawWeights(rt *rapid.T, most int) map[string]float64 {
	weights := make(map[string]float64)
	for i := range rapid.IntRange(0, most).Draw(rt, "releases") {
		weights[fmt.Sprintf("r%02d", i)] = rapid.OneOf(
			rapid.SampledFrom([]float64{0, 1, 1, 4, 1e-9, 1e6}), rapid.Float64Range(0, 100),
		).Draw(rt, "weight")
	}
	return weights
}

// drawSplit draws a split of up to four releases, some of whose slots are unknown.
func drawSplit(rt *rapid.T, from time.Time) ReleaseSplit {
	s := ReleaseSplit{From: from}
	for i := range rapid.IntRange(1, 4).Draw(rt, "names") {
		s.Names = append(s.Names, fmt.Sprintf("r%02d", i))
	}
	draw := rapid.IntRange(UnknownRelease, len(s.Names)-1)
	if rapid.Bool().Draw(rt, "few exceptions") {
		for range rapid.IntRange(0, 5).Draw(rt, "exceptions") {
			s.Slots[rapid.IntRange(0, ReleaseSlots-1).Draw(rt, "exception")] = int8(draw.Draw(rt, "slot"))
		}
		return s
	}
	for slot := range s.Slots {
		s.Slots[slot] = int8(draw.Draw(rt, "slot"))
	}
	return s
}

// drawNextWeights draws weights that may be close to what a split gives.
func drawNextWeights(rt *rapid.T, s ReleaseSplit) map[string]float64 {
	if rapid.Bool().Draw(rt, "unrelated") {
		return drawWeights(rt, 6)
	}
	weights := make(map[string]float64)
	for name, n := range s.counts() {
		if !rapid.Bool().Draw(rt, "gone") || n > 5 {
			weights[name] = float64(n)
		}
	}
	return weights
}

func positive(weights map[string]float64) []string {
	names := slices.DeleteFunc(slices.Collect(maps.Keys(weights)), func(n string) bool { return weights[n] <= 0 })
	slices.Sort(names)
	return names
}

// Guards against slots without a release, and against releases with targets that no stream begins at.
func TestApportion(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		weights := drawWeights(rt, 70)
		got, names, total, sum := apportion(weights), positive(weights), 0.0, 0
		for _, name := range names {
			total += weights[name]
		}
		for name, n := range got {
			require.Positive(rt, n, name)
			require.Positive(rt, weights[name], "%s has no weight", name)
			sum += n
		}
		if len(names) == 0 {
			require.Empty(rt, got)
			return
		}
		require.Equal(rt, ReleaseSlots, sum)
		require.Len(rt, got, min(len(names), ReleaseSlots))
		least := math.Inf(1)
		for name := range got {
			least = min(least, weights[name])
		}
		for _, name := range names {
			if got[name] == 0 {
				require.LessOrEqual(rt, weights[name], least, "%s has no slot but more weight than one that has", name)
			}
		}
		if !allAtLeastOneSlot(weights, names, total) {
			return
		}
		// No release needs the floor of one slot: largest remainders, within one slot of the exact share.
		for _, a := range names {
			share := weights[a] / total * ReleaseSlots
			require.InDelta(rt, share, got[a], 1, a)
			for _, b := range names {
				other := weights[b] / total * ReleaseSlots
				if share-math.Floor(share) > other-math.Floor(other)+1e-6 {
					require.False(rt, got[a] <= int(share) && got[b] > int(other), "%s is rounded up before %s", b, a)
				}
			}
		}
	})
}

func allAtLeastOneSlot(weights map[string]float64, names []string, total float64) bool {
	return !slices.ContainsFunc(names, func(n string) bool { return weights[n]/total*ReleaseSlots < 1 })
}

// Guards against slots that move without need, since streams of moved slots are known only to those who
// began them, and against slots that stay at releases without targets.
func TestNextSplitMovesFewSlots(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		before := drawSplit(rt, epoch)
		weights := drawNextWeights(rt, before)
		want := apportion(weights)
		have, unknown := before.counts(), 0
		for slot := range before.Slots {
			if _, ok := before.Release(slot); !ok {
				unknown++
			}
		}
		after, ok := before.next(epoch.Add(time.Second), weights)
		if !ok {
			if len(want) == 0 {
				return
			}
			require.Zero(rt, unknown, "a slot without a release stays")
			for name := range want {
				require.Positive(rt, have[name], "%s has a weight and no slot", name)
				require.LessOrEqual(rt, float64(want[name]), imbalanceFactor*float64(have[name])+imbalanceSlots, name)
			}
			for name := range have {
				require.Positive(rt, want[name], "%s has slots and no weight", name)
				require.LessOrEqual(rt, float64(have[name]), imbalanceFactor*float64(want[name])+imbalanceSlots, name)
			}
			return
		}
		require.Equal(rt, epoch.Add(time.Second), after.From)
		require.Equal(rt, want, after.counts(), "each release has the wanted slots and none is unknown")
		moved, surplus := 0, 0
		for name, n := range have {
			surplus += max(0, n-want[name])
		}
		for slot := range before.Slots {
			was, known := before.Release(slot)
			is, _ := after.Release(slot)
			if !known || was == is {
				continue
			}
			moved++
			require.Greater(rt, have[was], want[was], "%s loses slot %d and has no surplus", was, slot)
			require.Less(rt, have[is], want[is], "%s gains slot %d and needs none", is, slot)
		}
		require.Equal(rt, surplus, moved, "exactly the surplus of the releases that have too many slots moves")
		_, again := after.next(epoch.Add(time.Hour), weights)
		require.False(rt, again, "the same weights move nothing more")
	})
}

// drawHistory draws splits that begin at whole milliseconds, up to 60 ms after epoch.
func drawHistory(rt *rapid.T) ReleaseHistory {
	h := ReleaseHistory{Number: 1}
	at := rapid.IntRange(0, 20).Draw(rt, "first")
	for i := range rapid.IntRange(0, 5).Draw(rt, "splits") {
		s := drawSplit(rt, epoch.Add(time.Duration(at)*time.Millisecond))
		if i == 0 && rapid.Bool().Draw(rt, "always") {
			s.From = time.Time{}
		}
		h.Splits = append(h.Splits, s)
		at += rapid.IntRange(1, 10).Draw(rt, "length")
	}
	return h
}

// sampled is the oracle of [ReleaseHistory.Between]: it looks at each millisecond on its own.
func sampled(h ReleaseHistory, slot, from, to int) (releases []string, known bool) {
	known = true
	for ms := from; ms <= to; ms++ {
		at, name, ok := epoch.Add(time.Duration(ms)*time.Millisecond), "", false
		for _, s := range h.Splits {
			if s.From.Before(at) || s.From.Equal(at) {
				name, ok = "", s.Slots[slot] != UnknownRelease
				if ok {
					name = s.Names[s.Slots[slot]]
				}
			}
		}
		switch {
		case !ok:
			known = false
		case !slices.Contains(releases, name):
			releases = append(releases, name)
		}
	}
	return releases, known
}

// Guards against a take-up that misses a release that was in force for a part of a stream's life, or that
// trusts a time of which nothing is known.
func TestReleasesBetween(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		h := drawHistory(rt)
		slot := rapid.IntRange(0, ReleaseSlots-1).Draw(rt, "slot")
		from := rapid.IntRange(0, 70).Draw(rt, "from")
		to := from + rapid.IntRange(0, 40).Draw(rt, "window")
		at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
		releases, known := h.Between(slot, at(from), at(to))
		wantReleases, wantKnown := sampled(h, slot, from, to)
		require.Equal(rt, wantKnown, known)
		require.Equal(rt, wantReleases, releases)
	})
}

// Guards against forgetting a split under which a stream may still be under way.
func TestHistoryWithoutOldSplits(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		h := drawHistory(rt)
		at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
		before := rapid.IntRange(0, 70).Draw(rt, "before")
		kept := h.without(at(before))
		require.LessOrEqual(rt, len(kept.Splits), len(h.Splits))
		if len(kept.Splits) > 1 {
			require.True(rt, kept.Splits[1].From.After(at(before)), "a split that ended is kept")
		}
		from := before + rapid.IntRange(0, 20).Draw(rt, "from")
		to := from + rapid.IntRange(0, 40).Draw(rt, "window")
		for slot := range ReleaseSlots {
			releases, known := h.Between(slot, at(from), at(to))
			keptReleases, keptKnown := kept.Between(slot, at(from), at(to))
			require.Equal(rt, releases, keptReleases)
			require.Equal(rt, known, keptKnown)
		}
	})
}

// Guards against a hash that crowds ids in few slots or leaves the range of slots.
func TestReleaseSlotEven(t *testing.T) {
	t.Parallel()
	var counts [ReleaseSlots]int
	const each = 200
	for i := range each * ReleaseSlots {
		counts[ReleaseSlot(fmt.Sprintf("request-%d", i))]++
	}
	for slot, n := range counts {
		require.InDelta(t, each, n, each/2, "slot %d", slot)
	}
}
