package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/pathhead/pathhead/event"
)

// RolloutOrder asks that the requests of a pool move to its targets of another release.
type RolloutOrder struct {
	Pool string
	// Release is the software release that is to serve.
	Release string
	// Revision is the order's position in the store; of two orders of a pool the newer one holds.
	Revision int64
	// Duration is the time in which the roll-out is to end.
	Duration time.Duration
}

// RolloutPhase is how far a roll-out is.
type RolloutPhase int

// The phases of a roll-out, in the order in which one replaces another.
const (
	// RolloutPending waits for the state that is recorded in the store: a new process
	// must not try a release again that was rolled back.
	RolloutPending RolloutPhase = iota
	// RolloutTrial gives the new release a bounded share of the requests.
	RolloutTrial
	// RolloutMoving gives it all requests, while the old targets end what they run.
	RolloutMoving
	// RolloutCompleted is the end of a good release: the old targets may be stopped.
	RolloutCompleted
	// RolloutRolledBack is the end of a bad one: it gets nothing any more.
	RolloutRolledBack
)

// String returns the phase's name for logs.
func (p RolloutPhase) String() string {
	switch p {
	case RolloutPending:
		return "pending"
	case RolloutTrial:
		return "trial"
	case RolloutMoving:
		return "moving"
	case RolloutCompleted:
		return "completed"
	case RolloutRolledBack:
		return "rolled back"
	}
	panic("route: unknown phase of a roll-out")
}

// Ended reports whether the roll-out is over.
func (p RolloutPhase) Ended() bool { return p == RolloutCompleted || p == RolloutRolledBack }

// RolloutUpdate is what routers tell each other of a roll-out.
type RolloutUpdate struct {
	Order RolloutOrder
	Phase RolloutPhase
	// Age is how long ago the order was first seen.
	Age    time.Duration
	Counts RolloutCounts
	// Moved is how many routers have nothing under way at old targets and send nothing there.
	Moved int
}

// joined joins the updates of several routers on one roll-out.
func (u RolloutUpdate) joined(o RolloutUpdate) RolloutUpdate {
	if u.Order.Pool == "" || o.Order.Revision > u.Order.Revision {
		return o
	}
	if u.Order.Revision > o.Order.Revision {
		return u
	}
	u.Phase, u.Age = max(u.Phase, o.Phase), max(u.Age, o.Age)
	u.Counts = u.Counts.plus(o.Counts)
	u.Moved += o.Moved
	return u
}

// rollout is a pool's newest roll-out on the board.
type rollout struct {
	order RolloutOrder
	phase RolloutPhase
	begun time.Time
	// movedAt is when the phase became [RolloutMoving].
	movedAt time.Time
	// sent counts what this router sent to the pool since the order, tried what of it went
	// to the new release before it was found good.
	sent, exposed int
	own, peers    RolloutCounts
	peersMoved    int
	detector      regressionDetector
	baseline      latencyBaseline
}

// defaultExposure is the share of a pool's requests that a release on trial may get where
// the settings state none, and exposurePart how much of the stated share is used for that: the
// rest is for what the release gets until a fault is known that only its full load shows.
const (
	defaultExposure = 0.1
	exposurePart    = 0.5
)

// WithExposure sets the share of a pool's requests that a release on trial may get; zero
// leaves the default.
func WithExposure(share float64) Option {
	return func(b *Board) { b.exposure = cmp.Or(share, defaultExposure) * exposurePart }
}

// StartRollout takes an order. One that names the release of the pool's last roll-out goes on with
// that: what was rolled back stays so, also if a store that lost its newest writes gets the same
// order again.
func (b *Board) StartRollout(now time.Time, o RolloutOrder) {
	old, ok := b.rollouts[o.Pool]
	switch {
	case ok && old.order.Revision >= o.Revision:
		return
	case ok && old.order.Release == o.Release:
		old.order = o
		return
	}
	b.rollouts[o.Pool] = &rollout{order: o, begun: now, detector: newRegressionDetector()}
	b.noteRollout(b.rollouts[o.Pool], "ordered")
}

// SetRollout moves a roll-out to a later phase; an earlier one is ignored.
func (b *Board) SetRollout(now time.Time, o RolloutOrder, phase RolloutPhase, why string) {
	ro, ok := b.rollouts[o.Pool]
	if !ok || ro.order.Revision != o.Revision || phase <= ro.phase {
		return
	}
	ro.phase = phase
	if phase == RolloutMoving {
		ro.movedAt = now
	}
	b.noteRollout(ro, why)
}

func (b *Board) noteRollout(ro *rollout, why string) {
	b.emit(event.Event{Code: event.RolloutPhase, Detail: ro.order.Pool + " to release " + ro.order.Release + ", " + ro.phase.String() + ": " + why})
}

// Rollouts returns what this router knows of roll-outs, its own counts alone, in the order of the pools.
func (b *Board) Rollouts(now time.Time) []RolloutUpdate {
	out := make([]RolloutUpdate, 0, len(b.rollouts))
	for _, ro := range b.rollouts {
		u := RolloutUpdate{Order: ro.order, Phase: ro.phase, Age: now.Sub(ro.begun), Counts: ro.own}
		if b.hasMoved(now, ro) {
			u.Moved = 1
		}
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b RolloutUpdate) int { return cmp.Compare(a.Order.Pool, b.Order.Pool) })
	return out
}

