package node

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/route"
)

// recordedSpan is a [route.NewestSpan] as the holder of the lease records it, in
// milliseconds of the store's clock.
type recordedSpan struct {
	Model   string `json:"model"`
	Weights string `json:"weights"`
	FirstMS int64  `json:"firstMs"`
	// LastMS is negative where no such moment is known.
	LastMS int64 `json:"lastMs"`
}

// unknownMS stands for a moment that is not known.
const unknownMS = -1

// record returns what the next write of the lease records of the newest weights. It is
// what a fleet that starts anew as a whole knows of their age: nothing else outlasts it.
func (d *weightsUpdater) record() json.RawMessage {
	d.n.Lock()
	spans := d.n.Board().NewestSpans()
	d.n.Unlock()
	clock := d.n.store.Clock()
	if !clock.Known() {
		return nil
	}
	return encodeRecord(clock, spans)
}

func encodeRecord(c StoreClock, spans []route.NewestSpan) json.RawMessage {
	out := make([]recordedSpan, 0, len(spans))
	for _, s := range spans {
		out = append(out, recordSpan(c, s))
	}
	data, err := json.Marshal(out)
	if err != nil {
		panic("node: a record of weights does not encode")
	}
	return data
}

// decodeRecord returns what was recorded, on this process's clock. What would lie after
// now was recorded by another clock of the store.
func decodeRecord(c StoreClock, now time.Time, data json.RawMessage) ([]route.NewestSpan, error) {
	var record []recordedSpan
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, errs.Errorf("the lease's record of weights: %w", err)
	}
	spans := make([]route.NewestSpan, 0, len(record))
	for _, r := range record {
		s := r.span(c)
		if s.Last.After(now) {
			s.Last = time.Time{}
		}
		if s.First.After(now) {
			s.First = now
		}
		spans = append(spans, s)
	}
	return spans, nil
}

func recordSpan(c StoreClock, s route.NewestSpan) recordedSpan {
	_, first := c.ToStore(s.First)
	// Rounded up, as it is the later bound; the other is rounded down.
	out := recordedSpan{Model: s.Model, Weights: s.Weights, FirstMS: first.Milliseconds() + 1, LastMS: unknownMS}
	if !s.Last.IsZero() {
		last, _ := c.ToStore(s.Last)
		out.LastMS = max(unknownMS, last.Milliseconds())
	}
	return out
}

// span returns what was recorded, on this process's clock.
func (r recordedSpan) span(c StoreClock) route.NewestSpan {
	_, first := c.ToHere(time.Duration(r.FirstMS) * time.Millisecond)
	s := route.NewestSpan{Model: r.Model, Weights: r.Weights, First: first}
	if r.LastMS != unknownMS {
		s.Last, _ = c.ToHere(time.Duration(r.LastMS) * time.Millisecond)
	}
	return s
}

// applyRecord takes what the holder of the lease recorded.
func (d *weightsUpdater) applyRecord(note json.RawMessage) {
	c := d.n.store.Clock()
	if len(note) == 0 || !c.Known() {
		return
	}
	spans, err := decodeRecord(c, d.n.now(), note)
	if err != nil {
		d.n.log.Warn("what the holder of the lease recorded was not read", "error", err)
		return
	}
	d.n.applyNewest(spans, "the lease's record")
}
