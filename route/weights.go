package route

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pathhead/pathhead/event"
)

// Staleness configures how a model's numbered weights are used depending on their age.
//
// Within an incarnation, weights only move to higher numbers, so an older report about a target
// never overrides a newer one.
type Staleness struct {
	// Grace is the time after newer weights are named during which older ones count as equally
	// good.
	Grace time.Duration
	// Price is the cost of older weights after Grace, in time to first token.
	Price time.Duration
	// Limit is the time after newer weights are named after which nothing is sent to older ones. It
	// counts from the earliest time at which they may have been named.
	Limit time.Duration
	// BeginLimit is the time after newer weights are named during which requests may begin on older
	// ones. A request that still waits at its target by then is withdrawn. Zero disables this.
	BeginLimit time.Duration
	// UnknownUntil is the time until which a newly started process uses weights whose time of
	// replacement is unknown.
	UnknownUntil time.Time
	// GuessTime is how long weights assumed because of a refusal take precedence over those that
	// the target reports.
	GuessTime time.Duration
}

// WithNumberedWeights makes the board prefer the newest named weights by age.
func WithNumberedWeights(s Staleness) Option {
	return func(b *Board) { b.staleness = &s }
}

// maxNewestSpans bounds the spans remembered for a model. Weights older than these are too old to
// be used anyway.
const maxNewestSpans = 8

// AddNewestSpan records that weights were the newest of a model during a span of time, and reports
// whether they are newer than all known before.
func (b *Board) AddNewestSpan(now time.Time, s NewestSpan) (newer bool) {
	list, newer := b.named[s.Model].join(s)
	if b.staleness != nil {
		list = list.prune(now, b.staleness.Limit, maxNewestSpans)
	}
	b.named[s.Model] = list
	if newer {
		b.version++
	}
	return newer
}

// NewestWeights returns the newest known weights of a model.
func (b *Board) NewestWeights(model string) string {
	list := b.named[model]
	if len(list) == 0 {
		return ""
	}
	return list[len(list)-1].Weights
}

// NamedModels returns the models of which weights are known to have been named.
func (b *Board) NamedModels() []string { return slices.Collect(maps.Keys(b.named)) }

// NewestSpans returns the known spans of all models.
func (b *Board) NewestSpans() []NewestSpan {
	var out []NewestSpan
	for _, list := range b.named {
		out = append(out, list...)
	}
	return out
}

// weightsUse states how weights are used because of their age.
type weightsUse int

const (
	useFreely weightsUse = iota
	usePenalised
	useNever
)

// weightsUseOf returns how weights of a model are used now.
func (b *Board) weightsUseOf(now time.Time, model, weights string) weightsUse {
	if b.staleness == nil {
		return useFreely
	}
	after, by, replaced := b.named[model].replacedBetween(weights)
	switch {
	case !replaced:
		return useFreely
	case !now.Before(b.staleness.until(after, by, b.staleness.Limit)):
		return useNever
	case now.Sub(by) >= b.staleness.Grace && !b.disabled.Has(NewestWeights):
		return usePenalised
	}
	return useFreely
}

// tooOldToBegin reports whether weights of a model are too old for a request to begin on them at
// the given time.
func (b *Board) tooOldToBegin(begin time.Time, model, weights string) bool {
	if b.staleness == nil {
		return false
	}
	after, by, replaced := b.named[model].replacedBetween(weights)
	return replaced && !begin.Before(b.staleness.until(after, by, b.staleness.BeginLimit))
}

// until returns the time at which a limit ends for weights that were replaced between after and by;
// after is zero if unknown. The limit counts from after but does not end before UnknownUntil.
// Counted from by, it has ended in any case.
func (s Staleness) until(after, by time.Time, limit time.Duration) time.Time {
	until := s.UnknownUntil
	if t := after.Add(limit); !after.IsZero() && t.After(until) {
		until = t
	}
	if t := by.Add(limit); t.Before(until) {
		return t
	}
	return until
}

// withdrawOutdated cancels attempts that have waited at a target until its weights became too old
// to begin on. Only streams are affected, because it cannot be observed whether any other answer
// has begun.
func (b *Board) withdrawOutdated(now time.Time, t *target) []Action {
	if b.staleness == nil {
		return nil
	}
	var out []Action
	for _, a := range t.attempts {
		r := b.requests[a.Request]
		if r == nil || r.Model == nil || !r.Streams || a.firstToken || a.cancelled || !b.tooOldToBegin(now, r.Model.Name, a.Weights) {
			continue
		}
		a.cancelled, a.withdrawn = true, true
		out = append(out, Cancel{Request: a.Request, Attempt: a.ID})
		b.emit(event.Event{Code: event.AttemptWithdrawn, Request: a.Request, Attempt: a.ID, Target: t.name(), Detail: fmt.Sprintf(
			"it waited %s at the target, and weights %s have become too old to begin on", now.Sub(a.sent).Round(time.Millisecond), a.Weights)})
	}
	return out
}

