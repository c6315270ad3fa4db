package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/route"
)

// countKnowing returns the number of nodes whose view of the first engine satisfies ok.
func (f *simFleet) countKnowing(ok func(v route.TargetView) bool) (n int) {
	for _, node := range f.nodes {
		node.Lock()
		for _, v := range node.Board().View(node.now()) {
			if v.Addr == simEngineAddr(0) && ok(v) {
				n++
			}
		}
		node.Unlock()
	}
	return n
}

// receiveHints makes one node receive hints of the first engine in a response.
func (f *simFleet) receiveHints(node int, s route.TargetHints) {
	n := f.nodes[node]
	n.Lock()
	defer n.Unlock()
	m := route.TargetKey{Target: simEngineAddr(0), Incarnation: n.Board().IncarnationOf(simEngineAddr(0))}
	n.Board().ApplyHints(n.now(), m, n.now(), s)
}

// When one node learns from a response that its target has a limit or is draining, all nodes know
// within the drain bound, without sending a request to the target. They also learn when a limit
// ends.
func TestFleetTargetHints(t *testing.T) {
	t.Parallel()
	for name, site := range map[string]simSite{
		"a small fleet": {nodes: 8, engines: 9, perSecond: 20},
		"a large fleet": {nodes: 40, engines: 30, perSecond: 40},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleet(t, site)
				f.settle()
				defer f.end()
				bound := f.nodes[0].settings().Bounds.Drain / 2
				limited := func(rate float64) func(v route.TargetView) bool {
					return func(v route.TargetView) bool { return v.Limit != nil && *v.Limit == rate }
				}
				require.Zero(t, f.countKnowing(func(v route.TargetView) bool { return v.Limit != nil }))
				f.receiveHints(2, route.TargetHints{Limit: route.LimitHint{Named: true, PerSecond: 2.5}})
				time.Sleep(bound)
				require.Equal(t, site.nodes, f.countKnowing(limited(2.5)), "nodes that know the limit")
				f.receiveHints(3, route.TargetHints{Limit: route.LimitHint{Named: true, PerSecond: 1}})
				time.Sleep(bound)
				require.Equal(t, site.nodes, f.countKnowing(limited(1)), "nodes that know the lowered limit")
				f.receiveHints(4, route.TargetHints{})
				time.Sleep(bound)
				require.Equal(t, site.nodes, f.countKnowing(func(v route.TargetView) bool { return v.Limit == nil }), "nodes that know that it ended")

				f.receiveHints(5, route.TargetHints{Draining: true})
				time.Sleep(bound)
				require.Equal(t, site.nodes, f.countKnowing(func(v route.TargetView) bool { return v.Leaving }), "nodes that know that it leaves")
			})
		})
	}
}
