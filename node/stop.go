package node

import (
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/route"
)

// The times of a planned stop.
const (
	// balancerLag is how long the balancer may go on sending after readiness went
	// off: it asks once a second and acts on the second miss.
	balancerLag = 3 * time.Second
	// stopMargin is how long before the end of the grace the process ends by itself.
	stopMargin = 300 * time.Millisecond
)

// drain is the planned stop of [Node.Run]. Readiness goes off and requests are
// served for the balancer's lag. Then new ones are refused as not run, since they
// could outlast the grace, and answers in flight are finished.
func (n *Node) drain() {
	n.stopping.Store(true)
	n.events.Record(event.Event{Code: event.ProcessDraining})
	end := time.Now().Add(n.settings().Bounds.Grace - stopMargin)
	time.Sleep(min(balancerLag, n.settings().Bounds.Grace/2))
	n.Lock()
	n.Board().Close(&route.Refusal{Cause: route.CauseStopping, RetryAfter: minRetryAfter, Detail: "this node is stopping"})
	n.Unlock()
	for time.Now().Before(end) {
		n.callers.closeStale(time.Now(), time.Time{})
		if n.Calls() == 0 && n.callers.count() == 0 {
			return
		}
		time.Sleep(tickInterval)
	}
}
