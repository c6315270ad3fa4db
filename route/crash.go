package route

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/event"
)

// A request can crash every target that starts to run it, through a fault of the target that its
// text triggers. Clients resend it, to any process, and each copy takes down a target along with
// everything else that runs there. The processes of a fleet therefore count together how many
// targets crashed while running copies of one request, identified by [Fingerprint], and hold a
// request once enough have crashed. Without this, 37 targets of a service with nine crashed within
// half a minute, and up to half of all other requests failed. With it, three crash, plus those that
// copies already in flight reach.
//
// A crashing target takes down everything that it runs, so a request that was running there is only
// a suspect. These rules keep innocent requests from being held:
//   - a crash counts only if the target is known to have crashed, not merely its connection;
//   - if the answer had begun, the target probably survives the request, so the crash counts half,
//     and not at all once the answer had been streaming for a while;
//   - a request that is answered anywhere does not crash targets, which clears it on all processes.

// Crashes are also counted for the parts of prompts; crash_parts.go describes it.

// CrashSettings configures when requests and parts of prompts that crash targets are held.
type CrashSettings struct {
	// Targets is how many targets may crash while running copies of a request before it is held.
	// Crashes after the answer had begun count half.
	Targets int
	// Hold is how long a request is held after the last crash. Each further crash doubles it, up to
	// maxHoldDoublings times.
	Hold time.Duration
	// PartTargets is the number of moments at which targets must have crashed while running requests
	// with a part of a prompt before requests with it are held, and PartSpan the least time between the
	// first and the last of them.
	PartTargets int
	PartSpan    time.Duration
	// MaxRequests bounds the suspect requests and parts that are remembered.
	MaxRequests int
}

// DefaultCrashSettings returns the default settings. Three crashes are required because two in a
// row also happen to requests that run beside a guilty one. After the two minutes of a hold, one
// more crash holds the request again. 1,024 requests is what 40 targets with 24 slots run when they
// crash together. A part needs more crashes than a request, since many requests share it.
func DefaultCrashSettings() CrashSettings {
	return CrashSettings{Targets: 3, Hold: 2 * time.Minute, PartTargets: 5, PartSpan: 750 * time.Millisecond, MaxRequests: 1024}
}

// Check returns an error if a setting is out of range.
func (s CrashSettings) Check() error {
	switch {
	case s.Targets < minCrashTargets || s.Targets > maxCrashTargets:
		return errs.Errorf("%d targets that end before a request is held back, must be from %d to %d", s.Targets, minCrashTargets, maxCrashTargets)
	case s.Hold < time.Second || s.Hold > time.Hour:
		return errs.Errorf("a request is held back for %s, must be from 1s to 1h", s.Hold)
	case s.PartTargets < minCrashTargets || s.PartTargets > maxCrashTargets:
		return errs.Errorf("%d targets that end before a part of a prompt is held back, must be from %d to %d", s.PartTargets, minCrashTargets, maxCrashTargets)
	case s.PartSpan < 0 || s.PartSpan > time.Minute:
		return errs.Errorf("targets end for %s before a part of a prompt is held back, must be from 0s to 1m", s.PartSpan)
	case s.MaxRequests < 1:
		return errs.Errorf("%d suspect requests are remembered, must be at least 1", s.MaxRequests)
	}
	return nil
}

// Bounds of [CrashSettings.Targets] and [CrashSettings.PartTargets]. One crash alone is no evidence, and at most
// maxCrashesPerRequest crashes are remembered.
const (
	minCrashTargets = 2
	maxCrashTargets = maxCrashesPerRequest / 2
)

// Time constants and bounds of crash tracking.
const (
	// suspectTTL is how long a request is remembered after its last crash.
	suspectTTL = 10 * time.Minute
	// maxHoldDoublings bounds how often the hold time is doubled.
	maxHoldDoublings = 2
	// crashConfirmWindow is the time within which a broken attempt is attributed to a crash. The
	// restarted target appears on the list within a few heartbeats.
	crashConfirmWindow = 10 * time.Second
	// survivalTime is how long an answer must have been streaming to show that the target survives
	// the request. Requests that crash targets do so within about 0.15 s.
	survivalTime = time.Second
	// maxCrashesPerRequest bounds the crashes remembered per request.
	maxCrashesPerRequest = 16
	// maxAnswered bounds the answered requests that are remembered. A node sees about 36 a
	// second.
	maxAnswered = 2048
)

// crash is the crash of a target while it ran a request.
type crash struct {
	at time.Time
	// begun is set if a part of the answer had arrived.
	begun bool
	// part is set in the fact that an answer with a part of a prompt went on.
	part bool
}

