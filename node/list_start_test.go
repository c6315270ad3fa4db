package node

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// listedStart is an entry of a target that started at a second of its own clock.
func listedStart(addr, id string, second, revision int64) route.Entry {
	e := listed(addr, id, revision)
	e.Report.Incarnation = route.NewIncarnation(id, time.Unix(second, 0))
	return e
}

// A target may start again under its id, at the same address or another, and by a clock
// that was set back. Which entry is the newer is told by the list's own counter alone.
func TestListStartedAgain(t *testing.T) {
	const here, there = "10.0.0.1:80", "10.0.0.2:80"
	first := listedStart(here, "a", 500, 5)
	cases := map[string]struct {
		readings []route.Entry
		want     route.Entry
	}{
		"by a later clock":                {[]route.Entry{first, listedStart(here, "a", 600, 6)}, listedStart(here, "a", 600, 6)},
		"by an earlier clock":             {[]route.Entry{first, listedStart(here, "a", 400, 6)}, listedStart(here, "a", 400, 6)},
		"and the reading before it again": {[]route.Entry{first, listedStart(here, "a", 400, 6), first}, listedStart(here, "a", 400, 6)},
		"at another address":              {[]route.Entry{first, listedStart(there, "a", 600, 6)}, listedStart(there, "a", 600, 6)},
		"elsewhere, and the one before":   {[]route.Entry{first, listedStart(there, "a", 600, 6), first}, listedStart(there, "a", 600, 6)},
		"twice in between":                {[]route.Entry{first, listedStart(here, "a", 700, 9)}, listedStart(here, "a", 700, 9)},
		"without telling when":            {[]route.Entry{first, listed(here, "a", 6)}, listed(here, "a", 6)},
	}
	for name, c := range cases {
		for away, set := range map[string]func(l *targetList){"": func(*targetList) {}, ", after an outage": (*targetList).readFailed} {
			t.Run(name+away, func(t *testing.T) {
				now := time.Unix(100, 0)
				var l targetList
				var got []*route.Entry
				for _, e := range c.readings {
					set(&l)
					got = merge(&l, now, now, Listing{Targets: entries(e)}, false)
					now = now.Add(100 * time.Millisecond)
				}
				require.Equal(t, entries(c.want), got)
			})
		}
	}
}

// An entry that names no target any more ends the one that it named before, also while
// entries that are missing may still come back after an outage; the others hold.
func TestListFaultyEntry(t *testing.T) {
	now := time.Unix(100, 0)
	var l targetList
	a, b, c := listed("10.0.0.1:80", "a", 1), listed("10.0.0.2:80", "b", 2), listed("10.0.0.3:80", "c", 3)
	merge(&l, now, now, Listing{Targets: entries(a, b, c)}, false)
	l.readFailed()
	now = now.Add(time.Second)
	got := merge(&l, now, now, Listing{Targets: entries(a), Invalid: []InvalidEntry{{ID: "b", WriteBadRequest: EntryMissingField}}}, false)
	require.Equal(t, []string{"a", "c"}, incarnations(got), "c is missing and may come back")
}

// An entry that names a store of KV cache, which are on no list, is no target; the store
// that the configuration names is one.
func TestListNamesStore(t *testing.T) {
	store := newSimStore(1)
	n, err := New(validSettings(), store, nil, store)
	require.NoError(t, err)
	declared, err := store.Parse(1, "one")
	require.NoError(t, err)
	kept := listed("10.0.0.9:80", "kept", 1)
	kept.Seen.Labels = map[string]string{LabelPool: "kept"}
	declared.Fixed = []route.Entry{kept}
	declared.Config.Pools = append(declared.Config.Pools, policy.Pool{Name: "kept", Kind: policy.KindKept, Selector: LabelPool + "=kept"})
	n.adopt(*declared, "the store")
	good, foreign := listed("10.0.0.1:80", "a", 2), listed("10.0.0.2:80", "b", 3)
	good.Seen.Labels = map[string]string{LabelPool: simPool}
	foreign.Seen.Labels = map[string]string{LabelPool: "kept"}
	n.applyListing(time.Now(), Listing{Targets: entries(good, foreign)}, false)
	require.ElementsMatch(t, []string{"a", "kept"}, incarnations(n.list.get()))
}

