package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func testAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func newTestView(i, n int, epoch int64) *View[int] {
	var seeds []netip.AddrPort
	for j := range n {
		seeds = append(seeds, testAddr(j))
	}
	return NewView[int](fmt.Sprintf("p%d", i), testAddr(i), epoch, seeds, 2*time.Second)
}

// TestViewFuzz checks that no process replaces a peer's entry by an older one, whatever messages
// are lost, repeated or reordered.
func TestViewFuzz(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const n = 4
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		now := epoch
		views := make([]*View[int], n)
		epochs := make([]int64, n)
		for i := range views {
			views[i] = newTestView(i, n, 0)
		}
		var inFlight [][]Entry[int]
		newest := make(map[string]Entry[int])
		pick := func() int { return rapid.IntRange(0, n-1).Draw(rt, "process") }
		rt.Repeat(map[string]func(*rapid.T){
			"send": func(*rapid.T) { inFlight = append(inFlight, views[pick()].Message(now, rng, 1, 2)) },
			"deliver": func(rt *rapid.T) {
				if len(inFlight) == 0 {
					rt.Skip()
				}
				i := pick()
				views[i].Merge(now, inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(rt, "message")])
				for _, e := range views[i].Live(now) {
					key := fmt.Sprint(i, e.ID)
					if newest[key].newer(e) {
						rt.Fatalf("process %d went back from %+v to %+v", i, newest[key], e)
					}
					newest[key] = e
				}
			},
			"restart": func(*rapid.T) {
				i := pick()
				epochs[i]++
				views[i] = newTestView(i, n, epochs[i])
				for j := range n {
					delete(newest, fmt.Sprint(i, fmt.Sprintf("p%d", j)))
				}
			},
			"pass": func(*rapid.T) { now = now.Add(300 * time.Millisecond) },
		})
	})
}

func TestViewSpreads(t *testing.T) {
	const n = 30
	rng := rand.New(rand.NewPCG(1, 1))
	now := epoch
	views := make([]*View[int], n)
	for i := range views {
		views[i] = newTestView(i, 3, 0)
	}
	rounds := 0
	for ; rounds < 30; rounds++ {
		now = now.Add(200 * time.Millisecond)
		for i, v := range views {
			for _, addr := range v.Pick(now, rng, 2) {
				for j := range views {
					if testAddr(j) == addr && j != i {
						views[j].Merge(now, v.Message(now, rng, i, 8))
						v.Merge(now, views[j].Message(now, rng, j, 8))
					}
				}
			}
		}
		if allSee(views, now, n-1) {
			break
		}
	}
	require.Less(t, rounds, 15, "every process learns of all others within a few rounds, starting from three seeds")
}

func allSee(views []*View[int], now time.Time, n int) bool {
	for _, v := range views {
		if len(v.Live(now)) < n {
			return false
		}
	}
	return true
}

func TestViewExpires(t *testing.T) {
	a, b := newTestView(0, 2, 0), newTestView(1, 2, 0)
	joined := a.Merge(epoch, b.Message(epoch, rand.New(rand.NewPCG(1, 1)), 1, 8))
	require.Equal(t, []string{"p1"}, joined)
	require.Len(t, a.Live(epoch.Add(time.Second)), 1)
	late := epoch.Add(3 * time.Second)
	require.Equal(t, []string{"p1"}, a.Expire(epoch.Add(time.Second), late))
	require.Empty(t, a.Live(late))
	require.Empty(t, a.Expire(late, late), "a loss is reported once")
}
