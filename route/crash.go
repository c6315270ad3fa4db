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

// A request may end each target that begins to run it, by a fault of the target's that its text
// brings out. Its copies come one after another, to whichever process; each takes a
// target with it and all that runs there. So the processes of a fleet count together the targets
// that ended under copies of one request, told apart by [Fingerprint], and hold back one under
// which enough have ended. Without it 37 targets of a service of nine ended in half a minute, and up to
// half of all other requests failed; with it three and those that copies under way reach (TestCrashFleetGuilty).
//
// A target that ends takes along whatever it runs, so a request that runs at one is only a
// suspect. What keeps the innocent from being held back:
//   - an end counts where the target is known to have ended, not its connection alone;
//   - an answer that had begun says that the target bears the request: such an end counts half, and
//     none once the answer had been coming for a while;
//   - a request that is answered anywhere ends no targets: that clears it, everywhere.

// CrashSettings bound what requests may do to targets.
type CrashSettings struct {
	// Targets is how many targets may end under copies of a request before it is held back. Ends
	// of answers that had begun count half.
	Targets int
	// Hold is how long it is held back after the last of them; each further one that ends
	// doubles it, up to maxHoldDoublings times.
	Hold time.Duration
	// Kept is how many requests are remembered under which targets ended.
	MaxRequests int
}

// DefaultCrashSettings returns the bounds that hold unless others are set: three ends, since two
// in a row happen to requests beside a guilty one; two minutes, after which one more end holds
// the request back again; and 1,024 requests, which is what runs at 40 targets of 24 slots that end together.
func DefaultCrashSettings() CrashSettings {
	return CrashSettings{Targets: 3, Hold: 2 * time.Minute, MaxRequests: 1024}
}

// Check returns the fault of the settings.
func (s CrashSettings) Check() error {
	switch {
	case s.Targets < minCrashTargets || s.Targets > maxCrashTargets:
		return errs.Errorf("%d targets that end before a request is held back, must be from %d to %d", s.Targets, minCrashTargets, maxCrashTargets)
	case s.Hold < time.Second || s.Hold > time.Hour:
		return errs.Errorf("a request is held back for %s, must be from 1s to 1h", s.Hold)
	case s.MaxRequests < 1:
		return errs.Errorf("%d requests are remembered, must be one at least", s.MaxRequests)
	}
	return nil
}

// The bounds of [CrashSettings.Targets]: one end alone says nothing, and of more than maxCrashesPerRequest none are remembered.
const (
	minCrashTargets = 2
	maxCrashTargets = maxCrashesPerRequest / 2
)

// The times of the count.
const (
	// suspectTTL is how long after the last end a request is remembered.
	suspectTTL = 10 * time.Minute
	// maxHoldDoublings bounds how often the time of a hold is doubled.
	maxHoldDoublings = 2
	// crashConfirmWindow is how long it may take until a target is known to have ended: its new start
	// is listed within some heartbeats.
	crashConfirmWindow = 10 * time.Second
	// survivalTime is how long an answer must have been coming to show that the target bears
	// the request: one that ends what begins to run it does so within some 0.15 s.
	survivalTime = time.Second
	// maxCrashesPerRequest bounds how many ends of one request are remembered.
	maxCrashesPerRequest = 16
	// maxAnsweredKept is how many requests that were answered are remembered; a node sees some 36 a second.
	maxAnsweredKept = 2048
)

// crash is the end of a target under a request.
type crash struct {
	at time.Time
	// begun says that a part of the answer had come.
	begun bool
}

// suspectRequest is a request under which targets ended.
type suspectRequest struct {
	crashes map[TargetKey]crash
	// newest is when the last of them ended.
	newest time.Time
	// org and pool are the request's, empty where no copy of it came here.
	org, pool string
	// own is true where this process saw the newest end.
	own bool
	// noted is true once it was logged that the request is held back.
	holdLogged bool
}

// brokenAttempt is an attempt that broke off at a target which may have ended.
type brokenAttempt struct {
	fingerprint Fingerprint
	mark        TargetKey
	org, pool   string
	crash
}

