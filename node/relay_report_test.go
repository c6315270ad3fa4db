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

// relayNews is a relay's answer with a list of targets, or with what changed of it.
func relayNews(epoch int64, full bool, targets ...string) peer.RelayAnswer {
	news := &peer.RelayUpdate{Cursor: peer.RelayCursor{Epoch: epoch, Entries: 9, Beats: 9}, EntriesFull: full, BeatsFull: full}
	for _, addr := range targets {
		e := route.Entry{Seen: route.ListedTarget{Addr: netip.MustParseAddrPort(addr)}}
		news.Entries = append(news.Entries, route.Change[netip.AddrPort, *route.Entry]{Key: e.Seen.Addr, Value: &e})
	}
	return peer.RelayAnswer{News: news}
}

// A relay asks several others at once. What one of them says to have changed since it
// was asked last counts only while that one's list is still the one that is known:
// after another's it would be all that is left.
func TestRelayNewsFromAnotherRelay(t *testing.T) {
	const one, two = "10.0.0.1:1", "10.0.0.2:1"
	for name, c := range map[string]struct {
		// from answers second, and the first relay again third.
		from          string
		second, third peer.RelayAnswer
		want          int
	}{
		"changes of the same relay":                 {from: "a", second: relayNews(1, false), third: relayNews(1, false), want: 2},
		"changes of one after the list of another":  {from: "b", second: relayNews(2, true, one, two), third: relayNews(1, false, one), want: 2},
		"changes of one that was started anew":      {from: "a", second: relayNews(1, false), third: relayNews(3, false, one), want: 2},
		"the whole list of one after the other's":   {from: "b", second: relayNews(2, true, one, two), third: relayNews(1, true, one), want: 1},
		"the whole list of one that was begun anew": {from: "a", second: relayNews(1, false), third: relayNews(3, true, one), want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := testRelays("r")
			now := time.Now()
			require.True(t, r.applyNews(now, "a", relayNews(1, true, one, two)))
			require.True(t, r.applyNews(now.Add(time.Second), c.from, c.second))
			r.applyNews(now.Add(2*time.Second), "a", c.third)
			require.Len(t, r.followed.list(), c.want)
		})
	}
}

// A node that the others' going has made a relay tells nothing of the list before it has taken its part
// up: an empty list would take all targets from whoever asks it.
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
