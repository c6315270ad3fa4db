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

// ListedTarget is one line of the VM list as the board takes it.
type ListedTarget struct {
	Addr    netip.AddrPort
	Labels  map[string]string
	Leaving bool
	// Incarnation is whom the line means, empty where the list does not tell.
	Incarnation Incarnation
	// Release is the release of the target's software, empty where the list does not tell.
	Release string
}

// Entry is one entry of a list that also has what the targets report.
type Entry struct {
	Seen   ListedTarget
	Report Report
	// Revision grows with each sign of life of the target.
	Revision int64
}

// TargetKey says that one incarnation of a target is leaving.
type TargetKey struct {
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
	// release is the release of its software.
	release string
	pools   []*pool
	listed  bool
	slot    uint32
	// emptied is when the target was first seen with its present, empty cache.
	emptied     time.Time
	hash        uint64
	incarnation Incarnation
	report      Report
	reported    time.Time
	// unreported says that the report is an earlier incarnation's. Its weights are the best
	// guess of what this one has, but no bound of it.
	reportOutdated bool
	// stranger says that an answer named the incarnation, which has not reported
	// itself yet: the address may be another pool's by now.
	unconfirmed bool
	draining    bool
	// listNames says that the list tells which incarnation it means, listedDraining is its
	// present word, markedAt when it began to say so.
	listNames      bool
	listedDraining bool
	markedAt       time.Time
	held           bool
	failures       int
	failing        bool
	// suspectedAt is when the target was last taken out for giving no sign of life,
	// silentAt when this router found that itself, answeredAt when it last got an answer.
	suspectedAt, silentAt, answeredAt time.Time
	// sends and misses measure the attempts that ended here and those of them that failed.
	sends, failedSends meter
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
	assumed assumedWeights
	// unused are weights of the target of which it was recorded that they are used no more.
	unused string
	// peers is what other routers have in flight here.
	peerInFlight int
	// backoffUntil is until when it wants no requests of this router.
	backoffUntil time.Time
	// limit is its newest word on the requests that it takes.
	limit targetLimit
	// usedAt is when a request last used the target, or might have.
	usedAt time.Time
	// round and candidate are scratch of one placement.
	round       uint64
	candidate   int
	peerPrefill int
	peersAt     time.Time
	// recent are requests that peers told of besides.
	peerSends []peerSend
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

// key names the target's present incarnation.
func (t *target) key() TargetKey { return TargetKey{t.addr, t.incarnation} }

// targetByKey returns the target that has the incarnation which a mark names now.
func (b *Board) targetByKey(m TargetKey) (t *target, ok bool) {
	t, ok = b.targets[m.Target]
	return t, ok && t.incarnation == m.Incarnation
}

// usable reports whether the target may get new work.
func (t *target) usable() bool {
	return t.listed && !t.draining && !t.listedDraining && !t.held && !t.failing &&
		!t.reported.IsZero() && !t.unconfirmed
}

// serves returns the weights of a model that the target has loaded.
func (t *target) serves(model, adapter string) (weights string, ok bool) {
	weights, ok = t.report.Weights[model]
	if ok && t.assumed.model == model {
		weights = t.assumed.weights
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
	t.learned = smooth(t.learned, rate)
	if b.disabled.Has(PoolRate) {
		return
	}
	for _, p := range t.pools {
		p.learned = smooth(p.learned, rate)
	}
}

// smooth moves a learned rate towards one that was seen; the first is taken as it is.
func smooth(learned, seen float64) float64 {
	if learned == 0 {
		return seen
	}
	return learned + learnPart*(seen-learned)
}

// SetTargets takes the VM list; targets that are not on it any more get no new work.
func (b *Board) SetTargets(now time.Time, list []ListedTarget) []Action {
	changed := false
	for _, t := range b.targets {
		t.listed = false
	}
	for _, s := range list {
		t, ok := b.targets[s.Addr]
		if !ok {
			t = b.addTarget(now, s.Addr)
		}
		changed = changed || t.release != s.Release
		t.labels, t.release = s.Labels, s.Release
		t.listed = true
		t.listNames = s.Incarnation != ""
		b.identify(now, t, s.Incarnation)
		b.setListDraining(now, t, s.Leaving)
	}
	for addr, t := range b.targets {
		if !t.listed && len(t.attempts) == 0 {
			b.emit(event.Event{Code: event.TargetGone, Target: t.name()})
			b.dropTarget(addr, t)
		}
	}
	b.assignPools()
	if changed {
		b.trackReleases(now)
	}
	return b.dispatch(now)
}

func (b *Board) addTarget(now time.Time, addr netip.AddrPort) *target {
	t := &target{
		addr:        addr,
		hash:        hashAddr(addr),
		service:     defaultService,
		sends:       newMeter(failureWindow),
		failedSends: newMeter(failureWindow),
	}
	b.targets[addr] = t
	b.renewSlot(now, t)
	return t
}

func (b *Board) dropTarget(addr netip.AddrPort, t *target) {
	b.retainHints(t)
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
	b.applyReport(now, t, r)
	return b.dispatch(now)
}

// applyReport takes what a target reports of itself.
func (b *Board) applyReport(now time.Time, t *target, r Report) {
	if b.staleness != nil && t.regresses(r) {
		r.Weights = t.report.Weights
	}
	had := t.weights()
	b.identify(now, t, r.Incarnation)
	b.applyReportedWeights(now, t, r, had)
	if t.reported.IsZero() || t.unconfirmed || !sameAdapters(t.report.Adapters, r.Adapters) {
		b.version++
	}
	t.report = r
	t.reported = now
	t.reportOutdated = false
	t.unconfirmed = false
	b.recordRecovery(t)
	if r.Leaving {
		b.setDraining(t, "its own word")
	}
}

func sameWeights(a, b map[string]string) bool { return maps.Equal(a, b) }

func sameAdapters(a, b map[string][]string) bool {
	return maps.EqualFunc(a, b, func(x, y []string) bool { return slices.Equal(x, y) })
}
