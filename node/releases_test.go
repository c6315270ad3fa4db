package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// Guards against a memory that loses a stream while it may be taken up, or grows without bound.
func TestStreamMemory(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		m, now := newStreamMemory(), time.Now()
		added := make(map[string]time.Time)
		for i := range rapid.IntRange(1, 400).Draw(rt, "streams") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "ms")) * time.Millisecond)
			id := fmt.Sprint("s", i)
			m.add(now, id, "release of "+id)
			added[id] = now
			require.LessOrEqual(rt, len(m.recent)+len(m.past), 2*maxStreamsKept)
		}
		for id, at := range added {
			release, ok := m.get(id)
			if now.Sub(at) < generationTime {
				require.True(rt, ok, "%s began %s ago", id, now.Sub(at))
			}
			if ok {
				require.Equal(rt, "release of "+id, release)
			}
		}
		_, ok := m.get("another")
		require.False(rt, ok)
	})
	m, now := newStreamMemory(), time.Now()
	for i := range 5 * maxStreamsKept {
		m.add(now, fmt.Sprint(i), "r")
		require.LessOrEqual(t, len(m.recent)+len(m.past), 2*maxStreamsKept)
	}
	_, ok := m.get(fmt.Sprint(4*maxStreamsKept + 1))
	require.True(t, ok, "the last generation's worth of streams is kept at any rate")
}

// Guards against splits that change on their way through the row.
func TestReleasesRow(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Now()
		clock := StoreClock{At: time.Hour, Begun: now.Add(-drawTime(rt, "call", 50*time.Millisecond)), Heard: now}
		want := make(map[string]route.ReleaseHistory)
		for p := range rapid.IntRange(0, 3).Draw(rt, "pools") {
			h := route.ReleaseHistory{Number: rapid.Int64Range(1, 1<<40).Draw(rt, "number")}
			for i := range rapid.IntRange(1, 4).Draw(rt, "splits") {
				s := route.ReleaseSplit{From: now.Add(time.Duration(i-2) * 10 * time.Second)}
				if i == 0 && rapid.Bool().Draw(rt, "always") {
					s.From = time.Time{}
				}
				for n := range rapid.IntRange(1, route.ReleaseSlots).Draw(rt, "names") {
					s.Names = append(s.Names, fmt.Sprintf("%s-%d", rapid.String().Draw(rt, "name"), n))
				}
				for slot := range s.Slots {
					s.Slots[slot] = int8(rapid.IntRange(route.UnknownRelease, len(s.Names)-1).Draw(rt, "slot"))
				}
				h.Splits = append(h.Splits, s)
			}
			want[fmt.Sprint("pool ", p)] = h
		}
		got, err := decodeReleases(clock, encodeReleases(clock, want))
		require.NoError(rt, err)
		require.Len(rt, got, len(want))
		for pool, h := range want {
			require.Equal(rt, h.Number, got[pool].Number)
			require.Len(rt, got[pool].Splits, len(h.Splits))
			for i, s := range h.Splits {
				read := got[pool].Splits[i]
				require.Equal(rt, s.From.IsZero(), read.From.IsZero())
				if !s.From.IsZero() {
					require.InDelta(rt, 0, read.From.Sub(s.From).Seconds(), 0.1, "a call's time and the clocks' drift")
				}
				require.Equal(rt, s.Slots, read.Slots)
				for slot := range s.Slots {
					release, ok := s.Release(slot)
					readRelease, readOK := read.Release(slot)
					require.Equal(rt, release, readRelease)
					require.Equal(rt, ok, readOK)
				}
			}
		}
	})
}

