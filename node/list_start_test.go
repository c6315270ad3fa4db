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

// listedStart returns the entry of a target that started at a second of its own clock.
func listedStart(addr, id string, second, revision int64) route.Entry {
	e := listed(addr, id, revision)
	e.Report.Incarnation = route.NewIncarnation(id, time.Unix(second, 0))
	return e
}

// A target may restart with the same id, at the same or another address, and with a clock that was
// set back. Only the revision of the list decides which entry is newer.
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
		"without a start time":            {[]route.Entry{first, listed(here, "a", 6)}, listed(here, "a", 6)},
	}
	for name, c := range cases {
		for away, set := range map[string]func(l *targetList, now time.Time){"": func(*targetList, time.Time) {}, ", after an outage": (*targetList).readFailed} {
			t.Run(name+away, func(t *testing.T) {
				now := time.Unix(100, 0)
				var l targetList
				var got []*route.Entry
				for _, e := range c.readings {
					set(&l, now)
					got = merge(&l, now, Listing{Targets: entries(e)}, false)
					now = now.Add(100 * time.Millisecond)
				}
				require.Equal(t, entries(c.want), got)
			})
		}
	}
}

// An invalid entry removes the target that it named before, even while missing entries may still
// come back after an outage. Other missing entries are kept.
func TestListInvalidEntry(t *testing.T) {
	now := time.Unix(100, 0)
	var l targetList
	a, b, c := listed("10.0.0.1:80", "a", 1), listed("10.0.0.2:80", "b", 2), listed("10.0.0.3:80", "c", 3)
	merge(&l, now, Listing{Targets: entries(a, b, c)}, false)
	l.readFailed(now)
	now = now.Add(time.Second)
	got := merge(&l, now, Listing{Targets: entries(a), Invalid: []InvalidEntry{{ID: "b", Reason: EntryMissingField}}}, false)
	require.Equal(t, []string{"a", "c"}, incarnations(got), "c is missing and may come back")
}

// A list entry that names a KV cache store is not a target, since such stores are never on the
// list. The store named in the configuration is a target.
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
	n.applyListing(listReading{at: time.Now()}, Listing{Targets: entries(good, foreign)})
	require.ElementsMatch(t, []string{"a", "kept"}, incarnations(n.list.get()))
}

// An invalid entry is logged once for as long as it stays invalid, however many there are.
func TestInvalidEntriesLogged(t *testing.T) {
	store := newSimStore(1)
	n, err := New(validSettings(), store, nil, store)
	require.NoError(t, err)
	many := make([]InvalidEntry, 3*maxInvalidLogged)
	for i := range many {
		many[i] = InvalidEntry{ID: netip.AddrFrom4([4]byte{0, 0, byte(i >> 8), byte(i)}).String(), Reason: EntryUndecodable}
	}
	for range 3 {
		n.logInvalidEntries(many)
		require.Len(t, n.invalidEntries, maxInvalidLogged)
	}
	n.logInvalidEntries(nil)
	require.Empty(t, n.invalidEntries)
}

// pagedEngines returns pages of cache events one after another, then nothing.
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

// After a restart has emptied a cache its events are read from the beginning, and earlier contents
// are dropped. The parts of a KV cache store that restarted empty used to count as present until an
// event named each of them.
func TestReadCacheRestarted(t *testing.T) {
	held := []route.PartChange{{Salt: "s", ID: "part", Tokens: 1000}}
	start := func(s int64) time.Time { return time.Unix(s, 0) }
	cases := map[string]struct {
		pages []CachePage
		asked []int64
		held  bool
	}{
		"continues": {
			[]CachePage{{Epoch: 1, Next: 5, Changes: held}, {Epoch: 1, Next: 6}}, []int64{0, 5, 6}, true,
		},
		"restarts empty": {
			[]CachePage{{Epoch: 1, Next: 5, Changes: held}, {Epoch: 2, Next: 1}, {Epoch: 2, Next: 1}}, []int64{0, 5, 0, 1}, false,
		},
		"another incarnation answers than the listed one": {
			[]CachePage{{Epoch: 1, Next: 5, Changes: held, Start: start(500)}, {Epoch: 1, Next: 6, Changes: held, Start: start(600)}},
			[]int64{0, 5, 0}, false,
		},
		"the listed incarnation answers again": {
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
				n.applyListing(listReading{at: time.Now()}, Listing{Targets: entries(e)})
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
