package node

import (
	"fmt"
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/route"
)

// A node learns when weights were named from the store's answers to its own watch, from peers and
// relays, and from the record that the lease holder keeps in the store. All of these are merged on
// the board, so that a process that starts, joins or was suspended does not restart the age of a
// naming.

// answerBounds returns the earliest and latest time at which the store answered a call that began
// at begun and whose answer arrived at heard. The answer contains the time at that the store's clock
// showed. Without the store's clock, or with a different one, the call itself is the only bound,
// because this process or the sender may have been suspended in between.
func answerBounds(c StoreClock, at time.Duration, begun, heard time.Time) (from, by time.Time) {
	if !c.Known() || at == 0 {
		return begun, heard
	}
	from, by = c.ToHere(at)
	if by.Before(begun) || from.After(heard) {
		return begun, heard
	}
	if from.Before(begun) {
		from = begun
	}
	if by.After(heard) {
		by = heard
	}
	return from, by
}

// observedNaming is a naming from a watch answer. notBefore is the last time at which the store is
// known not to have had it; zero if unknown.
type observedNaming struct {
	Naming
	notBefore time.Time
}

// newestFromWatch returns the newest weights implied by a watch answer given between from and by.
// The map before holds the newest weights known when the watch began.
func newestFromWatch(before map[string]string, named []observedNaming, from, by time.Time) []route.NewestSpan {
	newest := make(map[string]observedNaming, len(named))
	for _, naming := range named {
		if route.OlderWeights(newest[naming.Model].Weights, naming.Weights) {
			newest[naming.Model] = naming
		}
	}
	var out []route.NewestSpan
	for _, naming := range named {
		if naming.Weights == newest[naming.Model].Weights {
			out = append(out, route.NewestAt(from, by, naming.Model, naming.Weights))
			continue
		}
		// These weights were replaced before the answer, at an unknown time.
		out = append(out, route.NewestSpan{Model: naming.Model, Weights: naming.Weights, First: by})
	}
	for model, weights := range before {
		naming, changed := newest[model]
		switch {
		case !changed:
			out = append(out, route.NewestAt(from, by, model, weights))
		case !naming.notBefore.IsZero() && route.OlderWeights(weights, naming.Weights) && route.ConsecutiveWeights(weights, naming.Weights):
			// The revisions are consecutive, so none was named between the two.
			out = append(out, route.NewestAt(naming.notBefore, by, model, weights))
		}
	}
	return out
}

// applyNewestFromWatch applies what the answer to a watch that began at begun implies for the
// newest weights. The map before holds the newest weights known at begun. whole is set if the watch
// read the whole declaration; a model without weights then has none named.
func (n *Node) applyNewestFromWatch(begun time.Time, before map[string]string, whole bool, c Changes) {
	clock := n.store.Clock()
	from, by := answerBounds(clock, c.At, begun, n.now())
	if whole {
		for model := range n.newestWeights() {
			if _, ok := before[model]; !ok {
				before[model] = ""
			}
		}
	}
	named := make([]observedNaming, 0, len(c.Named))
	for _, naming := range c.Named {
		seen := observedNaming{Naming: naming}
		if at, ok := n.store.LastBefore(naming.Revision); ok && clock.Known() {
			seen.notBefore, _ = clock.ToHere(at)
		}
		named = append(named, seen)
	}
	n.applyNewest(newestFromWatch(before, named, from, by), "the store")
}

// newestWeights returns the newest known weights of each model that is configured or has weights named,
// empty for a model without any. Targets may serve a model that no pool declares.
func (n *Node) newestWeights() map[string]string {
	n.Lock()
	defer n.Unlock()
	b := n.Board()
	out := make(map[string]string)
	snap := b.Snapshot()
	if snap == nil {
		return out
	}
	for _, m := range snap.Config.Models {
		out[m.Name] = ""
	}
	for _, model := range b.NamedModels() {
		out[model] = b.NewestWeights(model)
	}
	return out
}

// applyNewest applies newest-weights spans from a source.
func (n *Node) applyNewest(spans []route.NewestSpan, source string) {
	var newer []route.NewestSpan
	n.Do(func(b *route.Board, now time.Time) []route.Action {
		for _, s := range spans {
			if b.AddNewestSpan(now, s) {
				newer = append(newer, s)
			}
		}
		return nil
	})
	for _, s := range newer {
		n.events.Record(event.Event{Code: event.WeightsNamed, Detail: fmt.Sprintf(
			"%s %s, at least %s ago, says %s", s.Model, s.Weights, n.now.Since(s.First).Round(time.Millisecond), source)})
	}
	if len(newer) > 0 {
		n.weights.notify()
	}
}

// newestUpdates returns the newest weights to send to other nodes.
func (n *Node) newestUpdates(now time.Time) []route.NewestUpdate {
	n.Lock()
	defer n.Unlock()
	spans := n.Board().NewestSpans()
	out := make([]route.NewestUpdate, 0, len(spans))
	for _, s := range spans {
		out = append(out, s.Update(now))
	}
	return out
}

// receiveNewest applies the newest weights that a peer sent in answer to a call that began at
// begun. A zero begun stands for an unsolicited message.
func (n *Node) receiveNewest(begun time.Time, source string, updates []route.NewestUpdate) {
	heard := n.now()
	spans := make([]route.NewestSpan, 0, len(updates))
	for _, w := range updates {
		spans = append(spans, w.Span(begun, heard))
	}
	n.applyNewest(spans, source)
}
