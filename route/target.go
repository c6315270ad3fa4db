package route

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/pathhead/pathhead/event"
)

// Report is what a target said of itself in answer to a poll.
type Report struct {
	Incarnation Incarnation
	// Weights maps the models it serves to their weights, Adapters to their adapters.
	Weights     map[string]string
	Adapters    map[string][]string
	Leaving     bool
	Loading     bool
	Running     int
	Waiting     int
	Slots       int
	PrefillRate float64
	// Cold is how much longer the target is slow from its start.
	Cold time.Duration
	// InFlight is the number of this router's attempts when the poll was sent.
	InFlight int
}

// Seen is one line of the VM list as the board takes it.
type Seen struct {
	Addr    netip.AddrPort
	Labels  map[string]string
	Leaving bool
	// Incarnation is whom the line means, empty where the list does not tell.
	Incarnation Incarnation
}

// Entry is one entry of a list that also has what the targets report.
type Entry struct {
	Seen   Seen
	Report Report
	// Revision grows with each sign of life of the target.
	Revision int64
}

// Mark says that one incarnation of a target is leaving.
type Mark struct {
	Target      netip.AddrPort
	Incarnation Incarnation
}

// The bounds of a target's health and of what it has not said.
const (
	failuresToFail     = 3
	defaultSlots       = 8
	defaultPrefillRate = 8000
	defaultService     = 500 * time.Millisecond
)

// target is a back end on the board.
type target struct {
	addr   netip.AddrPort
	labels map[string]string
	pools  []*pool
	listed bool
	slot   uint32
	// emptied is when the target was first seen with its present, empty cache.
	emptied     time.Time
	hash        uint64
	incarnation Incarnation
	report      Report
	reported    time.Time
	// stranger says that an answer named the incarnation, which has not reported
	// itself yet: the address may be another pool's by now.
	stranger bool
	leaving  bool
	// listNames says that the list tells which incarnation it means, listLeaving is its
	// present word, markedAt when it began to say so.
	listNames   bool
	listLeaving bool
	markedAt    time.Time
	held        bool
	failures    int
	failing     bool
	// suspectedAt is when the target was last taken out for giving no sign of life,
	// silentAt when this router found that itself, answeredAt when it last got an answer.
	suspectedAt, silentAt, answeredAt time.Time
	// sends and misses measure the attempts that ended here and those of them that failed.
	sends, misses meter
	// learned is the rate of prefill seen in answers, in tokens per second; zero before the first.
	learned  float64
	attempts map[string]*attempt
	// prefill is the uncached tokens of attempts that have no first token yet.
	prefill int
	// tokens is what this router's attempts take of the target's memory, peerTokens what others' take.
	tokens, peerTokens int
	// service is the mean time an attempt holds a slot.
	service time.Duration
	horizon horizon
	parts   heldParts
	// guess is what the target is taken to have beside its report.
	guess weightsGuess
	// unused are weights of the target of which it was recorded that they are used no more.
	unused string
	// peers is what other routers have in flight here.
	peerInFlight int
	// round and candidate are scratch of one placement.
	round       uint64
	candidate   int
	peerPrefill int
	peersAt     time.Time
	// recent are requests that peers told of besides.
	recent []recentSend
	// saves bounds what this router has engines save to a store, moves what moves over
	// the store's link, both in tokens.
	saves, moves bucket
}

// name is the target as events and operators see it.
func (t *target) name() string {
	if n := t.labels["name"]; n != "" {
		return n
	}
	return t.addr.String()
}

// mark names the target's present incarnation.
func (t *target) mark() Mark { return Mark{t.addr, t.incarnation} }

// marked returns the target that has the incarnation which a mark names now.
func (b *Board) marked(m Mark) (t *target, ok bool) {
	t, ok = b.targets[m.Target]
	return t, ok && t.incarnation == m.Incarnation
}

// usable reports whether the target may get new work.
func (t *target) usable() bool {
	return t.listed && !t.leaving && !t.listLeaving && !t.held && !t.failing &&
		!t.reported.IsZero() && !t.stranger
}

