package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// releaseTarget returns an entry of the list of the service pool.
func releaseTarget(i int, release string, draining bool) ListedTarget {
	return ListedTarget{Addr: testAddr(i), Labels: map[string]string{"s": "s"}, Release: release, Leaving: draining}
}

// Guards against a router that crashes as it computes the next split while no target is left that new
// streams may begin at.
func TestNextReleasesWithoutTargets(t *testing.T) {
	t.Parallel()
	for name, list := range map[string][]ListedTarget{
		"all draining": {releaseTarget(0, "a", true), releaseTarget(1, "b", true)},
		"none left":    nil,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := NewBoard(WithSeed(1))
			b.Adopt(epoch, testSetup{}.snapshot(t))
			b.SetTargets(epoch, []ListedTarget{releaseTarget(0, "a", false)})
			b.SetTargets(epoch, []ListedTarget{releaseTarget(0, "a", false), releaseTarget(1, "b", false)})
			next, ok := b.NextReleases(epoch, "s", time.Minute)
			require.True(t, ok)
			require.True(t, b.AdoptReleases(epoch, "s", next))
			b.SetTargets(epoch, list)
			require.True(t, b.HasSeveralReleases("s"))
			_, ok = b.NextReleases(epoch.Add(time.Minute), "s", time.Minute)
			require.False(t, ok, "slots stay where they are")
		})
	}
}

// releaseBoard returns a board with a pool of the given targets, each of them reported.
func releaseBoard(t require.TestingT, now time.Time, targets ...ListedTarget) *Board {
	b := NewBoard(WithSeed(1))
	b.Adopt(now, testSetup{}.snapshot(t))
	b.SetTargets(now, targets)
	return b
}

// Guards against trusting a split for streams of which it knows nothing: those that began before its clock,
// at routers whose clocks differ, or before the past that is known.
func TestStreamReleasesOfTime(t *testing.T) {
	t.Parallel()
	const life = 15 * time.Second
	change := epoch.Add(time.Hour)
	ended := change.Add(life + LateSplitTime)
	b := releaseBoard(t, epoch, releaseTarget(0, "a", false), releaseTarget(1, "b", false))
	for name, c := range map[string]struct {
		first ReleaseSplit
		at    time.Time
		want  []string
		known bool
	}{
		"long before":                 {WholeSplit(time.Time{}, "a"), change.Add(-time.Minute), []string{"a"}, true},
		"before a fast clock's":       {WholeSplit(time.Time{}, "a"), change.Add(-splitSkew), []string{"a", "b"}, true},
		"just before the skew":        {WholeSplit(time.Time{}, "a"), change.Add(-splitSkew - 1), []string{"a"}, true},
		"while the first may go on":   {WholeSplit(time.Time{}, "a"), ended.Add(-1), []string{"a", "b"}, true},
		"once it can't":               {WholeSplit(time.Time{}, "a"), ended, []string{"b"}, true},
		"after an unknown past":       {unknownSplit(change.Add(-time.Hour)), ended.Add(-1), []string{"b"}, false},
		"long after an unknown past":  {unknownSplit(change.Add(-time.Hour)), ended, []string{"b"}, true},
		"past the beginning of known": {WholeSplit(change.Add(-time.Second), "a"), change.Add(time.Second), []string{"a", "b"}, false},
	} {
		h := ReleaseHistory{Number: b.ReleaseHistory("s").Number + 1, Splits: []ReleaseSplit{c.first, WholeSplit(change, "b")}}
		require.True(t, b.AdoptReleases(epoch, "s", h))
		b.ForgetOldSplits(c.at, "s", life)
		releases, known := b.StreamReleases(c.at, "s", "id", life)
		require.Equal(t, c.want, releases, name)
		require.Equal(t, c.known, known, name)
	}
}

// Guards against a first split that claims a past that its writer does not know, and against one that
// forgets it.
func TestNextReleasesFirst(t *testing.T) {
	t.Parallel()
	const life = 15 * time.Second
	now := epoch.Add(time.Hour)
	a, c := releaseTarget(0, "a", false), releaseTarget(1, "b", false)
	t.Run("a known past", func(t *testing.T) {
		t.Parallel()
		b := releaseBoard(t, epoch, a)
		_, ok := b.NextReleases(now, "s", life)
		require.False(t, ok, "one release needs no row")
		require.Empty(t, b.SeveralReleases())
		b.SetTargets(now, []ListedTarget{a, c})
		h, ok := b.NextReleases(now, "s", life)
		require.True(t, ok)
		require.Equal(t, WholeSplit(time.Time{}, "a"), h.Splits[0])
		require.Equal(t, now.Add(SplitLead), h.Splits[1].From)
		require.True(t, b.AdoptReleases(now, "s", h))
		for _, at := range []time.Time{now, now.Add(SplitLead - 1)} {
			release, ok := b.NewStreamRelease(at, "s", "id")
			require.True(t, ok)
			require.Equal(t, "a", release, "the split is not in effect yet")
		}
		_, again := b.NextReleases(h.Splits[1].From.Add(splitInterval), "s", life)
		require.False(t, again)
	})
	t.Run("an unknown past", func(t *testing.T) {
		t.Parallel()
		b := releaseBoard(t, epoch, a, c)
		_, ok := b.NewStreamRelease(now, "s", "id")
		require.False(t, ok, "two releases and no split")
		h, ok := b.NextReleases(now, "s", life)
		require.True(t, ok)
		require.True(t, b.AdoptReleases(now, "s", h))
		_, known := b.StreamReleases(now, "s", "id", life)
		require.False(t, known)
		_, known = b.StreamReleases(now.Add(life+LateSplitTime), "s", "id", life)
		require.True(t, known)
	})
	t.Run("later changes keep splits for the life of a stream", func(t *testing.T) {
		t.Parallel()
		b := releaseBoard(t, epoch, a)
		b.SetTargets(now, []ListedTarget{a, c})
		h, _ := b.NextReleases(now, "s", life)
		require.True(t, b.AdoptReleases(now, "s", h))
		b.SetTargets(now, []ListedTarget{c})
		later := now.Add(SplitLead + life + LateSplitTime - time.Millisecond)
		h, ok := b.NextReleases(later, "s", life)
		require.True(t, ok)
		require.Len(t, h.Splits, 3, "streams of the first split may be under way")
		h, ok = b.NextReleases(later.Add(time.Millisecond), "s", life)
		require.True(t, ok)
		require.Len(t, h.Splits, 2)
	})
}
