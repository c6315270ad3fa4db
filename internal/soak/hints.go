package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// The parameters of the hints that targets announce in their answers.
const (
	// hintedLimit is the number of requests per second that a target accepts from all nodes
	// together.
	hintedLimit = 1.0
	// hintedBackoff is the back-off that a target requests when it refuses a request.
	// backoffFraction is the fraction of requests that it refuses.
	hintedBackoff   = 2 * time.Second
	backoffFraction = 0.5
)

// sendHints makes a target announce hints in its answers for the step's length. A target that
// announces that it drains ends afterwards, and another starts in its slot. Its entry marks it
// as ready all the time, so that nodes learn of the drain only through the hints.
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

// The bounds on the requests to targets that announce hints.
const (
	// limitFactor times the limit that a target announces, plus limitSlack, bounds the requests
	// that the target receives within any limitWindow from nodes that have forwarded an answer
	// with the limit at least hintDelay before.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	hintDelay   = 500 * time.Millisecond
	// maxDuringBackoff is the number of requests that a node may send to a target during a
	// back-off that the target requested from it, starting hintDelay after the request for
	// the back-off.
	maxDuringBackoff = 2
)

// arrival is a request that reached a target, with the caller's attempt, which names the node
// that forwarded it.
type arrival struct {
	platformtest.Arrival
	attempt *Attempt
}

// nodeStart identifies one run of a node's process.
type nodeStart struct {
	node string
	boot int
}

func (a arrival) sender() nodeStart { return nodeStart{a.attempt.Node, a.attempt.Boot} }

// arrivals returns the requests that reached each incarnation of a target, in order of
// arrival.
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

// hintTimes returns for each node the earliest time by which it had forwarded a complete
// answer to one of the requests that matches.
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

// checkDrainingHints checks that a target that announces in its answers that it drains receives
// no requests from nodes that have forwarded such answers, whatever the list and the store
// report about it.
func (v *verifier) checkDrainingHints() {
	hintsDraining := func(a platformtest.Arrival) bool { return a.Hints.Get(platformtest.HintDraining) != "" }
	for _, all := range v.arrivals() {
		hinted := v.hintTimes(all, hintsDraining)
		for _, a := range all {
			at, ok := hinted[a.sender()]
			if ok && a.attempt.Sent.After(at.Add(v.Bounds.Drain)) && v.ranThroughout(a.attempt.Node, at, a.At) {
				v.addViolation(DrainingHintFollowed, a.At, a.ID, "%s sent it to %s %s after an answer had announced that the target drains", a.attempt.Node, a.Replica, a.attempt.Sent.Sub(at))
			}
		}
	}
}

// ranThroughout reports whether no fault affected a node's process between two times.
func (v *verifier) ranThroughout(node string, from, to time.Time) bool {
	return v.noFault(from, to, func(t InjectedFault) bool { return t.Scope == ScopeNode && t.Subject == node })
}

// checkLimitHints checks that a target that announces a limit receives no more requests than
// the limit allows from nodes that have forwarded an answer with it.
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
				v.addViolation(LimitHintFollowed, a.At, a.ID, "%d requests within %s at %s, which announced a limit of %g per second", len(counted), limitWindow, a.Replica, limit)
				counted = nil
			}
		}
	}
}

// checkBackoffHints checks that a target that requested a back-off from a node receives at most
// maxDuringBackoff requests from it during that time.
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
					v.addViolation(BackoffHintFollowed, a.At, a.ID, "%s sent %d requests to %s, which had requested a back-off %s before", a.attempt.Node, n, a.Replica, a.At.Sub(refused.ShedAt))
					break
				}
			}
		}
	}
}