// suspectRequest is a request that targets ran when they crashed, or a part of such requests.
type suspectRequest struct {
	// part is set for a part of prompts.
	part    bool
	crashes map[TargetKey]crash
	// newest is the time of the latest crash.
	newest time.Time
	// org and pool are those of the request; they are empty if this process received no copy of it.
	org, pool string
	// own is set if this process observed the latest crash.
	own bool
	// holdLogged is set once an event has reported that the request is held.
	holdLogged bool
}

// brokenAttempt is an attempt that broke off at a target which may have crashed.
type brokenAttempt struct {
	fingerprint Fingerprint
	parts       []Fingerprint
	target      TargetKey
	org, pool   string
	crash
	// survived is set if the answer had been streaming so long that its parts are not to blame.
	survived bool
}

// crashTracker holds what a process knows of targets that crashed while running requests.
type crashTracker struct {
	CrashSettings
	suspects map[Fingerprint]*suspectRequest
	// newcomers lists suspects in the order in which they were added, some of which are gone.
	newcomers []Fingerprint
	broken    map[netip.AddrPort][]brokenAttempt
	// updates are the facts shared with the other processes.
	updates *Feed[CrashKey, crash]
	// answered holds the requests that were answered recently.
	answered *generationalMap[Fingerprint, time.Time]
	// onChange is called when this process observed something that the others do not know yet.
	onChange func()
	// swept is when expired state was last removed.
	swept time.Time
	// holdsPending is set when a further target crashed under a request that is held.
	holdsPending bool
	// held are the parts that are held; partsChanged is set if they are to be computed again.
	held         map[Fingerprint]partHold
	partsChanged bool
	// crashed holds the crashed incarnations, sound when the newest answer with a part began that went
	// on, and seen the recent requests with a part.
	crashed crashedTargets
	sound   *generationalMap[Fingerprint, time.Time]
	seen    *generationalMap[Fingerprint, meter]
	// ended counts the attempts that ended lately, and lost those of them whose target closed the
	// connection.
	ended, lost meter
	// ordered are the crashed incarnations, oldest first, when held was last computed.
	ordered []crashedTarget
}

func newCrashTracker() crashTracker {
	return crashTracker{
		CrashSettings: DefaultCrashSettings(),
		suspects:      make(map[Fingerprint]*suspectRequest),
		broken:        make(map[netip.AddrPort][]brokenAttempt),
		updates:       newCrashUpdates(),
		answered:      newGenerationalMap[Fingerprint, time.Time](maxAnswered),
		onChange:      func() {},
		held:          make(map[Fingerprint]partHold),
		crashed:       crashedTargets{byAddr: make(map[netip.AddrPort][]crashedTarget)},
		ended:         newMeter(lossWindow),
		lost:          newMeter(lossWindow),
		seen:          newGenerationalMap[Fingerprint, meter](maxSeenParts),
		sound:         newGenerationalMap[Fingerprint, time.Time](maxSoundParts),
	}
}

// WithCrashes sets the crash settings, and a function that is called, with the board's lock held,
// when other processes should be informed at once.
func WithCrashes(s CrashSettings, onChange func()) Option {
	return func(b *Board) { b.crashes.CrashSettings, b.crashes.onChange = s, onChange }
}

// heldUntil returns the time until which a request or part is held; ok is false if it is not held.
func (c *crashTracker) heldUntil(now time.Time, f Fingerprint) (until time.Time, ok bool) {
	s := c.suspects[f]
	if s != nil && s.part {
		until := c.heldParts()[f].until
		return until, now.Before(until)
	}
	if s == nil || s.count() < c.Targets {
		return until, false
	}
	until = s.newest.Add(c.Hold << min(maxHoldDoublings, s.count()-c.Targets))
	return until, now.Before(until)
}

// count returns how many targets crashed under the request. Crashes after the answer had begun
// count half.
func (s *suspectRequest) count() int {
	halves := 0
	for _, e := range s.crashes {
		if halves += 2; e.begun {
			halves--
		}
	}
	return halves / 2
}

// holds reports whether a request or part is held.
func (c *crashTracker) holds(now time.Time, f Fingerprint) bool {
	_, held := c.heldUntil(now, f)
	return held
}

// heldRefusal returns the refusal of a request that is held, itself or for a part of its prompt, or nil.
func (b *Board) heldRefusal(now time.Time, r *request) *Refusal {
	until, held := b.crashes.heldUntil(now, r.Print)
	if !held {
		return b.partRefusal(now, r)
	}
	return &Refusal{
		Cause: CauseCrashes, RetryAfter: max(until.Sub(now), b.minRetryAfter),
		Detail: fmt.Sprintf("%d targets ended while they ran this request; it is held back", len(b.crashes.suspects[r.Print].crashes)),
	}
}

