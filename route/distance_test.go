package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// setZones sets the failure domains of the engines.
func (p *partsBoard) setZones(zones ...string) {
	for i, zone := range zones {
		p.b.targets[testAddr(i)].labels = map[string]string{"s": "e", LabelZone: zone}
	}
}

// TestDistancePlaces checks that, of engines with equal cache contents, the one in the router's
// failure domain is chosen unless its extra load costs more than the transferred bytes.
func TestDistancePlaces(t *testing.T) {
	t.Parallel()
	for i := range 8 {
		f := newFillBoard(t, 4)
		WithZone("near")(f.b)
		f.setZones("far", "far", "near", "far")
		r := f.request("a", Part{fmt.Sprint("p", i), 500})
		r.Bytes = 10_000
		require.Equal(t, testAddr(2), f.place(r).Target, "independent of the rendezvous order for the prompt")
		next := f.request("a", Part{"next", 500})
		next.Bytes = 10_000
		require.NotEqual(t, testAddr(2), f.place(next).Target, "10 ms of prefill cost more than 5 ms of transferred bytes")
	}
}

// TestDistanceFetches checks that a fetch uses a source in the engine's own failure domain if
// that holds as much, and is predicted to take twice as long from another domain.
func TestDistanceFetches(t *testing.T) {
	t.Parallel()
	f := newFillBoard(t, 3)
	f.setZones("x", "y", "x")
	c := newPartsChain("salt", append(shared, own))
	holds := func(i int) candidate {
		return candidate{target: f.b.targets[testAddr(i)], chain: c, cachedTokens: 6000, readyTokens: 6000}
	}
	p, r := f.b.pools["e"], &request{Request: f.request("a", append(shared, own)...)}
	cold := candidate{target: f.b.targets[testAddr(0)], chain: c}
	cs := []candidate{cold, holds(1)}
	f.b.considerFetches(f.now, cs, p, r)
	far := cs[0].transfer - fetchSetup
	cs = []candidate{cold, holds(1), holds(2)}
	f.b.considerFetches(f.now, cs, p, r)
	require.Equal(t, testAddr(2), cs[0].fetchFrom)
	require.Equal(t, far, 2*(cs[0].transfer-fetchSetup))
	require.Equal(t, 6*time.Millisecond, cs[0].transfer-fetchSetup)
}
