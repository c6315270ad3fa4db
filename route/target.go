package route

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/pathhead/pathhead/event"
)

// Report is what a target reports about itself when polled.
type Report struct {
	Incarnation Incarnation
	// Weights maps the models that the target serves to their weights, Adapters to their adapters.
	Weights     map[string]string
	Adapters    map[string][]string
	Leaving     bool
	Loading     bool
	Running     int
	Waiting     int
	Slots       int
	PrefillRate float64
	// Cold is the remaining time for which the target is slow after its start.
	Cold time.Duration
	// InFlight is the number of this router's attempts when the poll was sent.
	InFlight int
}

// ListedTarget is an entry of the VM list as passed to the board.
type ListedTarget struct {
	Addr    netip.AddrPort
	Labels  map[string]string
	Leaving bool
	// Incarnation is the incarnation that the entry refers to, empty if the list does not name one.
	Incarnation Incarnation
	// Release is the release of the target's software, empty if the list does not name one.
	Release string
}

// Entry is an entry of a list that also contains the targets' reports.
type Entry struct {
	Seen   ListedTarget
	Report Report
	// Revision increases with each sign of life of the target.
	Revision int64
}

// TargetKey identifies one incarnation of a target.
type TargetKey struct {
	Target      netip.AddrPort
	Incarnation Incarnation
}

// failuresToFail is the number of consecutive failures after which a target counts as failing. The
// defaults apply to targets that have not reported a value.
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
	// emptied is when the target was first seen with its present cache, then empty.
	emptied     time.Time
	hash        uint64
	incarnation Incarnation
	report      Report
	reported    time.Time
	// reportOutdated is set if the report is from an earlier incarnation. Its weights are the best
	// estimate of the current ones, but do not bound them.
	reportOutdated bool
	// unconfirmed is set if an answer named the incarnation, but it has not reported itself yet.
	// The address may meanwhile belong to another pool.
	unconfirmed bool
	draining    bool
	// listNames is set if the list names the incarnation that it refers to. listedDraining is the
	// list's current draining mark, and markedAt when it was set.
	listNames      bool
	listedDraining bool
	markedAt       time.Time
	held           bool
	failures       int
	failing        bool
	// ordered is set if an order that the target did not answer may still be carried out.
	ordered bool
	// endedAt is when connections to the target were last refused, loadingUntil until when it is
	// assumed to carry out an order.
	endedAt, loadingUntil time.Time
	endedReports          endedReports
	// suspectedAt is when the target was last marked as failing because it did not respond,
	// unresponsiveAt when this router observed that itself, and answeredAt when it last received an
	// answer.
	suspectedAt, unresponsiveAt, answeredAt time.Time
	reprobe                                 reprobe
	// sends and failedSends measure the attempts that ended here and those of them that failed.
	sends, failedSends meter
	// learned is the prefill rate observed in answers, in tokens per second; zero if there is none.
	// recent is the rate in the last second, capacity the target's capacity relative to its pool's.
	// rates are the recent observations of this router, peerRate those of its peers.
	learned, recent float64
	capacity        capacityWeight
	rates           rateSamples
	peerRate        weightedRate
	// home is the weight with which the target is the first choice for prompts.
	home     capacityWeight
	attempts map[string]*attempt
	// prefill is the number of uncached tokens of attempts without a first token.
	prefill int
	// unread is the part of prefill that the target had not read at unreadAt.
	unread   float64
	unreadAt time.Time
	// tokens is the memory that this router's attempts occupy at the target, peerTokens that of
	// other routers' attempts.
	tokens, peerTokens int
	// service is the mean time for which an attempt occupies a slot.
	service time.Duration
	horizon horizon
	parts   heldParts
	// assumed overrides the reported weights.
	assumed assumedWeights
	// unused are the target's weights for which an event has recorded that they are no longer used.
	unused string
	// peerInFlight is the number of requests that other routers have in flight here.
	peerInFlight int
	// backoffUntil is the time until which it wants no requests from this router.
	backoffUntil time.Time
	// limit is the latest rate limit that it announced.
	limit targetLimit
	// brittle is what is known of its brittleness.
	brittle brittleness
	// usedAt is when a request last used the target or considered it.
	usedAt time.Time
	// round and candidate are scratch space of one placement.
	round       uint64
	candidate   int
	peerPrefill int
	peersAt     time.Time
	// peerSends are requests that peers reported individually, in addition to their loads.
	peerSends []peerSend
	// saves limits what this router has engines save to a store, moves what is transferred over the
	// store's link, both in tokens.
	saves, moves bucket
}

