package node

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A missing entry is kept for a while after an outage, counted from the first reading without it:
// repeated failures do not restart that time.
func TestListMergeFailingAgain(t *testing.T) {
	cases := map[string]struct {
		// every is the time between two readings, each of which fails once first.
		every time.Duration
		// relayed is set if a relay provided the readings.
		relayed bool
	}{
		"own path fails each time":      {every: 800 * time.Millisecond},
		"own path fails seldom":         {every: relistGrace - time.Millisecond},
		"a relay provides readings too": {every: 400 * time.Millisecond, relayed: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(100, 0)
			var l targetList
			a, b := listed("10.0.0.1:80", "a", 1), listed("10.0.0.2:80", "b", 2)
			merge(&l, now, Listing{Targets: entries(a, b)}, false)
			first := now.Add(c.every)
			for now.Sub(first) <= 2*relistGrace {
				l.readFailed(now)
				now = now.Add(c.every)
				got := incarnations(merge(&l, now, Listing{Targets: entries(a)}, c.relayed))
				if now.Sub(first) >= relistGrace {
					require.Equal(t, []string{"a"}, got, "%s after the first reading without it", now.Sub(first))
				}
			}
		})
	}
}

// During an outage longer than the lifetime of entries none can come back, so the time for which a
// missing entry is kept starts after the outage.
func TestListMergeSecondOutage(t *testing.T) {
	now := time.Unix(100, 0)
	var l targetList
	a, b := listed("10.0.0.1:80", "a", 1), listed("10.0.0.2:80", "b", 2)
	merge(&l, now, Listing{Targets: entries(a, b)}, false)
	for range 2 {
		l.readFailed(now)
		now = now.Add(outageGap + time.Second)
		require.Equal(t, []string{"a", "b"}, incarnations(merge(&l, now, Listing{Targets: entries(a)}, false)))
	}
	now = now.Add(relistGrace)
	require.Equal(t, []string{"a"}, incarnations(merge(&l, now, Listing{Targets: entries(a)}, false)))
	merge(&l, now, Listing{Targets: entries(a, b)}, false)
	l.readFailed(now)
	now = now.Add(time.Second)
	require.Equal(t, []string{"a", "b"}, incarnations(merge(&l, now, Listing{Targets: entries(a)}, false)), "b was back in between")
}

// A reading that was delayed, for instance by a suspension, does not undo one that began later:
// what the newer reading removed stays removed.
func TestListMergeOlderReading(t *testing.T) {
	now := time.Unix(100, 0)
	var l targetList
	a, b := listed("10.0.0.1:80", "a", 1), listed("10.0.0.2:80", "b", 2)
	merge(&l, now, Listing{Targets: entries(a, b)}, false)
	begun := now.Add(time.Second)
	now = now.Add(2 * time.Second)
	require.Equal(t, []string{"a"}, incarnations(merge(&l, now, Listing{Targets: entries(a)}, true)), "a relay's reading")
	require.Equal(t, []string{"a"}, incarnations(merge(&l, begun, Listing{Targets: entries(a, b)}, false)), "its own began before")
	require.False(t, l.has(b.Seen.Addr))
}

// A restarted process knows only the targets that it reads; its start does not count as an outage.
func TestListMergeRestarted(t *testing.T) {
	now := time.Unix(100, 0)
	a := listed("10.0.0.1:80", "a", 1)
	for name, relayed := range map[string]bool{"its own reading": false, "a relay's": true} {
		t.Run(name, func(t *testing.T) {
			var l targetList
			l.readFailed(now)
			require.Equal(t, []string{"a"}, incarnations(merge(&l, now, Listing{Targets: entries(a)}, relayed)))
		})
	}
}

