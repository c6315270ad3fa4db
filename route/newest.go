package route

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// NewestSpan states that weights were known to be the newest of a model from First to Last. They
// may have been the newest for longer in both directions: First is at or after the time at which
// they were named, Last at or before the time of the next naming.
//
// A process that only remembered when it learned of a naming would restart the age after each
// restart, join or gap. Spans of several processes merge into one that bounds the time of a naming
// from both sides.
type NewestSpan struct {
	Model string
	// Weights is empty while no weights of the model have been named; targets then have the first
	// ones.
	Weights string
	// First is never zero. A zero Last means that no such time is known.
	First, Last time.Time
}

// NewestUpdate is a [NewestSpan] as sent to another process, with ages instead of times because
// clocks differ.
type NewestUpdate struct {
	Model   string
	Weights string
	// FirstAge and LastAge are the ages of First and Last when the update was sent. A negative
	// LastAge means that Last is unknown.
	FirstAge, LastAge time.Duration
}

// NewestAt returns the span of weights that a call between begun and received reported as the
// newest.
func NewestAt(begun, received time.Time, model, weights string) NewestSpan {
	return NewestSpan{Model: model, Weights: weights, First: received, Last: begun}
}

// Span returns the span of an update that was sent between begun and received. A zero begun means
// that its time in transit is unknown.
func (w NewestUpdate) Span(begun, received time.Time) NewestSpan {
	s := NewestSpan{Model: w.Model, Weights: w.Weights, First: received.Add(-w.FirstAge)}
	if !begun.IsZero() && w.LastAge >= 0 {
		s.Last = begun.Add(-w.LastAge)
	}
	return s
}

// Update returns the span in the form sent to other processes.
func (s NewestSpan) Update(now time.Time) NewestUpdate {
	w := NewestUpdate{Model: s.Model, Weights: s.Weights, FirstAge: now.Sub(s.First), LastAge: -1}
	if !s.Last.IsZero() {
		w.LastAge = now.Sub(s.Last)
	}
	return w
}

// spans are the known spans of one model's weights, oldest weights first.
type spans []NewestSpan

// join merges a span and reports whether its weights are newer than all known ones.
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

// OlderWeights reports whether the numbered weights a are older than b.
func OlderWeights(a, b string) bool { return compareWeights(a, b) < 0 }

// nextWeights returns the weights that follow the given ones, or none if these are not numbered.
func nextWeights(weights string) string {
	n, err := strconv.ParseInt(weights, 10, 64)
	if err != nil {
		return ""
	}
	return strconv.FormatInt(n+1, 10)
}

// ConsecutiveWeights reports whether no weights can have been named between before and weights.
// Weights are numbered from 1, and targets have the first ones before any are named.
func ConsecutiveWeights(before, weights string) bool {
	was, err := strconv.ParseInt(cmp.Or(before, "1"), 10, 64)
	if err != nil {
		return false
	}
	is, err := strconv.ParseInt(weights, 10, 64)
	return err == nil && is <= was+1
}

// compareWeights orders numbered weights, oldest first.
func compareWeights(a, b string) int {
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
}

// prune drops the spans of weights that were certainly replaced more than limit ago, and all but
// the newest most. The next newer span bounds their replacement as well.
func (l spans) prune(now time.Time, maxAge time.Duration, maxSpans int) spans {
	n := max(0, len(l)-maxSpans)
	for n+1 < len(l) && now.Sub(l[n+1].First) >= maxAge {
		n++
	}
	return slices.Delete(l, 0, n)
}

// replacedBetween returns the bounds of the time at which weights were replaced by newer ones. A
// zero after means that the lower bound is unknown; ok is false if no newer weights are known.
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
