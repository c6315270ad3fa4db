package node

import (
	"net/netip"
	"sync"
)

// peerZones maps the peer addresses of other nodes to their failure domains. Traffic between
// failure domains is expensive, so its bytes are counted separately.
type peerZones struct {
	mu    sync.Mutex
	zones map[netip.AddrPort]string
}

// maxDomains limits the stored addresses to a few times the largest expected fleet.
const maxDomains = 4096

// Values of the domain label in the metric of peer traffic.
const (
	domainOwn     = "own"
	domainOther   = "other"
	domainUnknown = "unknown"
)

// set stores the failure domain that a node reported.
func (d *peerZones) set(addr netip.AddrPort, zone string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.zones == nil || len(d.zones) >= maxDomains {
		d.zones = make(map[netip.AddrPort]string)
	}
	d.zones[addr] = zone
}

// relation returns the domain label for the node at addr, seen from a node in failure domain own.
func (d *peerZones) relation(addr netip.AddrPort, own string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch zone, ok := d.zones[addr]; {
	case !ok:
		return domainUnknown
	case zone == own:
		return domainOwn
	}
	return domainOther
}

// countPeerBytes counts the bytes of a message to or from another node.
func (n *Node) countPeerBytes(addr netip.AddrPort, call string, sent, read int) {
	n.counters.peerBytes(call, n.peerZones.relation(addr, n.settings().Zone), sent, read)
}
