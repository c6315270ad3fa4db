package node

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/route"
)

// relayUpdate returns a relay's answer with a list of targets, or with changes to it.
func relayUpdate(epoch int64, full bool, targets ...string) peer.RelayAnswer {
	news := &peer.RelayUpdate{Cursor: peer.RelayCursor{Epoch: epoch, Entries: 9, Beats: 9}, EntriesFull: full, BeatsFull: full}
	for _, addr := range targets {
		e := route.Entry{Seen: route.ListedTarget{Addr: netip.MustParseAddrPort(addr)}}
		news.Entries = append(news.Entries, route.Change[netip.AddrPort, *route.Entry]{Key: e.Seen.Addr, Value: &e})
	}
	return peer.RelayAnswer{News: news}
}

// A relay queries several other relays at once. The changes that one of them sends apply only to
// the list that came from the same relay: applied to the list of another one, they would replace
// the whole list.
func TestRelayUpdateFromAnotherRelay(t *testing.T) {
	const one, two = "10.0.0.1:1", "10.0.0.2:1"
	for name, c := range map[string]struct {
		// from is the relay of the second answer; the third comes from the first relay again.
		from          string
		second, third peer.RelayAnswer
		want          int
	}{
		"changes of the same relay":                 {from: "a", second: relayUpdate(1, false), third: relayUpdate(1, false), want: 2},
		"changes of one after the list of another":  {from: "b", second: relayUpdate(2, true, one, two), third: relayUpdate(1, false, one), want: 2},
		"changes of one that was started anew":      {from: "a", second: relayUpdate(1, false), third: relayUpdate(3, false, one), want: 2},
		"the whole list of one after the other's":   {from: "b", second: relayUpdate(2, true, one, two), third: relayUpdate(1, true, one), want: 1},
		"the whole list of one that was begun anew": {from: "a", second: relayUpdate(1, false), third: relayUpdate(3, true, one), want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRelays("r")
			now := time.Now()
			require.True(t, r.applyUpdate(now, "a", relayUpdate(1, true, one, two)))
			require.True(t, r.applyUpdate(now.Add(time.Second), c.from, c.second))
			r.applyUpdate(now.Add(2*time.Second), "a", c.third)
			require.Len(t, r.followed.list(), c.want)
		})
	}
}

// A node that has just been selected as a relay because others left publishes no list until it acts
// as one: an empty list would remove all targets from the nodes that ask it.
func TestRelayNotYetActing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t, simSite{nodes: 20, engines: 10, perSecond: 10})
		f.settle()
		defer f.end()
		asked := peer.RelayReport{Word: fleet.RosterMessage[route.PeerState]{From: fleet.Member{ID: "node-999"}}, Asks: true}
		for _, n := range f.nodes {
			r := n.relays
			if !r.isRelay() {
				continue
			}
			require.Len(t, n.Relay(asked).News.Entries, 10)
			r.mu.Lock()
			r.acting = false
			r.entries.Clear()
			r.mu.Unlock()
			answer := n.Relay(asked)
			require.True(t, answer.Word.Relay)
			require.Nil(t, answer.News)
			time.Sleep(2 * reportInterval)
			require.Len(t, n.Relay(asked).News.Entries, 10, "once it has taken its part up")
		}
	})
}
