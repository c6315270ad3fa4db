package route

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/pathhead/pathhead/event"
)

// TargetNotice is what a router learned about a target from a request that the target did not run.
// Routers notify each other, since each of them would otherwise lose a request to learn the same.
type TargetNotice struct {
	Kind   NoticeKind
	Target TargetKey
	// Successor is the incarnation that answers at the target's address now.
	Successor Incarnation
	// Model and Weights are the weights that the target has, or the successor, or that the order
	// names.
	Model, Weights string
	// Sender identifies the router that observed the target. It is zero for kinds of which one
	// router's notice is as good as several.
	Sender uint64
	// Age is the age of the observation when the notice was sent.
	Age time.Duration
}

// NoticeKind is what a [TargetNotice] states.
type NoticeKind int

// Kinds of notices.
const (
	// NoticeSucceeded means that another incarnation answers at the target's address.
	NoticeSucceeded NoticeKind = iota
	// NoticeEnded means that nothing listens at the target's address.
	NoticeEnded
	// NoticeWeights means that the target refused a request over its weights.
	NoticeWeights
	// NoticeLoading means that the target is carrying out an order.
	NoticeLoading
)

// String returns the name of the kind for logs.
func (k NoticeKind) String() string {
	switch k {
	case NoticeSucceeded:
		return "succeeded"
	case NoticeEnded:
		return "ended"
	case NoticeWeights:
		return "weights"
	case NoticeLoading:
		return "loading"
	}
	panic("route: unknown kind of notice")
}

// Times and bounds of notices.
const (
	// noticeTTL is how long a router repeats a notice in its reports, in case the immediate one was
	// lost: two reports to a relay.
	noticeTTL = 600 * time.Millisecond
	// maxNotices bounds the notices in a report, some 60 bytes each: a report then stays below a
	// second's share of the control traffic.
	maxNotices = 32
	// endedReportLag is the time for which reports that a target wrote before its end may still
	// arrive.
	endedReportLag = 1500 * time.Millisecond
	// succeededTTL is how long a list entry may outlive its target: three heartbeats and the age of
	// the list.
	succeededTTL = 10 * time.Second
	// loadingTime is how long a target that carries out an order gets nothing. By then the lease
	// holder has seen it and holds the target, or the order is done.
	loadingTime = 700 * time.Millisecond
)

// targetNotices holds the notices of a router.
type targetNotices struct {
	// id identifies this router as a sender.
	id uint64
	// onNotice receives each new notice; it is nil if the router does not exchange notices.
	onNotice func(TargetNotice)
	// own are the recent observations of this router, oldest first.
	own []ownNotice
	// loading holds, for each notice of another router about a target that carries out an order, the
	// time of the observation.
	loading map[TargetNotice]time.Time
	// succeeded holds, for each address, the incarnation that another one has succeeded there.
	succeeded map[netip.AddrPort]succession
}

// succession is an incarnation that another one has succeeded, and when this became known.
type succession struct {
	incarnation Incarnation
	at          time.Time
}

// ownNotice is a notice of this router and the time of its observation.
type ownNotice struct {
	TargetNotice
	at time.Time
}

// WithTargetNotices makes the board exchange notices about targets with other routers. The function
// receives each new notice of this router, with the board's lock held, and must not block. The name
// identifies this router among the others.
func WithTargetNotices(name string, onNotice func(TargetNotice)) Option {
	return func(b *Board) {
		b.notices = targetNotices{
			id: senderID(name), onNotice: onNotice, loading: make(map[TargetNotice]time.Time), succeeded: make(map[netip.AddrPort]succession),
		}
	}
}

// senderID returns the id of the router with the given name, which is not zero.
func senderID(name string) uint64 {
	return max(1, xxh3.HashString(name))
}

// namesSender reports whether notices of the kind name their sender.
func (k NoticeKind) namesSender() bool { return k == NoticeEnded || k == NoticeLoading }

// exchangesNotices reports whether this router exchanges notices.
func (b *Board) exchangesNotices() bool {
	return b.notices.onNotice != nil && !b.disabled.Has(WeightsNotices)
}

