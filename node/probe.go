package node

import (
	"net/netip"
	"sync"
	"time"
)

// probeTimeout limits the time to open a connection to a target: a live one accepts within some
// milliseconds.
const probeTimeout = 300 * time.Millisecond

// probeSet is the set of targets being probed.
type probeSet struct {
	mu      sync.Mutex
	targets map[netip.AddrPort]bool
}

// begin adds a target and reports whether it was not in the set.
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

// end removes a target.
func (r *probeSet) end(target netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.targets, target)
}

// probeSilence is how long a target may send nothing on an attempt until it is probed, and probeInterval
// the time until it is probed again if the silence goes on.
const (
	probeSilence  = 600 * time.Millisecond
	probeInterval = time.Second
)

// probeSilent probes a target that has sent nothing on an attempt, unless it responded to this node
// a moment ago.
func (n *Node) probeSilent(target netip.AddrPort) {
	n.probeAsync(target, func() bool {
		n.Lock()
		defer n.Unlock()
		return !n.Board().Responds(n.now(), target)
	})
}

// probeUnresponsive probes a target on which a connection stopped responding, in the background.
// Connections may hang for good while new ones work; a target that accepts a new one is alive.
func (n *Node) probeUnresponsive(target netip.AddrPort) {
	n.probeAsync(target, func() bool { return true })
}

// probeAsync probes a target in the background, if wanted returns true and no probe of it is
// running.
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
