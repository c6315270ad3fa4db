package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// leaseProcess is a process with its own clock, which differs from the true time by a constant.
type leaseProcess struct {
	lease  *Lease
	offset time.Duration
	// reply delivers the table's answer that is still in flight.
	reply func()
}

// lateWrite is a write whose caller lost its connection and that the table applies later.
type lateWrite struct {
	token string
	write Write
}

// leaseSim runs several processes against one row and checks that no two believe at the same time
// that they hold the lease, and that fences only grow.
type leaseSim struct {
	now       time.Time
	rows      *fakeTable
	processes []*leaseProcess
	top       int64
	tokens    int
	late      []lateWrite
}

const (
	testLeaseTTL       = 6 * time.Second
	testTakeoverMargin = 2 * time.Second
)

func newLeaseSim(n int) *leaseSim {
	w := &leaseSim{now: epoch, rows: newFakeTable()}
	for i := range n {
		w.processes = append(w.processes, &leaseProcess{
			lease:  NewLease("pool/x", fmt.Sprintf("p%d", i), testLeaseTTL, testTakeoverMargin),
			offset: time.Duration(i) * time.Hour,
		})
	}
	return w
}

func (w *leaseSim) clock(p *leaseProcess) time.Time { return w.now.Add(p.offset) }

func (w *leaseSim) read(p *leaseProcess) error {
	part, sort := p.lease.Key()
	row, ok, _ := w.rows.Get(context.Background(), part, sort)
	return p.lease.HandleRead(w.clock(p), row, ok)
}

// write sends the next write of a process, which takes effect at once or never; its reply arrives
// later.
func (w *leaseSim) write(p *leaseProcess, effect, reply bool) {
	w.tokens++
	write, ok := p.lease.Next(w.clock(p), fmt.Sprint(w.tokens))
	if !ok {
		return
	}
	w.rows.plan = func() (bool, bool) { return effect, reply }
	rev, err := w.rows.Commit(context.Background(), fmt.Sprint(w.tokens), write)
	p.reply = func() { p.lease.HandleWrite(w.clock(p), rev, err) }
}

// writeLate sends the next write of a process; it is not answered, and applied later or never.
func (w *leaseSim) writeLate(p *leaseProcess) {
	w.tokens++
	write, ok := p.lease.Next(w.clock(p), fmt.Sprint(w.tokens))
	if !ok {
		return
	}
	w.late = append(w.late, lateWrite{fmt.Sprint(w.tokens), write})
	p.reply = func() { p.lease.HandleWrite(w.clock(p), 0, errLost) }
}

// doLate applies the n-th delayed write if its condition still holds.
func (w *leaseSim) doLate(n int) {
	l := w.late[n]
	w.late = append(w.late[:n:n], w.late[n+1:]...)
	w.rows.plan = func() (bool, bool) { return true, false }
	_, _ = w.rows.Commit(context.Background(), l.token, l.write)
}

func (p *leaseProcess) deliver() {
	if p.reply != nil {
		p.reply()
		p.reply = nil
	}
}

// take reads and writes, with immediate replies.
func (w *leaseSim) take(t require.TestingT, p *leaseProcess, effect, reply bool) {
	require.NoError(t, w.read(p))
	w.write(p, effect, reply)
	p.deliver()
}

// check is the oracle: at most one process holds the lease at any moment, and a holder's fence is
// the highest one ever issued.
func (w *leaseSim) check() error {
	holders := 0
	for _, p := range w.processes {
		if !p.lease.Holds(w.clock(p)) {
			continue
		}
		holders++
		if p.lease.Fence() < w.top {
			return fmt.Errorf("a holder has fence %d after fence %d was issued", p.lease.Fence(), w.top)
		}
		w.top = p.lease.Fence()
	}
	if holders > 1 {
		return fmt.Errorf("%d processes hold the lease", holders)
	}
	return nil
}

