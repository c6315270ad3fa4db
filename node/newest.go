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

// watchLag is how long after a change the store may answer a watch that it holds: 4 ms,
// and some 60 times that in trouble.
const watchLag = 300 * time.Millisecond

// answered returns between which moments the store gave an answer to a call that began
// at begun and was heard of at heard. Without the store's clock no more is known: this
// process, or what it was told on, may have been held up on the way.
func answered(c StoreClock, at time.Duration, begun, heard time.Time) (from, by time.Time) {
	if !c.Known() || at == 0 {
		return begun, heard
	}
	from, by = c.ToHere(at)
	if from.Before(begun) {
		from = begun
	}
	if by.After(heard) {
		by = heard
	}
	return from, by
}

// watchSays returns what an answer to a watch, given between from and by, says of the
// newest weights of models, of which before were known as the newest. A call that was
// held was answered soon after the change.
func watchSays(before map[string]string, named []Naming, from, by time.Time, held bool) []route.NewestSpan {
	changed := make(map[string]bool, len(named))
	var out []route.NewestSpan
	for _, name := range named {
		changed[name.Model] = true
		out = append(out, route.NewestAt(from, by, name.Model, name.Weights))
	}
	for model, weights := range before {
		switch was := from.Add(-watchLag); {
		case !changed[model]:
			out = append(out, route.NewestAt(from, by, model, weights))
		case held:
			out = append(out, route.NewestAt(was, was, model, weights))
		}
	}
	return out
}

// watched takes what the answer to a watch that began at begun says of the newest
// weights of models; whole says that it read the declaration anew.
func (n *Node) watched(begun time.Time, whole bool, c Changes) {
	from, by := answered(n.store.Clock(), c.At, begun, time.Now())
	held := !whole && from.Sub(begun) > watchLag
	n.takeNewest(watchSays(n.newestWeights(), c.Named, from, by, held), "the store")
}

// newestWeights returns the newest weights known of each model that is configured, empty
// for one of which none were named.
func (n *Node) newestWeights() map[string]string {
	n.Lock()
	defer n.Unlock()
	b := n.Board()
	snap := b.Snapshot()
	if snap == nil {
		return nil
	}
	out := make(map[string]string)
	for _, m := range snap.Config.Models {
		out[m.Name] = b.NewestWeights(m.Name)
	}
	return out
}

// takeNewest takes what a source says of the newest weights of models.
func (n *Node) takeNewest(spans []route.NewestSpan, source string) {
	var newer []route.NewestSpan
	n.Do(func(b *route.Board, now time.Time) []route.Action {
		for _, s := range spans {
			if b.Newest(now, s) {
				newer = append(newer, s)
			}
		}
		return nil
	})
	for _, s := range newer {
		n.events.Record(event.Event{Code: event.WeightsNamed, Detail: fmt.Sprintf(
			"%s %s, at least %s ago, says %s", s.Model, s.Weights, time.Since(s.First).Round(time.Millisecond), source)})
	}
	if len(newer) > 0 {
		n.duty.poke()
	}
}

// newestWords returns what the node tells others of the newest weights of models.
func (n *Node) newestWords(now time.Time) []route.NewestWord {
	n.Lock()
	defer n.Unlock()
	spans := n.Board().NewestSpans()
	out := make([]route.NewestWord, 0, len(spans))
	for _, s := range spans {
		out = append(out, s.Word(now))
	}
	return out
}

// heardNewest takes what a peer told in answer to a call from begun on; a zero begun
// stands for a word that was not asked for.
func (n *Node) heardNewest(begun time.Time, source string, words []route.NewestWord) {
	heard := time.Now()
	spans := make([]route.NewestSpan, 0, len(words))
	for _, w := range words {
		spans = append(spans, w.Span(begun, heard))
	}
	n.takeNewest(spans, source)
}
