package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/transport"
)

const (
	// closedProbeDelay is the time from the first attempt that a target closes until the node
	// probes the target: when a target crashes, all its attempts break within some 5 ms.
	closedProbeDelay = 15 * time.Millisecond
	// crashRoundInterval is the minimum time between two immediate crash notifications to other
	// nodes.
	crashRoundInterval = 50 * time.Millisecond
)

// partSpanFraction is the fraction of the contact time that targets crash under a part of a prompt
// before it is held. The rest of it is for telling the other nodes.
const partSpanFraction = 0.25

// crashSettingsWithin returns the crash settings, such that a part that crashes targets is held by all
// nodes within the contact time.
func (n *Node) crashSettingsWithin(contact time.Duration) route.CrashSettings {
	s := n.crashSettings
	if contact > 0 {
		s.PartSpan = min(s.PartSpan, fraction(contact, partSpanFraction))
	}
	return s
}

// probeClosed checks whether a target that closed the connection of an attempt has crashed. It
// opens a connection unless other attempts go on there; the connection is kept for the next
// request.
func (n *Node) probeClosed(target netip.AddrPort) {
	n.probeAsync(target, func() bool {
		time.Sleep(closedProbeDelay)
		n.Lock()
		defer n.Unlock()
		return n.Board().MayHaveCrashed(target)
	})
}

// probeAttempts is the number of connections that a probe tries to open: the packet that opens one
// may be lost.
const probeAttempts = 2

// probeTarget opens a connection to a target and reports the result to the board.
func (n *Node) probeTarget(target netip.AddrPort) {
	began := n.now()
	var err error
	for range probeAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		err = n.checkReachable(ctx, target)
		cancel()
		if probeResultOf(err) != probeSilent {
			break
		}
	}
	switch {
	case err == nil:
		n.Do(func(b *route.Board, now time.Time) []route.Action { return b.Reached(now, target, began) })
	case transport.ConnectionRefused(err):
		n.reportCrashed(target)
	case probeResultOf(err) == probeSilent:
		if n.now.Since(began) > 2*probeAttempts*probeTimeout {
			// This process was suspended, or had no processor time.
			return
		}
		n.conns.CloseIdleSince(target, began)
		n.Do(func(b *route.Board, now time.Time) []route.Action { return b.Unresponsive(now, target, began) })
	default:
		n.log.Debug("target accepts no new connection", "target", target, "error", err)
	}
}

// reportCrashed reports to the board that connections to a target's address are refused.
func (n *Node) reportCrashed(target netip.AddrPort) {
	n.Do(func(b *route.Board, now time.Time) []route.Action { return b.TargetCrashed(now, target) })
}

// waker is a channel that wakes a loop.
type waker chan struct{}

func newWaker() waker { return make(waker, 1) }

// wake wakes the loop without blocking.
func (w waker) wake() {
	select {
	case w <- struct{}{}:
	default:
	}
}

// crashLoop notifies other nodes at once of targets that crashed under requests. In a small fleet
// it notifies all nodes, in a large one the relays, which notify the others within two rounds.
func (n *Node) crashLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.crashWake:
		}
		if _, large := n.relays.size(); large {
			n.relays.reportCrashes(ctx)
		} else {
			n.broadcast(ctx)
		}
		n.recordWake.wake()
		pause(ctx, crashRoundInterval)
	}
}

// receiveCrashes applies the crash updates of another process.
func (n *Node) receiveCrashes(updates []route.CrashUpdate) {
	n.TakeCrashes(updates)
	// The updates may bring a request whose last crash was seen here to the number of crashes at
	// which it is held, which this node then records.
	n.recordWake.wake()
}