// crashTracker is what a process knows of targets that ended under requests.
type crashTracker struct {
	CrashSettings
	suspects map[Fingerprint]*suspectRequest
	broken   map[netip.AddrPort][]brokenAttempt
	// facts are told to the other processes.
	updates *Feed[CrashKey, crash]
	// answered are requests that were answered lately.
	answered *generationalMap[Fingerprint, time.Time]
	// seen is called when this process saw something that the others do not know yet.
	onChange func()
	// swept is when old facts were last forgotten.
	swept time.Time
	// more is true once a further target ended under a request that is held back.
	holdsPending bool
}

func newCrashTracker() crashTracker {
	return crashTracker{
		CrashSettings: DefaultCrashSettings(),
		suspects:      make(map[Fingerprint]*suspectRequest),
		broken:        make(map[netip.AddrPort][]brokenAttempt),
		updates:       newCrashUpdates(),
		answered:      newGenerationalMap[Fingerprint, time.Time](maxAnsweredKept),
		onChange:      func() {},
	}
}

// WithCrashes sets the bounds of what requests may do to targets, and a function that is called,
// under the board's lock, when other processes should hear at once of what was seen.
func WithCrashes(s CrashSettings, seen func()) Option {
	return func(b *Board) { b.crashes.CrashSettings, b.crashes.onChange = s, seen }
}

// heldUntil returns until when a request is held back; ok is false for one that is not.
func (c *crashTracker) heldUntil(now time.Time, f Fingerprint) (until time.Time, ok bool) {
	s := c.suspects[f]
	if s == nil || s.count() < c.Targets {
		return until, false
	}
	until = s.newest.Add(c.Hold << min(maxHoldDoublings, s.count()-c.Targets))
	return until, now.Before(until)
}

// count is how many targets ended under the request, where answers that had begun count half.
func (s *suspectRequest) count() int {
	halves := 0
	for _, e := range s.crashes {
		if halves += 2; e.begun {
			halves--
		}
	}
	return halves / 2
}

// holds reports whether a request is held back.
func (c *crashTracker) holds(now time.Time, f Fingerprint) bool {
	_, held := c.heldUntil(now, f)
	return held
}

// heldRefusal is the refusal of a request that is held back, or nil.
func (b *Board) heldRefusal(now time.Time, r *request) *Refusal {
	until, held := b.crashes.heldUntil(now, r.Print)
	if !held {
		return nil
	}
	return &Refusal{
		Cause: CauseCrashes, RetryAfter: max(until.Sub(now), b.minRetryAfter),
		Detail: fmt.Sprintf("%d targets ended while they ran this request; it is held back", len(b.crashes.suspects[r.Print].crashes)),
	}
}

// recordBroken notes an attempt that broke off for no reason known, at a target that may have
// ended. One that was leaving was to end, whatever ran there.
func (b *Board) recordBroken(now time.Time, r *request, a *attempt, o Outcome) {
	if o.Kind != OutcomeBroken || !o.Closed && !o.Silent || a.cancelled || !r.Print.Known() || a.target.draining || a.target.listedDraining {
		return
	}
	if a.firstToken && now.Sub(a.firstTokenAt) >= survivalTime {
		return
	}
	mark := TargetKey{a.Target, a.Incarnation}
	c := &b.crashes
	c.broken[a.Target] = append(c.broken[a.Target], brokenAttempt{fingerprint: r.Print, mark: mark, org: r.Org, pool: r.Pool, crash: crash{at: now, begun: a.firstToken}})
	if !a.target.incarnation.Same(a.Incarnation) {
		// Another start has been seen there since.
		b.recordIncarnationCrash(now, mark)
	}
}

// MayHaveCrashed reports whether requests broke off at a target which is not known to have ended
// or to live, and to which none of this process is under way.
func (b *Board) MayHaveCrashed(addr netip.AddrPort) bool {
	return len(b.crashes.broken[addr]) > 0 && b.InFlight(addr) == 0
}

// TargetCrashed takes the news that nothing listens at a target's address.
func (b *Board) TargetCrashed(now time.Time, addr netip.AddrPort) []Action {
	for len(b.crashes.broken[addr]) > 0 {
		b.recordIncarnationCrash(now, b.crashes.broken[addr][0].mark)
	}
	return b.dispatch(now)
}

