package route

import "time"

// Drain is the planned stop of a router, during which it admits ever less.
type Drain struct {
	// LongUntil is until when it admits requests whose time is over after End, and RefuseFrom is from when
	// on it refuses all.
	LongUntil, RefuseFrom time.Time
	// End is when the requests that are left are cut off.
	End time.Time
	// Refusal answers the requests that are not admitted.
	Refusal Refusal
}

// Drain begins a planned stop. Requests are admitted by the time of their arrival, so it does not matter how late
// the process gets to do something at the stop's times.
func (b *Board) Drain(d Drain) { b.drain = &d }

// drainRefusal returns a refusal if a request arrives too late in a planned stop.
func (b *Board) drainRefusal(now time.Time, r *request) *Refusal {
	d := b.drain
	switch {
	case d == nil, now.Before(d.LongUntil):
		return nil
	case now.Before(d.RefuseFrom) && !r.Deadline.After(d.End):
		return nil
	}
	return &d.Refusal
}
