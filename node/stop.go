package node

import (
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/route"
)

// Timeouts of a planned stop.
const (
	// balancerLag is how long the load balancer may keep sending after the node stops being ready:
	// it checks once a second and acts on the second failure.
	balancerLag = 3 * time.Second
	// stopMargin is how long before the end of the grace period the process ends by itself.
	stopMargin = 300 * time.Millisecond
	// refusalTime is the part of stopMargin in which the requests that are left get their refusals.
	refusalTime = 150 * time.Millisecond
)

// plannedStop is the planned stop of a node.
type plannedStop struct {
	// begunAt is when the node was told to stop, by its clock.
	begunAt time.Time
	// grace is the time from then until the platform ends the process.
	grace time.Duration
}

// stopping reports whether a planned stop has begun.
func (n *Node) stopping() bool { return n.stop.Load() != nil }

// drain is the planned stop at the end of [Node.Run]. The node stops being ready and serves
// requests for the balancer's lag. Then it refuses new requests as not run, since they could
// outlast the grace period, and finishes those in flight. Requests that are not finished at its end
// are refused as ones that may have run.
func (n *Node) drain() {
	n.stop.Store(&plannedStop{begunAt: n.now(), grace: n.settings().Bounds.Grace})
	n.events.Record(event.Event{Code: event.ProcessDraining})
	end := time.Now().Add(n.settings().Bounds.Grace - stopMargin)
	time.Sleep(min(balancerLag, n.settings().Bounds.Grace/2))
	refusal := route.Refusal{Cause: route.CauseStopping, RetryAfter: minRetryAfter, Detail: "this node is stopping"}
	n.Lock()
	n.Board().Close(&refusal)
	n.Unlock()
	if n.drained(end) {
		return
	}
	n.Do(func(b *route.Board, now time.Time) []route.Action { return b.EndAll(now, refusal) })
	n.drained(time.Now().Add(refusalTime))
}

// drained waits until no request, no connection of a caller and no answer to another node is left, and reports
// false at the end of the wait.
func (n *Node) drained(end time.Time) bool {
	for time.Now().Before(end) {
		n.callers.closeIdle(time.Now(), closedStop)
		if n.Calls() == 0 && n.callers.count() == 0 && n.handed.conns.busyCount() == 0 {
			return true
		}
		time.Sleep(tickInterval)
	}
	return false
}