// name returns the target's name for events and operators.
func (t *target) name() string {
	if n := t.labels["name"]; n != "" {
		return n
	}
	return t.addr.String()
}

// key identifies the target's current incarnation.
func (t *target) key() TargetKey { return TargetKey{t.addr, t.incarnation} }

// targetByKey returns the target whose current incarnation has the given key.
func (b *Board) targetByKey(m TargetKey) (t *target, ok bool) {
	t, ok = b.targets[m.Target]
	return t, ok && t.incarnation == m.Incarnation
}

// usable reports whether the target may get new work.
func (t *target) usable() bool {
	return t.listed && !t.draining && !t.listedDraining && !t.held && !t.failing &&
		!t.reported.IsZero() && !t.unconfirmed
}

// awaited reports whether the target may get new work once its first report arrives, as after this
// router's start.
func (t *target) awaited() bool {
	return t.listed && !t.draining && !t.listedDraining && !t.failing && (t.reported.IsZero() || t.unconfirmed)
}

// serves returns the weights that the target has for a model and adapter.
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

// inFlight estimates the requests of all routers at the target: those known to this router and its
// peers, plus those that the last report shows beyond them.
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

// WorkAt returns the requests of all routers at a target, and the predicted time until those that
// wait there have begun.
func (b *Board) WorkAt(now time.Time, addr netip.AddrPort) (inFlight int, pending time.Duration) {
	t, ok := b.targets[addr]
	if !ok {
		return 0, 0
	}
	return t.inFlight(), t.queueWait(now)
}

// AimAt returns the shortest aim that the routes to a target's pools state, or zero if none states
// one.
func (b *Board) AimAt(addr netip.AddrPort) time.Duration {
	aim := time.Duration(0)
	if t, ok := b.targets[addr]; ok {
		for _, p := range t.pools {
			if p.urgentAim > 0 && (aim == 0 || p.urgentAim < aim) {
				aim = p.urgentAim
			}
		}
	}
	return aim
}

// SetTargets replaces the VM list. Targets that are no longer listed get no new work.
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
	b.observeReleases()
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

// renewSlot assigns a new slot number to the target, which invalidates all cache entries about it.
func (b *Board) renewSlot(now time.Time, t *target) {
	t.emptied = now
	delete(b.slots, t.slot)
	b.lastSlot++
	t.slot = b.lastSlot
	b.slots[t.slot] = t
	t.horizon = newHorizon(b.baseHorizon())
}

// Report applies a target's answer to a poll.
func (b *Board) Report(now time.Time, addr netip.AddrPort, r Report) []Action {
	t, ok := b.targets[addr]
	if !ok {
		return nil
	}
	b.applyReport(now, t, r)
	return b.dispatch(now)
}

// applyReport applies a target's report.
func (b *Board) applyReport(now time.Time, t *target, r Report) {
	if r.Incarnation != "" && b.hasSucceeded(now, t.addr, r.Incarnation) {
		return
	}
	if math.IsNaN(r.PrefillRate) || math.IsInf(r.PrefillRate, 0) {
		r.PrefillRate = 0
	}
	if b.staleness != nil && t.regresses(r) {
		r.Weights = t.report.Weights
	}
	previous := t.weights()
	b.identify(now, t, r.Incarnation)
	b.applyReportedWeights(now, t, r, previous)
	if t.reported.IsZero() || t.unconfirmed || !sameAdapters(t.report.Adapters, r.Adapters) {
		b.version++
	}
	if t.report.PrefillRate != r.PrefillRate || t.reported.IsZero() {
		t.forgetMiddleRate()
	}
	t.report = r
	t.reported = now
	t.reportOutdated = false
	t.unconfirmed = false
	if !t.ended(now) {
		b.recordRecovery(t)
	}
	if r.Leaving {
		b.setDraining(t, "its own report")
	}
}

func sameWeights(a, b map[string]string) bool { return maps.Equal(a, b) }

func sameAdapters(a, b map[string][]string) bool {
	return maps.EqualFunc(a, b, func(x, y []string) bool { return slices.Equal(x, y) })
}
