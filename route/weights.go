package route

import (
	"cmp"
	"fmt"
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
	// Limit is how long after newer weights are named nothing is sent to older ones.
	Limit time.Duration
}

// WithNumberedWeights makes the board prefer the newest named weights by age.
func WithNumberedWeights(s Staleness) Option {
	return func(b *Board) { b.staleness = &s }
}

// naming says when weights of a model were named.
type naming struct {
	weights string
	at      time.Time
}

// namingsKept bounds the namings remembered for a model; what came before the
// oldest of them is too old to be used in any case.
const namingsKept = 32

// OlderWeights reports whether the numbered weights a came before b.
func OlderWeights(a, b string) bool {
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) < 0
}

// Name takes the news that a model's newest weights were named at a time.
func (b *Board) Name(at time.Time, model, weights string) {
	if !OlderWeights(b.NewestWeights(model), weights) {
		return
	}
	list := append(b.named[model], naming{weights: weights, at: at})
	b.named[model] = list[max(0, len(list)-namingsKept):]
	b.version++
}

// NewestWeights returns the newest weights of a model that the board was told of.
func (b *Board) NewestWeights(model string) string {
	list := b.named[model]
	if len(list) == 0 {
		return ""
	}
	return list[len(list)-1].weights
}

// Naming is the newest weights of a model, and when they were named.
type Naming struct {
	Weights string
	At      time.Time
}

// Namings returns the newest weights of each model that the board was told of.
func (b *Board) Namings() map[string]Naming {
	out := make(map[string]Naming, len(b.named))
	for model, list := range b.named {
		newest := list[len(list)-1]
		out[model] = Naming{Weights: newest.weights, At: newest.at}
	}
	return out
}

// replacedAt returns when the first weights newer than the given ones were named.
func (b *Board) replacedAt(model, weights string) (at time.Time, ok bool) {
	for _, n := range b.named[model] {
		if OlderWeights(weights, n.weights) {
			return n.at, true
		}
	}
	return time.Time{}, false
}

// useOf returns how weights of a model are used now.
func (b *Board) useOf(now time.Time, model, weights string) use {
	if b.staleness == nil {
		return useAsGood
	}
	at, replaced := b.replacedAt(model, weights)
	if !replaced {
		return useAsGood
	}
	switch age := now.Sub(at); {
	case age >= b.staleness.Limit:
		return useNoMore
	case age >= b.staleness.Grace && !b.off.Has(NewestWeights):
		return useAtPrice
	}
	return useAsGood
}

// use says how weights are used by their age.
type use int

const (
	useAsGood use = iota
	useAtPrice
	useNoMore
)

// noteUnused records once for each target and weights that these are used no more.
func (b *Board) noteUnused(now time.Time, t *target, model, weights string) {
	if t.unused == weights {
		return
	}
	t.unused = weights
	at, _ := b.replacedAt(model, weights)
	b.note(event.Event{Code: event.TargetOutdated, Target: t.name(), Detail: fmt.Sprintf(
		"%s %s: newer ones, by now %s, were named %s ago as known here",
		model, weights, b.NewestWeights(model), now.Sub(at).Round(time.Millisecond))})
}

// OldestInUse returns how long ago the oldest weights that targets in use have were
// replaced, as far as is known; zero where all have the newest.
func (b *Board) OldestInUse(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, t := range b.targets {
		if !t.usable() {
			continue
		}
		for model, weights := range t.report.Weights {
			if at, ok := b.replacedAt(model, weights); ok {
				oldest = max(oldest, now.Sub(at))
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
	if b.staleness == nil || len(list) <= fullScan {
		return true
	}
	newest := b.NewestWeights(r.Model.Name)
	have := 0
	for _, s := range list {
		if s.weights == newest {
			have++
		}
	}
	return r.draw < newestShare*float64(have)/float64(len(list))
}

// WeightsOf returns the weights that one incarnation of a target was last seen with.
func (b *Board) WeightsOf(m Mark, model string) string {
	t, ok := b.marked(m)
	if !ok {
		return ""
	}
	return t.report.Weights[model]
}

// misjudged takes the word of a target that it is the expected incarnation and
// has other weights than were expected: it was brought to the newest, and told
// of late. If that was believed already, nothing is sent until its next report.
func (b *Board) misjudged(now time.Time, a *attempt) {
	r, ok := b.requests[a.Request]
	if !ok || b.staleness == nil {
		return
	}
	t, model := a.target, r.Model.Name
	if t.report.Weights[model] != a.Weights {
		return
	}
	newest := b.NewestWeights(model)
	if !OlderWeights(a.Weights, newest) {
		b.suspect(now, t)
		return
	}
	b.setWeights(now, t, model, newest, "its refusal")
}

// setWeights takes the word of a source that a target has new weights.
func (b *Board) setWeights(now time.Time, t *target, model, weights, source string) {
	t.report.Weights = map[string]string{model: weights}
	b.noteWeights(t, t.report.Weights, source)
	b.renewSlot(now, t)
	b.version++
}

// WeightsWord says which weights a target was seen to have.
type WeightsWord struct {
	Target  Mark
	Model   string
	Weights string
}

// Loaded takes the word that a target has newer weights than it was last seen with.
func (b *Board) Loaded(now time.Time, w WeightsWord) []Action {
	t, ok := b.marked(w.Target)
	if !ok || !OlderWeights(t.report.Weights[w.Model], w.Weights) {
		return nil
	}
	b.setWeights(now, t, w.Model, w.Weights, "the holder of the lease")
	return b.dispatch(now)
}

func (b *Board) noteWeights(t *target, weights map[string]string, source string) {
	for model, w := range weights {
		b.note(event.Event{Code: event.TargetWeights, Target: t.name(), Detail: model + " " + w + ", says " + source})
	}
}

// goesBack reports whether a report has older weights than are known of the same incarnation.
func (t *target) goesBack(r Report) bool {
	if r.Incarnation != t.incarnation {
		return false
	}
	for model, weights := range r.Weights {
		if OlderWeights(weights, t.report.Weights[model]) {
			return true
		}
	}
	return false
}
