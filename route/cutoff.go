package route

import (
	"maps"
	"net/netip"
	"slices"
)

// CutOffRouters are the routers to which no target of a pool responds, by the address at which they
// take requests.
type CutOffRouters struct {
	Pool    string
	Routers []netip.AddrPort
}

// maxCutOffRouters bounds the routers that a [PeerState] reports to be cut off from a pool.
const maxCutOffRouters = 512

// ReportCutOff adds to a state the pools that the router at an address does not reach. Joined states
// keep the address, unlike the names alone.
func (s *PeerState) ReportCutOff(addr netip.AddrPort) {
	for _, pool := range s.CutOff {
		s.CutOffRouters = append(s.CutOffRouters, CutOffRouters{pool, []netip.AddrPort{addr}})
	}
}

// joinCutOff merges the routers that states report to be cut off.
func joinCutOff(states []PeerState) []CutOffRouters {
	pools := make(map[string]map[netip.AddrPort]bool)
	for _, s := range states {
		for _, c := range s.CutOffRouters {
			if pools[c.Pool] == nil {
				pools[c.Pool] = make(map[netip.AddrPort]bool)
			}
			for _, addr := range c.Routers {
				pools[c.Pool][addr] = true
			}
		}
	}
	var out []CutOffRouters
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		routers := slices.SortedFunc(maps.Keys(pools[pool]), netip.AddrPort.Compare)
		out = append(out, CutOffRouters{pool, routers[:min(len(routers), maxCutOffRouters)]})
	}
	return out[:min(len(out), maxCutOffPools)]
}

// CutOffPools returns the pools that each router does not reach, by its address, as of a joined
// state.
func (s PeerState) CutOffPools() map[netip.AddrPort][]string {
	out := make(map[netip.AddrPort][]string)
	for _, c := range s.CutOffRouters {
		for _, addr := range c.Routers {
			out[addr] = append(out[addr], c.Pool)
		}
	}
	return out
}
