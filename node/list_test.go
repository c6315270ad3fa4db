package node

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

func listed(addr, incarnation string, revision int64) route.Entry {
	return route.Entry{
		Seen:     route.ListedTarget{Addr: netip.MustParseAddrPort(addr)},
		Report:   route.Report{Incarnation: route.Incarnation(incarnation)},
		Revision: revision,
	}
}

// entries returns the entries of a reading.
func entries(es ...route.Entry) []*route.Entry {
	var out []*route.Entry
	for _, e := range es {
		out = append(out, &e)
	}
	return out
}

// merge merges a reading and returns the whole list.
func merge(l *targetList, at time.Time, read Listing, relayed bool) []*route.Entry {
	l.merge(listReading{at: at, relayed: relayed}, read)
	return l.forBoard(func(netip.AddrPort) bool { return true })
}

func incarnations(ts []*route.Entry) []string {
	var out []string
	for _, t := range ts {
		out = append(out, string(t.Report.Incarnation))
	}
	return out
}

// Entries that expired while the store was unavailable are kept for as long as they may take to
// come back, and no longer. Of two entries with one address the newer counts.
func TestListMerge(t *testing.T) {
	now := time.Unix(100, 0)
	var l targetList
	a, b := listed("10.0.0.1:80", "a", 1), listed("10.0.0.2:80", "b", 2)
	require.Equal(t, []string{"a", "b"}, incarnations(merge(&l, now, Listing{Targets: entries(a, b)}, false)))
	now = now.Add(time.Second)
	require.Equal(t, []string{"a"}, incarnations(merge(&l, now, Listing{Targets: entries(a)}, false)), "a missing entry is gone")
	merge(&l, now, Listing{Targets: entries(a, b)}, false)
	l.readFailed(now)
	now = now.Add(time.Second)
	require.Equal(t, []string{"a", "b"}, incarnations(merge(&l, now, Listing{Targets: entries(a)}, false)), "the store was away")
	now = now.Add(relistGrace)
	require.Equal(t, []string{"a"}, incarnations(merge(&l, now, Listing{Targets: entries(a)}, false)))
	newer := listed("10.0.0.1:80", "a2", 9)
	require.Equal(t, []string{"a2"}, incarnations(merge(&l, now, Listing{Targets: entries(newer, a)}, false)))
	l.setFixed([]route.Entry{listed("10.0.0.9:80", "store", 1)})
	require.Equal(t, []string{"a2", "store"}, incarnations(merge(&l, now, Listing{Targets: entries(newer)}, false)))
	require.True(t, l.has(netip.MustParseAddrPort("10.0.0.9:80")))
}

func validSettings() Settings {
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	return Settings{
		Name: "n", Callers: addr, Readiness: addr, Peers: addr, Operators: addr, Store: addr, Heartbeat: time.Second,
		Bounds: Bounds{
			Drain: 2 * time.Second, Grace: 8 * time.Second, Apply: 2 * time.Second, Revoke: 5 * time.Second,
			RetryRatio: 0.2, RetryReserve: 50, RetryWindow: 10 * time.Second, Lease: 3 * time.Second,
			Weights: 10 * time.Second, ReuseWindow: 10 * time.Second,
		},
	}
}

func TestSettingsCheck(t *testing.T) {
	require.NoError(t, validSettings().Check())
	cases := map[string]struct {
		change func(s *Settings)
		fault  string
	}{
		"no name":               {func(s *Settings) { s.Name = "" }, "no name"},
		"no callers' address":   {func(s *Settings) { s.Callers = netip.AddrPort{} }, "callers"},
		"a drain of nothing":    {func(s *Settings) { s.Bounds.Drain = 0 }, "drain bound"},
		"a share over one":      {func(s *Settings) { s.Bounds.RetryRatio = 1.5 }, "share from 0 to 1"},
		"an endless revocation": {func(s *Settings) { s.Bounds.Revoke = time.Hour }, "revocation bound"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := validSettings()
			c.change(&s)
			require.ErrorContains(t, s.Check(), c.fault)
		})
	}
}

func TestAimOf(t *testing.T) {
	require.Equal(t, 600*time.Millisecond, aimOf(&policy.Route{Aim: policy.Duration(600 * time.Millisecond)}))
	require.Equal(t, defaultAim, aimOf(&policy.Route{}))
}

// A relayed reading does not count as following an outage unless the store was unavailable to all:
// an entry missing from it is removed.
func TestListMergeRelayed(t *testing.T) {
	now := time.Unix(100, 0)
	var l targetList
	a, b := listed("10.0.0.1:80", "a", 1), listed("10.0.0.2:80", "b", 2)
	merge(&l, now, Listing{Targets: entries(a, b)}, true)
	l.readFailed(now)
	now = now.Add(time.Second)
	require.Equal(t, []string{"a"}, incarnations(merge(&l, now, Listing{Targets: entries(a)}, true)), "only this node's path failed")
	merge(&l, now, Listing{Targets: entries(a, b)}, true)
	now = now.Add(outageGap + time.Second)
	require.Equal(t, []string{"a", "b"}, incarnations(merge(&l, now, Listing{Targets: entries(a)}, true)), "nobody read the list meanwhile")
}
