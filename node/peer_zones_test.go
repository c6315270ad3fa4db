package node

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// Bytes between nodes are counted by call, and separately if they leave the failure domain.
func TestPeerBytesByDomain(t *testing.T) {
	s := validSettings()
	s.Zone = "hall-1"
	n, err := New(s, nil, nil, nil)
	require.NoError(t, err)
	near, far, stranger := simNodeAddr(1), simNodeAddr(2), simNodeAddr(3)
	n.peerZones.set(near, "hall-1")
	n.peerZones.set(far, "hall-2")
	for addr, sent := range map[netip.AddrPort]int{near: 10, far: 20, stranger: 40} {
		n.countPeerBytes(addr, "Relay", sent, 0)
		n.countPeerBytes(addr, "Relay", 0, 2*sent)
	}
	var out bytes.Buffer
	n.metrics.WritePrometheus(&out)
	for _, line := range []string{
		`pathhead_peer_bytes_total{call="Relay",domain="own",way="sent"} 10`,
		`pathhead_peer_bytes_total{call="Relay",domain="own",way="read"} 20`,
		`pathhead_peer_bytes_total{call="Relay",domain="other",way="sent"} 20`,
		`pathhead_peer_bytes_total{call="Relay",domain="unknown",way="read"} 80`,
	} {
		require.Contains(t, out.String(), line)
	}
}
