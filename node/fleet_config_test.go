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

// A configuration comes into force at all nodes within its bound, whatever its size, as long as the
// links can carry it in that time, and nodes keep serving meanwhile.
//
// On 82 VMs, 74 of them with links of 10 Mbit/s, 1,400 routes were added for the third time and 72
// nodes never got the new revision. They refused every request with a key, served routes without
// keys under the old revision, and kept their links saturated. The text had grown to some 840 KB. A
// call to another node timed out after 0.6 s, in which such a link carries 750 KB, and each retry
// started from the first byte. The step before, of 565 KB, had reached all nodes within 2 s. The
// CPUs were idle, and only nodes with fast links got the new revision.
func TestFleetLargeConfiguration(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		site simSite
		text string
		// changes follow each other while the previous one is still being transferred.
		changes int
	}{
		"added routes": {
			simSite{nodes: 24, engines: 10, perSecond: 10, mbps: 10}, routesText(6000), 1,
		},
		"incompressible text": {
			simSite{nodes: 24, engines: 10, perSecond: 10, mbps: 10}, noiseText(1_200_000), 1,
		},
		"replaced during the transfer": {
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
				t.Logf("%d bytes: after %s %d nodes lack the revision, at most %d were not ready", len(c.text), time.Since(begun), f.countBehind(want), refusing)
				require.Zero(t, f.countBehind(want), "nodes without the revision when it must be in force")
				require.Zero(t, refusing, "nodes that took no requests with keys")
			})
		})
	}
}

// If nodes cannot pass a configuration on to each other, for instance because releases encode it
// differently during an upgrade, it comes into force in time nevertheless: nodes that stay behind
// read it from the store.
func TestFleetConfigurationPastRelays(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t, simSite{nodes: 24, engines: 10, perSecond: 10, mbps: 10, noConfigs: true})
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

// countBehind returns the number of nodes under a revision older than want.
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

// countRefusing returns the number of nodes that report to the load balancer as not ready.
func (f *simFleet) countRefusing() (n int) {
	for _, node := range f.nodes {
		if !node.ready() {
			n++
		}
	}
	return n
}

// routesText returns a configuration text with the given number of routes of some 200 bytes each.
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

// noiseText returns a text that does not compress well.
func noiseText(bytes int) string {
	rng := rand.New(rand.NewPCG(4, 4))
	text := make([]byte, bytes)
	for i := range text {
		text[i] = byte(rng.Uint32())
	}
	return string(text)
}

// A node keeps reporting while it fetches a configuration, however long that takes: a node that
// stops for 2.5 s is removed from the roster, and one without a relay's answer for 1.5 s turns to
// the store.
func TestFleetReportsWhileFetching(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t, simSite{nodes: 20, engines: 10, perSecond: 10, mbps: 2})
		f.settle()
		defer f.end()
		f.store.declare(noiseText(700_000))
		lost, unanswered := 0, 0
		for begun := time.Now(); f.countBehind(2) > 0 && time.Since(begun) < 30*time.Second; time.Sleep(50 * time.Millisecond) {
			whole, _, _ := f.views()
			lost = max(lost, len(f.nodes)-whole)
			for _, n := range f.nodes {
				if !n.relays.isRelay() && !n.relays.relayResponds() {
					unanswered++
				}
			}
		}
		require.Zero(t, f.countBehind(2))
		require.Zero(t, lost, "nodes that did not know all others")
		require.Zero(t, unanswered, "looks at nodes that no relay answered")
	})
}