// A reading of another node, for which the store was available long enough for expired entries to be
// back, shows that missing targets left, whether it arrives during this node's own failures or after
// its own reading.
func TestListMergeSteady(t *testing.T) {
	start := time.Unix(100, 0)
	a, b := listed("10.0.0.1:80", "a", 1), listed("10.0.0.2:80", "b", 2)
	whole, lacking := Listing{Targets: entries(a, b)}, Listing{Targets: entries(a)}
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	own := func(seconds float64) listReading { return listReading{at: at(seconds)} }
	relayed := func(seconds float64, steady time.Duration) listReading {
		return listReading{at: at(seconds), relayed: true, steady: steady}
	}
	for name, c := range map[string]struct {
		// Each reading lacks b, and a read of this node's own fails before each.
		readings []listReading
		want     []string
	}{
		"its own":                                {[]listReading{own(8)}, []string{"a", "b"}},
		"a steady one":                           {[]listReading{relayed(8, relistGrace)}, []string{"a"}},
		"a steady one before entries are back":   {[]listReading{relayed(8, relistGrace-1)}, []string{"a", "b"}},
		"one of a node that does not know":       {[]listReading{relayed(8, 0)}, []string{"a", "b"}},
		"its own, then a steady one":             {[]listReading{own(8), relayed(8.3, relistGrace)}, []string{"a"}},
		"its own, then one of the same outage":   {[]listReading{own(8), relayed(8.3, 400*time.Millisecond)}, []string{"a", "b"}},
		"a steady one, then its own":             {[]listReading{relayed(8, time.Minute), own(8.3)}, []string{"a"}},
		"its own of two outages":                 {[]listReading{own(8), own(16)}, []string{"a", "b"}},
		"its own of two outages, then a steady":  {[]listReading{own(8), own(16), relayed(16.3, 4*time.Second)}, []string{"a"}},
		"one of the same outage, then its own":   {[]listReading{relayed(8, 0), own(8.3)}, []string{"a", "b"}},
		"one of the same outage, and long after": {[]listReading{relayed(8, 0), own(8.3), own(10.3)}, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			var l targetList
			l.merge(listReading{at: start}, whole)
			for _, r := range c.readings {
				l.readFailed(r.at.Add(-10 * time.Millisecond))
				l.merge(r, lacking)
			}
			require.Equal(t, c.want, incarnations(l.forBoard(func(netip.AddrPort) bool { return true })))
		})
	}
}

// The time without an outage is passed on with the list. A restore of the store from
// an older copy counts as an outage.
func TestListSteady(t *testing.T) {
	now := time.Unix(100, 0)
	var l targetList
	a := listed("10.0.0.1:80", "a", 1)
	read := func(after time.Duration, relayed bool, steady time.Duration) time.Duration {
		now = now.Add(after)
		l.merge(listReading{at: now, relayed: relayed, steady: steady}, Listing{Targets: entries(a)})
		return l.steady(now)
	}
	require.Zero(t, read(0, false, 0))
	require.Equal(t, time.Second, read(time.Second, false, 0))
	require.Equal(t, time.Minute, read(time.Second, true, time.Minute), "another node has read it for longer")
	require.Equal(t, time.Minute+time.Second, read(time.Second, false, 0))
	l.readFailed(now)
	require.Equal(t, time.Minute+2*time.Second, read(time.Second, false, 0), "only this node's path failed")
	l.readFailed(now)
	require.Zero(t, read(4*time.Second, false, 0), "an outage")
	require.Equal(t, time.Second, read(time.Second, false, 0))
	l.storeRestored(now)
	require.Zero(t, read(0, false, 0))
}

// After a failed read, a node takes an entry that disappeared since another node's reading for
// that of a target that left, unless that reading began before an outage.
func TestListMergeOwnAfterRelayed(t *testing.T) {
	start := time.Unix(100, 0)
	a, b := listed("10.0.0.1:80", "a", 1), listed("10.0.0.2:80", "b", 2)
	for name, c := range map[string]struct {
		relayedAt time.Duration
		want      []string
	}{
		"shortly before":        {7500 * time.Millisecond, []string{"a"}},
		"before an outage":      {500 * time.Millisecond, []string{"a", "b"}},
		"no outage long enough": {8*time.Second - outageGap, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			var l targetList
			l.merge(listReading{at: start}, Listing{Targets: entries(a, b)})
			now := start.Add(7900 * time.Millisecond)
			l.readFailed(now)
			l.merge(listReading{at: start.Add(c.relayedAt), relayed: true, steady: time.Minute}, Listing{Targets: entries(a, b)})
			now = start.Add(8 * time.Second)
			require.Equal(t, c.want, incarnations(merge(&l, now, Listing{Targets: entries(a)}, false)))
		})
	}
}
