package node

import "time"

// StoreClock relates the store's monotonic clock to the clock of this process: the store's clock
// showed At while it answered a call that began at Begun and whose answer arrived at Heard.
//
// It is the only clock that all processes share. A time recorded by it is readable in every other
// process, including one that starts after all others have ended.
type StoreClock struct {
	At           time.Duration
	Begun, Heard time.Time
}

// clockDrift is the assumed maximum difference in rate between two monotonic clocks. Common quartz
// clocks are off by some 20 ppm, two of them by twice that; this is ten times as much.
const clockDrift = 400e-6

// Known reports whether the store reported its clock.
func (c StoreClock) Known() bool { return c.At > 0 }

// Better returns whichever of c and a later reading bounds the current time more closely. A later
// reading that shows an earlier time comes from a different clock and replaces c.
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

// drift returns the maximum divergence of two clocks over d.
func drift(d time.Duration) time.Duration { return time.Duration(clockDrift * float64(d.Abs())) }

// ToStore returns the earliest and latest time that the store's clock may have shown at t.
func (c StoreClock) ToStore(t time.Time) (least, most time.Duration) {
	tolerance := drift(t.Sub(c.Heard))
	return c.At + t.Sub(c.Heard) - tolerance, c.At + t.Sub(c.Begun) + tolerance
}

// ToHere returns the earliest and latest moment of this process at which the store's clock may have
// shown at.
func (c StoreClock) ToHere(at time.Duration) (from, by time.Time) {
	tolerance := drift(at - c.At)
	return c.Begun.Add(at - c.At - tolerance), c.Heard.Add(at - c.At + tolerance)
}