// notice records an observation of this router and passes it on.
func (b *Board) notice(now time.Time, n TargetNotice) {
	if n.Kind.namesSender() {
		n.Sender = b.notices.id
	}
	if !b.exchangesNotices() || b.noticed(now, n) {
		return
	}
	b.notices.own = append(b.notices.own, ownNotice{n, now})
	b.notices.onNotice(n)
	b.emit(event.Event{Code: event.TargetNoticed, Target: n.Target.Target.String(), Detail: n.text()})
}

// text describes the notice to operators.
func (n TargetNotice) text() string {
	text := fmt.Sprintf("%s: incarnation %s", n.Kind, n.Target.Incarnation)
	if n.Successor != "" {
		text += ", successor " + string(n.Successor)
	}
	if n.Weights != "" {
		text += fmt.Sprintf(", %s %s", n.Model, n.Weights)
	}
	return text
}

// noticed reports whether this router has the same notice in its reports already.
func (b *Board) noticed(now time.Time, n TargetNotice) bool {
	b.trimNotices(now)
	return slices.ContainsFunc(b.notices.own, func(o ownNotice) bool { return o.TargetNotice == n })
}

// trimNotices drops the notices that are no longer reported.
func (b *Board) trimNotices(now time.Time) {
	own := b.notices.own
	expired := 0
	for expired < len(own) && now.Sub(own[expired].at) >= noticeTTL {
		expired++
	}
	b.notices.own = own[max(expired, len(own)-maxNotices):]
}

// noticeUpdates returns the notices for the next report to peers.
func (b *Board) noticeUpdates(now time.Time) []TargetNotice {
	if !b.exchangesNotices() {
		return nil
	}
	b.trimNotices(now)
	var out []TargetNotice
	for _, o := range b.notices.own {
		o.Age = now.Sub(o.at)
		out = append(out, o.TargetNotice)
	}
	return out
}

// agedNotices returns the notices as they count after the given age: those that their router no
// longer repeats do not.
func agedNotices(notices []TargetNotice, age time.Duration) []TargetNotice {
	var out []TargetNotice
	for _, n := range notices {
		if n.Age += age; n.Age < noticeTTL {
			out = append(out, n)
		}
	}
	return out
}

// joinNotices merges the notices of several routers and keeps the newest.
func joinNotices(states []PeerState) []TargetNotice {
	ages := make(map[TargetNotice]time.Duration)
	for _, s := range states {
		for _, n := range s.Notices {
			key := n
			key.Age = 0
			if age, known := ages[key]; !known || n.Age < age {
				ages[key] = n.Age
			}
		}
	}
	return newestNotices(ages)
}

func newestNotices(ages map[TargetNotice]time.Duration) []TargetNotice {
	out := slices.Collect(maps.Keys(ages))
	for i, key := range out {
		out[i].Age = ages[key]
	}
	slices.SortFunc(out, func(a, b TargetNotice) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), a.Target.Target.Compare(b.Target.Target), cmp.Compare(a.Kind, b.Kind))
	})
	return out[:min(len(out), maxNotices)]
}

// ApplyNotices applies notices of other routers.
func (b *Board) ApplyNotices(now time.Time, notices []TargetNotice) []Action {
	for _, n := range notices {
		b.applyNotice(now, n)
	}
	return b.dispatch(now)
}

// mergeNotices applies the notices that the reports of other routers repeat. Joined reports do not
// tell how many routers noticed an end.
func (b *Board) mergeNotices(now time.Time, states map[string]PeerState) {
	for _, s := range states {
		for _, n := range s.Notices {
			if n.Kind != NoticeEnded {
				b.applyNotice(now, n)
			}
		}
	}
}

// endedReports counts the routers that recently found nothing listening at a target's address.
type endedReports struct {
	first   time.Time
	senders []uint64
}

// report adds a router's report and returns the number of routers, up to minUnresponsiveRouters.
func (r *endedReports) report(now time.Time, sender uint64) int {
	if now.Sub(r.first) >= endedReportLag {
		*r = endedReports{first: now}
	}
	if len(r.senders) < minUnresponsiveRouters && !slices.Contains(r.senders, sender) {
		r.senders = append(r.senders, sender)
	}
	return len(r.senders)
}

