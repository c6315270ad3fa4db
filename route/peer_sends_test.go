package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPeerSends checks that a peer's request counts at its target as soon as it is reported, minus
// what the target has read since, and only until the loads reported over relays include it.
func TestPeerSends(t *testing.T) {
	t.Parallel()
	f := newPartsBoard(t, 2)
	busy, other := f.b.targets[testAddr(0)], f.b.targets[testAddr(1)]
	f.b.AddPeerSends(f.now, []SentRequest{{busy.key().Hash(), 10_000}, {12345, 10_000}})
	require.Equal(t, 200*time.Millisecond, busy.queueWait(f.now))
	require.Zero(t, other.queueWait(f.now))
	f.now = f.now.Add(100 * time.Millisecond)
	f.b.AddPeerSends(f.now, []SentRequest{{busy.key().Hash(), 5000}})
	require.InDelta(t, 200*time.Millisecond, busy.queueWait(f.now), float64(time.Millisecond))
	require.Zero(t, busy.queueWait(f.now.Add(peerSendTTL+time.Millisecond)))
}

// TestHolders checks that a router which asks another one for the holders of a prompt's shared
// parts places the prompt as if it had sent the previous one itself.
func TestHolders(t *testing.T) {
	t.Parallel()
	home, f := newFillBoard(t, 4), newFillBoard(t, 4)
	var reports []PlacementReport
	WithPlaced(func(p PlacementReport) { reports = append(reports, p) })(home.b)
	first := home.place(home.requestWithAim(time.Second, append(shared, own)...))
	second := f.requestWithAim(time.Second, append(shared, Part{"own2", 500})...)
	number, blocks, ok := f.b.HolderQuery(second)
	require.True(t, ok)
	require.Equal(t, reports[0].Home, number, "both find the same home")
	fills := home.b.Holders(home.now, blocks)
	require.Len(t, fills, len(shared))
	f.b.MergeFills(f.now, fills)
	require.Nil(t, f.place(second), "it is still being read")
	home.now = home.now.Add(150 * time.Millisecond)
	home.b.FirstToken(home.now, first.Request, first.ID)
	fills = home.b.Holders(home.now, blocks)
	require.Zero(t, fills[0].Left)
	other := newFillBoard(t, 4)
	other.b.MergeFills(other.now, fills)
	a := other.place(other.requestWithAim(time.Second, append(shared, Part{"own3", 500})...))
	require.NotNil(t, a)
	require.Equal(t, first.Target, a.Target)
	require.Empty(t, home.b.Holders(home.now.Add(time.Minute), blocks), "it may be gone by then")
}

// TestHoldersAsked checks that no router is asked about a prompt that shares little.
func TestHoldersAsked(t *testing.T) {
	t.Parallel()
	f := newPartsBoard(t, 1)
	cases := map[string][]Part{
		"its own part alone": {own},
		"a short part":       {{"short", minReportedPrefill - 1}, own},
	}
	for name, parts := range cases {
		t.Run(name, func(t *testing.T) {
			_, _, ok := f.b.HolderQuery(f.request("a", parts...))
			require.False(t, ok)
		})
	}
}
