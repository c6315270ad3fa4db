package node

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/policy"
)

// A node that starts and knows no other node yet divides shared limits by the number of seeds: it
// must not take all connections that a target accepts.
func TestConnsAtStart(t *testing.T) {
	s := validSettings()
	for _, addr := range []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"} {
		s.Seeds = append(s.Seeds, netip.MustParseAddrPort(addr))
	}
	n, err := New(s, nil, nil, nil)
	require.NoError(t, err)
	n.adopt(Declared{Revision: 1, Config: &policy.Config{
		Version: policy.Version,
		Pools:   []policy.Pool{{Name: "p", Kind: policy.KindService, Selector: LabelPool + "=p", MaxConns: 90}},
	}}, "the test")
	e := listed("10.0.1.1:80", "a", 1)
	e.Seen.Labels = map[string]string{LabelPool: "p"}
	n.list.merge(listReading{at: n.now()}, Listing{Targets: entries(e)})
	n.divideConns()
	require.Equal(t, 30, n.list.maxConns(e.Seen.Addr))
}

// A node that starts uses the fleet size recorded by the lease holder until it can know all nodes
// itself.
func TestFleetSizeRecorded(t *testing.T) {
	const nodes, seeds = 195, 3
	synctest.Test(t, func(t *testing.T) {
		s := validSettings()
		for i := range seeds {
			s.Seeds = append(s.Seeds, simNodeAddr(i))
		}
		store := newSimStore(1)
		holder, err := New(s, store, nil, store)
		require.NoError(t, err)
		holder.recordedSize.Store(nodes)
		require.True(t, holder.weights.acquireLease(t.Context()))

		n, err := New(s, store, nil, store)
		require.NoError(t, err)
		require.Equal(t, seeds, n.fleetSize())
		require.True(t, n.weights.readLease(t.Context()))
		require.Equal(t, nodes, n.fleetSize())
		time.Sleep(recordedSizeTTL)
		require.Equal(t, seeds, n.fleetSize(), "by now it would have heard of the others")
	})
}
