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