// recordBroken records an attempt that broke off without a known reason at a target that may have
// crashed. Draining targets are skipped, since they were to stop whatever they ran.
func (b *Board) recordBroken(now time.Time, r *request, a *attempt, o Outcome) {
	if o.Kind != OutcomeBroken || !o.Closed && !o.Silent || a.cancelled || !r.Print.Known() || a.target.draining || a.target.listedDraining {
		return
	}
	b.crashes.countEnded(now, true)
	if a.firstToken && now.Sub(a.firstTokenAt) >= survivalTime {
		return
	}
	target := TargetKey{a.Target, a.Incarnation}
	c := &b.crashes
	c.broken[a.Target] = append(c.broken[a.Target], brokenAttempt{
		fingerprint: r.Print, parts: r.crashParts(), target: target, org: r.Org, pool: r.Pool, crash: crash{at: now, begun: a.firstToken},
		survived: a.firstToken && now.Sub(a.firstTokenAt) >= partSurvival,
	})
	if !a.target.incarnation.Same(a.Incarnation) {
		// Another incarnation has been seen there since.
		b.recordIncarnationCrash(now, target)
	}
}

// MayHaveCrashed reports whether attempts broke off at a target that is not yet known to have
// crashed or to be alive, and this process has nothing in flight there.
func (b *Board) MayHaveCrashed(addr netip.AddrPort) bool {
	return len(b.crashes.broken[addr]) > 0 && b.InFlight(addr) == 0
}

// TargetCrashed records that nothing listens at a target's address.
func (b *Board) TargetCrashed(now time.Time, addr netip.AddrPort) []Action {
	if t, ok := b.targets[addr]; ok {
		b.targetDark(now, t, now)
		if b.cutOffFrom(now, t) {
			// This router's own path may be at fault. A crash shows by the target's next incarnation.
			b.markEnded(now, t, "nothing listens at its address, nor at those of others")
			return b.dispatch(now)
		}
	}
	b.noticeEnded(now, addr)
	for len(b.crashes.broken[addr]) > 0 {
		b.recordIncarnationCrash(now, b.crashes.broken[addr][0].target)
	}
	return b.dispatch(now)
}

// recordIncarnationCrash records that an incarnation of a target crashed, and attributes its broken
// attempts to the crash.
func (b *Board) recordIncarnationCrash(now time.Time, m TargetKey) {
	c := &b.crashes
	affected, begun := 0, 0
	left := slices.DeleteFunc(c.broken[m.Target], func(run brokenAttempt) bool {
		if !run.target.Incarnation.Same(m.Incarnation) {
			return false
		}
		if now.Sub(run.at) < crashConfirmWindow {
			affected++
			if run.begun {
				begun++
			}
			if s := b.recordCrash(now, run.fingerprint, run.target, run.crash); s != nil {
				s.org, s.pool, s.own = run.org, run.pool, true
			}
			b.recordPartCrashes(now, run)
		}
		return true
	})
	if c.broken[m.Target] = left; len(left) == 0 {
		delete(c.broken, m.Target)
	}
	if affected == 0 {
		return
	}
	b.emit(event.Event{
		Code: event.TargetEnded, Target: m.Target.String(),
		Detail: fmt.Sprintf("incarnation %s, while running %d requests of this process, of which %d had begun to be answered", m.Incarnation, affected, begun),
	})
	c.onChange()
}

// recordCrash counts a target's crash against a request or part, once per incarnation. It returns nil if
// the request is known to crash no targets.
func (b *Board) recordCrash(now time.Time, f Fingerprint, m TargetKey, e crash) *suspectRequest {
	c := &b.crashes
	c.partsChanged = true
	b.rememberCrashed(m, e.at)
	if c.answeredRecently(now, f) {
		c.announce(CrashKey{Print: f}, crash{at: now})
		return nil
	}
	s := c.suspects[f]
	if s == nil {
		c.evictSuspect()
		s = &suspectRequest{crashes: make(map[TargetKey]crash)}
		c.suspects[f] = s
		c.newcomers = append(c.newcomers, f)
		if len(c.newcomers) > 2*c.MaxRequests {
			c.newcomers = slices.DeleteFunc(c.newcomers, func(f Fingerprint) bool { return c.suspects[f] == nil })
		}
	}
	if known, ok := s.crashOf(m); ok {
		c.clearBegun(f, known, e)
		return s
	}
	if len(s.crashes) >= s.maxCrashes() {
		oldest := s.crashedTargets()[0]
		delete(s.crashes, oldest)
		c.updates.Drop(CrashKey{Print: f, Target: oldest})
	}
	s.crashes[m] = e
	s.own = s.own && !e.at.After(s.newest)
	s.newest = later(s.newest, e.at)
	c.updates.Set(CrashKey{Print: f, Target: m}, e)
	c.holdsPending = c.holdsPending || s.count() >= min(c.Targets, c.PartTargets)
	return s
}

