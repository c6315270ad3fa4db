package route

import (
	"fmt"
	"maps"
	"time"

	"github.com/pathhead/pathhead/event"
)

// Staleness says how a model's numbered weights are told apart by age.
//
// Numbered weights only rise within an incarnation, so that an older word about
// a target never undoes a newer one.
type Staleness struct {
	// Grace is how long after newer weights are named older ones are as good.
	Grace time.Duration
	// Price is what older weights cost after that, in time to first token.
	Price time.Duration
	// Limit is how long after newer weights are named nothing is sent to older ones. It
	// counts from the earliest moment at which they may have been named.
	Limit time.Duration
	// BeginLimit is how long after that a request may still begin on older ones: one that
	// was sent and waits at its target until then is withdrawn. Zero withdraws none.
	BeginLimit time.Duration
	// UnknownUntil is until when a process that has just started uses weights of which
	// nobody can tell when they were replaced.
	UnknownUntil time.Time
	// GuessTime is how long the weights that a target was taken to have because of a
	// refusal go before those that it reports itself.
	GuessTime time.Duration
}

// WithNumberedWeights makes the board prefer the newest named weights by age.
func WithNumberedWeights(s Staleness) Option {
	return func(b *Board) { b.staleness = &s }
}

// maxNewestSpans bounds the spans remembered for a model; weights that came before the
// oldest of them are too old to be used in any case.
const maxNewestSpans = 8

// AddNewestSpan takes the news that weights were the newest of a model for a span of time, and
// reports whether they are newer than those known before.
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

// NewestWeights returns the newest weights of a model that the board was told of.
func (b *Board) NewestWeights(model string) string {
	list := b.named[model]
	if len(list) == 0 {
		return ""
	}
	return list[len(list)-1].Weights
}

// NewestSpans returns what the board knows of the newest weights of all models, now and before.
func (b *Board) NewestSpans() []NewestSpan {
	var out []NewestSpan
	for _, list := range b.named {
		out = append(out, list...)
	}
	return out
}

// weightsUse says how weights are used by their age.
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

// tooOldToBegin reports whether weights of a model are too old for a request to begin on at a
// later time.
func (b *Board) tooOldToBegin(begin time.Time, model, weights string) bool {
	if b.staleness == nil {
		return false
	}
	after, by, replaced := b.named[model].replacedBetween(weights)
	return replaced && !begin.Before(b.staleness.until(after, by, b.staleness.BeginLimit))
}

// until returns when a limit is over for weights that were replaced between two moments,
// of which the earlier is zero if it is not known. It counts from the earlier, is not
// over before UnknownUntil, and is over for certain once it is counted from the later.
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

// withdrawOutdated ends the attempts that wait at a target for so long that they would
// begin there on weights that are too old. That an answer which is no stream has begun is
// not seen, so that those are left alone.
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
			"it waited %s there, and weights %s have become too old", now.Sub(a.sent).Round(time.Millisecond), a.Weights)})
	}
	return out
}

// noteUnused records once for each target and weights that these are used no more.
func (b *Board) noteUnused(now time.Time, t *target, model, weights string) {
	if t.unused == weights {
		return
	}
	t.unused = weights
	after, by, _ := b.named[model].replacedBetween(weights)
	most := "an unknown time"
	if !after.IsZero() {
		most = now.Sub(after).Round(time.Millisecond).String()
	}
	b.emit(event.Event{Code: event.TargetOutdated, Target: t.name(), Detail: fmt.Sprintf(
		"%s %s: newer ones, by now %s, were named from %s to %s ago as far as is known here",
		model, weights, b.NewestWeights(model), now.Sub(by).Round(time.Millisecond), most)})
}

// OldestInUse returns how long ago at least the oldest weights that targets in use have
// were replaced, as far as is known; zero where all have the newest.
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

// newestShare is how many times their part of a pool's requests the engines with the
// newest weights get, while the others are changed. Loads are told late: without a
// bound, all routers would send everything to the first few that have them.
const newestShare = 2

