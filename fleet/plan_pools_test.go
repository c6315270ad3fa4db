package fleet

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/policy"
)

// Guards against a planner that keeps the floor of another pool's model of the same name.
func TestPlannerFloorOfPool(t *testing.T) {
	snap, err := policy.Compile(&policy.Config{
		Pools:  []policy.Pool{{Name: "p"}, {Name: "q"}},
		Models: []policy.Model{{Name: "m", Pool: "p", Floor: 2}, {Name: "m", Pool: "q", Floor: 1}},
	}, 1)
	require.NoError(t, err)
	var engines []Engine
	for n := range 2 {
		engines = append(engines, Engine{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80), Weights: map[string]string{"m": "1"}, Reachable: true})
	}
	for pool, want := range map[string]bool{"p": false, "q": true} {
		p := &Planner{pool: pool}
		require.Equal(t, want, p.aboveFloor(snap, Want{Model: "m", Weights: "2", From: "1"}, engines), pool)
	}
}
