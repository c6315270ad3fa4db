package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/pathhead/pathhead/internal/clock"
	"github.com/pathhead/pathhead/route"
)

// Driver owns a board and the calls whose requests are on it. Its lock guards the board; other
// state that must change together with the board may be guarded by it too.
type Driver struct {
	mu           sync.Mutex
	board        *route.Board
	calls        map[string]*Call
	export       func(route.Export)
	onArrival    func()
	onAttemptEnd func(route.OutcomeKind)
	now          clock.Clock
	// idle is true while the next tick uses the slower idle interval. wake ends that wait when a
	// request arrives.
	idle bool
	wake chan struct{}
}

// Option configures a [Driver] at its construction.
type Option func(*Driver)

// WithExport sets the function that carries out exports to a store of kept KV caches.
func WithExport(f func(route.Export)) Option {
	return func(d *Driver) { d.export = f }
}

// WithArrivalHook sets a function that is called under the lock before each request is added to the
// board.
func WithArrivalHook(f func()) Option {
	return func(d *Driver) { d.onArrival = f }
}

// WithAttemptEndHook sets a function that is called with the outcome of each attempt.
func WithAttemptEndHook(f func(route.OutcomeKind)) Option {
	return func(d *Driver) { d.onAttemptEnd = f }
}

// WithClock sets the clock that the board's time is read from.
func WithClock(c clock.Clock) Option {
	return func(d *Driver) { d.now = c }
}

// New returns a driver of a board.
func New(b *route.Board, opts ...Option) *Driver {
	d := &Driver{
		board:        b,
		calls:        make(map[string]*Call),
		export:       func(route.Export) {},
		onArrival:    func() {},
		onAttemptEnd: func(route.OutcomeKind) {},
		now:          clock.Monotonic,
		wake:         make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Lock acquires the lock that guards the board.
func (d *Driver) Lock() { d.mu.Lock() }

// Unlock releases the lock that guards the board.
func (d *Driver) Unlock() { d.mu.Unlock() }

// Board returns the board, which may only be used under the lock.
func (d *Driver) Board() *route.Board { return d.board }

// Do changes the board and delivers the resulting actions to their calls.
func (d *Driver) Do(change func(b *route.Board, now time.Time) []route.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range change(d.board, d.now()) {
		d.deliver(a)
	}
	if d.idle && d.board.Requests() > 0 {
		d.idle = false
		select {
		case d.wake <- struct{}{}:
		default:
		}
	}
}

func (d *Driver) deliver(a route.Action) {
	switch a := a.(type) {
	case route.Send:
		d.calls[a.Attempt.Request].deliver(a)
	case route.Refuse:
		d.calls[a.Request].deliver(a)
	case route.Export:
		d.export(a)
	case route.Finish:
	case route.Cancel:
		if c, ok := d.calls[a.Request]; ok {
			c.cancel(a.Attempt)
		}
	default:
		panic("dispatch: unknown action")
	}
}

// Tick advances the board's time until ctx ends. every is the interval between ticks, and with it
// the precision of wait timeouts and delayed retries.
//
// Without requests there is nothing to expire, so it ticks at a longer interval: in a fleet of a
// thousand processes, most have no requests most of the time.
func (d *Driver) Tick(ctx context.Context, every time.Duration) {
	t := time.NewTimer(every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
			t.Reset(every)
			continue
		case <-t.C:
		}
		d.Do(func(b *route.Board, now time.Time) []route.Action { return b.Tick(now) })
		t.Reset(d.nextTick(every))
	}
}

// idleTickFactor is the factor by which the tick interval grows while the board has no requests.
const idleTickFactor = 12

// nextTick returns the time until the next tick.
func (d *Driver) nextTick(every time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.idle = d.board.Requests() == 0; d.idle {
		return idleTickFactor * every
	}
	return every
}

// Calls returns the number of calls that have not ended.
func (d *Driver) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.calls)
}