// Guards against streams that go by a row that is damaged or of another form.
func TestReleasesRowInvalid(t *testing.T) {
	t.Parallel()
	slots := make([]byte, route.ReleaseSlots)
	for i := range slots {
		slots[i] = 'A'
	}
	with := func(letter string) string { return letter + string(slots[1:]) }
	row := func(slots string) string {
		return fmt.Sprintf(`[{"pool":"p","number":1,"splits":[{"fromMs":5,"names":["a"],"slots":%q}]}]`, slots)
	}
	clock := StoreClock{At: time.Hour, Begun: time.Now(), Heard: time.Now()}
	for name, c := range map[string]struct {
		data  string
		valid bool
	}{
		"valid":                 {row(with("A")), true},
		"unknown slot":          {row(with("-")), true},
		"no release of a slot":  {row(with("B")), false},
		"no letter of a slot":   {row(with("!")), false},
		"a letter of two bytes": {row("é" + string(slots[2:])), false},
		"a slot too few":        {row(string(slots[1:])), false},
		"a slot too many":       {row(with("AA")), false},
		"no slots":              {row(""), false},
		"not a list":            {`{}`, false},
		"cut":                   {row(with("A"))[:40], false},
		"empty":                 {``, false},
	} {
		got, err := decodeReleases(clock, []byte(c.data))
		require.Equal(t, c.valid, err == nil, name)
		require.Equal(t, c.valid, len(got) == 1, name)
	}
}

// Guards against a guess where other nodes remember different releases for one stream.
func TestAskForStream(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		answers []string
		want    string
		by      releaseSource
	}{
		"nobody knows":             {[]string{"", "", ""}, "", releaseUnknown},
		"one knows":                {[]string{"", "a", ""}, "a", releaseByPeer},
		"all agree":                {[]string{"a", "a", "a"}, "a", releaseByPeer},
		"one differs":              {[]string{"a", "a", "b"}, "", releaseUnknown},
		"the first of two differs": {[]string{"b", "", "a"}, "", releaseUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleet(t, simSite{nodes: len(c.answers) + 1, engines: 2, perSecond: 1})
				f.settle()
				defer f.end()
				for i, release := range c.answers {
					if release != "" {
						f.nodes[i+1].releases.begun.add(time.Now(), "id", release)
					}
				}
				release, by := f.nodes[0].releases.ask(t.Context(), "id")
				require.Equal(t, c.by, by)
				if by == releaseByPeer {
					require.Equal(t, c.want, release)
				}
				require.Equal(t, peer.StreamAnswer{Known: c.answers[0] != "", Release: c.answers[0]}, f.nodes[1].Stream(peer.StreamQuery{ID: "id"}))
			})
		})
	}
}

// continuation returns the request of a caller that takes up a stream.
func continuation(id string) (*callerRequest, *route.Request) {
	v := &callerRequest{
		w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodPost, "/", nil),
		info:  RequestInfo{LastEvent: "1", Resumes: id, ID: "retry of " + id},
		route: &policy.Route{Name: "r", Pool: simPool, Resumable: true},
	}
	return v, &route.Request{ID: v.info.ID, Pool: simPool, Streams: true}
}

// adoptSplit gives a node a split of the pool that has been in force for ever, and one that began lately.
func adoptSplit(n *Node, releases ...string) {
	h := route.ReleaseHistory{Number: int64(len(releases))}
	for i, release := range releases {
		s := route.WholeSplit(time.Time{}, release)
		if i > 0 {
			s.From = time.Now().Add(-time.Second)
		}
		h.Splits = append(h.Splits, s)
	}
	n.releases.adopt(map[string]route.ReleaseHistory{simPool: h})
}

// Guards against a node that is cut off and takes up streams by splits that were replaced meanwhile, after a
// few seconds as well as after a minute.
func TestIsolatedNodeTakesUpNothing(t *testing.T) {
	t.Parallel()
	for name, away := range map[string]time.Duration{
		"once others count as lost":       peerTimeout + time.Second,
		"longer than retries are counted": 15 * time.Second,
		"a minute":                        time.Minute,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleet(t, simSite{nodes: 4, engines: 4, perSecond: 1})
				f.settle()
				defer f.end()
				n := f.nodes[3]
				adoptSplit(n, "gone", "")
				n.releases.setRead(n.now())
				// The second split has been in force for longer than a stream lasts.
				time.Sleep(defaultTimeout + route.LateSplitTime)
				v, req := continuation("id")
				require.Nil(t, n.pinRelease(v, req), "in contact")
				require.Equal(t, route.PinTo(""), req.Pin)
				f.net.cutOff(n.settings().Peers.Addr())
				f.storeClients[3].down.Store(true)
				time.Sleep(away)
				v, req = continuation("another id")
				refusal := n.pinRelease(v, req)
				require.NotNil(t, refusal, "cut off for %s, isolated: %t", away, n.isolated())
				require.Contains(t, refusal.Detail, "neither the store")
				require.Equal(t, route.NotRun, refusal.Verdict)
				require.Positive(t, refusal.RetryAfter)
				v, req = continuation("id")
				require.Nil(t, n.pinRelease(v, req), "it remembers this stream")
				require.Equal(t, route.PinTo(""), req.Pin)
			})
		})
	}
}