// noteUnused logs an event, once per target and weights, that the weights are no longer used.
func (b *Board) noteUnused(now time.Time, t *target, model, weights string) {
	if t.unused == weights {
		return
	}
	t.unused = weights
	after, by, _ := b.named[model].replacedBetween(weights)
	maxAge := "an unknown time"
	if !after.IsZero() {
		maxAge = now.Sub(after).Round(time.Millisecond).String()
	}
	b.emit(event.Event{Code: event.TargetOutdated, Target: t.name(), Detail: fmt.Sprintf(
		"%s %s: replaced between %s and %s ago, as far as known; the newest are %s",
		model, weights, now.Sub(by).Round(time.Millisecond), maxAge, b.NewestWeights(model))})
}

// OldestInUse returns the least time since the oldest weights on usable targets were replaced, or
// zero if all targets have the newest.
func (b *Board) OldestInUse(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, t := range b.targets {
		if !t.usable() {
			continue
		}
		for model, weights := range t.weights() {
			if _, by, ok := b.named[model].replacedBetween(weights); ok {
				oldest = max(oldest, now.Sub(by))
			}
		}
	}
	return oldest
}

// newestShare bounds the share of a pool's requests that engines with the newest weights get while
// the others are being updated, as a multiple of their proportional share. Loads are reported with
// a delay; without a bound, all routers would send everything to the first few engines with new
// weights.
const newestShare = 2

// prefersNewest reports whether a request prefers the engines with the newest weights. As many
// requests do as these engines can serve in addition to their share of the others.
func (b *Board) prefersNewest(r *request, list []server) bool {
	if b.staleness == nil || len(list) <= maxFullScan {
		return true
	}
	newest := b.NewestWeights(r.Model.Name)
	have := 0
	for _, s := range list {
		if s.weights == newest {
			have++
		}
	}
	return r.sample < newestShare*float64(have)/float64(len(list))
}

// assumedWeights are the weights that a target is assumed to have because it refused a request over
// a weights mismatch. They may be wrong, since the target may have been updated to weights between
// the expected and the newest ones. They therefore yield to the target's own reports, and the
// process that updates targets to the newest weights ignores them.
type assumedWeights struct {
	model   string
	weights string
	until   time.Time
}

// weights returns the weights that requests to the target expect.
func (t *target) weights() map[string]string {
	if t.assumed.weights == "" {
		return t.report.Weights
	}
	out := maps.Clone(t.report.Weights)
	out[t.assumed.model] = t.assumed.weights
	return out
}

// WeightsOf returns the weights that an incarnation of a target last reported.
func (b *Board) WeightsOf(m TargetKey, model string) string {
	t, ok := b.targetByKey(m)
	if !ok {
		return ""
	}
	return t.report.Weights[model]
}

// handleWeightsMismatch handles a refusal by the expected incarnation because it has other weights
// than expected. It has those that it states, or else most likely was updated to the newest and the
// report of it is late, or to the next ones if those are not known here. If that was already
// assumed, nothing is sent to the target until its next report.
func (b *Board) handleWeightsMismatch(now time.Time, a *attempt, o Outcome) {
	r, ok := b.requests[a.Request]
	if !ok || b.staleness == nil {
		return
	}
	t, model := a.target, r.Model.Name
	// While it carried out an order it would have refused the request before it checked this.
	t.loadingUntil = time.Time{}
	if expected, _ := t.serves(model, ""); expected != a.Weights {
		known := expected
		if t.assumed.weights != "" {
			// An assumption is not passed on.
			known = b.NewestWeights(model)
		}
		b.noticeWeights(now, a, model, cmp.Or(o.Weights, known))
		return
	}
	weights := cmp.Or(o.Weights, b.NewestWeights(model))
	guessed := o.Weights == "" && !OlderWeights(a.Weights, weights) && t.assumed.weights == "" && !b.disabled.Has(ResendSameTarget)
	if guessed {
		// A router that is cut off from the others and the store does not know of newer weights.
		weights = nextWeights(a.Weights)
	}
	if !OlderWeights(a.Weights, weights) {
		b.setAssumedWeights(now, t, assumedWeights{})
		b.markUnresponsive(now, t)
		return
	}
	g := assumedWeights{model: model, weights: weights, until: now.Add(b.staleness.GuessTime)}
	if t.assumed.weights != "" {
		g.until = t.assumed.until
	}
	b.setAssumedWeights(now, t, g)
	b.emitWeights(t, map[string]string{model: weights}, "its refusal")
	if !guessed {
		b.noticeWeights(now, a, model, weights)
	}
}

