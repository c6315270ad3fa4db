package e2e

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/internal/standin"
	"github.com/pathhead/pathhead/wire"
)

// infrequentPolling keeps routers from polling within a test, so that their view of the
// targets is stale.
var infrequentPolling = []string{"--poll-every", "10s"}

// Guarantee 1: answers use cached blocks of the same organisation and weights only.

func TestEngineRestartsUnderSameAddress(t *testing.T) {
	t.Parallel()
	cases := map[string]struct{ engineFlags []string }{
		"engine checks what the router expects": {},
		"engine only reports its incarnation":   {engineFlags: []string{"--no-checks-expect"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, setup{engines: 2, routers: 1, engineFlags: c.engineFlags, routerFlags: infrequentPolling})
			client := s.client(s.routers[0])
			for i := range 4 {
				require.True(t, s.send(client, promptRequest("formosa-air", "rules", fmt.Sprint(i), 4)).OK())
			}
			for _, e := range s.engines {
				e.restart()
				s.await(e.addr, "/engine/state")
			}
			for i := range 4 {
				r := s.send(client, promptRequest("formosa-air", "rules", fmt.Sprint("again", i), 4))
				require.True(t, r.OK(), "%+v", r)
			}
			s.checkCacheIsolation()
		})
	}
}

// checkCacheIsolation checks that no run used a cached block that a run of another organisation
// or with other weights had filled.
func (s *system) checkCacheIsolation() {
	s.t.Helper()
	filled := make(map[string]standin.Run)
	runs := s.allRuns()
	for _, r := range runs {
		filled[r.Incarnation+r.Request] = r
	}
	for _, r := range runs {
		for _, from := range r.UsedFrom {
			other, ok := filled[r.Incarnation+from]
			require.True(s.t, ok, "run %s used blocks of %s, which is not in the run log", r.Request, from)
			require.Equal(s.t, r.Salt, other.Salt, "run %s used blocks of %s, which has another salt", r.Request, from)
			require.Equal(s.t, r.Weights, other.Weights)
		}
	}
}

func TestOrganisationsShareNoBlocks(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 1, routers: 1})
	c := s.client(s.routers[0])
	for i := range 3 {
		for _, org := range []string{"formosa-air", "jade-wings"} {
			require.True(t, s.send(c, promptRequest(org, "rules", fmt.Sprint(i), 4)).OK())
		}
	}
	s.checkCacheIsolation()
	cached := 0
	for _, r := range s.allRuns() {
		if r.Cached > 0 {
			cached++
		}
	}
	require.Equal(t, 4, cached, "all requests but the first of each organisation hit blocks of that organisation")
}

func TestWeightsChangedUnderRouter(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 2, routers: 1, routerFlags: infrequentPolling})
	c := s.client(s.routers[0])
	first := s.send(c, promptRequest("formosa-air", "rules", "a", 4))
	require.True(t, first.OK())
	e := s.engineOf(first.Request)
	s.post(e.addr, "/engine/order", wire.Order{Action: wire.OrderLoad, Model: "desk-7b", Weights: "w2", IfWeights: "w1"})
	s.eventually(func() bool {
		var st wire.State
		return s.getJSON(e.addr, "/engine/state", &st) == nil && st.Models["desk-7b"].Weights == "w2"
	}, "the engine has new weights")
	for i := range 4 {
		r := s.send(c, promptRequest("formosa-air", "rules", fmt.Sprint(i), 4))
		require.True(t, r.OK(), "the answer comes from the weights that the router declares: %+v", r)
	}
	s.checkCacheIsolation()
}

func (s *system) engineOf(request string) *targetProc {
	s.t.Helper()
	for _, e := range s.engines {
		for _, r := range s.runs(e) {
			if r.Request == request {
				return e
			}
		}
	}
	s.t.Fatalf("no engine ran %s", request)
	return nil
}

func TestForgedCacheEvents(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 2, routers: 1, routerFlags: []string{"--cache-events"}})
	for _, e := range s.engines {
		s.setFaults(e, standin.Faults{Forge: true, EventLoss: 0.5})
	}
	c := s.client(s.routers[0])
	for i := range 8 {
		require.True(t, s.send(c, promptRequest("formosa-air", "rules", fmt.Sprint(i), 4)).OK())
	}
	s.checkCacheIsolation()
}
