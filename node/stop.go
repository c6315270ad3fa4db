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
	// longFraction is the part of the balancer's lag in which requests are served that may outlast the stop. The
	// rest is for a signal that is handled late, and for requests that wait to be read: what is cut off at the end
	// must have been sent within the lag.
	longFraction = 5.0 / 6
	// stopMargin is how long before the end of the grace period the process ends by itself.
	stopMargin = 300 * time.Millisecond
	// newConnTime is how long a connection stays open without a request while the node finishes others: the
	// request of a new one may be on its way.
	newConnTime = 200 * time.Millisecond
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

// lag returns how long requests are served.
func (s *plannedStop) lag() time.Duration { return min(balancerLag, s.grace/2) }

// refuseFrom returns from when on requests are refused.
func (s *plannedStop) refuseFrom() time.Time { return s.begunAt.Add(s.lag()) }

// end returns when the requests that are left are cut off.
func (s *plannedStop) end() time.Time { return s.begunAt.Add(s.grace - stopMargin) }

// admission returns which requests are admitted during the stop. The others are refused as not run, since they
// could outlast the grace period.
func (s *plannedStop) admission() route.Drain {
	return route.Drain{
		LongUntil: s.begunAt.Add(fraction(s.lag(), longFraction)), RefuseFrom: s.refuseFrom(), End: s.end(),
		Refusal: route.Refusal{Cause: route.CauseStopping, RetryAfter: minRetryAfter, Detail: "this node is stopping"},
	}
}

// stopping reports whether a planned stop has begun.
func (n *Node) stopping() bool { return n.stop.Load() != nil }

// drain is the planned stop at the end of [Node.Run]. The node stops being ready and serves requests for the
// balancer's lag. Then it finishes those in flight. Requests that are not finished at its end are refused as ones
// that may have run.
func (n *Node) drain() {
	s := &plannedStop{begunAt: n.now(), grace: n.settings().Bounds.Grace}
	n.stop.Store(s)
	admission := s.admission()
	n.Lock()
	n.Board().Drain(admission)
	n.Unlock()
	n.events.Record(event.Event{Code: event.ProcessDraining})
	n.sleepUntil(s.refuseFrom())
	if n.drained(s.end()) {
		return
	}
	n.Do(func(b *route.Board, now time.Time) []route.Action { return b.EndAll(now, admission.Refusal) })
	n.drained(n.now().Add(refusalTime))
}

// sleepUntil sleeps until the node's clock shows t. The clock may advance without the timer, while the machine is
// suspended.
func (n *Node) sleepUntil(t time.Time) {
	for left := t.Sub(n.now()); left > 0; left = t.Sub(n.now()) {
		time.Sleep(min(left, suspensionCheck))
	}
}

// suspensionCheck is the longest sleep after which the node's clock is read again.
const suspensionCheck = 100 * time.Millisecond

// drained waits until no request, no connection of a caller and no answer to another node is left, and reports
// false at the end of the wait.
func (n *Node) drained(end time.Time) bool {
	for n.now().Before(end) {
		n.callers.closeIdle(time.Now().Add(-newConnTime), closedStop)
		if n.Calls() == 0 && n.callers.count() == 0 && n.handed.conns.busyCount() == 0 {
			return true
		}
		time.Sleep(tickInterval)
	}
	return false
}