// noticeWeights tells the other routers the weights of a target that refused an attempt over them,
// if they are newer than the attempt expected.
func (b *Board) noticeWeights(now time.Time, a *attempt, model, weights string) {
	if OlderWeights(a.Weights, weights) {
		b.notice(now, TargetNotice{Kind: NoticeWeights, Target: TargetKey{a.Target, a.Incarnation}, Model: model, Weights: weights})
	}
}

// setAssumedWeights changes the weights that a target is assumed to have.
func (b *Board) setAssumedWeights(now time.Time, t *target, g assumedWeights) {
	previous := t.weights()
	t.assumed = g
	b.applyWeightsChange(now, t, previous)
}

// applyWeightsChange invalidates the cache entries about a target if the weights that requests
// expect there have changed.
func (b *Board) applyWeightsChange(now time.Time, t *target, previous map[string]string) {
	if sameWeights(previous, t.weights()) {
		return
	}
	b.renewSlot(now, t)
	b.version++
}

// WeightsUpdate reports the weights that a target was observed to have.
type WeightsUpdate struct {
	Target  TargetKey
	Model   string
	Weights string
}

// WeightsLoaded records that a target has newer weights than it last reported.
func (b *Board) WeightsLoaded(now time.Time, w WeightsUpdate) []Action {
	t, ok := b.targetByKey(w.Target)
	if !ok || !OlderWeights(t.report.Weights[w.Model], w.Weights) {
		return nil
	}
	b.observeWeights(now, t, w.Model, w.Weights, "the lease holder")
	return b.dispatch(now)
}

// observeWeights records weights that a target was observed to have.
func (b *Board) observeWeights(now time.Time, t *target, model, weights, source string) {
	previous := t.weights()
	t.loadingUntil = time.Time{}
	observed := maps.Clone(t.report.Weights)
	if observed == nil {
		observed = make(map[string]string)
	}
	observed[model] = weights
	t.report.Weights = observed
	t.assumed = assumedWeights{}
	b.applyWeightsChange(now, t, previous)
	b.emitWeights(t, map[string]string{model: weights}, source)
}

// applyWeightsHint applies the weights that an answer states. Answers may overtake each other, so
// only newer weights than known count. Weights that were not named to this router are not used.
func (b *Board) applyWeightsHint(now time.Time, t *target, hints TargetHints) {
	known, serves := t.report.Weights[hints.Model]
	if b.staleness == nil || !serves || hints.Weights == "" || b.disabled.Has(WeightsNotices) {
		return
	}
	if OlderWeights(known, hints.Weights) && !OlderWeights(b.NewestWeights(hints.Model), hints.Weights) {
		b.observeWeights(now, t, hints.Model, hints.Weights, "its answer")
	}
}

func (b *Board) emitWeights(t *target, weights map[string]string, source string) {
	for model, w := range weights {
		b.emit(event.Event{Code: event.TargetWeights, Target: t.name(), Detail: model + " " + w + ", reported by " + source})
	}
}

// applyReportedWeights applies the weights in a target's report. A report with the same weights as
// before only clears an assumption that has expired.
func (b *Board) applyReportedWeights(now time.Time, t *target, r Report, previous map[string]string) {
	changed := !sameWeights(t.report.Weights, r.Weights)
	if changed || !now.Before(t.assumed.until) {
		t.assumed = assumedWeights{}
	}
	if t.hasNewer(r.Weights) {
		t.loadingUntil = time.Time{}
	}
	if changed && !t.reported.IsZero() {
		b.emitWeights(t, r.Weights, "its own list entry")
	}
	t.report.Weights = r.Weights
	b.applyWeightsChange(now, t, previous)
}

// hasNewer reports whether the given weights of the target are newer than those that were known.
func (t *target) hasNewer(weights map[string]string) bool {
	for model, w := range weights {
		if OlderWeights(t.report.Weights[model], w) {
			return true
		}
	}
	return false
}

// regresses reports whether a report has older weights than are known of the same incarnation.
func (t *target) regresses(r Report) bool {
	if t.reportOutdated || !r.Incarnation.Same(t.incarnation) {
		return false
	}
	for model, weights := range r.Weights {
		if OlderWeights(weights, t.report.Weights[model]) {
			return true
		}
	}
	return false
}
