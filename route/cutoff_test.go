package route

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// Joined states name the routers that are cut off from each pool, once each and in bounds.
func TestCutOffRoutersJoined(t *testing.T) {
	of := func(addr netip.AddrPort, pools ...string) PeerState {
		s := PeerState{CutOff: pools}
		s.ReportCutOff(addr)
		return s
	}
	near := JoinStates([]PeerState{of(peerB, "engines", "service"), of(peerA, "engines"), of(peerC)})
	joined := JoinStates([]PeerState{near, of(peerB, "engines")})
	require.Equal(t, []CutOffRouters{{"engines", []netip.AddrPort{peerA, peerB}}, {"service", []netip.AddrPort{peerB}}}, joined.CutOffRouters)
	require.Equal(t, map[netip.AddrPort][]string{peerA: {"engines"}, peerB: {"engines", "service"}}, joined.CutOffPools())

	var many []PeerState
	for i := range 2 * maxCutOffRouters {
		many = append(many, of(netip.AddrPortFrom(peerA.Addr(), uint16(i+1)), fmt.Sprint("pool-", i%(2*maxCutOffPools)), "engines"))
	}
	joined = JoinStates(many)
	require.Len(t, joined.CutOffRouters, maxCutOffPools)
	require.Len(t, joined.CutOffRouters[0].Routers, maxCutOffRouters)
}
