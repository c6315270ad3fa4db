package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/route"
)

// countPhase returns the number of nodes whose board has a roll-out in a phase.
func (f *simFleet) countPhase(phase route.RolloutPhase) (n int) {
	for _, node := range f.nodes {
		node.Lock()
		for _, u := range node.Board().Rollouts(node.now()) {
			if u.Phase == phase {
				n++
			}
		}
		node.Unlock()
	}
	return n
}

// An order reaches all nodes of a large fleet and one node records its states. If that node is cut
// off another continues, and each state is written once.
func TestFleetRollout(t *testing.T) {
	t.Parallel()
	for name, lost := range map[string]bool{"all nodes live": false, "the node that advances it is lost": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleet(t, simSite{nodes: 18, engines: 6, perSecond: 9})
				f.settle()
				defer f.end()
				f.store.rollOut("v2", 10*time.Second)
				time.Sleep(2 * time.Second)
				require.Equal(t, len(f.nodes), f.countPhase(route.RolloutTrial))
				if lost {
					f.loseOwner()
				}
				time.Sleep(9 * time.Second)
				// No target has the release, so too little is known of it to move requests to it.
				f.store.mu.Lock()
				recorded, writes := f.store.status.Phase, f.store.calls["status write"]
				f.store.mu.Unlock()
				require.Equal(t, route.RolloutRolledBack, recorded)
				silent := 0
				if lost {
					silent = 1
				}
				require.GreaterOrEqual(t, f.countPhase(route.RolloutRolledBack), len(f.nodes)-silent)
				require.Equal(t, 2, writes, "the beginning and the end")
			})
		})
	}
}

// loseOwner cuts the node that advances the roll-out off from all other nodes and from the store.
func (f *simFleet) loseOwner() {
	f.store.mu.Lock()
	revision := uint64(f.store.order.Revision)
	f.store.mu.Unlock()
	for i, n := range f.nodes {
		members := n.relays.known()
		owner, ok := fleet.RendezvousOwner(members, revision)
		require.True(f.t, ok)
		if owner.ID == n.settings().Name {
			f.net.cutOff(n.settings().Peers.Addr())
			f.storeClients[i].down.Store(true)
			return
		}
	}
	f.t.Fatal("no node advances the roll-out")
}
