package route

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPoolDemandsBounded checks that the demands in a state and in merged states are bounded, that
// the largest are listed by name, and that nothing is lost from their sum.
func TestPoolDemandsBounded(t *testing.T) {
	t.Parallel()
	var states []PeerState
	asked := 0.0
	for router := range 20 {
		var s PeerState
		for i := range 100 {
			d := PoolDemand{Pool: "e", Org: fmt.Sprint("o", i), Priority: i % 2, Asked: float64(1000 + 10*i + router)}
			asked += d.Asked
			s.Pools = append(s.Pools, d)
		}
		s.Pools = boundPoolDemands(s.Pools)
		states = append(states, s)
	}
	joined := JoinStates([]PeerState{JoinStates(states[:12]), JoinStates(states[12:])})
	require.LessOrEqual(t, len(joined.Pools), maxPoolDemands+2)
	sum, named := 0.0, make(map[string]bool)
	for _, d := range joined.Pools {
		sum += d.Asked
		named[d.Org] = true
	}
	require.InEpsilon(t, asked, sum, 0.01)
	require.True(t, named["o99"])
	require.True(t, named[""])
	require.False(t, named["o0"])

	var out bytes.Buffer
	require.NoError(t, gob.NewEncoder(&out).Encode(joined.Pools))
	t.Logf("%d bytes for %d demands", out.Len(), len(joined.Pools))
	require.LessOrEqual(t, out.Len(), 2000, "four reports a second stay within a node's budget of 10 KB a second")
}

// TestPoolDemandExpires checks that what other routers reported counts only for a while.
func TestPoolDemandExpires(t *testing.T) {
	t.Parallel()
	f := newPoolFleet(t, 2, hogAndSmall())
	b := f.boards[0]
	j := &b.pools["e"].joint
	state := PeerState{Counted: 1, Pools: []PoolDemand{{Pool: "e", Org: "hog", Priority: 1, Asked: 1000}}}
	b.MergePeers(f.now, map[string]PeerState{"other": state}, 2)
	hog := demandKey{org: "hog", priority: 1}
	require.InDelta(t, 1000, j.joint(f.now)[hog], 1)
	f.now = f.now.Add(peerUsageMaxAge + time.Millisecond)
	require.Empty(t, j.joint(f.now))
	require.Empty(t, state.Aged(peerUsageMaxAge+time.Millisecond).Pools)
}

// TestPoolCalm checks that nothing is refused below the capacity.
func TestPoolCalm(t *testing.T) {
	t.Parallel()
	for _, routers := range []int{1, 8} {
		checkPoolCalm(t, routers)
	}
}

// TestPoolCalmLarge is TestPoolCalm for 84 routers.
func TestPoolCalmLarge(t *testing.T) {
	t.Parallel()
	skipLargeFleet(t, 84)
	checkPoolCalm(t, 84)
}

func checkPoolCalm(t *testing.T, routers int) {
	f := newPoolFleet(t, routers, hogAndSmall())
	f.play(8*time.Second, func(poolOrg) float64 { return 1 })
	for _, b := range f.boards {
		s := b.PoolStatuses(f.now)[0]
		require.Empty(t, s.Refused)
		require.False(t, s.Saturated)
	}
}

// TestPoolSaturationEnds checks that a pool is no longer saturated, and nothing refused, once a
// surge is over and its backlog gone.
func TestPoolSaturationEnds(t *testing.T) {
	t.Parallel()
	for _, routers := range fleetSizes(1, 8, 84) {
		f := newPoolFleet(t, routers, hogAndSmall())
		f.play(4*time.Second, hogTimes)
		calm := func(poolOrg) float64 { return 0.5 }
		f.play(3*time.Second, calm)
		refused := make([]int, routers)
		for i, b := range f.boards {
			s := b.PoolStatuses(f.now)[0]
			require.False(t, s.Saturated)
			refused[i] = s.Refused[urgentPriority] + s.Refused[calmPriority]
		}
		f.play(2*time.Second, calm)
		for i, b := range f.boards {
			s := b.PoolStatuses(f.now)[0]
			require.Equal(t, refused[i], s.Refused[urgentPriority]+s.Refused[calmPriority])
		}
	}
}

// TestPoolWithoutAim checks that a pool whose routes state no aim is not divided jointly.
func TestPoolWithoutAim(t *testing.T) {
	t.Parallel()
	f := newPartsBoard(t, 1)
	require.Empty(t, f.b.PoolStatuses(f.now))
	f.place(f.request("a", own))
	s := f.b.State(f.now)
	require.Empty(t, s.Pools)
}