// serves returns the weights of a model that the target has loaded.
func (t *target) serves(model, adapter string) (weights string, ok bool) {
	weights, ok = t.report.Weights[model]
	if ok && t.guess.model == model {
		weights = t.guess.weights
	}
	if !ok || adapter == "" {
		return weights, ok
	}
	for _, a := range t.report.Adapters[model] {
		if a == adapter {
			return weights, true
		}
	}
	return "", false
}

// inFlight estimates all routers' requests at the target: what this router and
// its peers know, and what the last report shows beyond that.
func (t *target) inFlight() int {
	known := len(t.attempts) + t.peerInFlight
	others := t.report.Running + t.report.Waiting - t.report.InFlight - t.peerInFlight
	return known + max(0, others)
}

func (t *target) slots() int {
	if t.report.Slots > 0 {
		return t.report.Slots
	}
	return defaultSlots
}

// rate is the engine's rate of prefill in tokens per second: what it reports, else
// what was learned of it, else what was learned of others of its pool.
func (t *target) rate() float64 {
	switch {
	case t.report.PrefillRate > 0:
		return t.report.PrefillRate
	case t.learned > 0:
		return t.learned
	}
	for _, p := range t.pools {
		if p.learned > 0 {
			return p.learned
		}
	}
	return defaultPrefillRate
}

// learnTokens is the least prefill that the rate is learned from: with less, what
// else an answer takes outweighs it. learnPart is the part of one observation.
const (
	learnTokens = 1500
	learnPart   = 0.2
)

// learnRate takes the time that an answer's prefill took; one with fetched parts says little.
func (b *Board) learnRate(t *target, uncached int, took time.Duration, fetched bool) {
	if uncached < learnTokens || took <= 0 || fetched {
		return
	}
	rate := float64(uncached) / took.Seconds()
	t.learned = follow(t.learned, rate)
	if b.off.Has(PoolRate) {
		return
	}
	for _, p := range t.pools {
		p.learned = follow(p.learned, rate)
	}
}

// follow moves a learned rate towards one that was seen; the first is taken as it is.
func follow(learned, seen float64) float64 {
	if learned == 0 {
		return seen
	}
	return learned + learnPart*(seen-learned)
}

// missWindow is the time over which failures count against a target, and
// missPrice what a target that fails every attempt costs.
const (
	missWindow = 4 * time.Second
	missPrice  = 2 * time.Second
)

// missCost is what the failures seen lately cost a placement here. One more send
// than there were is counted, so that a single failure among few is no verdict.
func (b *Board) missCost(now time.Time, t *target) time.Duration {
	t.misses.decay(now)
	if t.misses.value < 0.1 || b.off.Has(FailurePrice) {
		return 0
	}
	t.sends.decay(now)
	return time.Duration(t.misses.value / (t.sends.value + 1) * float64(missPrice))
}

// suspect takes a target out at once that this router found silent.
func (b *Board) suspect(now time.Time, t *target) {
	t.silentAt = now
	b.takeOut(now, t, "it gave no sign of life")
}

// Reached takes the news that a target's machine took a new connection: what was
// silent was an old one.
func (b *Board) Reached(now time.Time, addr netip.AddrPort) []Action {
	t, ok := b.targets[addr]
	if !ok || t.silentAt.IsZero() || t.suspectedAt.After(t.silentAt) {
		return nil
	}
	t.silentAt = time.Time{}
	t.answeredAt = now
	b.recovered(t)
	return b.dispatch(now)
}

// takeOut takes a target out that seems to be dark; its next sign of life brings it back.
func (b *Board) takeOut(now time.Time, t *target, why string) {
	t.suspectedAt = now
	t.failures = max(t.failures, failuresToFail)
	if t.failing {
		return
	}
	b.version++
	t.failing = true
	b.note(event.Event{Code: event.TargetFailing, Target: t.name(), Detail: why})
}