// hasMoved reports whether this router sends nothing to the old targets any more and has nothing there.
func (b *Board) hasMoved(now time.Time, ro *rollout) bool {
	switch ro.phase {
	case RolloutCompleted:
	case RolloutMoving:
		if ro.ramp(now) < 1 {
			return false
		}
	case RolloutPending, RolloutTrial, RolloutRolledBack:
		return false
	}
	p, ok := b.pools[ro.order.Pool]
	return ok && !slices.ContainsFunc(p.members, func(t *target) bool {
		return t.release != ro.order.Release && len(t.attempts) > 0
	})
}

// mergeRollouts takes what other routers know of roll-outs.
func (b *Board) mergeRollouts(now time.Time, states map[string]PeerState) {
	joined := make(map[string]RolloutUpdate)
	for _, s := range states {
		for _, u := range s.Rollouts {
			joined[u.Order.Pool] = joined[u.Order.Pool].joined(u)
		}
	}
	for _, u := range joined {
		b.StartRollout(now, u.Order)
		ro := b.rollouts[u.Order.Pool]
		if ro.order.Revision != u.Order.Revision {
			continue
		}
		if begun := now.Add(-u.Age); begun.Before(ro.begun) {
			ro.begun = begun
		}
		b.SetRollout(now, u.Order, u.Phase, "another router's phase")
		ro.peers, ro.peersMoved = u.Counts, u.Moved
		ro.detector.observe(ro.own.plus(ro.peers))
	}
}

// The parts of a roll-out's duration: how much of it a release is on trial, over how much its share
// then rises to all requests, how long at least it has them until it is completed, so that what
// is wrong with it under its full load shows before, after how much it is completed though some
// routers were not heard to have moved, and after how much one of which too little is known is
// rolled back.
const (
	trialPart     = 0.45
	rampPart      = 0.2
	fullLoadPart  = 0.12
	completePart  = 0.9
	undecidedPart = 0.8
)

// part returns a part of the roll-out's duration.
func (ro *rollout) part(p float64) time.Duration {
	return time.Duration(p * float64(ro.order.Duration))
}

// ramp returns the share of the requests that a release gets which is found good.
func (ro *rollout) ramp(now time.Time) float64 {
	return float64(now.Sub(ro.movedAt)) / float64(ro.part(rampPart))
}

// NextPhase returns the phase that a roll-out is due to enter, which is the present one where
// nothing is due, and why.
func (b *Board) NextPhase(now time.Time, pool string) (o RolloutOrder, next RolloutPhase, why string) {
	ro, ok := b.rollouts[pool]
	if !ok {
		return RolloutOrder{}, RolloutPending, ""
	}
	o, next = ro.order, ro.phase
	age := func(part float64) bool { return now.Sub(ro.begun) >= ro.part(part) }
	switch ro.phase {
	case RolloutTrial, RolloutMoving:
		switch {
		case ro.detector.regressed():
			return o, RolloutRolledBack, ro.detector.String()
		case ro.phase == RolloutTrial && age(trialPart) && ro.detector.passed():
			return o, RolloutMoving, ro.detector.String()
		case ro.phase == RolloutTrial && age(undecidedPart):
			return o, RolloutRolledBack, "too little is known of it: " + ro.detector.String()
		case ro.phase == RolloutMoving && now.Sub(ro.movedAt) >= ro.part(rampPart+fullLoadPart) && b.hasMoved(now, ro) && 1+ro.peersMoved >= b.limitSharers.value:
			return o, RolloutCompleted, "all routers have moved"
		case ro.phase == RolloutMoving && age(completePart):
			return o, RolloutCompleted, "its time is nearly over"
		}
	case RolloutPending, RolloutCompleted, RolloutRolledBack:
	}
	return o, next, ""
}

// releaseSide says which targets of a pool under a roll-out a request may go to.
type releaseSide int

const (
	anyRelease releaseSide = iota
	oldRelease
	newRelease
	trialRelease
	knownRelease
)

// releaseSides returns the sides that a request tries, in this order.
func (b *Board) releaseSides(now time.Time, p *pool, r *request) []releaseSide {
	ro, ok := b.rollouts[p.compiled.Name]
	switch {
	case !ok && now.Before(p.newestFrom) && p.hasUsable(func(t *target) bool { return t.release != p.newest }):
		return knownSide
	case !ok:
		return anySide
	}
	switch ro.phase {
	case RolloutTrial:
		return b.trialSides(ro, r)
	case RolloutMoving:
		switch ramp := ro.ramp(now); {
		case ro.detector.regressed():
			return oldSide
		case ramp >= 1:
			return newSide
		case r.sample < ramp && len(r.tried) == 0:
			return exposedSides
		}
		return b.trialSides(ro, r)
	case RolloutCompleted:
		return newSide
	case RolloutPending:
		if !p.hasUsable(func(t *target) bool { return t.release != ro.order.Release }) {
			// The old targets are gone, so that the roll-out was completed.
			return newSide
		}
		return oldSide
	case RolloutRolledBack:
		return oldSide
	}
	panic("route: unknown phase of a roll-out")
}