// maxCrashes returns the bound on the crashes that are remembered.
func (s *suspectRequest) maxCrashes() int {
	if s.part {
		return maxCrashesPerPart
	}
	return maxCrashesPerRequest
}

// clearBegun clears the begun mark of a recorded crash if the answer to another copy of the
// request, which ran at the same target, had not begun.
func (c *crashTracker) clearBegun(f Fingerprint, m TargetKey, e crash) {
	s := c.suspects[f]
	known := s.crashes[m]
	if !known.begun || e.begun {
		return
	}
	known.begun = false
	s.crashes[m] = known
	c.updates.Set(CrashKey{Print: f, Target: m}, known)
	c.holdsPending = c.holdsPending || s.count() >= c.Targets
}

// answeredRecently reports whether a request was answered here recently. Each answer excuses one
// crash only: a request that crashes targets later is as suspect as any other.
func (c *crashTracker) answeredRecently(now time.Time, f Fingerprint) bool {
	at := c.answered.get(f)
	if at == nil || at.IsZero() {
		return false
	}
	ran := now.Sub(*at) < suspectTTL
	*at = time.Time{}
	return ran
}

// evictSuspect removes the least suspicious request if the limit is reached: the one with the
// fewest crashes, and among those the oldest. Many targets that crash at once thus do not evict a
// held request.
func (c *crashTracker) evictSuspect() {
	if len(c.suspects) < c.MaxRequests {
		return
	}
	for len(c.newcomers) > 0 {
		f := c.newcomers[0]
		c.newcomers = c.newcomers[1:]
		if s := c.suspects[f]; s != nil && len(s.crashes) == 1 {
			c.dropCrashes(f, func(TargetKey, crash) bool { return true })
			return
		}
	}
	var least Fingerprint
	for f, s := range c.suspects {
		l := c.suspects[least]
		if l == nil || len(s.crashes) < len(l.crashes) || len(s.crashes) == len(l.crashes) && s.newest.Before(l.newest) {
			least = f
		}
	}
	c.dropCrashes(least, func(TargetKey, crash) bool { return true })
}