// recordIncarnationCrash takes the end of one start of a target: whatever broke off there fell with it.
func (b *Board) recordIncarnationCrash(now time.Time, m TargetKey) {
	c := &b.crashes
	fell := 0
	left := slices.DeleteFunc(c.broken[m.Target], func(run brokenAttempt) bool {
		if !run.mark.Incarnation.Same(m.Incarnation) {
			return false
		}
		if now.Sub(run.at) < crashConfirmWindow {
			fell++
			if s := b.recordCrash(now, run.fingerprint, run.mark, run.crash); s != nil {
				s.org, s.pool, s.own = run.org, run.pool, true
			}
		}
		return true
	})
	if c.broken[m.Target] = left; len(left) == 0 {
		delete(c.broken, m.Target)
	}
	if fell == 0 {
		return
	}
	b.emit(event.Event{
		Code: event.TargetEnded, Target: m.Target.String(),
		Detail: fmt.Sprintf("incarnation %s, under %d requests of this process", m.Incarnation, fell),
	})
	c.onChange()
}

// recordCrash counts the end of a target under a request, once for each start of a target. It
// returns nil for a request that is known to end none.
func (b *Board) recordCrash(now time.Time, f Fingerprint, m TargetKey, e crash) *suspectRequest {
	c := &b.crashes
	if c.answeredRecently(now, f) {
		c.updates.Set(CrashKey{Print: f}, crash{at: now})
		c.onChange()
		return nil
	}
	s := c.suspects[f]
	if s == nil {
		c.evictSuspect()
		s = &suspectRequest{crashes: make(map[TargetKey]crash)}
		c.suspects[f] = s
	}
	for known := range s.crashes {
		if known.Target == m.Target && known.Incarnation.Same(m.Incarnation) {
			c.clearBegun(f, known, e)
			return s
		}
	}
	if len(s.crashes) >= maxCrashesPerRequest {
		oldest := s.crashedTargets()[0]
		delete(s.crashes, oldest)
		c.updates.Drop(CrashKey{Print: f, Target: oldest})
	}
	s.crashes[m] = e
	s.own = s.own && !e.at.After(s.newest)
	s.newest = later(s.newest, e.at)
	c.updates.Set(CrashKey{Print: f, Target: m}, e)
	c.holdsPending = c.holdsPending || s.count() >= c.Targets
	return s
}

// clearBegun takes it that of several copies of a request which fell with one target, one had not begun to be answered.
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

// answeredRecently reports whether a request was answered here lately. That is said once for each
// answer: a request that ends targets later on is no less guilty for it.
func (c *crashTracker) answeredRecently(now time.Time, f Fingerprint) bool {
	at := c.answered.get(f)
	if at == nil || at.IsZero() {
		return false
	}
	ran := now.Sub(*at) < suspectTTL
	*at = time.Time{}
	return ran
}

