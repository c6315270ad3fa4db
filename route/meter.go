package route

import (
	"math"
	"time"
)

// meter measures a rate per second with exponential decay.
type meter struct {
	window time.Duration
	value  float64
	at     time.Time
	// begun is when the first event was counted.
	begun time.Time
}

func newMeter(window time.Duration) meter { return meter{window: window} }

func (m *meter) add(now time.Time, n float64) {
	m.decay(now)
	if m.begun.IsZero() {
		m.begun = now
	}
	m.value += n
}

func (m *meter) decay(now time.Time) {
	if d := now.Sub(m.at); d > 0 {
		m.value *= math.Exp(-float64(d) / float64(m.window))
		m.at = now
	}
}

// rate returns the rate, corrected for the time before the first event, which must not count as
// a time without events.
func (m *meter) rate(now time.Time) float64 {
	m.decay(now)
	seen := max(now.Sub(m.begun), m.window/16)
	return m.value / (m.window.Seconds() * (1 - math.Exp(-float64(seen)/float64(m.window))))
}

// windowRate returns the rate without that correction, so it is too low until the time constant
// has passed. A single event thus does not appear as a high rate.
func (m *meter) windowRate(now time.Time) float64 {
	m.decay(now)
	return m.value / m.window.Seconds()
}

// meterOf returns the meter of a key, with the given time constant.
func meterOf(g *generationalMap[Block, meter], key Block, window time.Duration) *meter {
	m := g.getOrCreate(key)
	if m.window == 0 {
		*m = newMeter(window)
	}
	return m
}

// bucket is a token bucket whose rate may change between calls.
type bucket struct {
	level float64
	at    time.Time
}

// refillTo adds the tokens accrued since the last call, up to burst.
func (b *bucket) refillTo(now time.Time, rate, burst float64) {
	burst = math.Max(burst, 1)
	if b.at.IsZero() {
		b.level = burst
	} else if d := now.Sub(b.at); d > 0 {
		b.level = math.Min(burst, b.level+rate*d.Seconds())
	}
	b.at = now
}
