package ports

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a program of a test that finds its port taken, since another process was assigned the
// port too or looks whether it is free.
func TestPoolsShareNoBlock(t *testing.T) {
	const pools, perPool = 4, 3 * blockSize
	owner := make(map[int]int)
	for pool := range pools {
		var p Pool
		t.Cleanup(func() {
			for _, l := range p.guards {
				l.Close()
			}
		})
		seen := make(map[netip.AddrPort]bool)
		for range perPool {
			addr := p.Free(t)
			require.False(t, seen[addr], "%s was assigned twice", addr)
			seen[addr] = true
			block := int(addr.Port()-first) / blockSize
			if other, ok := owner[block]; ok {
				require.Equal(t, other, pool, "the pool of %s", addr)
			}
			owner[block] = pool
		}
		require.Len(t, p.guards, 4)
	}
}

// Guards against an assigned port that a program which takes none from a pool listens on.
func TestUsedPortIsSkipped(t *testing.T) {
	var p Pool
	require.True(t, p.claim())
	t.Cleanup(func() { p.guards[0].Close() })
	used, err := listen(p.free[0])
	require.NoError(t, err)
	defer used.Close()
	require.Equal(t, loopback(p.free[1]), p.Free(t))
}

// Guards against tests that find no port because earlier ones of their process had them.
func TestPortsAreUsedAgain(t *testing.T) {
	var p Pool
	t.Cleanup(func() {
		for _, l := range p.guards {
			l.Close()
		}
	})
	first := make(map[netip.AddrPort]bool)
	t.Run("first", func(t *testing.T) {
		for len(p.guards) < maxBlocks {
			first[p.Free(t)] = true
		}
	})
	p.free = nil
	t.Run("second", func(t *testing.T) {
		again := p.Free(t)
		require.True(t, first[again])
		require.NotEqual(t, again, p.Free(t))
	})
}
