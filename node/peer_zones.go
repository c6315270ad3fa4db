package node

import (
	"net/netip"
	"sync"
)

// peerZones knows in which failure domain the other nodes stand, by the addresses of
// their doors: bytes between domains are dear, so they are counted apart.
type peerZones struct {
	mu    sync.Mutex
	zones map[netip.AddrPort]string
}

// maxDomains bounds the addresses that are remembered: some times the nodes of the
// largest fleet that is expected.
const maxDomains = 4096

// The domains of another node's messages.
const (
	domainOwn     = "own"
	domainOther   = "other"
	domainUnknown = "unknown"
)

// set takes what a node said of itself.
func (d *peerZones) set(addr netip.AddrPort, zone string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.zones == nil || len(d.zones) >= maxDomains {
		d.zones = make(map[netip.AddrPort]string)
	}
	d.zones[addr] = zone
}

// relation says whether the node at an address stands in the failure domain own.
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
