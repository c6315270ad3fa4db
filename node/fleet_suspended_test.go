package node

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/dispatch"
	"github.com/pathhead/pathhead/route"
)

// suspend simulates a suspension of a node's VM: the node's clock advances by d, its timers do not.
func (f *simFleet) suspend(node int, d time.Duration) { f.suspended[node].Add(int64(d)) }

// suspendTime is longer than the validity of everything that the simulated nodes rely on.
const suspendTime = 15 * time.Second

// After its VM was suspended a node relies on nothing that it knew before: neither that its
// configuration and keys are current, nor that it holds the lease, nor the last relay answer, nor
// that peers are alive. It serves requests with keys again after new answers. This holds for
// relays, followers, nodes of a small fleet, and fleets that were suspended as a whole.
func TestFleetSuspended(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		nodes int
		// which selects the nodes to suspend.
		which func(n *Node) bool
	}{
		"one of a small fleet":  {6, func(n *Node) bool { return n.settings().Name == "node-001" }},
		"a follower":            {24, func(n *Node) bool { return !n.relays.isRelay() && n.settings().Name == "node-013" }},
		"the relays":            {24, func(n *Node) bool { return n.relays.isRelay() }},
		"all of a small fleet":  {6, func(*Node) bool { return true }},
		"all of a large fleet":  {24, func(*Node) bool { return true }},
		"half of a large fleet": {24, func(n *Node) bool { return n.settings().Name < "node-012" }},
		"a node that is alone":  {1, func(*Node) bool { return true }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleet(t, simSite{nodes: c.nodes, engines: 8, perSecond: 20})
				f.settle()
				defer f.end()
				for _, n := range f.nodes {
					require.True(t, n.configStatus().keysConfirmed, n.settings().Name)
				}
				var affected []*Node
				for i, n := range f.nodes {
					if c.which(n) {
						affected = append(affected, n)
						f.suspend(i, suspendTime)
					}
				}
				require.NotEmpty(t, affected)
				for _, n := range affected {
					require.False(t, n.configStatus().keysConfirmed, "%s serves keys by what it heard before", n.settings().Name)
					require.False(t, n.relays.followsRelay(), "%s goes by what a relay told before", n.settings().Name)
					require.Empty(t, n.gossip.Live(), "%s takes others to live", n.settings().Name)
				}
				begun := time.Now()
				serving := func() (n int) {
					for _, node := range affected {
						if node.configStatus().keysConfirmed {
							n++
						}
					}
					return n
				}
				for serving() < len(affected) && time.Since(begun) < 5*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				require.Equal(t, len(affected), serving(), "nodes that serve keys again")
				t.Logf("%d nodes serve keys again after %s", len(affected), time.Since(begun))
				require.Less(t, time.Since(begun), 3*time.Second)
			})
		})
	}
}

// A suspended lease holder sends no order under its old lease, which another node may hold by now,
// until it has read and written the lease row again.
func TestFleetSuspendedHolder(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t, simSite{nodes: 5, engines: 20, perSecond: 10})
		f.settle()
		defer f.end()
		f.store.nameWeights("2")
		holder := -1
		require.Eventually(t, func() bool {
			for i, n := range f.nodes {
				n.weights.mu.Lock()
				if n.weights.holdsLease && n.weights.lease.HoldsFor(n.now(), orderMargin) {
					holder = i
				}
				n.weights.mu.Unlock()
			}
			return holder >= 0
		}, 5*time.Second, 10*time.Millisecond)
		f.suspend(holder, 2*leaseTime)
		n := f.nodes[holder]
		n.weights.mu.Lock()
		holds := n.weights.lease.HoldsFor(n.now(), 0)
		n.weights.mu.Unlock()
		require.False(t, holds, "it holds the lease by a time that is over")
		time.Sleep(15 * time.Second)
		require.Zero(t, f.store.countOutdated(), "engines on older weights")
	})
}

// A request whose deadline passes while the VM is suspended ends at once when the VM resumes, not
// by a timer armed before.
func TestFleetSuspendedRequest(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t, simSite{nodes: 1, engines: 2, perSecond: 1})
		f.settle()
		defer f.end()
		n := f.nodes[0]
		m, _, _ := n.snapshot().Model(simModel)
		ended := make(chan *route.Refusal, 1)
		f.loops.Go(func() {
			req := route.Request{
				Revision: 1, Pool: simPool, Model: m, Deadline: n.now().Add(time.Minute), QueueTime: time.Second, Repeatable: true,
				MaxTries: 1, MaxTokens: 9, Parts: []route.Part{{ID: "p", Tokens: 100}},
			}
			ended <- n.Serve(f.work, req, dispatch.NewCall(), func(ctx context.Context, a route.Attempt) route.Outcome {
				<-ctx.Done()
				return route.Outcome{Request: a.Request, Attempt: a.ID, Kind: route.OutcomeBroken}
			})
		})
		time.Sleep(time.Second)
		f.suspend(0, time.Minute)
		begun := time.Now()
		refusal := <-ended
		require.Equal(t, route.CauseDeadline, refusal.Cause)
		require.LessOrEqual(t, time.Since(begun), 2*tickInterval)
	})
}

// A clock relation taken before a suspension is correct after it.
func TestSuspendedStoreClock(t *testing.T) {
	t.Parallel()
	now := time.Now()
	tie := StoreClock{At: time.Hour, Begun: now, Heard: now}
	woke := now.Add(suspendTime)
	least, most := tie.ToStore(woke)
	require.InDelta(t, time.Hour+suspendTime, least, float64(20*time.Millisecond), fmt.Sprint(least))
	require.InDelta(t, time.Hour+suspendTime, most, float64(20*time.Millisecond))
}
