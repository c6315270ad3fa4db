package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/pathhead/pathhead/event"
)

// RolloutOrder requests that the traffic of a pool move to its targets of another release.
type RolloutOrder struct {
	Pool string
	// Release is the software release that is to serve.
	Release string
	// Revision is the order's position in the store. The newer of two orders for a pool takes
	// precedence.
	Revision int64
	// Duration is the time within which the roll-out is to end.
	Duration time.Duration
}

// RolloutPhase is the phase of a roll-out.
type RolloutPhase int

// The phases of a roll-out. A later one replaces an earlier one.
const (
	// RolloutPending waits for the phase recorded in the store, because a new process must not try
	// a release again that was rolled back.
	RolloutPending RolloutPhase = iota
	// RolloutTrial gives the new release a bounded share of the requests.
	RolloutTrial
	// RolloutMoving ramps the new release up to all requests, while the old targets complete what
	// they run.
	RolloutMoving
	// RolloutCompleted ends the roll-out of a good release. The old targets may be stopped.
	RolloutCompleted
	// RolloutRolledBack ends the roll-out of a bad release, which gets no more requests.
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

// RolloutUpdate is the state of a roll-out as routers report it to each other.
type RolloutUpdate struct {
	Order RolloutOrder
	Phase RolloutPhase
	// Age is the time since the order was first seen.
	Age    time.Duration
	Counts RolloutCounts
	// Moved is the number of routers that have nothing in flight at old targets and send nothing
	// there.
	Moved int
}

// joined merges the updates of several routers about one pool.
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

// rollout is the state of a pool's newest roll-out.
type rollout struct {
	order RolloutOrder
	phase RolloutPhase
	begun time.Time
	// movedAt is when the phase became [RolloutMoving].
	movedAt time.Time
	// sent counts the requests that this router sent to the pool since the order, exposed those of
	// them that went to the new release before it was found good.
	sent, exposed int
	own, peers    RolloutCounts
	peersMoved    int
	detector      regressionDetector
	baseline      latencyBaseline
}

// defaultExposure is the share of a pool's requests that a release on trial may get if the settings
// state none. Only exposureFraction of the share is used for the trial; the rest covers what the
// release gets until a fault is detected that shows only under full load.
const (
	defaultExposure  = 0.1
	exposureFraction = 0.5
)

// WithExposure sets the share of a pool's requests that a release on trial may get. Zero selects
// the default.
func WithExposure(share float64) Option {
	return func(b *Board) { b.exposure = cmp.Or(share, defaultExposure) * exposureFraction }
}

// StartRollout starts the roll-out of an order. An order for the release of the pool's last
// roll-out continues that one. A rolled-back release thus stays rolled back, even if a store that
// lost its latest writes receives the same order again.
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
	b.emitRollout(b.rollouts[o.Pool], "ordered")
}

// SetRollout advances a roll-out to a later phase; an earlier phase is ignored.
func (b *Board) SetRollout(now time.Time, o RolloutOrder, phase RolloutPhase, why string) {
	ro, ok := b.rollouts[o.Pool]
	if !ok || ro.order.Revision != o.Revision || phase <= ro.phase {
		return
	}
	ro.phase = phase
	if phase == RolloutMoving {
		ro.movedAt = now
	}
	b.emitRollout(ro, why)
}

func (b *Board) emitRollout(ro *rollout, why string) {
	b.emit(event.Event{Code: event.RolloutPhase, Detail: ro.order.Pool + " to release " + ro.order.Release + ", " + ro.phase.String() + ": " + why})
}

// Rollouts returns the roll-outs known to this router, with its own counts only, ordered by pool.
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

// hasMoved reports whether this router sends nothing to the old targets any more and has nothing in
// flight there.
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

// mergeRollouts merges the roll-out updates of other routers.
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
		b.SetRollout(now, u.Order, u.Phase, "phase reported by another router")
		ro.peers, ro.peersMoved = u.Counts, u.Moved
		ro.detector.observe(ro.own.plus(ro.peers))
	}
}

// Fractions of a roll-out's duration. A release is on trial for trialFraction. Its share then ramps
// up to all requests over rampFraction, and it serves all of them for at least fullLoadFraction
// before the roll-out completes, so that faults under full load show. After completeFraction the
// roll-out completes even if some routers have not reported that they moved. After
// undecidedFraction a release with too few answers is rolled back.
const (
	trialFraction     = 0.45
	rampFraction      = 0.2
	fullLoadFraction  = 0.12
	completeFraction  = 0.9
	undecidedFraction = 0.8
)

// durationFraction returns a fraction of the roll-out's duration.
func (ro *rollout) durationFraction(p float64) time.Duration {
	return time.Duration(p * float64(ro.order.Duration))
}

// ramp returns the share of the requests that a release found good currently gets. It may exceed
// one.
func (ro *rollout) ramp(now time.Time) float64 {
	return float64(now.Sub(ro.movedAt)) / float64(ro.durationFraction(rampFraction))
}

