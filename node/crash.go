package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/transport"
)

const (
	// closedProbeDelay is from the first attempt that breaks off at a target until the node looks whether
	// the target has ended: all that ran there breaks off within some 5 ms.
	closedProbeDelay = 15 * time.Millisecond
	// crashRoundInterval is the least time between two rounds in which others are told at once.
	crashRoundInterval = 50 * time.Millisecond
)

// probeClosed looks whether a target has ended at which an attempt broke off. It opens a
// connection, unless others go on there; one that is taken serves the next request.
func (n *Node) probeClosed(target netip.AddrPort) {
	n.probeAsync(target, func() bool {
		time.Sleep(closedProbeDelay)
		n.Lock()
		defer n.Unlock()
		return n.Board().MayHaveCrashed(target)
	})
}

// probeTarget opens a connection to a target and tells the board what came of it.
func (n *Node) probeTarget(target netip.AddrPort) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := n.conns.CheckReachable(ctx, target)
	switch {
	case err == nil:
		n.Do(func(b *route.Board, now time.Time) []route.Action { return b.Reached(now, target) })
	case transport.ConnectionRefused(err):
		n.targetEnded(target)
	default:
		n.log.Debug("a target takes no new connection", "target", target, "error", err)
	}
}

// targetEnded tells the board that nothing listens at a target's address.
func (n *Node) targetEnded(target netip.AddrPort) {
	n.Do(func(b *route.Board, now time.Time) []route.Action { return b.TargetCrashed(now, target) })
}

// waker wakes a loop that looks for itself what there is to do.
type waker chan struct{}

func newWaker() waker { return make(waker, 1) }

// wake wakes the loop; it does not block.
func (w waker) wake() {
	select {
	case w <- struct{}{}:
	default:
	}
}

// crashLoop tells others at once of targets that ended under requests: in a small fleet all of
// them, in a large one the relays, which tell the others within two rounds.
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

// receiveCrashes takes what another process knows of them.
func (n *Node) receiveCrashes(words []route.CrashUpdate) {
	n.TakeCrashes(words)
	// What they tell may make a request one that is held back, whose last end was seen here.
	n.recordWake.wake()
}