// A faulty entry is logged once for as long as its fault lasts, however many there are.
func TestFaultyNoted(t *testing.T) {
	store := newSimStore(1)
	n, err := New(validSettings(), store, nil, store)
	require.NoError(t, err)
	many := make([]InvalidEntry, 3*maxInvalidLogged)
	for i := range many {
		many[i] = InvalidEntry{ID: netip.AddrFrom4([4]byte{0, 0, byte(i >> 8), byte(i)}).String(), WriteBadRequest: EntryUndecodable}
	}
	for range 3 {
		n.logInvalidEntries(many)
		require.Len(t, n.invalidEntries, maxInvalidLogged)
	}
	n.logInvalidEntries(nil)
	require.Empty(t, n.invalidEntries)
}

// pagedEngines tells the pages of a cache's events one after another, then nothing.
type pagedEngines struct {
	Engines
	pages []CachePage
	asked []int64
}

func (e *pagedEngines) CacheEvents(ctx context.Context, _ netip.AddrPort, since int64, wait time.Duration) (CachePage, error) {
	e.asked = append(e.asked, since)
	if len(e.pages) == 0 {
		pause(ctx, time.Hour)
		return CachePage{}, ctx.Err()
	}
	page := e.pages[0]
	e.pages = e.pages[1:]
	pause(ctx, min(wait, 10*time.Millisecond))
	return page, nil
}

// After a cache was emptied by a restart its events are read from their beginning, and
// nothing of before is believed. The parts of a store of KV cache that came back empty stayed
// believed until each of them was named again.
func TestReadCacheRestarted(t *testing.T) {
	held := []route.PartChange{{Salt: "s", ID: "part", Tokens: 1000}}
	start := func(s int64) time.Time { return time.Unix(s, 0) }
	cases := map[string]struct {
		pages []CachePage
		asked []int64
		held  bool
	}{
		"it goes on": {
			[]CachePage{{Epoch: 1, Next: 5, Changes: held}, {Epoch: 1, Next: 6}}, []int64{0, 5, 6}, true,
		},
		"it starts empty": {
			[]CachePage{{Epoch: 1, Next: 5, Changes: held}, {Epoch: 2, Next: 1}, {Epoch: 2, Next: 1}}, []int64{0, 5, 0, 1}, false,
		},
		"another start answers than the list names": {
			[]CachePage{{Epoch: 1, Next: 5, Changes: held, Start: start(500)}, {Epoch: 1, Next: 6, Changes: held, Start: start(600)}},
			[]int64{0, 5, 0}, false,
		},
		"it answers again": {
			[]CachePage{{Epoch: 1, Next: 6, Changes: held, Start: start(600)}, {Epoch: 1, Next: 5, Changes: held, Start: start(500)}},
			[]int64{0, 0, 5}, true,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newSimStore(1)
				engines := &pagedEngines{pages: c.pages}
				n, err := New(validSettings(), store, nil, engines)
				require.NoError(t, err)
				declared, err := store.Parse(1, "one")
				require.NoError(t, err)
				n.adopt(*declared, "the store")
				e := listedStart(simEngineAddr(0).String(), "i", 500, 1)
				e.Seen.Labels = map[string]string{LabelPool: simPool}
				n.applyListing(time.Now(), Listing{Targets: entries(e)}, false)
				ctx, stop := context.WithCancel(t.Context())
				go n.readCache(ctx, simEngineAddr(0))
				time.Sleep(30 * time.Second)
				synctest.Wait()
				require.Equal(t, c.asked, engines.asked)
				n.Lock()
				require.Equal(t, c.held, n.Board().Holds(simEngineAddr(0), "s", "part"))
				n.Unlock()
				stop()
				synctest.Wait()
			})
		})
	}
}
