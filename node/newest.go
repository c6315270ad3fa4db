package node

import (
	"fmt"
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/route"
)

// What a node knows of when weights were named comes from the store's answers to its own
// watch, from peers and relays, and from the record that the holder of the lease keeps in
// the store. All join on the board, so that a process that starts, joins or was held up
// counts no naming's age anew.

// answerBounds returns between which moments the store gave an answer to a call that began
// at begun and was heard of at heard. Without the store's clock, or with another one, no
// more is known: this process, or what it was told on, may have been held up on the way.
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

// observedNaming is a naming that an answer to a watch told of, and the last moment at which
// the store is known not to have had it; zero if none is known.
type observedNaming struct {
	Naming
	notBefore time.Time
}

// newestFromWatch returns what an answer to a watch, given between from and by, says of the
// newest weights of models, of which before were the newest known when the watch began.
func newestFromWatch(before map[string]string, named []observedNaming, from, by time.Time) []route.NewestSpan {
	newest := make(map[string]observedNaming, len(named))
	for _, name := range named {
		if route.OlderWeights(newest[name.Model].Weights, name.Weights) {
			newest[name.Model] = name
		}
	}
	var out []route.NewestSpan
	for _, name := range named {
		if name.Weights == newest[name.Model].Weights {
			out = append(out, route.NewestAt(from, by, name.Model, name.Weights))
			continue
		}
		// It was replaced again before the answer, nobody knows when.
		out = append(out, route.NewestSpan{Model: name.Model, Weights: name.Weights, First: by})
	}
	for model, weights := range before {
		name, changed := newest[model]
		switch {
		case !changed:
			out = append(out, route.NewestAt(from, by, model, weights))
		case !name.notBefore.IsZero() && route.OlderWeights(weights, name.Weights) && route.ConsecutiveWeights(weights, name.Weights):
			// None can have been named between the two.
			out = append(out, route.NewestAt(name.notBefore, by, model, weights))
		}
	}
	return out
}

// applyNewestFromWatch takes what the answer to a watch that began at begun says of the newest
// weights of models, of which before were known then; whole says that it read the
// declaration anew, in which a model without weights has none named.
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
	for _, name := range c.Named {
		seen := observedNaming{Naming: name}
		if at, ok := n.store.LastBefore(name.Revision); ok && clock.Known() {
			seen.notBefore, _ = clock.ToHere(at)
		}
		named = append(named, seen)
	}
	n.applyNewest(newestFromWatch(before, named, from, by), "the store")
}

// newestWeights returns the newest weights known of each model that is configured, empty
// for one of which none were named.
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
		out[m.Name] = b.NewestWeights(m.Name)
	}
	return out
}

// applyNewest takes what a source says of the newest weights of models.
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

// newestReports returns what the node tells others of the newest weights of models.
func (n *Node) newestReports(now time.Time) []route.NewestUpdate {
	n.Lock()
	defer n.Unlock()
	spans := n.Board().NewestSpans()
	out := make([]route.NewestUpdate, 0, len(spans))
	for _, s := range spans {
		out = append(out, s.Update(now))
	}
	return out
}

// receivedNewest takes what a peer told in answer to a call from begun on; a zero begun
// stands for a word that was not asked for.
func (n *Node) receiveNewest(begun time.Time, source string, words []route.NewestUpdate) {
	heard := n.now()
	spans := make([]route.NewestSpan, 0, len(words))
	for _, w := range words {
		spans = append(spans, w.Span(begun, heard))
	}
	n.applyNewest(spans, source)
}
