package route

import (
	"fmt"
	"time"

	"github.com/pathhead/pathhead/event"
)

// mayResend reports whether a request goes once more to the target that refused it: the refusal
// proves that it did not run, and shows what to expect of the target. The target stays the only one
// that the request was sent to, so the attempt does not count towards the request's limit. It draws
// on the retry budget, since the target receives the request twice.
func (b *Board) mayResend(now time.Time, r *request, a *attempt, o Outcome) bool {
	if b.disabled.Has(ResendSameTarget) || b.disabled.Has(Retrying) || b.staleness == nil || r.Model == nil ||
		o.Kind != OutcomeRefused || o.Incarnation == "" || r.verdict != NotRun || r.delivered || r.resent > 0 || r.tries >= maxTries {
		return false
	}
	t := a.target
	if !o.Incarnation.Same(t.incarnation) || !t.acceptsResend() {
		return false
	}
	if !t.unconfirmed && o.Incarnation.Same(a.Incarnation) {
		if weights, ok := t.serves(r.Model.Name, r.Adapter); !ok || weights == a.Weights {
			return false
		}
	}
	if t.unconfirmed && r.tries < r.maxAllowedTries() {
		// Another target can take the request at once.
		return false
	}
	c, ok := b.resendCandidate(now, r, t)
	if !ok || !b.resendInTime(now, r, c) {
		return false
	}
	return r.retryPaid || b.spendRetry(now, &b.pools[r.Pool].retries)
}

// acceptsResend reports whether a request that the target refused may go there once more. A target
// that is held for an order has carried it out if it refuses over its weights.
func (t *target) acceptsResend() bool {
	return t.listed && !t.draining && !t.listedDraining && !t.failing && !t.reported.IsZero()
}

// resendCandidate returns a target as the only candidate for a request; ok is false if its weights
// are too old or it is at its limit.
func (b *Board) resendCandidate(now time.Time, r *request, t *target) (c candidate, ok bool) {
	weights, ok := t.serves(r.Model.Name, r.Adapter)
	if !ok || !r.Pin.allows(t) || b.weightsUseOf(now, r.Model.Name, weights) == useNever || t.backingOff(now) || !b.withinLimit(now, t, r) {
		return c, false
	}
	cs := []candidate{{target: t, weights: weights, chain: r.chain(weights)}}
	b.estimateCached(cs, now, r, len(b.pools[r.Pool].members))
	cs[0].wait = t.queueWait(now)
	b.predict(&cs[0], r, b.snap.Config.Placement.RecomputeWeight)
	return cs[0], !b.tooOldToBegin(now.Add(cs[0].timeToFirstToken(r)), r.Model.Name, weights)
}

// resendInTime reports whether the answer can still begin in time, or no other request waits that
// the attempt could delay.
func (b *Board) resendInTime(now time.Time, r *request, c candidate) bool {
	if !now.Add(c.timeToFirstToken(r)).Before(r.Deadline) {
		return false
	}
	return r.Aim == 0 || !now.Add(c.timeToFirstToken(r)).After(r.arrived.Add(r.Aim)) || b.pools[r.Pool].queue.n == 0
}

// resend sends a request once more to the target that refused it. If the list does not name the
// target's incarnation yet, the request waits for that, since the address may belong to another
// pool by now.
func (b *Board) resend(now time.Time, r *request, a *attempt) []Action {
	t := a.target
	r.resent++
	r.retryPaid = false
	detail := fmt.Sprintf("incarnation %s", t.incarnation)
	if t.unconfirmed {
		r.parked, r.parkedAt = t.incarnation, a.Target
		r.queueDeadline = b.parkDeadline(r)
		detail += ", once the list names it"
	}
	weights, _ := t.serves(r.Model.Name, r.Adapter)
	b.emit(event.Event{Code: event.AttemptResent, Request: r.ID, Attempt: a.ID, Org: r.Org, Target: t.name(), Detail: detail + ", weights " + weights})
	if r.parked != "" {
		return nil
	}
	return b.sendAgain(now, r, t)
}

// parkDeadline returns until when a request waits for the list to name an incarnation and for the
// target to have capacity: no longer than it would in the queue, and for maxParkFraction of its aim.
func (b *Board) parkDeadline(r *request) time.Time {
	wait := b.maxQueueTime(r)
	if r.Aim > 0 {
		wait = min(wait, time.Duration(maxParkFraction*float64(r.Aim)))
	}
	return r.arrived.Add(wait)
}

// maxParkFraction is the fraction of its aim for which a request waits for one target alone, which
// may not come back; a caller that is refused then can still try elsewhere in time.
const maxParkFraction = 0.25

// takesParked reports whether a target whose incarnation the list names has capacity and memory for
// a request that waits for it.
func (b *Board) takesParked(now time.Time, t *target, r *request) bool {
	p := b.pools[r.Pool]
	room, _ := b.brittleRoom(now, t, p, r)
	return room && b.hasCapacity(t, p) && (b.disabled.Has(MemoryBound) || t.hasMemory(now, p, r))
}

// parkedText describes to operators why a request that waited for an incarnation was not sent.
func (t *target) parkedText() string {
	const another = "another incarnation answered than expected, "
	switch {
	case t.unconfirmed:
		return another + "and the list did not name it in time"
	case t.draining || t.listedDraining:
		return another + "which is draining"
	case t.failing:
		return another + "which is failing"
	}
	return another + "which had no capacity in time"
}

// sendAgain sends a request to a given target, or refuses it if the target has become unsuitable.
func (b *Board) sendAgain(now time.Time, r *request, t *target) []Action {
	c, ok := b.resendCandidate(now, r, t)
	if !ok {
		return b.refuse(now, r, CauseRetries, "the target that refused it takes no requests now")
	}
	b.enqueue(now, r)
	return []Action{b.send(now, b.pools[r.Pool], r, &c)}
}

// sendParked sends the requests whose incarnation the list names by now and has capacity, and
// refuses those that can wait no longer.
func (b *Board) sendParked(now time.Time) []Action {
	var out []Action
	for _, r := range b.requests {
		if r.parked == "" {
			continue
		}
		t, ok := b.targets[r.parkedAt]
		same := ok && t.incarnation.Same(r.parked)
		switch {
		case !same:
			r.parked = ""
			out = append(out, b.refuse(now, r, CauseRetries, "another incarnation answered than expected, and is gone as well")...)
		case !t.unconfirmed && t.acceptsResend() && b.takesParked(now, t, r):
			r.parked = ""
			out = append(out, b.sendAgain(now, r, t)...)
		case !now.Before(r.queueDeadline):
			r.parked = ""
			out = append(out, b.refuse(now, r, CauseRetries, t.parkedText())...)
		}
	}
	return out
}
