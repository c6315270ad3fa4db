package node

import "time"

// StoreClock ties the store's steady clock to this process's: the store's stood at At
// when it answered a call that began at Begun and whose answer was heard at Heard.
//
// It is the one clock that all processes share. What one of them writes down by it
// another can read, also one that starts after all others are gone.
type StoreClock struct {
	At           time.Duration
	Begun, Heard time.Time
}

// clockDrift is how much two steady clocks may differ in rate: ten times what common
// quartz clocks do (some 20 parts in a million, and twice that between two of them).
const clockDrift = 400e-6

// Known reports whether the store told its clock.
func (c StoreClock) Known() bool { return c.At > 0 }

// Better returns which of the known tie and that of a later answer bounds the present
// more closely. One that shows an earlier time is of another clock and counts alone.
func (c StoreClock) Better(later StoreClock) StoreClock {
	switch {
	case !later.Known():
		return c
	case !c.Known(), later.At < c.At:
		return later
	case later.Heard.Sub(later.Begun) <= c.Heard.Sub(c.Begun)+2*drift(later.At-c.At):
		return later
	}
	return c
}

// drift is how far two clocks may drift apart in a time.
func drift(d time.Duration) time.Duration { return time.Duration(clockDrift * float64(d.Abs())) }

// ToStore returns between which times the store's clock stood at a moment here.
func (c StoreClock) ToStore(t time.Time) (least, most time.Duration) {
	off := drift(t.Sub(c.Heard))
	return c.At + t.Sub(c.Heard) - off, c.At + t.Sub(c.Begun) + off
}

// ToHere returns between which moments here the store's clock stood at a time.
func (c StoreClock) ToHere(at time.Duration) (from, by time.Time) {
	off := drift(at - c.At)
	return c.Begun.Add(at - c.At - off), c.Heard.Add(at - c.At + off)
}
