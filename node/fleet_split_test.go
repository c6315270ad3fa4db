package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Nodes that were cut off from the rest of a large fleet, all seeds among them, do not remain a fleet
// of their own after the cut.
func TestIsolatedSeedsRejoin(t *testing.T) {
	t.Parallel()
	for name, isolated := range map[string]int{"the seeds": 3, "a third": 8} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleet(t, simSite{nodes: 24, engines: 9, perSecond: 4, bounds: largeFleetBounds})
				f.settle()
				defer f.end()
				for i := range isolated {
					f.net.cutOff(simNodeAddr(i).Addr())
				}
				time.Sleep(8 * time.Second)
				for i := range isolated {
					f.net.restore(simNodeAddr(i).Addr())
				}
				time.Sleep(f.nodes[0].settings().Bounds.Contact)
				for range 20 {
					for _, n := range f.nodes {
						nodes, large := n.relays.size()
						require.True(t, large, n.settings().Name)
						require.Equal(t, f.simSite.nodes, nodes, "nodes that %s knows", n.settings().Name)
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		})
	}
}
