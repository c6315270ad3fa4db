package node

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/route"
)

// recordedRows counts the rows of recorded streams.
func (s *simStore) recordedRows() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.rows {
		if key[0] == partStreams {
			n++
		}
	}
	return n
}

// commits counts the writing calls.
func (s *simStore) commits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls["commit"]
}

// simStreamLife is how long streams last in the tests of the record.
const simStreamLife = 15 * time.Second

// newDividedFleet starts a fleet whose nodes know each other and two splits of the pool.
func newDividedFleet(t *testing.T, nodes int) *simFleet {
	f := newSimFleet(t, simSite{nodes: nodes, engines: 4, perSecond: 1})
	f.settle()
	f.divide()
	return f
}

// divide gives all nodes two splits of the pool, under a configuration whose streams last for simStreamLife.
func (f *simFleet) divide() {
	for _, n := range f.nodes {
		n.Lock()
		n.releases.lives.longest(n.now(), simStreamLife)
		n.Unlock()
		adoptSplit(n, "gone", "")
	}
}

// largeSimFleet is the size of a simulated fleet with relays.
const largeSimFleet = 84

// simFleetSizes returns sizes with that of a fleet with relays, which takes minutes to simulate with the race detector
// and is simulated without it alone.
func simFleetSizes(sizes ...int) []int {
	if raceDetector {
		return sizes
	}
	return append(sizes, largeSimFleet)
}

// Guards against streams whose release nobody knows once all nodes that began them have ended, against a call to the
// store by each node, and against rows that stay.
func TestStreamRecord(t *testing.T) {
	t.Parallel()
	const streams, seconds = 5, 4
	for _, nodes := range simFleetSizes(2, 6) {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newDividedFleet(t, nodes)
				defer f.end()
				before := f.store.commits()
				for range seconds {
					for i, n := range f.nodes {
						for k := range streams {
							n.releases.remember(simPool, fmt.Sprintf("%d-%d", i, k), []string{"gone", ""}[k%2])
						}
					}
					time.Sleep(time.Second)
				}
				time.Sleep(time.Second)
				for i := range f.nodes {
					for k := range streams {
						// A node that has just started remembers nothing.
						release, ok := newStreamRecord(f.nodes[(i+1)%nodes]).release(t.Context(), fmt.Sprintf("%d-%d", i, k))
						require.True(t, ok, "stream %d of node %d", k, i)
						require.Equal(t, []string{"gone", ""}[k%2], release)
					}
				}
				require.Less(t, f.store.commits()-before, int((seconds+2)*time.Second/recordInterval), "one node writes for all")
				if nodes > 16 {
					// The removal does not depend on relays, and takes long to simulate.
					return
				}
				time.Sleep(2*(simStreamLife+route.LateSplitTime) + recordDelay)
				require.Zero(t, f.store.recordedRows(), "rows of streams that are over")
			})
		})
	}
}

// Guards against rows that stay for ever since there are more than one call to the store may remove, and against a
// removal that is slower than the recorder writes.
func TestStreamRecordRemovesManyRows(t *testing.T) {
	t.Parallel()
	const rows = 600
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t, simSite{nodes: 3, engines: 4, perSecond: 1})
		f.settle()
		defer f.end()
		for i := range rows {
			require.NoError(t, f.store.put(partStreams, fmt.Sprintf("%s/ended/%d", recordTime(time.Since(f.store.began)), i), encodeStreams(nil)))
		}
		f.divide()
		time.Sleep(simStreamLife + recordDelay + rows*recordInterval)
		require.Zero(t, f.store.recordedRows())
	})
}

// Guards against streams that are in no row since the node that records them for all cannot reach the store, and against
// calls to the store by every node meanwhile.
func TestStreamRecordRecorderWithoutStore(t *testing.T) {
	t.Parallel()
	for _, nodes := range simFleetSizes(2, 6) {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newDividedFleet(t, nodes)
				defer f.end()
				owner, _ := f.nodes[0].releases.owner(partStreams)
				recorder := slices.IndexFunc(f.nodes, func(n *Node) bool { return n.settings().Name == owner.ID })
				f.storeClients[recorder].down.Store(true)
				for i, n := range f.nodes {
					n.releases.remember(simPool, fmt.Sprint("stream-", i), "gone")
				}
				time.Sleep(recordInterval + recordNoticeTime + unreportedTime + recordRetry + simCallTimeout)
				before := f.store.commits()
				reader := f.nodes[(recorder+1)%nodes]
				for i := range f.nodes {
					_, ok := newStreamRecord(reader).release(t.Context(), fmt.Sprint("stream-", i))
					require.True(t, ok, "the stream of node %d; %d is the recorder", i, recorder)
				}
				for range 20 {
					reader.releases.remember(simPool, fmt.Sprint("later-", time.Now()), "gone")
					time.Sleep(recordInterval)
				}
				require.LessOrEqual(t, f.store.commits()-before, 20+2, "one node writes for all")
			})
		})
	}
}