// Targets takes the VM list; targets that are not on it any more get no new work.
func (b *Board) Targets(now time.Time, list []Seen) []Action {
	for _, t := range b.targets {
		t.listed = false
	}
	for _, s := range list {
		t, ok := b.targets[s.Addr]
		if !ok {
			t = b.addTarget(now, s.Addr)
		}
		t.labels = s.Labels
		t.listed = true
		t.listNames = s.Incarnation != ""
		b.identify(now, t, s.Incarnation)
		b.markListed(now, t, s.Leaving)
	}
	for addr, t := range b.targets {
		if !t.listed && len(t.attempts) == 0 {
			b.note(event.Event{Code: event.TargetGone, Target: t.name()})
			b.dropTarget(addr, t)
		}
	}
	b.assignPools()
	return b.dispatch(now)
}

func (b *Board) addTarget(now time.Time, addr netip.AddrPort) *target {
	t := &target{
		addr:     addr,
		hash:     hashAddr(addr),
		attempts: make(map[string]*attempt),
		service:  defaultService,
		sends:    newMeter(missWindow),
		misses:   newMeter(missWindow),
	}
	b.targets[addr] = t
	b.renewSlot(now, t)
	return t
}

func (b *Board) dropTarget(addr netip.AddrPort, t *target) {
	b.dropParts(t)
	delete(b.slots, t.slot)
	delete(b.targets, addr)
}

// renewSlot gives the target a new number, which forgets every belief about it.
func (b *Board) renewSlot(now time.Time, t *target) {
	t.emptied = now
	delete(b.slots, t.slot)
	b.lastSlot++
	t.slot = b.lastSlot
	b.slots[t.slot] = t
	t.horizon = newHorizon(b.baseHorizon())
}

// Report takes a target's answer to a poll.
func (b *Board) Report(now time.Time, addr netip.AddrPort, r Report) []Action {
	t, ok := b.targets[addr]
	if !ok {
		return nil
	}
	if b.staleness != nil && t.goesBack(r) {
		r.Weights = t.report.Weights
	}
	had := t.weights()
	b.identify(now, t, r.Incarnation)
	b.reportedWeights(now, t, r, had)
	if t.reported.IsZero() || t.stranger || !sameAdapters(t.report.Adapters, r.Adapters) {
		b.version++
	}
	t.report = r
	t.reported = now
	t.stranger = false
	b.recovered(t)
	if r.Leaving {
		b.markLeaving(t, "its own word")
	}
	return b.dispatch(now)
}

// markListed takes the list's word, which names no incarnation.
func (b *Board) markListed(now time.Time, t *target, leaving bool) {
	if leaving && !t.listLeaving {
		t.markedAt = now
		b.markLeaving(t, "vm list")
	}
	t.listLeaving = leaving
}

// identify notes the incarnation a target says it has. A new one starts with no
// beliefs and no marks, except that a word of the list that began after the old
// one was last heard may have meant the new. A word that began before it meant
// the old one, and holds the new one back only while the list goes on saying it.
func (b *Board) identify(now time.Time, t *target, incarnation Incarnation) {
	if incarnation == "" {
		return
	}
	if incarnation.Same(t.incarnation) {
		b.nameWhole(t, incarnation)
		return
	}
	code := event.TargetRestarted
	ambiguous := t.leaving && !t.listNames && !t.markedAt.Before(t.reported)
	if t.incarnation == "" {
		code = event.TargetSeen
	} else {
		b.renew(now, t)
	}
	b.version++
	t.incarnation = incarnation
	t.guess = weightsGuess{}
	t.leaving = false
	if ambiguous {
		b.markLeaving(t, "vm list")
	}
	b.note(event.Event{Code: code, Target: t.name(), Detail: "incarnation " + string(incarnation)})
	if b.marks[Mark{t.addr, incarnation}] {
		b.markLeaving(t, "a peer")
	}
}

