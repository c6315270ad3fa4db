package node

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/internal/clock"
	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/route"
)

func newTestRelays(id string) *relays {
	self := fleet.Member{ID: id, Addr: netip.MustParseAddrPort("10.0.0.1:1"), Power: 1}
	return &relays{
		n:      &Node{now: clock.Monotonic},
		roster: fleet.NewRoster[route.PeerState](time.Now(), self, time.Minute),
		outbox: newOutbox(), echoes: make(map[route.SentRequest]int),
	}
}

// TestRecentEchoes checks that a node does not count its own requests again when relays echo them,
// but counts equal requests of other nodes.
func TestRecentEchoes(t *testing.T) {
	r := newTestRelays("a")
	own, other := route.SentRequest{Target: 1, Prefill: 900}, route.SentRequest{Target: 2, Prefill: 900}
	r.echoes[own] = 1
	require.Equal(t, []route.SentRequest{other}, r.receiveRecent(peer.RecentNotice{Recent: []route.SentRequest{own, other}}))
	require.Equal(t, []route.SentRequest{own}, r.receiveRecent(peer.RecentNotice{Recent: []route.SentRequest{own}}))
	require.Empty(t, r.echoes)
}

// TestRecentBatches checks that a relay forwards to other relays only what its reporters sent, and
// to its reporters everything, each batch once.
func TestRecentBatches(t *testing.T) {
	r := newTestRelays("a")
	r.acting = true
	reporter := fleet.Member{ID: "r", Addr: netip.MustParseAddrPort("10.0.0.2:1")}
	relay := fleet.Member{ID: "b", Addr: netip.MustParseAddrPort("10.0.0.3:1"), Power: 2}
	now := time.Now()
	r.roster.HandleReport(now, fleet.RosterMessage[route.PeerState]{From: reporter})
	r.roster.HandleAnswer(now, fleet.RosterMessage[route.PeerState]{From: relay, Relay: true}, false)
	mine, theirs := route.SentRequest{Target: 1, Prefill: 900}, route.SentRequest{Target: 2, Prefill: 800}
	r.receiveRecent(peer.RecentNotice{Recent: []route.SentRequest{mine}})
	r.receiveRecent(peer.RecentNotice{Recent: []route.SentRequest{theirs}, Relayed: true})
	got := r.batches()
	require.Equal(t, []route.SentRequest{mine}, got[relay.Addr].Recent)
	require.ElementsMatch(t, []route.SentRequest{mine, theirs}, got[reporter.Addr].Recent)
	for _, w := range got {
		require.True(t, w.Relayed)
	}
	own, relayed := r.outbox.take()
	require.Empty(t, own)
	require.Empty(t, relayed)
}
