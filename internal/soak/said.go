package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// The figures of targets that say in their answers what they need.
const (
	// hintedLimit is the requests a second that a target takes of all nodes together.
	hintedLimit = 1.0
	// hintedBackoff is the rest that a target asks for with half of its answers, which are refusals.
	hintedBackoff   = 2 * time.Second
	backoffFraction = 0.5
)

// sendHints has a target say in its answers for a while what it needs. One that says that it leaves ends
// then, and another takes its place; its entry has it as ready all the time.
func (s *cluster) sendHints(ctx context.Context, step Step, sl *slot) {
	if step.Kind == TargetHintsDraining {
		if !s.claim(sl) {
			return
		}
		defer s.release(sl)
	}
	r := s.replicaAt(sl)
	defer s.beginFault(InjectedFault{Scope: ScopeTarget, Kind: step.Kind, Subject: r.ID})()
	switch step.Kind {
	case TargetHintsLimit:
		r.SetHint(platformtest.HintLimit, strconv.FormatFloat(hintedLimit, 'f', -1, 64))
		wait(ctx, step.Length)
		r.SetHint(platformtest.HintLimit, "")
	case TargetHintsBackoff:
		r.SetHint(platformtest.HintBackoff, strconv.FormatFloat(hintedBackoff.Seconds(), 'f', -1, 64))
		r.SetScript(func(*http.Request) platformtest.Fault {
			if rand.Float64() < backoffFraction {
				return platformtest.Shed
			}
			return platformtest.NoFault
		})
		wait(ctx, step.Length)
		r.SetScript(nil)
		r.SetHint(platformtest.HintBackoff, "")
	case TargetHintsDraining:
		r.SetHint(platformtest.HintDraining, "1")
		wait(ctx, s.bounds.Drain+step.Length)
		s.endTarget(sl, r)
		r.Unlist()
		s.recordError(s.startTarget(sl, s.newID(r.Service), r.Service, r.Weights(), time.Now()))
	}
}

// The bounds on what targets get that say what they need.
const (
	// limitWindow, limitFactor and limitSlack bound what one that names a limit gets in any such window, from
	// nodes that passed on an answer which named it as long as hintDelay before.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	hintDelay   = 500 * time.Millisecond
	// maxDuringBackoff is how many requests of a node may reach one that it was asked to leave at rest, from
	// hintDelay after it was asked on.
	maxDuringBackoff = 2
)

// arrival is a request that came to a target, and the node that sent it there.
type arrival struct {
	platformtest.Arrival
	attempt *Attempt
}

// nodeStart names a start of a node.
type nodeStart struct {
	node string
	boot int
}

func (a arrival) sender() nodeStart { return nodeStart{a.attempt.Node, a.attempt.Boot} }

// arrivals returns what came to each start of a target, in order.
func (v *verifier) arrivals() map[string][]arrival {
	out := make(map[string][]arrival)
	for _, a := range v.Arrivals {
		if at := v.byID[a.ID]; at != nil && at.Node != "" {
			start := a.Replica + "@" + strconv.FormatInt(a.StartMS, 10)
			out[start] = append(out[start], arrival{a, at})
		}
	}
	return out
}

// hintTimes returns when each node had passed on an answer to one of the requests that says something.
func (v *verifier) hintTimes(all []arrival, matches func(platformtest.Arrival) bool) map[nodeStart]time.Time {
	out := make(map[nodeStart]time.Time)
	for _, a := range all {
		done := a.attempt.Done
		if !matches(a.Arrival) || done.IsZero() || a.attempt.Status != http.StatusOK || a.attempt.Err != "" {
			continue
		}
		if at, ok := out[a.sender()]; !ok || done.Before(at) {
			out[a.sender()] = done
		}
	}
	return out
}

// checkDrainingHints checks that a target which says in its answers that it leaves gets no work of nodes that
// passed such answers on, whatever the list and the store have of it.
func (v *verifier) checkDrainingHints() {
	hintsDraining := func(a platformtest.Arrival) bool { return a.Hints.Get(platformtest.HintDraining) != "" }
	for _, all := range v.arrivals() {
		hinted := v.hintTimes(all, hintsDraining)
		for _, a := range all {
			at, ok := hinted[a.sender()]
			if ok && a.attempt.Sent.After(at.Add(v.Bounds.Drain)) && v.ranThroughout(a.attempt.Node, at, a.At) {
				v.addViolation(DrainingHintFollowed, a.At, a.ID, "%s sent it to %s %s after an answer had said that it leaves", a.attempt.Node, a.Replica, a.attempt.Sent.Sub(at))
			}
		}
	}
}

// ranThroughout reports whether a node's process was not stopped meanwhile.
func (v *verifier) ranThroughout(node string, from, to time.Time) bool {
	return v.noFault(from, to, func(t InjectedFault) bool { return t.Scope == ScopeNode && t.Subject == node })
}

// checkLimitHints checks that a target which names a limit gets no more than it allows of the nodes that it told.
func (v *verifier) checkLimitHints() {
	hintsLimit := func(a platformtest.Arrival) bool { return a.Hints.Get(platformtest.HintLimit) != "" }
	for _, all := range v.arrivals() {
		hinted := v.hintTimes(all, hintsLimit)
		var counted []arrival
		var first time.Time
		for _, a := range all {
			if !hintsLimit(a.Arrival) {
				counted, first = nil, time.Time{}
				continue
			}
			if first.IsZero() {
				first = a.At
			}
			at, ok := hinted[a.sender()]
			if ok && a.At.After(at.Add(hintDelay)) && v.inContact(a.attempt.Node, at, a.At) {
				counted = append(counted, a)
			}
			for len(counted) > 0 && a.At.Sub(counted[0].At) > limitWindow {
				counted = counted[1:]
			}
			limit, err := strconv.ParseFloat(a.Hints.Get(platformtest.HintLimit), 64)
			if most := limitFactor*limit*limitWindow.Seconds() + limitSlack; err == nil && a.At.After(first.Add(v.Bounds.Contact)) && float64(len(counted)) > most {
				v.addViolation(LimitHintFollowed, a.At, a.ID, "%d in %s at %s, which takes %g a second", len(counted), limitWindow, a.Replica, limit)
				counted = nil
			}
		}
	}
}

// checkBackoffHints checks that a target which asked a node for rest gets next to nothing of it meanwhile.
func (v *verifier) checkBackoffHints() {
	for _, all := range v.arrivals() {
		for k, refused := range all {
			seconds, err := strconv.ParseFloat(refused.Hints.Get(platformtest.HintBackoff), 64)
			if refused.ShedAt.IsZero() || err != nil {
				continue
			}
			from, until := refused.ShedAt.Add(hintDelay), refused.ShedAt.Add(time.Duration(seconds*float64(time.Second)))
			n := 0
			for _, a := range all[k+1:] {
				if a.At.After(until) {
					break
				}
				if a.sender() == refused.sender() && a.At.After(from) && v.inContact(a.attempt.Node, refused.At, a.At) {
					n++
				}
				if n > maxDuringBackoff {
					v.addViolation(BackoffHintFollowed, a.At, a.ID, "%s sent %d to %s, which had asked it for rest %s before", a.attempt.Node, n, a.Replica, a.At.Sub(refused.ShedAt))
					break
				}
			}
		}
	}
}
