package node

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/route"
)

// stubEngines answer with one state.
type stubEngines struct {
	Engines
	state TargetState
}

func (e *stubEngines) State(context.Context, netip.AddrPort) (TargetState, error) {
	return e.state, nil
}

// A target's report of another start than the list names tells nothing of its orders and
// weights: what was known is dropped, and the target is looked at again.
func TestReadStateOtherStart(t *testing.T) {
	listed := time.UnixMilli(500)
	cases := map[string]struct {
		start time.Time
		taken bool
	}{
		"the start that the list names": {listed, true},
		"a later one":                   {listed.Add(time.Hour), false},
		"an earlier one":                {listed.Add(-time.Hour), false},
		"one that is not told":          {time.Time{}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			engines := &stubEngines{state: TargetState{Start: c.start, Weights: map[string]string{simModel: "2"}, Orders: 3}}
			n, err := New(validSettings(), newSimStore(1), nil, engines)
			require.NoError(t, err)
			target := fleet.UpdateTarget{Addr: simEngineAddr(0), Incarnation: route.NewIncarnation("i", listed), Model: simModel, Weights: "1"}
			mark := route.TargetKey{Target: target.Addr, Incarnation: target.Incarnation}
			n.weights.states[mark] = TargetState{Orders: 1}
			n.weights.readState(t.Context(), target)
			state, known := n.weights.states[mark]
			require.Equal(t, c.taken, known)
			_, words := n.weights.announcement()
			if !c.taken {
				require.Empty(t, words)
				return
			}
			require.EqualValues(t, 3, state.Orders)
			require.Len(t, words, 1)
		})
	}
}