// NextPhase returns the phase that a roll-out is due to enter, and why. It returns the current
// phase if none is due.
func (b *Board) NextPhase(now time.Time, pool string) (o RolloutOrder, next RolloutPhase, why string) {
	ro, ok := b.rollouts[pool]
	if !ok {
		return RolloutOrder{}, RolloutPending, ""
	}
	o, next = ro.order, ro.phase
	age := func(part float64) bool { return now.Sub(ro.begun) >= ro.durationFraction(part) }
	switch ro.phase {
	case RolloutTrial, RolloutMoving:
		switch {
		case ro.detector.regressed():
			return o, RolloutRolledBack, ro.detector.String()
		case ro.phase == RolloutTrial && age(trialFraction) && ro.detector.passed():
			return o, RolloutMoving, ro.detector.String()
		case ro.phase == RolloutTrial && age(undecidedFraction):
			return o, RolloutRolledBack, "too few answers to decide: " + ro.detector.String()
		case ro.phase == RolloutMoving && now.Sub(ro.movedAt) >= ro.durationFraction(rampFraction+fullLoadFraction) && b.hasMoved(now, ro) && 1+ro.peersMoved >= b.limitSharers.value:
			return o, RolloutCompleted, "all routers have moved"
		case ro.phase == RolloutMoving && age(completeFraction):
			return o, RolloutCompleted, "its duration is nearly over"
		}
	case RolloutPending, RolloutCompleted, RolloutRolledBack:
	}
	return o, next, ""
}

// releaseSide selects the targets of a pool, by release, to which a request may go during a
// roll-out.
type releaseSide int

const (
	anyRelease releaseSide = iota
	oldRelease
	newRelease
	trialRelease
	knownRelease
)

// releaseSides returns the sides that a request tries, in order.
func (b *Board) releaseSides(now time.Time, p *pool, r *request) []releaseSide {
	ro, ok := b.rollouts[p.compiled.Name]
	switch {
	case r.Pin.Set:
		// The release of a pinned request is chosen already.
		return anySide
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
		if !slices.ContainsFunc(p.members, func(t *target) bool {
			return t.release != ro.order.Release && (t.usable() || t.awaited())
		}) {
			// The old targets are gone, so the roll-out was completed.
			return newSide
		}
		return oldSide
	case RolloutRolledBack:
		return oldSide
	}
	panic("route: unknown phase of a roll-out")
}

// trialSides returns the sides that a request tries during a trial: the new release first if its
// share permits, but never for a retry.
func (b *Board) trialSides(ro *rollout, r *request) []releaseSide {
	if !ro.detector.regressed() && len(r.tried) == 0 && float64(ro.exposed+1) <= b.exposure*float64(ro.sent+1) {
		return exposedSides
	}
	return oldSide
}

// Lists of sides, shared by all requests.
var (
	anySide      = []releaseSide{anyRelease}
	oldSide      = []releaseSide{oldRelease}
	newSide      = []releaseSide{newRelease}
	exposedSides = []releaseSide{trialRelease, oldRelease}
	knownSide    = []releaseSide{knownRelease}
)

// releaseSettleTime is how long a release that is new to a pool gets no requests while another
// release can serve them. The order for it may reach a router later than the target list.
const releaseSettleTime = 1500 * time.Millisecond

// trackReleases records the releases of the pools' targets. All releases in a pool's first list
// count as known.
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

// hasUsable reports whether the pool has a usable target that matches.
func (p *pool) hasUsable(match func(t *target) bool) bool {
	return slices.ContainsFunc(p.members, func(t *target) bool { return t.usable() && match(t) })
}

// onSide reports whether a target of the pool belongs to a side.
func (b *Board) onSide(now time.Time, p *pool, side releaseSide, t *target) bool {
	switch side {
	case anyRelease:
		return true
	case knownRelease:
		return t.release != p.newest
	case oldRelease, newRelease, trialRelease:
	}
	ro := b.rollouts[p.compiled.Name]
	isNew := t.release == ro.order.Release
	switch side {
	case newRelease:
		return isNew
	case trialRelease:
		return isNew && b.onTrial(now, ro, t)
	case oldRelease, anyRelease, knownRelease:
	}
	return !isNew
}

// trialWidth is the fraction of the new targets on trial, as a multiple of the exposed share of the
// requests. With a width of one, each of these targets is loaded like the old ones, which is
// required to detect faults that appear under load; a width of two ensures that none is overloaded.
const trialWidth = 2

// onTrial reports whether a target of the new release is among those on trial. The selection is the
// same on all routers and grows with the release's share. If no selected target is usable, all are
// on trial.
func (b *Board) onTrial(now time.Time, ro *rollout, t *target) bool {
	fraction := trialWidth * b.exposure
	if ro.phase == RolloutMoving {
		fraction = max(fraction, ro.ramp(now))
	}
	selected := func(t *target) bool { return float64(mixHash(t.hash^uint64(ro.order.Revision))>>11)/(1<<53) < fraction }
	if selected(t) {
		return true
	}
	return !b.pools[ro.order.Pool].hasUsable(func(o *target) bool { return o.release == ro.order.Release && selected(o) })
}

// filterSide returns the servers on a request's side that its pin allows.
func (b *Board) filterSide(now time.Time, p *pool, r *request, list []server) []server {
	if r.side == anyRelease && !r.Pin.Set {
		return list
	}
	var out []server
	for _, s := range list {
		if r.Pin.allows(s.target) && b.onSide(now, p, r.side, s.target) {
			out = append(out, s)
		}
	}
	return out
}

// countRelease counts a send towards the exposure of the release on trial.
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

// recordReleaseResult counts the result of an attempt for its target's release.
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
