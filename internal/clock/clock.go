// Package clock provides clocks that include the time in which the machine is suspended.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time. Times of one clock may be compared only with each other.
//
// Leases, confirmations, lists, peers' updates and callers' deadlines expire while the machine of a
// process is suspended, since the other processes go on. The monotonic clock of [time.Now] stops
// meanwhile, so a resumed process would consider all of these as fresh as before. Timers stop as
// well, so code that a timer wakes must check a Clock.
type Clock func() time.Time

// Monotonic is the clock of [time.Now], which does not count the time in which the machine is
// suspended.
func Monotonic() time.Time { return time.Now() }

// Since returns the time elapsed since t, which the same clock returned.
func (c Clock) Since(t time.Time) time.Duration { return c().Sub(t) }

// BootTime returns a clock that also counts the time in which the machine is suspended, from this
// call on, and true. If the system has no such clock, it returns [Monotonic] and false.
//
// The suspended time is read at most once per millisecond, by three system calls (0.7 µs). Other
// readings cost little more than [time.Now] (0.1 µs). A suspension may thus be noticed a millisecond
// late. This adds no new race: a process can be suspended between reading any clock and acting on it.
func BootTime() (c Clock, countsSuspension bool) {
	initialOffset, ok := suspendedSinceBoot()
	if !ok {
		return Monotonic, false
	}
	return newBootClock(initialOffset).now, true
}

// bootClock adds the suspended time to the monotonic clock. The suspended time since boot is the
// difference between CLOCK_BOOTTIME, which counts it, and CLOCK_MONOTONIC, which does not.
type bootClock struct {
	initialOffset time.Duration
	// suspended is the longest suspended time that was read, in nanoseconds. It never decreases: the
	// two system clocks are not read at the same instant, so readings vary by some microseconds.
	suspended atomic.Int64
	// refreshedAt is the time at which suspended was last read, in nanoseconds of the monotonic clock
	// since base.
	refreshedAt atomic.Int64
	base        time.Time
}

// refreshInterval is the least time between two readings of the suspended time.
const refreshInterval = time.Millisecond

func newBootClock(initialOffset time.Duration) *bootClock {
	m := &bootClock{initialOffset: initialOffset, base: time.Now()}
	m.refreshedAt.Store(int64(-refreshInterval))
	return m
}

// now returns the monotonic time plus the suspended time.
func (m *bootClock) now() time.Time {
	now := time.Now()
	since := int64(now.Sub(m.base))
	if refreshed := m.refreshedAt.Load(); since-refreshed >= int64(refreshInterval) && m.refreshedAt.CompareAndSwap(refreshed, since) {
		m.refresh()
	}
	return now.Add(time.Duration(m.suspended.Load()))
}

// refresh reads the suspended time and stores it if it has grown.
func (m *bootClock) refresh() {
	d, ok := suspendedSinceBoot()
	if !ok || d-m.initialOffset < minSuspension {
		return
	}
	for {
		known := m.suspended.Load()
		if int64(d-m.initialOffset) <= known || m.suspended.CompareAndSwap(known, int64(d-m.initialOffset)) {
			return
		}
	}
}

// minSuspension is the least difference that counts as a suspension. The scheduler may preempt the
// process between the readings of the two system clocks, which also makes them differ.
const minSuspension = 20 * time.Millisecond

// suspendedSinceBoot returns the difference between CLOCK_BOOTTIME and CLOCK_MONOTONIC. It reads the
// latter before and after the former, and discards a reading during which the process was preempted.
func suspendedSinceBoot() (d time.Duration, ok bool) {
	for range maxReadAttempts {
		before, ok := readClock(unix.CLOCK_MONOTONIC)
		boot, okBoot := readClock(unix.CLOCK_BOOTTIME)
		if !ok || !okBoot {
			return 0, false
		}
		after, ok := readClock(unix.CLOCK_MONOTONIC)
		if !ok {
			return 0, false
		}
		if after-before < minSuspension/2 {
			return boot - before, true
		}
	}
	return 0, false
}

// maxReadAttempts is the number of readings that are tried until one is undisturbed.
const maxReadAttempts = 3

// readClock returns the time of a system clock and whether the system has it.
func readClock(id int32) (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