// Guards against a node of a large fleet that asks nobody, or only its own relay's memory, for a stream of a node
// that has ended.
func TestLargeFleetAsksForStream(t *testing.T) {
	t.Parallel()
	if raceDetector {
		t.Skip("played without the race detector, with which it takes minutes")
	}
	synctest.Test(t, func(t *testing.T) {
		f := newDividedFleet(t, largeSimFleet)
		defer f.end()
		follower := f.nodes[0]
		for _, n := range f.nodes {
			if n.relays.followsRelay() {
				follower = n
			}
		}
		require.True(t, follower.relays.followsRelay())
		streams := []*begunStream{{key: streamKeyOf("ended"), pool: simPool, release: "gone"}}
		require.NoError(t, f.store.put(partStreams, recordTime(time.Since(f.store.began))+"/ended/0", encodeStreams(streams)))
		release, by := follower.releases.ask(t.Context(), "ended")
		require.Equal(t, releaseByRecord, by)
		require.Equal(t, "gone", release)
		// What the relays remember needs no call to the store.
		for _, n := range f.nodes {
			if n.relays.isRelay() {
				n.Begun(peer.BegunNotice{Streams: []peer.BegunStreams{{Pool: simPool, Release: "gone", Keys: []uint64{uint64(streamKeyOf("passed on"))}}}})
			}
		}
		release, by = follower.releases.ask(t.Context(), "passed on")
		require.Equal(t, releaseByPeer, by)
		require.Equal(t, "gone", release)
		_, by = follower.releases.ask(t.Context(), "never begun")
		require.Equal(t, releaseUnknown, by)
	})
}

// Guards against relays that spend their processor time on notices: with 30 followers each, ten notices a second of each
// would take them some 4% of a core.
func TestFollowerInterval(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ nodes, relays int }{
		"few nodes": {17, 4}, "two years from now": {390, 13}, "one relay": {30, 1}, "no relay known": {30, 0}, "relays alone": {5, 5},
	} {
		every := followerInterval(c.nodes, c.relays)
		require.GreaterOrEqual(t, every, recordInterval, name)
		received := float64(c.nodes-c.relays) / float64(max(1, c.relays)) / every.Seconds()
		require.LessOrEqual(t, received, float64(noticesPerSecond)+0.01, name)
	}
}

// Guards against a guess where rows or notices name different releases for one stream.
func TestStreamRecordDiffers(t *testing.T) {
	t.Parallel()
	m := newStreamMemory()
	now := time.Now()
	for _, release := range []string{"a", "a", "b"} {
		m.add(now, "id", release)
	}
	_, ok := m.get("id")
	require.False(t, ok)
	m.add(now, "id", "a")
	_, ok = m.get("id")
	require.False(t, ok, "it stays unknown")
}

// Guards against streams that change on their way through a row, and against rows that end the process.
func TestStreamRecordRow(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		var streams []*begunStream
		want := make(map[string][]streamKey)
		for range rapid.IntRange(0, 100).Draw(rt, "streams") {
			b := &begunStream{key: streamKey(rapid.Uint64().Draw(rt, "key")), release: rapid.StringMatching(`[a-z0-9.]{0,8}`).Draw(rt, "release")}
			streams = append(streams, b)
			want[b.release] = append(want[b.release], b.key)
		}
		got, err := decodeStreams(encodeStreams(streams))
		require.NoError(rt, err)
		require.Equal(rt, want, got)
	})
	rapid.Check(t, func(rt *rapid.T) {
		// Any text is decoded or rejected.
		_, _ = decodeStreams([]byte(rapid.String().Draw(rt, "row")))
	})
	for name, data := range map[string]string{"keys of seven bytes": `[{"release":"a","keys":"AAAAAAAAAA=="}]`, "no list": `{}`, "empty": ``} {
		_, err := decodeStreams([]byte(data))
		require.Error(t, err, name)
	}
}

// Guards against streams that two nodes pass back and forth since each takes the other for the recorder.
func TestStreamRecordPassedBack(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newPinNode(t)
		r := p.releases.record
		p.releases.remember("p", "own", "a")
		notice := peer.BegunNotice{Streams: []peer.BegunStreams{{Pool: "p", Release: "a", Keys: []uint64{uint64(streamKeyOf("own")), uint64(streamKeyOf("other"))}}}}
		for range 3 {
			p.Begun(notice)
		}
		require.Len(t, r.begun, 2)
	})
}
