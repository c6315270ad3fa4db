package route

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Waits before a failing target is probed. Each has jitter of half its length in either direction.
const (
	// firstProbeWait is the wait after a target was marked as failing: a loss of the path to it is
	// often over within a fraction of a second.
	firstProbeWait = 100 * time.Millisecond
	// maxProbeWait bounds the wait while a target accepts no connection, and thus how long a target
	// that works again is left unused.
	maxProbeWait = 2 * time.Second
	// firstEndedProbeWait is the wait after connections were refused. Most likely the process ended,
	// and its successor at the address would refuse requests for the earlier incarnation.
	firstEndedProbeWait = 500 * time.Millisecond
	// firstLossWait and maxLossWait bound the wait after requests were lost at a target that accepts
	// connections and does not answer, since each further attempt may cost another request.
	firstLossWait = 500 * time.Millisecond
	maxLossWait   = 32 * time.Second
	// recoverySpread is the time over which the other failing targets are probed after one of them
	// accepted a connection.
	recoverySpread = 250 * time.Millisecond
)

// Bounds of the probes of one router. A probe that gets no response is one packet of some 74 bytes.
const (
	probesPerSecond = 40
	probeBurst      = 40
	// probeDemandTime is how long a pool's targets are probed after the last request for the pool.
	probeDemandTime = 10 * time.Second
)

// reprobe is the state of probing one target, which is kept until the target has answered.
type reprobe struct {
	// due is when the next probe begins; zero if none is planned. tries is the number of probes
	// since the target was marked as failing.
	due   time.Time
	tries int
	// acceptedAt is when the target became healthy by accepting a connection; zero if it did not, or
	// a request sent since then was answered or lost.
	acceptedAt time.Time
	// losses is the number of times that a request was lost after the target had become healthy by
	// accepting a connection. An accepted connection does not count before heldUntil.
	losses    int
	heldUntil time.Time
	// begun is set if an answer began since the last loss.
	begun bool
}

// doubled returns first doubled n times, at most limit.
func doubled(first, limit time.Duration, n int) time.Duration {
	for ; n > 0 && first < limit; n-- {
		first *= 2
	}
	return min(first, limit)
}

// probeWait returns the mean wait until the next probe of a target.
func (t *target) probeWait() time.Duration {
	first := firstProbeWait
	if t.endedAt.After(t.unresponsiveAt) {
		first = firstEndedProbeWait
	}
	return doubled(first, maxProbeWait, t.reprobe.tries)
}

// withJitter varies a wait by up to half of it in either direction.
func (b *Board) withJitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(b.rng.Int64N(int64(d)))
}

// ProbesDue returns the failing targets to which the caller must open a connection now, and counts
// the probes. Success is reported with [Board.Reached]; a failed probe needs no report. Only targets
// that could get requests are probed.
func (b *Board) ProbesDue(now time.Time) []netip.AddrPort {
	b.probeBudget.refillTo(now, probesPerSecond, probeBurst)
	failing := b.failingTargets(now)
	b.planProbes(now, failing)
	due := slices.DeleteFunc(failing, func(t *target) bool { return now.Before(t.reprobe.due) })
	slices.SortFunc(due, func(x, y *target) int {
		return cmp.Or(x.reprobe.due.Compare(y.reprobe.due), x.addr.Compare(y.addr))
	})
	due = due[:min(len(due), int(b.probeBudget.level))]
	b.probeBudget.level -= float64(len(due))
	out := make([]netip.AddrPort, 0, len(due))
	for _, t := range due {
		t.reprobe.tries++
		t.reprobe.due = now.Add(b.withJitter(t.probeWait()))
		out = append(out, t.addr)
	}
	return out
}

// planProbes sets the time of the first probe of targets that were marked as failing.
func (b *Board) planProbes(now time.Time, failing []*target) {
	var fresh []*target
	for _, t := range failing {
		if t.reprobe.due.IsZero() {
			fresh = append(fresh, t)
		}
	}
	sortTargets(fresh)
	for _, t := range fresh {
		t.reprobe.due = later(now, t.reprobe.heldUntil).Add(b.withJitter(t.probeWait()))
	}
}

// failingTargets returns the targets that get no requests only because they are failing.
func (b *Board) failingTargets(now time.Time) []*target {
	var out []*target
	for _, t := range b.targets {
		if t.failing && t.listed && !t.draining && !t.listedDraining && !t.unconfirmed && !t.reported.IsZero() && t.inDemand(now) {
			out = append(out, t)
		}
	}
	return out
}

// inDemand reports whether requests for one of the target's pools arrived lately.
func (t *target) inDemand(now time.Time) bool {
	return slices.ContainsFunc(t.pools, func(p *pool) bool {
		return !p.askedAt.IsZero() && now.Sub(p.askedAt) < probeDemandTime
	})
}

// Reached records that a target accepted a new connection in a probe that began at the given time.
// So only earlier connections were unresponsive, or the target responds again. What peers found
// after the probe began takes precedence, and so does a request that was lost lately although the
// target had accepted a connection.
func (b *Board) Reached(now time.Time, addr netip.AddrPort, began time.Time) []Action {
	t, ok := b.targets[addr]
	if !ok {
		return nil
	}
	b.targetAnswered(now, t, now)
	switch {
	case !t.failing && t.unresponsiveAt.IsZero():
		t.answeredAt = now
		return nil
	case t.suspectedAt.After(t.unresponsiveAt) && t.suspectedAt.After(began):
		return nil
	case t.failing && now.Before(t.reprobe.heldUntil):
		return nil
	}
	t.unresponsiveAt = time.Time{}
	t.answeredAt = now
	if t.failing {
		b.recordRecovery(t)
		if t.reprobe.acceptedAt.IsZero() {
			t.reprobe.acceptedAt = now
		}
		if t.reprobe.losses > 0 {
			// The next failure marks it again.
			t.failures = failuresToFail - 1
		} else {
			b.advanceProbes(now)
		}
	}
	return b.dispatch(now)
}

// advanceProbes probes the other failing targets soon, since the path to all of them may work again
// and the recovered one must not get all requests. Targets that lost requests keep their waits.
func (b *Board) advanceProbes(now time.Time) {
	failing := b.failingTargets(now)
	sortTargets(failing)
	for _, t := range failing {
		if t.reprobe.losses == 0 && t.reprobe.due.After(now.Add(recoverySpread)) {
			t.reprobe.due = now.Add(time.Duration(b.rng.Int64N(int64(recoverySpread))))
		}
	}
}

// recovered ends probing of a target that is healthy again. Its losses count until it has answered.
func (r *reprobe) recovered() { r.due, r.tries = time.Time{}, 0 }

// lost records that a request was lost that had been sent at the given time. Requests from before
// the connection was accepted do not count, since they were sent over earlier ones.
func (r *reprobe) lost(now, sent time.Time) {
	if r.acceptedAt.IsZero() || sent.Before(r.acceptedAt) {
		return
	}
	r.heldUntil = now.Add(doubled(firstLossWait, maxLossWait, r.losses))
	r.losses++
	r.acceptedAt, r.due, r.begun = time.Time{}, time.Time{}, false
}

// answerBegun records that an answer of the target began, so that it may get more requests.
func (r *reprobe) answerBegun() { r.begun = true }

// answered records a complete answer, which ends the consequences of earlier losses.
func (r *reprobe) answered() { *r = reprobe{} }

// onTrial reports whether the target lost requests after it had accepted a connection, has not
// begun to answer since, and has as many requests as it may have in this state.
func (t *target) onTrial() bool {
	return t.reprobe.losses > 0 && !t.reprobe.begun && len(t.attempts) > 0
}
