package node

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/route"
)

// recordedSpan is the stored form of a [route.NewestSpan] in the lease record. Times are
// milliseconds on the store's clock.
type recordedSpan struct {
	Model   string `json:"model"`
	Weights string `json:"weights"`
	FirstMS int64  `json:"firstMs"`
	// LastMS is negative if unknown.
	LastMS int64 `json:"lastMs"`
}

// unknownMS stands for an unknown time.
const unknownMS = -1

// record returns the newest weights to record with the next write of the lease. After a restart of
// the whole fleet it is the only source for their age.
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
		panic("node: encoding the record of weights: " + err.Error())
	}
	return data
}

// decodeRecord decodes a record into times of this process. A time later than now was recorded with
// a different store clock.
func decodeRecord(c StoreClock, now time.Time, data json.RawMessage) ([]route.NewestSpan, error) {
	var record []recordedSpan
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, errs.Errorf("the record of weights in the lease: %w", err)
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
	// Rounded up because it is the later bound; the earlier one is rounded down.
	out := recordedSpan{Model: s.Model, Weights: s.Weights, FirstMS: first.Milliseconds() + 1, LastMS: unknownMS}
	if !s.Last.IsZero() {
		last, _ := c.ToStore(s.Last)
		out.LastMS = max(unknownMS, last.Milliseconds())
	}
	return out
}

// span converts the recorded span to times of this process.
func (r recordedSpan) span(c StoreClock) route.NewestSpan {
	_, first := c.ToHere(time.Duration(r.FirstMS) * time.Millisecond)
	s := route.NewestSpan{Model: r.Model, Weights: r.Weights, First: first}
	if r.LastMS != unknownMS {
		s.Last, _ = c.ToHere(time.Duration(r.LastMS) * time.Millisecond)
	}
	return s
}

// applyRecord applies the record of the lease holder.
func (d *weightsUpdater) applyRecord(note json.RawMessage) {
	c := d.n.store.Clock()
	if len(note) == 0 || !c.Known() {
		return
	}
	spans, err := decodeRecord(c, d.n.now(), note)
	if err != nil {
		d.n.log.Warn("invalid record of weights in the lease", "error", err)
		return
	}
	d.n.applyNewest(spans, "the lease's record")
}
