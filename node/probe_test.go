package node

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestProbeSet checks that many requests whose connections to one target hang at once open a single
// new connection to it, and one to each other target.
func TestProbeSet(t *testing.T) {
	var r probeSet
	a, b := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	require.True(t, r.begin(a))
	require.False(t, r.begin(a))
	require.True(t, r.begin(b))
	r.end(a)
	require.True(t, r.begin(a))
}
