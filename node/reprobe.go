package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/transport"
)

// reprobeInterval is the time between two checks for due probes, a fraction of the shortest wait.
// While the node has no requests, it checks at idleReprobeInterval.
const (
	reprobeInterval     = 50 * time.Millisecond
	idleReprobeInterval = 250 * time.Millisecond
)

// probeResult is the result of opening a connection to a target, as metrics name it.
type probeResult string

// Results of probes.
const (
	probeAccepted probeResult = "accepted"
	probeRefused  probeResult = "refused"
	probeSilent   probeResult = "silent"
	probeFailed   probeResult = "failed"
)

func probeResultOf(err error) probeResult {
	switch {
	case err == nil:
		return probeAccepted
	case transport.ConnectionRefused(err):
		return probeRefused
	case transport.NoResponse(err):
		return probeSilent
	}
	return probeFailed
}

// checkReachable opens a connection to a target, which is kept for the next request, and counts the
// result.
func (n *Node) checkReachable(ctx context.Context, target netip.AddrPort) error {
	err := n.conns.CheckReachable(ctx, target)
	n.counters.probed(probeResultOf(err))
	return err
}

// reprobeLoop opens connections to failing targets, to learn whether they respond again.
func (n *Node) reprobeLoop(ctx context.Context) {
	for pause(ctx, n.nextReprobe()) {
		for _, target := range n.probesDue() {
			n.loops.Go(func() { n.reprobe(ctx, target) })
		}
	}
}

// nextReprobe returns the time until the next check for due probes.
func (n *Node) nextReprobe() time.Duration {
	if n.Calls() == 0 {
		return idleReprobeInterval
	}
	return reprobeInterval
}

// probesDue returns the targets that must be probed now.
func (n *Node) probesDue() []netip.AddrPort {
	n.Lock()
	defer n.Unlock()
	return n.Board().ProbesDue(n.now())
}

// reprobe probes a failing target unless a probe of it is running. Only success changes anything: the
// target already gets no requests, and a refusal long after a request broke off is no evidence that
// the request crashed the target.
func (n *Node) reprobe(ctx context.Context, target netip.AddrPort) {
	if !n.probes.begin(target) {
		return
	}
	defer n.probes.end(target)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	began := n.now()
	if err := n.checkReachable(ctx, target); err != nil {
		n.log.Debug("failing target accepts no connection", "target", target, "error", err)
		return
	}
	n.Do(func(b *route.Board, now time.Time) []route.Action { return b.Reached(now, target, began) })
}
