// Package clock tells the time as it passes for the world outside the machine.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the present moment. Moments of one clock are compared with each other alone.
//
// What a process believes for a time (a lease, a confirmation, a list, a peer's word) and what it
// owes within a time (a caller's budget) goes on while its machine is suspended, for the others do.
// The steady clock of [time.Now] stands still meanwhile, so a process that wakes would take all of it
// for as fresh as before. Timers stand still too: what they wake looks at a Clock.
type Clock func() time.Time

// Steady is the clock of [time.Now], which does not count the time in which the machine is suspended.
func Steady() time.Time { return time.Now() }

// Since returns the time since a moment of the clock.
func (c Clock) Since(t time.Time) time.Duration { return c().Sub(t) }

// Machine returns a clock that counts the time in which the machine is suspended, from now on, and
// whether the system has one. Without one it is [Steady].
//
// Within a millisecond the time suspended is read once, by three calls to the system (0.7 µs); other
// readings cost what those of [time.Now] do and a little (0.1 µs, BenchmarkMachine). A process may be
// suspended between a look at any clock and what it does then, so a millisecond adds nothing to that.
func Machine() (c Clock, counts bool) {
	begun, ok := ahead()
	if !ok {
		return Steady, false
	}
	return newMachine(begun).now, true
}

// machine is the clock of the machine. How far the clock that counts suspended time is ahead of the
// one that does not is the time suspended since the machine's start.
type machine struct {
	begun time.Duration
	// suspended is the longest time suspended that was read, in nanoseconds. It never falls: two
	// readings are not taken at one moment, so that it may seem to by some microseconds.
	suspended atomic.Int64
	// readAt is when it was read, in nanoseconds of the steady clock since base.
	readAt atomic.Int64
	base   time.Time
}

// readEvery is the least time between two readings of the time suspended.
const readEvery = time.Millisecond

func newMachine(begun time.Duration) *machine {
	m := &machine{begun: begun, base: time.Now()}
	m.readAt.Store(int64(-readEvery))
	return m
}

func (m *machine) now() time.Time {
	now := time.Now()
	since := int64(now.Sub(m.base))
	if read := m.readAt.Load(); since-read >= int64(readEvery) && m.readAt.CompareAndSwap(read, since) {
		m.read()
	}
	return now.Add(time.Duration(m.suspended.Load()))
}

func (m *machine) read() {
	d, ok := ahead()
	if !ok || d-m.begun < grain {
		return
	}
	for {
		known := m.suspended.Load()
		if int64(d-m.begun) <= known || m.suspended.CompareAndSwap(known, int64(d-m.begun)) {
			return
		}
	}
}

// grain is the least time suspended that counts: between two readings the process may
// be put aside, which is no suspension.
const grain = 20 * time.Millisecond

// ahead returns how far the clock that counts suspended time is ahead of the steady one. It
// reads the steady one on both sides of it, and passes over a reading that was interrupted.
func ahead() (d time.Duration, ok bool) {
	for range readTries {
		before, ok := read(unix.CLOCK_MONOTONIC)
		boot, okBoot := read(unix.CLOCK_BOOTTIME)
		if !ok || !okBoot {
			return 0, false
		}
		after, ok := read(unix.CLOCK_MONOTONIC)
		if !ok {
			return 0, false
		}
		if after-before < grain/2 {
			return boot - before, true
		}
	}
	return 0, false
}

// readTries is how often a reading that was interrupted is taken again.
const readTries = 3

func read(id int32) (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
