package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/route"
)

// Members updated by changes equal the whole member list.
func TestApplyMemberChanges(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(5, 5))
	member := func(i int) fleet.Member { return fleet.Member{ID: fmt.Sprintf("n-%02d", i), Epoch: rng.Int64N(3)} }
	feed := route.NewFeed[string](func(a, b fleet.Member) bool { return a == b })
	var known []fleet.Member
	at := int64(0)
	for range 400 {
		for range rng.IntN(4) {
			m := member(rng.IntN(30))
			if rng.IntN(3) == 0 {
				feed.Drop(m.ID)
			} else {
				feed.Set(m.ID, m)
			}
		}
		changes, full := feed.Since(at)
		if full {
			known = nil
		}
		known, at = applyMemberChanges(known, changes, "n-07"), feed.Version()
		var want []fleet.Member
		for i := range 30 {
			if m, ok := feed.Get(fmt.Sprintf("n-%02d", i)); ok && i != 7 {
				want = append(want, m)
			}
		}
		require.Equal(t, want, append([]fleet.Member(nil), known...))
	}
}

// When a node is lost, the others remove it by answers that name it and few other members, not by
// the whole member list, which would make the traffic grow with the square of the fleet size.
func TestMemberLost(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t, simSite{nodes: 40, engines: 12, perSecond: 40})
		f.settle()
		defer f.end()
		f.sizes.members.Store(0)
		lost := 0
		for i, n := range f.nodes {
			if !n.relays.isRelay() {
				lost = i
			}
		}
		f.net.cutOff(f.nodes[lost].settings().Peers.Addr())
		time.Sleep(6 * time.Second)
		for i, n := range f.nodes {
			if nodes, _ := n.relays.size(); i != lost {
				require.Equal(t, len(f.nodes)-1, nodes, n.settings().Name)
			}
		}
		named := f.sizes.members.Load()
		t.Logf("%d members in answers", named)
		require.LessOrEqual(t, named, int64(6*len(f.nodes)))
	})
}