// nameWhole takes the time of a target's start that an earlier word of it did not tell.
func (b *Board) nameWhole(t *target, incarnation Incarnation) {
	if _, known := t.incarnation.Start(); known || incarnation == t.incarnation {
		return
	}
	t.incarnation = incarnation
	b.version++
	if t.leaving {
		b.marks[t.mark()] = true
	}
}

// renew drops what an earlier incarnation of a target taught: what it held, how it
// failed, how fast it read and answered, and what peers sent it. What this router still has
// under way there ends with its connection.
func (b *Board) renew(now time.Time, t *target) {
	b.renewSlot(now, t)
	b.dropParts(t)
	t.sends, t.misses = newMeter(missWindow), newMeter(missWindow)
	t.learned, t.service = 0, defaultService
	t.report.Weights = nil
	t.unused = ""
	t.peerInFlight, t.peerPrefill, t.peerTokens = 0, 0, 0
	t.recent = nil
	t.suspectedAt, t.silentAt = time.Time{}, time.Time{}
}

// IncarnationOf returns the incarnation of the target at an address, empty where none is known.
func (b *Board) IncarnationOf(addr netip.AddrPort) Incarnation {
	if t, ok := b.targets[addr]; ok {
		return t.incarnation
	}
	return ""
}

func sameWeights(a, b map[string]string) bool { return maps.Equal(a, b) }

func sameAdapters(a, b map[string][]string) bool {
	return maps.EqualFunc(a, b, func(x, y []string) bool { return slices.Equal(x, y) })
}

// markLeaving stops new work for the target's present incarnation; nothing undoes it.
func (b *Board) markLeaving(t *target, source string) {
	if t.incarnation != "" {
		b.marks[t.mark()] = true
	}
	if t.leaving {
		return
	}
	b.version++
	t.leaving = true
	b.note(event.Event{Code: event.TargetLeaving, Target: t.name(), Detail: "says " + source})
}

// Leaving takes a mark from a peer or an operator.
func (b *Board) Leaving(m Mark) {
	if b.marks[m] {
		return
	}
	b.marks[m] = true
	if t, ok := b.marked(m); ok {
		b.markLeaving(t, "a peer")
	}
}

// Hold takes the whole set of targets that get no new work for now, because the
// holder of their pool's lease is emptying them before an order.
func (b *Board) Hold(held map[Mark]bool) {
	for _, t := range b.targets {
		if now := held[t.mark()]; now != t.held {
			b.version++
			t.held = now
		}
	}
}

// Marks returns the leaving marks of targets that are still on the board.
func (b *Board) Marks() []Mark {
	var out []Mark
	for m := range b.marks {
		if _, ok := b.marked(m); ok {
			out = append(out, m)
		}
	}
	return out
}

// Unreachable takes the failure of a poll.
func (b *Board) Unreachable(now time.Time, addr netip.AddrPort) []Action {
	t, ok := b.targets[addr]
	if !ok {
		return nil
	}
	b.failed(t)
	return b.cancelStalled(now, t)
}

// failed counts a failure; several in a row take the target out until a poll succeeds.
func (b *Board) failed(t *target) {
	t.failures++
	if t.failures < failuresToFail || t.failing {
		return
	}
	b.version++
	t.failing = true
	b.note(event.Event{Code: event.TargetFailing, Target: t.name()})
}

func (b *Board) recovered(t *target) {
	t.failures = 0
	if !t.failing {
		return
	}
	b.version++
	t.failing = false
	b.note(event.Event{Code: event.TargetHealthy, Target: t.name()})
}

// stallTime is how long an attempt at a failing target may show no progress.
const stallTime = 2 * time.Second

// cancelStalled ends the attempts at a failing target that no longer progress, so that they go elsewhere.
func (b *Board) cancelStalled(now time.Time, t *target) []Action {
	if !t.failing {
		return nil
	}
	var out []Action
	for _, a := range t.attempts {
		if !a.cancelled && now.Sub(a.progress) > stallTime {
			a.cancelled = true
			out = append(out, Cancel{Request: a.Request, Attempt: a.ID})
		}
	}
	return out
}
