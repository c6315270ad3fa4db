package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// leaseRestartSim is a leaseSim whose processes restart under the same names, freeze and resume. It
// records until when each incarnation believed that it held the lease.
type leaseRestartSim struct {
	*leaseSim
	// frozen are the processes that are stopped now.
	frozen map[*leaseProcess]bool
	// believed is the true time until which each incarnation has believed that it holds the lease.
	believed map[*Lease]time.Time
}

func newLeaseRestartSim(n int) *leaseRestartSim {
	return &leaseRestartSim{newLeaseSim(n), make(map[*leaseProcess]bool), make(map[*Lease]time.Time)}
}

// restart replaces a process by a new one with the same name and no state. Writes that the old one
// sent may still be applied.
func (w *leaseRestartSim) restart(p *leaseProcess) {
	p.lease = NewLease("pool/x", p.lease.self, testLeaseTTL, testTakeoverMargin)
	p.reply = nil
	delete(w.frozen, p)
}

// check is the oracle: while one incarnation holds the lease, every other one, including those of
// the same process, has stopped believing in its own lease for at least testTakeoverMargin.
func (w *leaseRestartSim) check() error {
	if err := w.leaseSim.check(); err != nil {
		return err
	}
	for _, p := range w.processes {
		if !p.lease.Holds(w.clock(p)) {
			continue
		}
		until := p.lease.until.Add(-p.offset)
		if until.After(w.believed[p.lease]) {
			w.believed[p.lease] = until
		}
		from := until.Add(-testLeaseTTL)
		for other, until := range w.believed {
			if other == p.lease || other.fence > p.lease.fence {
				continue
			}
			if other.fence == p.lease.fence {
				return fmt.Errorf("two incarnations of %s and %s hold fence %d", other.self, p.lease.self, other.fence)
			}
			if from.Before(until.Add(testTakeoverMargin)) {
				return fmt.Errorf("%s holds with fence %d from %s, %s with fence %d until %s",
					p.lease.self, p.lease.fence, from.Sub(epoch), other.self, other.fence, until.Sub(epoch))
			}
		}
	}
	return nil
}

func TestLeaseRestartFuzz(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newLeaseRestartSim(3)
		must := func(err error) {
			if err != nil {
				rt.Fatal(err)
			}
		}
		pick := func() *leaseProcess {
			return w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(rt, "process")]
		}
		// awake applies do to a process unless it is frozen.
		awake := func(do func(p *leaseProcess)) {
			if p := pick(); !w.frozen[p] {
				do(p)
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"read": func(*rapid.T) { awake(func(p *leaseProcess) { must(w.read(p)) }) },
			"take": func(rt *rapid.T) {
				awake(func(p *leaseProcess) {
					must(w.read(p))
					w.write(p, true, rapid.Bool().Draw(rt, "reply"))
				})
			},
			"renew": func(*rapid.T) { awake(func(p *leaseProcess) { w.take(rt, p, true, true) }) },
			"write late": func(*rapid.T) {
				awake(func(p *leaseProcess) {
					must(w.read(p))
					w.writeLate(p)
					p.deliver()
				})
			},
			"done late": func(rt *rapid.T) {
				if len(w.late) > 0 {
					w.doLate(rapid.IntRange(0, len(w.late)-1).Draw(rt, "which"))
				}
			},
			"reply":   func(*rapid.T) { awake((*leaseProcess).deliver) },
			"restart": func(*rapid.T) { w.restart(pick()) },
			"herd": func(*rapid.T) {
				for _, p := range w.processes {
					w.restart(p)
				}
			},
			"freeze": func(*rapid.T) { w.frozen[pick()] = true },
			"wake":   func(*rapid.T) { delete(w.frozen, pick()) },
			"pass": func(rt *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(rt, "ms")) * time.Millisecond)
			},
			"": func(*rapid.T) { must(w.check()) },
		})
	})
}

// A holder that restarts under the same name must not continue the lease of its previous
// incarnation. It waits as long as any other process and takes a higher fence.
func TestLeaseRestartedHolder(t *testing.T) {
	cases := map[string]func(w *leaseRestartSim, p *leaseProcess){
		"after a renewal": func(w *leaseRestartSim, p *leaseProcess) { w.take(t, p, true, true) },
		"after a renewal without an answer": func(w *leaseRestartSim, p *leaseProcess) {
			require.NoError(t, w.read(p))
			w.write(p, true, false)
		},
		"after a renewal that is applied late": func(w *leaseRestartSim, p *leaseProcess) {
			require.NoError(t, w.read(p))
			w.writeLate(p)
		},
	}
	for name, last := range cases {
		t.Run(name, func(t *testing.T) {
			w := newLeaseRestartSim(2)
			p := w.processes[0]
			w.take(t, p, true, true)
			fence := p.lease.Fence()
			last(w, p)
			w.restart(p)
			w.now = w.now.Add(time.Second)
			for len(w.late) > 0 {
				w.doLate(0)
			}
			w.take(t, p, true, true)
			require.False(t, p.lease.Holds(w.clock(p)), "the previous incarnation's lease is not its own")
			w.now = w.now.Add(testLeaseTTL + testTakeoverMargin)
			w.take(t, p, true, true)
			require.False(t, p.lease.Holds(w.clock(p)), "the wait counts from the first read")
			w.now = w.now.Add(time.Millisecond)
			w.take(t, p, true, true)
			require.True(t, p.lease.Holds(w.clock(p)))
			require.Greater(t, p.lease.Fence(), fence)
		})
	}
}

// A process that freezes after reading the lease's row counts from when it processes the answer, so
// that a row read long ago does not make a lease look older than it is.
func TestLeaseReadThroughFreeze(t *testing.T) {
	w := newLeaseRestartSim(2)
	a, b := w.processes[0], w.processes[1]
	w.take(t, a, true, true)
	part, sort := b.lease.Key()
	row, ok, err := w.rows.Get(t.Context(), part, sort)
	require.NoError(t, err)
	w.now = w.now.Add(testLeaseTTL + testTakeoverMargin + time.Second)
	require.NoError(t, b.lease.HandleRead(w.clock(b), row, ok))
	_, ok = b.lease.Next(w.clock(b), "x")
	require.False(t, ok, "the row counts from when the process resumed")
	// The holder renews in the meantime, so that the row that b read is outdated.
	w.take(t, a, true, true)
	w.now = w.now.Add(testLeaseTTL + testTakeoverMargin + time.Millisecond)
	w.write(b, true, true)
	b.deliver()
	require.False(t, b.lease.Holds(w.clock(b)), "the write is conditional on the row that was read")
	require.NoError(t, w.check())
}