// dropCrashes removes the crashes of a request that drop selects, and the request if none is left.
func (c *crashTracker) dropCrashes(f Fingerprint, drop func(m TargetKey, e crash) bool) {
	s := c.suspects[f]
	// A part that is no longer suspect may have explained crashes that count for others now.
	c.partsChanged, c.holdsPending = true, c.holdsPending || s.part
	s.newest = time.Time{}
	for m, e := range s.crashes {
		if drop(m, e) {
			delete(s.crashes, m)
			c.updates.Drop(CrashKey{Print: f, Target: m})
			continue
		}
		s.newest = later(s.newest, e.at)
	}
	if len(s.crashes) == 0 {
		delete(c.suspects, f)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// clearRequest discards the crashes of a request up to the given time, at which it was answered or
// released.
func (b *Board) clearRequest(now time.Time, f Fingerprint, at time.Time) {
	if s := b.crashes.suspects[f]; s != nil {
		b.crashes.dropCrashes(f, func(_ TargetKey, e crash) bool { return !e.at.After(at) })
		b.emitReleased(now, f, s, "it was answered or released")
	}
}

// clearTarget discards the crashes of an incarnation up to the given time, at which it answered.
func (b *Board) clearTarget(now time.Time, m TargetKey, at time.Time) {
	b.crashes.forgetCrashed(m, at)
	for f, s := range b.crashes.suspects {
		if last, ok := s.crashes[m]; ok && !last.at.After(at) {
			b.crashes.dropCrashes(f, func(other TargetKey, _ crash) bool { return other == m })
			b.emitReleased(now, f, s, "a target that was counted as crashed answered")
		}
	}
}

// emitReleased logs an event if a request that was held is held no longer.
func (b *Board) emitReleased(now time.Time, f Fingerprint, s *suspectRequest, why string) {
	if !s.holdLogged || b.crashes.holds(now, f) {
		return
	}
	s.holdLogged = false
	if s.part {
		b.emit(event.Event{Code: event.PartReleased, Org: s.org, Detail: "part " + f.String() + ": " + why})
		return
	}
	b.emit(event.Event{Code: event.RequestReleased, Org: s.org, Detail: "fingerprint " + f.String() + ": " + why})
}

// recordCompleted records that a target answered a request completely, so that neither can be
// blamed for a crash.
func (b *Board) recordCompleted(now time.Time, r *request, a *attempt) {
	c := &b.crashes
	if !r.Print.Known() {
		return
	}
	c.countEnded(now, false)
	b.vouchForParts(now, r, a.answerBegan())
	*c.answered.getOrCreate(r.Print) = now
	if c.suspects[r.Print] != nil {
		b.clearRequest(now, r.Print, now)
		c.announce(CrashKey{Print: r.Print}, crash{at: now})
	}
	m := TargetKey{a.Target, a.Incarnation}
	if runs, ok := c.broken[a.Target]; ok {
		c.broken[a.Target] = slices.DeleteFunc(runs, func(run brokenAttempt) bool {
			return run.target.Incarnation.Same(m.Incarnation) && run.at.Before(a.sent)
		})
	}
	if c.crashedBefore(m, a.sent) {
		b.clearTarget(now, m, now)
		c.announce(CrashKey{Target: m}, crash{at: now})
	}
}

// crashedBefore reports whether a crash of the incarnation is recorded before the given time.
func (c *crashTracker) crashedBefore(m TargetKey, at time.Time) bool {
	for _, s := range c.suspects {
		if last, ok := s.crashes[m]; ok && last.at.Before(at) {
			return true
		}
	}
	return false
}

// refuseHeld refuses waiting requests that are held because a further target crashed.
func (b *Board) refuseHeld(now time.Time) []Action {
	c := &b.crashes
	if !c.holdsPending {
		return nil
	}
	c.holdsPending = false
	b.logHeldParts(now)
	for f, s := range c.suspects {
		if s.part {
			continue
		}
		if until, held := c.heldUntil(now, f); held && !s.holdLogged {
			s.holdLogged = true
			b.emit(event.Event{Code: event.RequestHeld, Org: s.org, Detail: fmt.Sprintf(
				"fingerprint %s, service %s, for %s: targets that crashed while running it: %s", f, s.pool, until.Sub(now).Round(time.Second), strings.Join(s.crashedTargetNames(), ", "))})
		}
	}
	var out []Action
	for _, r := range b.requests {
		if refusal := b.heldRefusal(now, r); refusal != nil && r.attempt == nil {
			out = append(out, b.refuse(now, r, CauseCrashes, refusal.Detail)...)
		}
	}
	return out
}

// crashedTargets returns the targets that crashed under the request, oldest crash first. Ties are
// ordered by address and incarnation, so that all processes report the same order.
func (s *suspectRequest) crashedTargets() []TargetKey {
	return slices.SortedFunc(maps.Keys(s.crashes), func(a, b TargetKey) int {
		return cmp.Or(s.crashes[a].at.Compare(s.crashes[b].at), a.Target.Compare(b.Target), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// crashedTargetNames returns the names of the targets that crashed under the request, oldest crash
// first.
func (s *suspectRequest) crashedTargetNames() []string {
	out := make([]string, 0, len(s.crashes))
	for _, m := range s.crashedTargets() {
		out = append(out, m.Incarnation.ID()+" at "+m.Target.String())
	}
	return out
}

// sweepEvery is the interval between two sweeps for expired state.
const sweepEvery = time.Second

// sweepCrashes removes expired state.
func (b *Board) sweepCrashes(now time.Time) {
	c := &b.crashes
	if now.Sub(c.swept) < sweepEvery {
		return
	}
	c.swept = now
	for f, s := range c.suspects {
		until, _ := c.heldUntil(now, f)
		b.emitReleased(now, f, s, "the hold has expired")
		if now.Sub(later(s.newest, until)) >= suspectTTL {
			c.dropCrashes(f, func(TargetKey, crash) bool { return true })
		}
	}
	c.crashed.remove(func(e crashedTarget) bool { return now.Sub(e.at) >= suspectTTL })
	for addr, runs := range c.broken {
		runs = slices.DeleteFunc(runs, func(r brokenAttempt) bool { return now.Sub(r.at) >= crashConfirmWindow })
		if c.broken[addr] = runs; len(runs) == 0 {
			delete(c.broken, addr)
		}
	}
	c.sweepUpdates(now)
}
