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

// countHolding returns how many nodes hold a request back.
func (f *simFleet) countHolding(print route.Fingerprint) (n int) {
	for _, node := range f.nodes {
		node.Lock()
		for _, h := range node.Board().HeldRequests(time.Now()) {
			if h.Held && h.Print == print {
				n++
			}
		}
		node.Unlock()
	}
	return n
}

// copyOf sends a node a copy of a request, under which the engine that it comes to ends.
func (f *simFleet) copyOf(node int, print route.Fingerprint) {
	n := f.nodes[node]
	m, _, _ := n.snapshot().Model(simModel)
	req := route.Request{
		Revision: 1, Pool: simPool, Model: m, Deadline: time.Now().Add(4 * time.Second), QueueTime: time.Second, Repeatable: true,
		MaxTries: 1, MaxTokens: 9, Bytes: 1000, Print: print, Parts: []route.Part{{ID: fmt.Sprint("copy-", node), Tokens: 1000}},
	}
	n.Serve(f.work, req, dispatch.NewCall(), func(_ context.Context, a route.Attempt) route.Outcome {
		f.loops.Go(func() {
			pause(f.work, closedProbeDelay)
			n.targetEnded(a.Target)
		})
		return route.Outcome{Request: a.Request, Attempt: a.ID, Kind: route.OutcomeBroken, Closed: true}
	})
}

// guilty has copies of a request come to different nodes, but for the last, until some node holds it back.
func (f *simFleet) guilty(print route.Fingerprint) {
	for i := 0; f.countHolding(print) == 0; i++ {
		require.Less(f.t, i, 30, "engines that ended under it")
		f.copyOf(i%(f.simSite.nodes-1), print)
		time.Sleep(closedProbeDelay + time.Millisecond)
	}
}

// Copies of a request come to different nodes, so that each sees one engine end under it. All nodes hold it
// back well within the time of contact, whatever the size of the fleet, and what they tell each other
// for it is nothing before and little after.
func TestFleetCrashes(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		site simSite
		// known bounds the time until all nodes hold the request back.
		known time.Duration
	}{
		"a small fleet": {simSite{nodes: 8, engines: 9, perSecond: 20}, 300 * time.Millisecond},
		"a large fleet": {simSite{nodes: 40, engines: 30, perSecond: 40}, 1200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleet(t, c.site)
				f.settle()
				defer f.end()
				_, before := f.sizes.of("crashes")
				require.Zero(t, before, "bytes on targets that ended, where none has")
				print := route.FingerprintOf("org", "POST", "host", "/", []byte("guilty"))
				f.guilty(print)
				begun := time.Now()
				for f.countHolding(print) < c.site.nodes && time.Since(begun) < 5*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				took := time.Since(begun)
				require.Equal(t, c.site.nodes, f.countHolding(print), "nodes that hold the request back")
				require.LessOrEqual(t, took, c.known)
				time.Sleep(2 * time.Second)
				_, told := f.sizes.of("crashes")
				time.Sleep(5 * time.Second)
				_, after := f.sizes.of("crashes")
				t.Logf("%d nodes held it back after %s; %d bytes were told, %d in the 5 s after", c.site.nodes, took, told, after-told)
				require.LessOrEqual(t, told/int64(c.site.nodes), int64(4000), "bytes told to a node")

				again := f.nodes[1]
				require.True(t, func() bool {
					again.Lock()
					defer again.Unlock()
					return again.Board().Release(time.Now(), print)
				}())
				time.Sleep(c.known)
				require.Zero(t, f.countHolding(print), "nodes that hold it back after one was told to release it")
			})
		})
	}
}

// All nodes start anew while a request is held back. They read that from the store, so that it
// takes no three engines more with it; one that was only suspected is forgotten. The record that
// another writer has spoiled is none, and is replaced by the next.
func TestFleetCrashesOverRestart(t *testing.T) {
	t.Parallel()
	for name, nodes := range map[string]int{"a small fleet": 6, "a large fleet": 24} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := simSite{nodes: nodes, engines: 12, perSecond: 20}
				held, suspected := route.FingerprintOf("org", "POST", "host", "/", []byte("held")), route.FingerprintOf("org", "POST", "host", "/", []byte("suspected"))
				store := newSimStore(site.engines)
				play := func(do func(f *simFleet)) {
					f := &simFleet{simSite: site, t: t, net: newSimNetwork(), store: store}
					f.prepare()
					f.settle()
					defer f.end()
					do(f)
				}
				key := [2]string{}
				play(func(f *simFleet) {
					key[0], _ = f.nodes[0].weights.lease.Key()
					key[1] = heldRequestsRow
					f.guilty(held)
					f.copyOf(1, suspected)
					time.Sleep(2 * time.Second)
					require.Equal(t, nodes, f.countHolding(held))
				})
				play(func(f *simFleet) {
					require.Equal(t, nodes, f.countHolding(held), "nodes that hold it back after all were started anew")
					f.copyOf(0, suspected)
					time.Sleep(time.Second)
					require.Zero(t, f.countHolding(suspected))
				})
				for _, spoiled := range []string{"no record", `[{"fingerprint":"00000000000000000000000000000000","target":"10.0.0.1:1"}]`} {
					row := store.rows[key]
					row.Data = []byte(spoiled)
					store.rows[key] = row
					play(func(f *simFleet) {
						require.Zero(t, f.countHolding(held))
						f.guilty(held)
						time.Sleep(2 * time.Second)
					})
					play(func(f *simFleet) { require.Equal(t, nodes, f.countHolding(held)) })
				}
			})
		})
	}
}

// Some nodes are cut off from all others, but not from the store, and their callers send copies of a request which
// the others hold back meanwhile: they read that from the store within the time of contact. A node that hears the
// others reads nothing for it.
func TestFleetCrashesIsolated(t *testing.T) {
	t.Parallel()
	for name, nodes := range map[string]int{"a small fleet": 6, "a large fleet": 24} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleet(t, simSite{nodes: nodes, engines: 12, perSecond: 20})
				f.settle()
				defer f.end()
				print := route.FingerprintOf("org", "POST", "host", "/", []byte("guilty"))
				cut := f.nodes[nodes-1]
				f.net.silence(cut.settings().Peers.Addr())
				time.Sleep(peerTimeout)
				f.guilty(print)
				time.Sleep(cut.settings().Bounds.Contact)
				require.Equal(t, nodes, f.countHolding(print), "nodes that hold it back")
				require.True(t, cut.isolated())
				for _, n := range f.nodes[:nodes-1] {
					require.False(t, n.isolated(), "%s hears the others", n.settings().Name)
				}
			})
		})
	}
}

// What is held back while the store is away is recorded once it is back.
func TestFleetCrashesStoreUnavailable(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t, simSite{nodes: 6, engines: 9, perSecond: 20})
		f.settle()
		defer f.end()
		for _, d := range f.doors {
			d.down.Store(true)
		}
		f.guilty(route.FingerprintOf("org", "POST", "host", "/", []byte("guilty")))
		time.Sleep(5 * time.Second)
		part, _ := f.nodes[0].weights.lease.Key()
		recorded := func() bool {
			f.store.mu.Lock()
			defer f.store.mu.Unlock()
			_, ok := f.store.rows[[2]string{part, heldRequestsRow}]
			return ok
		}
		require.False(t, recorded())
		for _, d := range f.doors {
			d.down.Store(false)
		}
		time.Sleep(3 * time.Second)
		require.True(t, recorded())
	})
}
