package node

import (
	"net/netip"
	"sync"
	"time"
)

// reachTime bounds the opening of a connection that tells whether a target lives:
// one that does takes it within some milliseconds.
const reachTime = 300 * time.Millisecond

// reaching are the targets that are being tried with a new connection.
type reaching struct {
	mu      sync.Mutex
	targets map[netip.AddrPort]bool
}

// begin reports whether a target is to be tried, which it is not while it is already.
func (r *reaching) begin(target netip.AddrPort) bool {
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
func (r *reaching) end(target netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.targets, target)
}

// reach tries a target on which a connection has gone silent with a new one.
// Connections may go silent for good while new ones work; a target that takes one is
// not gone. It does not wait for that.
func (n *Node) reach(target netip.AddrPort) {
	n.tryBeside(target, func() bool { return true })
}

// tryBeside tries a target with a new connection, if wanted says so and it is not being tried. It does not wait for that.
func (n *Node) tryBeside(target netip.AddrPort, wanted func() bool) {
	if !n.reaching.begin(target) {
		return
	}
	go func() {
		defer n.reaching.end(target)
		if wanted() {
			n.tryTarget(target)
		}
	}()
}
