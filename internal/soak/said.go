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
	// namedLimit is the requests a second that a target takes of all nodes together.
	namedLimit = 1.0
	// restTime is the rest that a target asks for with half of its answers, which are refusals.
	restTime = 2 * time.Second
	restPart = 0.5
)

// needs has a target say in its answers for a while what it needs. One that says that it leaves ends
// then, and another takes its place; its entry has it as ready all the time.
func (s *site) needs(ctx context.Context, step Step, sl *slot) {
	if step.Kind == TargetSaysLeaving {
		if !s.claim(sl) {
			return
		}
		defer s.release(sl)
	}
	r := s.replicaAt(sl)
	defer s.begin(Trouble{Scope: OfTarget, Kind: step.Kind, Subject: r.ID})()
	switch step.Kind {
	case TargetNamesLimit:
		r.SetHint(platformtest.HintLimit, strconv.FormatFloat(namedLimit, 'f', -1, 64))
		wait(ctx, step.Length)
		r.SetHint(platformtest.HintLimit, "")
	case TargetRests:
		r.SetHint(platformtest.HintBackoff, strconv.FormatFloat(restTime.Seconds(), 'f', -1, 64))
		r.SetScript(func(*http.Request) platformtest.Fault {
			if rand.Float64() < restPart {
				return platformtest.Shed
			}
			return platformtest.NoFault
		})
		wait(ctx, step.Length)
		r.SetScript(nil)
		r.SetHint(platformtest.HintBackoff, "")
	case TargetSaysLeaving:
		r.SetHint(platformtest.HintDraining, "1")
		wait(ctx, s.bounds.Drain+step.Length)
		s.end(sl, r)
		r.Unlist()
		s.must(s.startTarget(sl, s.newID(r.Service), r.Service, r.Weights(), time.Now()))
	}
}

// The bounds on what targets get that say what they need.
const (
	// limitWindow, limitTimes and limitMore bound what one that names a limit gets in any such window, from
	// nodes that passed on an answer which named it as long as toldTime before.
	limitWindow = 4 * time.Second
	limitTimes  = 1.5
	limitMore   = 5
	toldTime    = 500 * time.Millisecond
	// restMost is how many requests of a node may reach one that it was asked to leave at rest, from
	// toldTime after it was asked on.
	restMost = 2
)

// arrival is a request that came to a target, and the node that sent it there.
type arrival struct {
	platformtest.Arrival
	attempt *Attempt
}

// sender names a start of a node.
type sender struct {
	node string
	boot int
}

func (a arrival) sender() sender { return sender{a.attempt.Node, a.attempt.Boot} }

// arrivals returns what came to each start of a target, in order.
func (j *judge) arrivals() map[string][]arrival {
	out := make(map[string][]arrival)
	for _, a := range j.Arrivals {
		if at := j.byID[a.ID]; at != nil && at.Node != "" {
			start := a.Replica + "@" + strconv.FormatInt(a.StartMS, 10)
			out[start] = append(out[start], arrival{a, at})
		}
	}
	return out
}

// told returns when each node had passed on an answer to one of the requests that says something.
func (j *judge) told(all []arrival, says func(platformtest.Arrival) bool) map[sender]time.Time {
	out := make(map[sender]time.Time)
	for _, a := range all {
		done := a.attempt.Done
		if !says(a.Arrival) || done.IsZero() || a.attempt.Status != http.StatusOK || a.attempt.Err != "" {
			continue
		}
		if at, ok := out[a.sender()]; !ok || done.Before(at) {
			out[a.sender()] = done
		}
	}
	return out
}

// leavingTold checks that a target which says in its answers that it leaves gets no work of nodes that
// passed such answers on, whatever the list and the store have of it.
func (j *judge) leavingTold() {
	leaves := func(a platformtest.Arrival) bool { return a.Hints.Get(platformtest.HintDraining) != "" }
	for _, all := range j.arrivals() {
		told := j.told(all, leaves)
		for _, a := range all {
			at, ok := told[a.sender()]
			if ok && a.attempt.Sent.After(at.Add(j.Bounds.Drain)) && j.unpaused(a.attempt.Node, at, a.At) {
				j.breach(ToldLeaving, a.At, a.ID, "%s sent it to %s %s after an answer had said that it leaves", a.attempt.Node, a.Replica, a.attempt.Sent.Sub(at))
			}
		}
	}
}

// unpaused reports whether a node's process was not stopped meanwhile.
func (j *judge) unpaused(node string, from, to time.Time) bool {
	return j.quiet(from, to, func(t Trouble) bool { return t.Scope == OfNode && t.Subject == node })
}

// limits checks that a target which names a limit gets no more than it allows of the nodes that it told.
func (j *judge) limits() {
	names := func(a platformtest.Arrival) bool { return a.Hints.Get(platformtest.HintLimit) != "" }
	for _, all := range j.arrivals() {
		told := j.told(all, names)
		var counted []arrival
		var first time.Time
		for _, a := range all {
			if !names(a.Arrival) {
				counted, first = nil, time.Time{}
				continue
			}
			if first.IsZero() {
				first = a.At
			}
			at, ok := told[a.sender()]
			if ok && a.At.After(at.Add(toldTime)) && j.inTouch(a.attempt.Node, at, a.At) {
				counted = append(counted, a)
			}
			for len(counted) > 0 && a.At.Sub(counted[0].At) > limitWindow {
				counted = counted[1:]
			}
			limit, err := strconv.ParseFloat(a.Hints.Get(platformtest.HintLimit), 64)
			if most := limitTimes*limit*limitWindow.Seconds() + limitMore; err == nil && a.At.After(first.Add(j.Bounds.Contact)) && float64(len(counted)) > most {
				j.breach(LimitKept, a.At, a.ID, "%d in %s at %s, which takes %g a second", len(counted), limitWindow, a.Replica, limit)
				counted = nil
			}
		}
	}
}

// rests checks that a target which asked a node for rest gets next to nothing of it meanwhile.
func (j *judge) rests() {
	for _, all := range j.arrivals() {
		for k, asked := range all {
			rest, err := strconv.ParseFloat(asked.Hints.Get(platformtest.HintBackoff), 64)
			if asked.ShedAt.IsZero() || err != nil {
				continue
			}
			from, until := asked.ShedAt.Add(toldTime), asked.ShedAt.Add(time.Duration(rest*float64(time.Second)))
			n := 0
			for _, a := range all[k+1:] {
				if a.At.After(until) {
					break
				}
				if a.sender() == asked.sender() && a.At.After(from) && j.inTouch(a.attempt.Node, asked.At, a.At) {
					n++
				}
				if n > restMost {
					j.breach(RestKept, a.At, a.ID, "%s sent %d to %s, which had asked it for rest %s before", a.attempt.Node, n, a.Replica, a.At.Sub(asked.ShedAt))
					break
				}
			}
		}
	}
}
