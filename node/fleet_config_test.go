package node

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Seen on 82 VMs, 74 of them with links of 10 Mbit/s: 1,400 routes were added for the third time, and 72
// nodes never had the new revision. They refused every request with a key, went on serving
// routes without one by the old revision, and took in as much as their links carry, to the end.
//
// The text had grown to some 840 KB. A node gave a call to another node up after 0.6 s, in which such a
// link carries 750 KB, and began again from the first byte. What proved it: the step before, of 565 KB,
// reached all within 2 s; the processors were idle; only nodes with fast links got the next one.
//
// So a configuration comes into force at all nodes within its bound whatever its size is
// beside the links, as long as they carry it in that time at all, and nodes serve meanwhile.
func TestFleetLargeConfiguration(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		site simSite
		text string
		// changes follow each other while the one before is still on its way.
		changes int
	}{
		"routes such as were added": {
			simSite{nodes: 24, engines: 10, perSecond: 10, mbps: 10}, routesText(6000), 1,
		},
		"a text that cannot be packed": {
			simSite{nodes: 24, engines: 10, perSecond: 10, mbps: 10}, noiseText(1_200_000), 1,
		},
		"one that is replaced while it is on its way": {
			simSite{nodes: 24, engines: 10, perSecond: 10, mbps: 10}, routesText(6000), 3,
		},
		"links of 4 Mbit/s": {
			simSite{nodes: 20, engines: 10, perSecond: 10, mbps: 4}, routesText(6000), 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleet(t, c.site)
				f.settle()
				defer f.end()
				for range c.changes {
					f.store.declare(c.text)
					time.Sleep(400 * time.Millisecond)
				}
				begun := time.Now()
				want := int64(1 + c.changes)
				bound := f.nodes[0].settings().Bounds.Apply
				refusing := 0
				for f.countBehind(want) > 0 && time.Since(begun) < bound {
					refusing = max(refusing, f.countRefusing())
					time.Sleep(20 * time.Millisecond)
				}
				t.Logf("%d bytes: after %s %d nodes are without, at most %d took nothing", len(c.text), time.Since(begun), f.countBehind(want), refusing)
				require.Zero(t, f.countBehind(want), "nodes without the revision when it must be in force")
				require.Zero(t, refusing, "nodes that took no requests with keys")
			})
		})
	}
}

// Whatever keeps nodes from passing a configuration on to each other, as releases that speak of
// it otherwise do while a fleet is upgraded, it comes into force in time: nodes that stay
// behind read it from the store.
func TestFleetConfigurationPastRelays(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t, simSite{nodes: 24, engines: 10, perSecond: 10, mbps: 10, mute: true})
		f.settle()
		defer f.end()
		f.store.declare(routesText(500))
		bound := f.nodes[0].settings().Bounds.Apply
		refusing := 0
		for begun := time.Now(); time.Since(begun) < bound; time.Sleep(20 * time.Millisecond) {
			refusing = max(refusing, f.countRefusing())
		}
		require.Zero(t, f.countBehind(2), "nodes without the revision when it must be in force")
		require.Zero(t, refusing, "nodes that took no requests with keys")
	})
}

// countBehind returns how many nodes serve under a revision before the wanted one.
func (f *simFleet) countBehind(want int64) (n int) {
	for _, node := range f.nodes {
		node.Lock()
		if node.adoption.Revision() < want {
			n++
		}
		node.Unlock()
	}
	return n
}

// countRefusing returns how many nodes tell the balancer to send them nothing.
func (f *simFleet) countRefusing() (n int) {
	for _, node := range f.nodes {
		if !node.ready() {
			n++
		}
	}
	return n
}

// routesText is a configuration's text with so many routes, of some 200 bytes each.
func routesText(routes int) string {
	rng := rand.New(rand.NewPCG(3, 3))
	var b strings.Builder
	for range routes {
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"h%04d.example","path":"/%05x%03x/","kind":"idempotent","timeout":"800ms","aim":"150ms",`+
			`"priority":2,"pool":"registry","attempts":2,"public":false,"streams":false,"resumable":false},`,
			rng.Uint32()>>4, rng.IntN(40), rng.Uint32()>>12, rng.Uint32()>>20)
	}
	return b.String()
}

// noiseText is a text that no packing makes much smaller.
func noiseText(bytes int) string {
	rng := rand.New(rand.NewPCG(4, 4))
	text := make([]byte, bytes)
	for i := range text {
		text[i] = byte(rng.Uint32())
	}
	return string(text)
}

// A node goes on reporting while it takes a configuration, however long that takes: one
// that stops for 2.5 s is off the roster, and one that hears no relay for 1.5 s turns to the store.
func TestFleetReportsWhileTaking(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t, simSite{nodes: 20, engines: 10, perSecond: 10, mbps: 2})
		f.settle()
		defer f.end()
		f.store.declare(noiseText(700_000))
		lost, deaf := 0, 0
		for begun := time.Now(); f.countBehind(2) > 0 && time.Since(begun) < 30*time.Second; time.Sleep(50 * time.Millisecond) {
			whole, _, _ := f.views()
			lost = max(lost, len(f.nodes)-whole)
			for _, n := range f.nodes {
				if !n.relays.isRelay() && !n.relays.hearsRelay() {
					deaf++
				}
			}
		}
		require.Zero(t, f.countBehind(2))
		require.Zero(t, lost, "nodes that did not know all others")
		require.Zero(t, deaf, "looks at nodes that no relay answered")
	})
}