// applyNotice applies a notice of another router, unless it concerns an incarnation that this
// router does not send to. Relays also send a router its own notices.
func (b *Board) applyNotice(now time.Time, n TargetNotice) {
	if n.Sender == b.notices.id && n.Sender != 0 {
		return
	}
	t, ok := b.targets[n.Target.Target]
	if !b.exchangesNotices() || !ok || !n.Target.Incarnation.Same(t.incarnation) {
		return
	}
	switch n.Kind {
	case NoticeSucceeded:
		b.succeed(now, t, n.Successor)
		b.assumeNewest(now, t, n.Model, n.Weights)
	case NoticeEnded:
		if now.Sub(t.answeredAt) > answerValidTime && !t.ended(now) && t.endedReports.report(now, n.Sender) >= minUnresponsiveRouters {
			b.markEnded(now, t, "several peers found nothing listening at its address")
		}
	case NoticeWeights:
		if expected, serves := t.serves(n.Model, ""); serves && OlderWeights(expected, n.Weights) {
			t.loadingUntil = time.Time{}
			b.assumeNewest(now, t, n.Model, n.Weights)
			b.emitWeights(t, map[string]string{n.Model: n.Weights}, "its refusal to a peer")
		}
	case NoticeLoading:
		if at := now.Add(-n.Age); !t.hasLoaded(n) && b.newLoading(now, n, at) {
			b.markLoading(at, t)
		}
	}
}

// hasLoaded reports whether the target is known to have the weights of a notice that it was loading
// them.
func (t *target) hasLoaded(n TargetNotice) bool {
	weights, serves := t.serves(n.Model, "")
	return serves && n.Weights != "" && !OlderWeights(weights, n.Weights)
}

// newLoading reports whether a notice that a target carried out an order at the given time was not
// applied before. Each report to peers repeats it, and on the way it appears to be younger than it
// is.
func (b *Board) newLoading(now time.Time, n TargetNotice, at time.Time) bool {
	maps.DeleteFunc(b.notices.loading, func(_ TargetNotice, at time.Time) bool { return now.Sub(at) >= 2*noticeTTL })
	n.Age = 0
	if known, ok := b.notices.loading[n]; ok && at.Sub(known) < noticeTTL {
		return false
	}
	b.notices.loading[n] = at
	return true
}

// succeed records that another incarnation answers at a target's address. Until the list names it,
// it gets no requests if the address may belong to another pool by now.
func (b *Board) succeed(now time.Time, t *target, successor Incarnation) {
	if successor == "" || successor.Same(t.incarnation) {
		return
	}
	if b.exchangesNotices() {
		maps.DeleteFunc(b.notices.succeeded, func(_ netip.AddrPort, s succession) bool { return now.Sub(s.at) >= succeededTTL })
		b.notices.succeeded[t.addr] = succession{t.incarnation, now}
	}
	b.identify(now, t, successor)
	t.unconfirmed = b.reused
}

// hasSucceeded reports whether another incarnation is known to have taken an incarnation's address.
// The list names the old one until its entry expires.
func (b *Board) hasSucceeded(now time.Time, addr netip.AddrPort, incarnation Incarnation) bool {
	s, ok := b.notices.succeeded[addr]
	return ok && s.incarnation.Same(incarnation) && now.Sub(s.at) < succeededTTL
}

// assumeNewest assumes that a target has the given weights, if they are newer than those expected
// there.
func (b *Board) assumeNewest(now time.Time, t *target, model, weights string) {
	expected, serves := t.serves(model, "")
	if b.staleness == nil || !serves || !OlderWeights(expected, weights) {
		return
	}
	b.setAssumedWeights(now, t, assumedWeights{model: model, weights: weights, until: now.Add(b.staleness.GuessTime)})
}

// markEnded marks a target at whose address nothing listens as failing. A report that it wrote
// before its end does not end this.
func (b *Board) markEnded(now time.Time, t *target, why string) {
	t.endedAt = now
	b.markFailing(now, t, why)
}

// noticeEnded records that connections to a target are refused. If many targets refuse them at
// once, the fault may be in this router's own path, and it does not tell the others.
func (b *Board) noticeEnded(now time.Time, addr netip.AddrPort) {
	t, ok := b.targets[addr]
	if !ok || !b.exchangesNotices() || t.incarnation == "" {
		return
	}
	b.markEnded(now, t, "nothing listens at its address")
	listed, ended := 0, 0
	for _, other := range b.targets {
		if !other.listed {
			continue
		}
		if listed++; !other.endedAt.IsZero() && now.Sub(other.endedAt) < endedReportLag {
			ended++
		}
	}
	if float64(ended) <= max(1, maxUnresponsiveShare*float64(listed)) {
		b.notice(now, TargetNotice{Kind: NoticeEnded, Target: t.key()})
	}
}

