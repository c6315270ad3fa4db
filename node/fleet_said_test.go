package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/route"
)

// countKnowing returns how many nodes have a view of the first engine for which ok holds.
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

// says has one node hear of the first engine in an answer.
func (f *simFleet) says(node int, s route.TargetHints) {
	n := f.nodes[node]
	n.Lock()
	defer n.Unlock()
	m := route.TargetKey{Target: simEngineAddr(0), Incarnation: n.Board().IncarnationOf(simEngineAddr(0))}
	n.Board().ApplyHints(n.now(), m, n.now(), s)
}

// What one node heard in an answer of its target's limit or leaving all nodes know within the bound on
// draining, so that none learns of it by sending; and they know when a limit ended.
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
				f.says(2, route.TargetHints{Limit: route.LimitHint{Named: true, PerSecond: 2.5}})
				time.Sleep(bound)
				require.Equal(t, site.nodes, f.countKnowing(limited(2.5)), "nodes that know the limit")
				f.says(3, route.TargetHints{Limit: route.LimitHint{Named: true, PerSecond: 1}})
				time.Sleep(bound)
				require.Equal(t, site.nodes, f.countKnowing(limited(1)), "nodes that know the lowered limit")
				f.says(4, route.TargetHints{})
				time.Sleep(bound)
				require.Equal(t, site.nodes, f.countKnowing(func(v route.TargetView) bool { return v.Limit == nil }), "nodes that know that it ended")

				f.says(5, route.TargetHints{Draining: true})
				time.Sleep(bound)
				require.Equal(t, site.nodes, f.countKnowing(func(v route.TargetView) bool { return v.Leaving }), "nodes that know that it leaves")
			})
		})
	}
}