// Guards against a node that has just started and begins a stream at the release that its list shows, while
// the row, which it has not read yet, gives the stream's slot to another one.
func TestStartedNodeBeginsNothingBeforeRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newSimStore(1)
		n, err := New(validSettings(), store, plainProtocol{}, store)
		require.NoError(t, err)
		declared, err := store.Parse(1, "one")
		require.NoError(t, err)
		n.adopt(*declared, "the store")
		n.Do(func(b *route.Board, now time.Time) []route.Action {
			return b.SetTargets(now, []route.ListedTarget{{Addr: simEngineAddr(0), Labels: map[string]string{LabelPool: simPool}, Release: "b"}})
		})
		v, req := continuation("")
		v.info = RequestInfo{ID: "id"}
		refusal := n.pinRelease(v, req)
		require.True(t, refusal != nil || !req.Pin.Set, "it begins at %+v and knows no row", req.Pin)
		n.releases.applyRead(n.now(), []fleet.Row{})
		require.Nil(t, n.pinRelease(v, req), "there is no row")
		require.Equal(t, route.PinTo("b"), req.Pin)
	})
}

// Guards against nodes that have all just started and take each other's answers for the splits, which none of them
// has read: a stream of a release whose targets have left would go on at the one that the list still shows.
func TestStartedNodesVouchForNothing(t *testing.T) {
	t.Parallel()
	for _, nodes := range simFleetSizes(4) {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleet(t, simSite{nodes: nodes, engines: 4, perSecond: 1})
				f.start()
				defer f.end()
				for _, c := range f.storeClients {
					c.down.Store(true)
				}
				time.Sleep(simSettleTime)
				for _, n := range f.nodes {
					require.NotEqual(t, contactFew, n.releases.contact(), n.settings().Name)
					require.False(t, n.releases.started(), n.settings().Name)
				}
				for _, c := range f.storeClients[:nodes/2] {
					c.down.Store(false)
				}
				time.Sleep(simSettleTime)
				for _, n := range f.nodes {
					require.True(t, n.releases.started(), "%s knows what others have read", n.settings().Name)
				}
			})
		})
	}
}

// Guards against splits that are lost since a node reads their row before it has the configuration: it would take the
// only release that its list shows for the one that has always been there.
func TestSplitsReadBeforeConfiguration(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := newSimStore(1)
		n, err := New(validSettings(), store, plainProtocol{}, store)
		require.NoError(t, err)
		replaced := route.ReleaseHistory{Number: 1, Splits: []route.ReleaseSplit{route.WholeSplit(time.Time{}, "a"), route.WholeSplit(time.Now().Add(-time.Second), "b")}}
		row := fleet.Row{Sort: releasesRow, Rev: 1, Data: encodeReleases(store.Clock(), map[string]route.ReleaseHistory{simPool: replaced})}
		n.releases.applyRead(n.now(), []fleet.Row{row})
		declared, err := store.Parse(1, "one")
		require.NoError(t, err)
		n.adopt(*declared, "the store")
		n.Do(func(b *route.Board, now time.Time) []route.Action {
			return b.SetTargets(now, []route.ListedTarget{{Addr: simEngineAddr(0), Labels: map[string]string{LabelPool: simPool}, Release: "b"}})
		})
		n.releases.setListed(n.now())
		v, req := continuation("id")
		refusal := n.pinRelease(v, req)
		require.NotNil(t, refusal, "the stream may have begun at either release, and goes on at %+v", req.Pin)
		require.Contains(t, refusal.Detail, "a, b")
	})
}