// ended reports whether connections to the target were refused so recently that a report may be
// from before.
func (t *target) ended(now time.Time) bool {
	return !t.endedAt.IsZero() && now.Sub(t.endedAt) < endedReportLag
}

// markLoading records that a target was carrying out an order at the given time.
func (b *Board) markLoading(at time.Time, t *target) {
	if until := at.Add(loadingTime); until.After(t.loadingUntil) {
		t.loadingUntil = until
		b.backoffUntil = later(b.backoffUntil, until)
	}
}

// learnFromRefusal learns from a request that a target did not run, and tells the other routers.
func (b *Board) learnFromRefusal(now time.Time, a *attempt, o Outcome) {
	r, ok := b.requests[a.Request]
	if !ok || o.Kind != OutcomeRefused {
		return
	}
	t := a.target
	switch {
	case o.Incarnation == "" && o.Unavailable && o.Backoff == 0 && b.maybeLoading(t, r, a):
		b.markLoading(now, t)
		b.notice(now, TargetNotice{Kind: NoticeLoading, Target: t.key(), Model: r.Model.Name, Weights: b.NewestWeights(r.Model.Name)})
	case o.Incarnation.Same(a.Incarnation) && r.Model != nil:
		b.handleWeightsMismatch(now, a, o)
	}
}

// learnSuccessor handles a refusal by another incarnation than expected, which has the newest
// weights unless it states others.
func (b *Board) learnSuccessor(now time.Time, r *request, a *attempt, o Outcome) {
	t := a.target
	if o.Incarnation.Same(t.incarnation) || b.hasSucceeded(now, a.Target, o.Incarnation) {
		return
	}
	n := TargetNotice{Kind: NoticeSucceeded, Target: t.key(), Successor: o.Incarnation}
	if r.Model != nil && b.exchangesNotices() {
		n.Model, n.Weights = r.Model.Name, cmp.Or(o.Weights, b.NewestWeights(r.Model.Name))
	}
	b.succeed(now, t, o.Incarnation)
	b.assumeNewest(now, t, n.Model, n.Weights)
	b.notice(now, n)
}

// maybeLoading reports whether a target that refused a request without a reason is likely to be
// carrying out an order, for which it requests no back-off: its weights are to be replaced, and as
// far as is known it is not full. Of a target with an unanswered order it is likely even while all
// slots are taken.
func (b *Board) maybeLoading(t *target, r *request, a *attempt) bool {
	if b.staleness == nil || r.Model == nil || !b.exchangesNotices() {
		return false
	}
	full := t.slots()
	if t.ordered {
		full = t.window(b.pools[r.Pool])
	}
	return OlderWeights(a.Weights, b.NewestWeights(r.Model.Name)) && t.inFlight() < full
}

// refusalText describes a refusal to operators: what was expected of the target and how old that
// knowledge is.
func (b *Board) refusalText(now time.Time, r *request, a *attempt, o Outcome) string {
	switch {
	case o.Kind != OutcomeRefused:
		return ""
	case o.Incarnation != "" && !o.Incarnation.Same(a.Incarnation):
		return fmt.Sprintf("; incarnation %s was expected and %s answered, last report %s old", a.Incarnation, o.Incarnation, ageText(now, a.target.reported))
	case r.Model == nil || o.Incarnation == "" && !o.Unavailable:
		return ""
	}
	text := fmt.Sprintf("; weights %s were expected, last report %s old, the newest are %s", a.Weights, ageText(now, a.target.reported), b.NewestWeights(r.Model.Name))
	if o.Weights != "" {
		text += ", it has " + o.Weights
	}
	switch {
	case a.target.held:
		text += ", held for an order"
	case a.target.ordered:
		text += ", an order there is unanswered"
	}
	return text
}

func ageText(now, at time.Time) string {
	if at.IsZero() {
		return "an unknown time"
	}
	return now.Sub(at).Round(time.Millisecond).String()
}

// SetOrderedTargets replaces the set of targets that may carry out an order at any time, because
// one that they did not answer may still reach them.
func (b *Board) SetOrderedTargets(ordered map[TargetKey]bool) {
	for _, t := range b.targets {
		t.ordered = ordered[t.key()]
	}
}
