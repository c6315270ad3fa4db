package route

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// NewestSpan says that weights were known to be the newest named ones of a model from
// First to Last. They may have been so for longer on either side: First is at or after
// the moment at which they were named, Last at or before that of the next naming.
//
// A process that only remembered when it heard of a naming would count its age anew
// after each restart, join or gap. Spans of several processes join into one, which
// bounds the moment of a naming from both sides.
type NewestSpan struct {
	Model string
	// Weights is empty while none of the model were named; those that targets have
	// then are the first.
	Weights string
	// First is never zero; a zero Last says that no such moment is known.
	First, Last time.Time
}

// NewestUpdate is a [NewestSpan] as one process tells another, whose clock is not its own.
type NewestUpdate struct {
	Model   string
	Weights string
	// FirstAge and LastAge are how long before the word First and Last were; a
	// negative LastAge says that Last is not known.
	FirstAge, LastAge time.Duration
}

// NewestAt returns the span of weights that were the newest when a call from begun to
// heard was answered.
func NewestAt(begun, heard time.Time, model, weights string) NewestSpan {
	return NewestSpan{Model: model, Weights: weights, First: heard, Last: begun}
}

// Span returns what a word says that was given between begun and heard; a zero begun
// says that it is not known how long the word was on its way.
func (w NewestUpdate) Span(begun, heard time.Time) NewestSpan {
	s := NewestSpan{Model: w.Model, Weights: w.Weights, First: heard.Add(-w.FirstAge)}
	if !begun.IsZero() && w.LastAge >= 0 {
		s.Last = begun.Add(-w.LastAge)
	}
	return s
}

// Update returns what the span says to another process now.
func (s NewestSpan) Update(now time.Time) NewestUpdate {
	w := NewestUpdate{Model: s.Model, Weights: s.Weights, FirstAge: now.Sub(s.First), LastAge: -1}
	if !s.Last.IsZero() {
		w.LastAge = now.Sub(s.Last)
	}
	return w
}

// spans are the known spans of one model's weights, the oldest weights first.
type spans []NewestSpan

// join takes a span and reports whether its weights are newer than all known.
func (l spans) join(s NewestSpan) (out spans, newer bool) {
	i, found := slices.BinarySearchFunc(l, s.Weights, func(a NewestSpan, w string) int { return compareWeights(a.Weights, w) })
	if !found {
		return slices.Insert(l, i, s), i == len(l) && s.Weights != ""
	}
	known := &l[i]
	if s.First.Before(known.First) {
		known.First = s.First
	}
	if s.Last.After(known.Last) {
		known.Last = s.Last
	}
	return l, false
}

// OlderWeights reports whether the numbered weights a came before b.
func OlderWeights(a, b string) bool { return compareWeights(a, b) < 0 }

// ConsecutiveWeights reports whether no weights can have been named between two: they are counted
// from 1 on, and those that targets have before any are named are the first.
func ConsecutiveWeights(before, weights string) bool {
	was, err := strconv.ParseInt(cmp.Or(before, "1"), 10, 64)
	if err != nil {
		return false
	}
	is, err := strconv.ParseInt(weights, 10, 64)
	return err == nil && is <= was+1
}

// compareWeights compares numbered weights by their age, the oldest first.
func compareWeights(a, b string) int {
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
}

// prune drops the spans of weights that were replaced for certain more than limit ago,
// and those of weights beyond the newest most. The next newer span says as much of them.
func (l spans) prune(now time.Time, limit time.Duration, most int) spans {
	n := max(0, len(l)-most)
	for n+1 < len(l) && now.Sub(l[n+1].First) >= limit {
		n++
	}
	return slices.Delete(l, 0, n)
}

// replacedBetween returns between which moments weights were replaced by newer ones; a zero
// after says that the earlier bound is not known, ok false that none newer are known.
func (l spans) replacedBetween(weights string) (after, by time.Time, ok bool) {
	for _, s := range l {
		switch {
		case compareWeights(s.Weights, weights) <= 0:
			if s.Last.After(after) {
				after = s.Last
			}
		case !ok || s.First.Before(by):
			by, ok = s.First, true
		}
	}
	return after, by, ok
}
