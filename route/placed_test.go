package route

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPlacedTold checks that a request with much to read is told of at once, with
// the router's whole load at its target, and one with little is not.
func TestPlacedTold(t *testing.T) {
	var told []Placed
	f := newPartsBoard(t, 1, WithPlaced(func(p Placed) { told = append(told, p) }))
	f.b.pools["e"].compiled.CacheReaders = 1
	f.ask(f.request("a", Part{"little", placedLeast - 1}))
	require.Empty(t, told)
	f.ask(f.request("a", append(shared, own)...))
	require.Len(t, told, 1)
	require.Equal(t, 2, told[0].Load.InFlight)
	require.Equal(t, f.b.targets[testAddr(0)].prefill, told[0].Load.Prefill)
	require.Len(t, told[0].Fills, len(shared), "a part of its own is of no use to others")
}