// trialSides returns the sides that a request tries while a release is on trial: the new one
// where its share has room, and never for a second try.
func (b *Board) trialSides(ro *rollout, r *request) []releaseSide {
	if !ro.detector.regressed() && len(r.tried) == 0 && float64(ro.exposed+1) <= b.exposure*float64(ro.sent+1) {
		return exposedSides
	}
	return oldSide
}

// The sides that are tried, shared by all requests.
var (
	anySide      = []releaseSide{anyRelease}
	oldSide      = []releaseSide{oldRelease}
	newSide      = []releaseSide{newRelease}
	exposedSides = []releaseSide{trialRelease, oldRelease}
	knownSide    = []releaseSide{knownRelease}
)

// releaseSettleTime is how long a release that a pool did not have before gets no requests while
// another can serve them: the order that it is for may reach routers after the list does.
const releaseSettleTime = 1500 * time.Millisecond

// trackReleases notes the releases of the pools' targets. Those of a pool's first list are as good as each other.
func (b *Board) trackReleases(now time.Time) {
	for _, p := range b.pools {
		first := len(p.releases) == 0
		for _, t := range p.members {
			if p.releases[t.release] {
				continue
			}
			p.releases[t.release] = true
			if !first {
				p.newest, p.newestFrom = t.release, now.Add(releaseSettleTime)
			}
		}
	}
}

// hasUsable reports whether the pool has a usable target of some kind.
func (p *pool) hasUsable(match func(t *target) bool) bool {
	return slices.ContainsFunc(p.members, func(t *target) bool { return t.usable() && match(t) })
}

// onSide reports whether a target of the pool is on the side that a request tries.
func (b *Board) onSide(now time.Time, p *pool, side releaseSide, t *target) bool {
	switch side {
	case anyRelease:
		return true
	case knownRelease:
		return t.release != p.newest
	case oldRelease, newRelease, trialRelease:
	}
	ro := b.rollouts[p.compiled.Name]
	fresh := t.release == ro.order.Release
	switch side {
	case newRelease:
		return fresh
	case trialRelease:
		return fresh && b.onTrial(now, ro, t)
	case oldRelease, anyRelease, knownRelease:
	}
	return !fresh
}

// trialWidth is how many times the exposed share of the new targets are on trial. With as few
// targets as the share has requests, each of them is loaded as the old ones are, which a
// fault that comes with load needs to show; with twice as many none is overloaded.
const trialWidth = 2

// onTrial reports whether a target of the new release is among those that are tried, which are
// the same on all routers and more as the release's share rises; where these are none, all are.
func (b *Board) onTrial(now time.Time, ro *rollout, t *target) bool {
	part := trialWidth * b.exposure
	if ro.phase == RolloutMoving {
		part = max(part, ro.ramp(now))
	}
	chosen := func(t *target) bool { return float64(mixHash(t.hash^uint64(ro.order.Revision))>>11)/(1<<53) < part }
	if chosen(t) {
		return true
	}
	return !b.pools[ro.order.Pool].hasUsable(func(o *target) bool { return o.release == ro.order.Release && chosen(o) })
}

// filterSide returns the servers on a request's side.
func (b *Board) filterSide(now time.Time, p *pool, r *request, list []server) []server {
	if r.side == anyRelease {
		return list
	}
	var out []server
	for _, s := range list {
		if b.onSide(now, p, r.side, s.target) {
			out = append(out, s)
		}
	}
	return out
}

// countRelease counts a send for the exposure of the release on trial.
func (b *Board) countRelease(p *pool, t *target) {
	ro, ok := b.rollouts[p.compiled.Name]
	if !ok || ro.phase.Ended() {
		return
	}
	ro.sent++
	if t.release == ro.order.Release {
		ro.exposed++
	}
}

// recordReleaseResult counts the end of an attempt, which failed or not, for or against its target's release.
func (b *Board) recordReleaseResult(now time.Time, r *request, a *attempt, failed bool) {
	ro, ok := b.rollouts[r.Pool]
	if !ok || ro.phase.Ended() || a.cancelled || now.Before(a.target.reported.Add(a.target.report.Cold)) {
		return
	}
	took := now.Sub(a.sent)
	if a.firstToken {
		took = a.firstTokenAt.Sub(a.sent)
	}
	least := time.Millisecond
	if r.Model != nil {
		least = max(least, seconds(float64(a.uncached)/a.target.rate()))
	}
	factor := float64(took) / float64(least)
	counted := Tally{Answers: 1}
	if failed || ro.baseline.slow(factor) {
		counted.Bad = 1
	}
	if a.target.release == ro.order.Release {
		ro.own.New = ro.own.New.plus(counted)
	} else {
		ro.own.Old = ro.own.Old.plus(counted)
		if !failed {
			ro.baseline.add(factor)
		}
	}
	ro.detector.observe(ro.own.plus(ro.peers))
}