// prefersNewest reports whether a request prefers the engines with the newest
// weights, as many as these can take beside their part of the others.
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

// assumedWeights is what a target was taken to have because it refused a request for
// having other weights than expected. It may be wrong: the target may have been brought
// to weights between those expected and the newest. So it yields to what the target
// reports, and the work of bringing targets to the newest weights takes no account of it.
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

// WeightsOf returns the weights that one incarnation of a target was last seen with.
func (b *Board) WeightsOf(m TargetKey, model string) string {
	t, ok := b.targetByKey(m)
	if !ok {
		return ""
	}
	return t.report.Weights[model]
}

// handleWeightsMismatch takes the word of a target that it is the expected incarnation and
// has other weights than were expected. Most likely it was brought to the newest, and
// told of late. If that was believed already, nothing is sent until its next report.
func (b *Board) handleWeightsMismatch(now time.Time, a *attempt) {
	r, ok := b.requests[a.Request]
	if !ok || b.staleness == nil {
		return
	}
	t, model := a.target, r.Model.Name
	if expected, _ := t.serves(model, ""); expected != a.Weights {
		return
	}
	newest := b.NewestWeights(model)
	if !OlderWeights(a.Weights, newest) {
		b.setAssumedWeights(now, t, assumedWeights{})
		b.markSilent(now, t)
		return
	}
	g := assumedWeights{model: model, weights: newest, until: now.Add(b.staleness.GuessTime)}
	if t.assumed.weights != "" {
		g.until = t.assumed.until
	}
	b.setAssumedWeights(now, t, g)
	b.noteWeights(t, map[string]string{model: newest}, "its refusal")
}

// setAssumedWeights changes what a target is taken to have beside what it reports.
func (b *Board) setAssumedWeights(now time.Time, t *target, g assumedWeights) {
	had := t.weights()
	t.assumed = g
	b.applyWeightsChange(now, t, had)
}

// applyWeightsChange forgets what is believed of a target's cache if the weights that
// requests expect there are no longer those that it had.
func (b *Board) applyWeightsChange(now time.Time, t *target, had map[string]string) {
	if sameWeights(had, t.weights()) {
		return
	}
	b.renewSlot(now, t)
	b.version++
}

// WeightsUpdate says which weights a target was seen to have.
type WeightsUpdate struct {
	Target  TargetKey
	Model   string
	Weights string
}

// WeightsLoaded takes the word that a target has newer weights than it was last seen with.
func (b *Board) WeightsLoaded(now time.Time, w WeightsUpdate) []Action {
	t, ok := b.targetByKey(w.Target)
	if !ok || !OlderWeights(t.report.Weights[w.Model], w.Weights) {
		return nil
	}
	had := t.weights()
	t.report.Weights = map[string]string{w.Model: w.Weights}
	t.assumed = assumedWeights{}
	b.applyWeightsChange(now, t, had)
	b.noteWeights(t, t.report.Weights, "the holder of the lease")
	return b.dispatch(now)
}

func (b *Board) noteWeights(t *target, weights map[string]string, source string) {
	for model, w := range weights {
		b.emit(event.Event{Code: event.TargetWeights, Target: t.name(), Detail: model + " " + w + ", says " + source})
	}
}

// applyReportedWeights takes the weights of a target's report. An older word than is known of
// the incarnation changes nothing, but for a guess whose time is over.
func (b *Board) applyReportedWeights(now time.Time, t *target, r Report, had map[string]string) {
	changed := !sameWeights(t.report.Weights, r.Weights)
	if changed || !now.Before(t.assumed.until) {
		t.assumed = assumedWeights{}
	}
	if changed && !t.reported.IsZero() {
		b.noteWeights(t, r.Weights, "its own entry")
	}
	t.report.Weights = r.Weights
	b.applyWeightsChange(now, t, had)
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
