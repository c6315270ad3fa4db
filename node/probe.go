package node

import (
	"net/netip"
	"sync"
	"time"
)

// probeTimeout bounds the opening of a connection that tells whether a target lives:
// one that does takes it within some milliseconds.
const probeTimeout = 300 * time.Millisecond

// probeSet are the targets that are being tried with a new connection.
type probeSet struct {
	mu      sync.Mutex
	targets map[netip.AddrPort]bool
}

// begin reports whether a target is to be tried, which it is not while it is already.
func (r *probeSet) begin(target netip.AddrPort) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.targets[target] {
		return false
	}
	if r.targets == nil {
		r.targets = make(map[netip.AddrPort]bool)
	}
	r.targets[target] = true
	return true
}

// end notes that a target was tried.
func (r *probeSet) end(target netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.targets, target)
}

// probeSilent tries a target on which a connection has gone silent with a new one.
// Connections may go silent for good while new ones work; a target that takes one is
// not gone. It does not wait for that.
func (n *Node) probeSilent(target netip.AddrPort) {
	n.probeAsync(target, func() bool { return true })
}

// probeAsync tries a target with a new connection, if wanted says so and it is not being tried. It does not wait for that.
func (n *Node) probeAsync(target netip.AddrPort, wanted func() bool) {
	if !n.probes.begin(target) {
		return
	}
	go func() {
		defer n.probes.end(target)
		if wanted() {
			n.probeTarget(target)
		}
	}()
}