// evictSuspect forgets the request that is least to be feared where one more would be too many: the
// fewest targets ended under it, and the longest ago. So a herd of targets that end under many requests at
// once pushes out none that is held back.
func (c *crashTracker) evictSuspect() {
	if len(c.suspects) < c.MaxRequests {
		return
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

// dropCrashes takes back the ends under a request that drop names; one without any is forgotten.
func (c *crashTracker) dropCrashes(f Fingerprint, drop func(m TargetKey, e crash) bool) {
	s := c.suspects[f]
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

// clearRequest takes it that a request was answered at a time, or released: no end up to then counts.
func (b *Board) clearRequest(now time.Time, f Fingerprint, at time.Time) {
	if s := b.crashes.suspects[f]; s != nil {
		b.crashes.dropCrashes(f, func(_ TargetKey, e crash) bool { return !e.at.After(at) })
		b.noteReleased(now, f, s, "it was answered, or released")
	}
}

// clearTarget takes it that a start of a target answered at a time: it had not ended before.
func (b *Board) clearTarget(now time.Time, m TargetKey, at time.Time) {
	for f, s := range b.crashes.suspects {
		if ended, ok := s.crashes[m]; ok && !ended.at.After(at) {
			b.crashes.dropCrashes(f, func(other TargetKey, _ crash) bool { return other == m })
			b.noteReleased(now, f, s, "a target that counted as ended answered")
		}
	}
}

// noteReleased logs that a request which was held back is held back no more.
func (b *Board) noteReleased(now time.Time, f Fingerprint, s *suspectRequest, why string) {
	if s.holdLogged && !b.crashes.holds(now, f) {
		s.holdLogged = false
		b.emit(event.Event{Code: event.RequestReleased, Org: s.org, Detail: "fingerprint " + f.String() + ": " + why})
	}
}

// recordCompleted notes that a target answered a request to its end: neither of them ended.
func (b *Board) recordCompleted(now time.Time, r *request, a *attempt) {
	c := &b.crashes
	if !r.Print.Known() {
		return
	}
	*c.answered.getOrCreate(r.Print) = now
	if c.suspects[r.Print] != nil {
		b.clearRequest(now, r.Print, now)
		c.updates.Set(CrashKey{Print: r.Print}, crash{at: now})
		c.onChange()
	}
	m := TargetKey{a.Target, a.Incarnation}
	if runs, ok := c.broken[a.Target]; ok {
		c.broken[a.Target] = slices.DeleteFunc(runs, func(run brokenAttempt) bool {
			return run.mark.Incarnation.Same(m.Incarnation) && run.at.Before(a.sent)
		})
	}
	if c.endedBefore(m, a.sent) {
		b.clearTarget(now, m, now)
		c.updates.Set(CrashKey{Target: m}, crash{at: now})
		c.onChange()
	}
}

// endedBefore reports whether a start of a target counts as ended before a time.
func (c *crashTracker) endedBefore(m TargetKey, at time.Time) bool {
	for _, s := range c.suspects {
		if ended, ok := s.crashes[m]; ok && ended.at.Before(at) {
			return true
		}
	}
	return false
}

// refuseHeld refuses the waiting requests that are held back since a further target ended.
func (b *Board) refuseHeld(now time.Time) []Action {
	c := &b.crashes
	if !c.holdsPending {
		return nil
	}
	c.holdsPending = false
	for f, s := range c.suspects {
		if until, held := c.heldUntil(now, f); held && !s.holdLogged {
			s.holdLogged = true
			b.emit(event.Event{Code: event.RequestHeld, Org: s.org, Detail: fmt.Sprintf(
				"fingerprint %s, service %s, for %s: %s ended under it", f, s.pool, until.Sub(now).Round(time.Second), strings.Join(s.crashedTargetNames(), ", "))})
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

// crashedTargets returns the targets that ended under the request, the first first; those of one
// moment in the order of their addresses and ids, so that all processes tell them alike.
func (s *suspectRequest) crashedTargets() []TargetKey {
	return slices.SortedFunc(maps.Keys(s.crashes), func(a, b TargetKey) int {
		return cmp.Or(s.crashes[a].at.Compare(s.crashes[b].at), a.Target.Compare(b.Target), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// crashedTargetNames names the targets that ended under the request, the first first.
func (s *suspectRequest) crashedTargetNames() []string {
	out := make([]string, 0, len(s.crashes))
	for _, m := range s.crashedTargets() {
		out = append(out, m.Incarnation.ID()+" at "+m.Target.String())
	}
	return out
}

// sweepInterval is the time between two looks for what is to be forgotten.
const sweepEvery = time.Second

// sweepCrashes forgets what is long ago.
func (b *Board) sweepCrashes(now time.Time) {
	c := &b.crashes
	if now.Sub(c.swept) < sweepEvery {
		return
	}
	c.swept = now
	for f, s := range c.suspects {
		until, _ := c.heldUntil(now, f)
		b.noteReleased(now, f, s, "its time is over")
		if now.Sub(later(s.newest, until)) >= suspectTTL {
			c.dropCrashes(f, func(TargetKey, crash) bool { return true })
		}
	}
	for addr, runs := range c.broken {
		runs = slices.DeleteFunc(runs, func(r brokenAttempt) bool { return now.Sub(r.at) >= crashConfirmWindow })
		if c.broken[addr] = runs; len(runs) == 0 {
			delete(c.broken, addr)
		}
	}
	c.sweepFacts(now)
}