func TestLeaseFuzz(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newLeaseSim(3)
		pick := func() *leaseProcess {
			return w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(rt, "process")]
		}
		must := func(err error) {
			if err != nil {
				rt.Fatal(err)
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"read": func(*rapid.T) { must(w.read(pick())) },
			"write": func(rt *rapid.T) {
				p := pick()
				must(w.read(p))
				w.write(p, rapid.Bool().Draw(rt, "effect"), rapid.Bool().Draw(rt, "reply"))
			},
			"write late": func(*rapid.T) {
				p := pick()
				must(w.read(p))
				w.writeLate(p)
				p.deliver()
			},
			"done late": func(rt *rapid.T) {
				if len(w.late) > 0 {
					w.doLate(rapid.IntRange(0, len(w.late)-1).Draw(rt, "which"))
				}
			},
			"write without a look": func(rt *rapid.T) {
				p := pick()
				w.write(p, true, rapid.Bool().Draw(rt, "reply"))
				p.deliver()
			},
			"reply": func(*rapid.T) { pick().deliver() },
			"renew": func(rt *rapid.T) { w.take(rt, pick(), true, true) },
			"pass": func(rt *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(rt, "ms")) * time.Millisecond)
			},
			"free": func(*rapid.T) {
				p := pick()
				if write, ok := p.lease.Release(w.clock(p)); ok {
					w.tokens++
					w.rows.plan = func() (bool, bool) { return true, true }
					_, _ = w.rows.Commit(context.Background(), fmt.Sprint(w.tokens), write)
				}
			},
			"": func(*rapid.T) { must(w.check()) },
		})
	})
}

func TestLeaseTakeover(t *testing.T) {
	w := newLeaseSim(2)
	a, b := w.processes[0], w.processes[1]
	w.take(t, a, true, true)
	require.True(t, a.lease.Holds(w.clock(a)))
	require.EqualValues(t, 1, a.lease.Fence())

	w.take(t, b, true, true)
	require.False(t, b.lease.Holds(w.clock(b)), "another process's lease is not taken while it lasts")

	w.now = w.now.Add(testLeaseTTL + testTakeoverMargin - time.Millisecond)
	require.False(t, a.lease.Holds(w.clock(a)), "a paused holder stops holding when its lease expires")
	w.take(t, b, true, true)
	require.False(t, b.lease.Holds(w.clock(b)), "the takeover margin is waited out too")

	w.now = w.now.Add(2 * time.Millisecond)
	w.take(t, b, true, true)
	require.True(t, b.lease.Holds(w.clock(b)))
	require.EqualValues(t, 2, b.lease.Fence())
}

func TestLeaseLostReply(t *testing.T) {
	w := newLeaseSim(1)
	p := w.processes[0]
	require.NoError(t, w.read(p))
	w.write(p, true, false)
	w.now = w.now.Add(time.Second)
	p.deliver()
	require.False(t, p.lease.Holds(w.clock(p)), "a write without a reply does not count")
	require.NoError(t, w.read(p))
	require.True(t, p.lease.Holds(w.clock(p)), "reading the row back settles it")
	require.False(t, p.lease.HoldsFor(w.clock(p), testLeaseTTL), "the lease counts from before the write")
}

// A delayed write must not be mistaken for a later write of the same process. Otherwise that
// process would count its lease from when it sent the later write, while others count from the
// delayed one.
func TestLeaseLateWrite(t *testing.T) {
	w := newLeaseSim(2)
	a, b := w.processes[0], w.processes[1]
	require.NoError(t, w.read(a))
	w.writeLate(a)
	a.deliver()
	require.NoError(t, w.read(a), "as far as a can see, the write was not applied")
	w.doLate(0)
	require.NoError(t, w.read(b))
	w.now = w.now.Add(testLeaseTTL + testTakeoverMargin + time.Second)
	w.write(a, true, false)
	a.deliver()
	require.NoError(t, w.read(a))
	w.take(t, b, true, true)
	require.NoError(t, w.check())
}

// The note that a holder stores with the lease is read by others and by the next holder, also if
// the reply to the write was lost.
func TestLeaseNote(t *testing.T) {
	w := newLeaseSim(2)
	first, second := w.processes[0], w.processes[1]
	require.NoError(t, w.read(first))
	require.NoError(t, w.read(second))
	require.Empty(t, second.lease.Note())
	first.lease.SetNote([]byte(`"one"`))
	w.take(t, first, true, true)
	require.NoError(t, w.read(second))
	require.JSONEq(t, `"one"`, string(second.lease.Note()))

	w.now = w.now.Add(testLeaseTTL + testTakeoverMargin + time.Second)
	second.lease.SetNote([]byte(`"two"`))
	w.take(t, second, true, false)
	require.NoError(t, w.read(second))
	require.NoError(t, w.read(first))
	require.JSONEq(t, `"two"`, string(second.lease.Note()))
	require.JSONEq(t, `"two"`, string(first.lease.Note()))
}
