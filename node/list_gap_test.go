package node

import (
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
			merge(&l, now, now, Listing{Targets: entries(a, b)}, false)
			first := now.Add(c.every)
			for now.Sub(first) <= 2*relistGrace {
				l.readFailed()
				now = now.Add(c.every)
				got := incarnations(merge(&l, now, now, Listing{Targets: entries(a)}, c.relayed))
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
	merge(&l, now, now, Listing{Targets: entries(a, b)}, false)
	for range 2 {
		l.readFailed()
		now = now.Add(outageGap + time.Second)
		require.Equal(t, []string{"a", "b"}, incarnations(merge(&l, now, now, Listing{Targets: entries(a)}, false)))
	}
	now = now.Add(relistGrace)
	require.Equal(t, []string{"a"}, incarnations(merge(&l, now, now, Listing{Targets: entries(a)}, false)))
	merge(&l, now, now, Listing{Targets: entries(a, b)}, false)
	l.readFailed()
	now = now.Add(time.Second)
	require.Equal(t, []string{"a", "b"}, incarnations(merge(&l, now, now, Listing{Targets: entries(a)}, false)), "b was back in between")
}

// A reading that was delayed, for instance by a suspension, does not undo one that began later:
// what the newer reading removed stays removed.
func TestListMergeOlderReading(t *testing.T) {
	now := time.Unix(100, 0)
	var l targetList
	a, b := listed("10.0.0.1:80", "a", 1), listed("10.0.0.2:80", "b", 2)
	merge(&l, now, now, Listing{Targets: entries(a, b)}, false)
	begun := now.Add(time.Second)
	now = now.Add(2 * time.Second)
	require.Equal(t, []string{"a"}, incarnations(merge(&l, now, now, Listing{Targets: entries(a)}, true)), "a relay's reading")
	now = now.Add(100 * time.Millisecond)
	require.Equal(t, []string{"a"}, incarnations(merge(&l, now, begun, Listing{Targets: entries(a, b)}, false)), "its own began before")
	require.False(t, l.has(b.Seen.Addr))
}

// A restarted process knows only the targets that it reads; its start does not count as an outage.
func TestListMergeRestarted(t *testing.T) {
	now := time.Unix(100, 0)
	a := listed("10.0.0.1:80", "a", 1)
	for name, relayed := range map[string]bool{"its own reading": false, "a relay's": true} {
		t.Run(name, func(t *testing.T) {
			var l targetList
			l.readFailed()
			require.Equal(t, []string{"a"}, incarnations(merge(&l, now, now, Listing{Targets: entries(a)}, relayed)))
		})
	}
}
