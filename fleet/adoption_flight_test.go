package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testGrace is how long a process that knows of a newer revision keeps serving.
const testGrace = testValidity / 2

// exchange is a call in flight. It starts, is answered later, and its answer is processed later
// still, since a process may freeze at any moment.
type exchange struct {
	caller *Adoption
	// peer is the peer that is called, or nil for the table.
	peer      *Adoption
	startedAt time.Time
	// status and revision are the answer, once there is one.
	answered bool
	status   ConfigStatus
	revision int64
}

// exchangeSim simulates strict processes whose calls take time.
type exchangeSim struct {
	now       time.Time
	inForce   int64
	inForceAt map[int64]time.Time
	processes []*Adoption
	exchanges []*exchange
}

func newExchangeSim(n int) *exchangeSim {
	w := &exchangeSim{now: epoch, inForce: 1, inForceAt: map[int64]time.Time{1: epoch}, processes: make([]*Adoption, n)}
	for i := range n {
		w.restart(i)
	}
	return w
}

func (w *exchangeSim) restart(i int) {
	w.processes[i] = NewAdoption(testValidity, false, WithGrace(testGrace))
	w.processes[i].Strict()
}

func (w *exchangeSim) apply() {
	w.inForce++
	w.inForceAt[w.inForce] = w.now
}

// ask starts a call from a process to the table or to a peer.
func (w *exchangeSim) ask(caller, peer *Adoption) *exchange {
	e := &exchange{caller: caller, peer: peer, startedAt: w.now}
	w.exchanges = append(w.exchanges, e)
	return e
}

// answer answers a call with the current state.
func (w *exchangeSim) answer(e *exchange) {
	switch {
	case e.answered:
	case e.peer == nil:
		e.revision = w.inForce
	default:
		e.status = e.peer.Status(w.now)
		// The called peer learns the caller's revision, but without a time to count a confirmation
		// from.
		e.peer.ObservePeer(time.Time{}, ConfigStatus{Revision: e.caller.Revision(), ConfirmedAge: -1})
	}
	e.answered = true
}

// arrive processes an answer; answers to processes that have restarted are lost. The peer's newer
// revision counts as fetched.
func (w *exchangeSim) arrive(e *exchange) { w.process(e, true) }

func (w *exchangeSim) process(e *exchange, fetched bool) {
	if !e.answered {
		return
	}
	if e.peer == nil {
		e.caller.Adopted(e.revision)
		e.caller.Confirm(e.startedAt, e.caller.Revision())
		return
	}
	e.caller.ObservePeer(e.startedAt, e.status)
	if fetched {
		e.caller.Adopted(e.status.Revision)
	}
}

// check is the oracle. A process serves only under a revision that was the newest at some moment
// within the validity, or within the grace period if it knows of a newer one, and does not report a
// more recent confirmation than that to others.
func (w *exchangeSim) check() error {
	for i, a := range w.processes {
		next, replaced := w.inForceAt[a.Revision()+1]
		if status := a.Status(w.now); replaced && status.ConfirmedAge >= 0 && w.now.Add(-status.ConfirmedAge).After(next) {
			return fmt.Errorf("process %d reports that revision %d was the newest %s ago, but it was replaced %s ago", i, a.Revision(), status.ConfirmedAge, w.now.Sub(next))
		}
		if replaced && a.Behind() && !a.Outdated(w.now) && w.now.Sub(next) > testGrace {
			return fmt.Errorf("process %d knows of a newer revision than %d and keeps using it, but it was replaced %s ago", i, a.Revision(), w.now.Sub(next))
		}
		if !a.Serving(w.now) {
			continue
		}
		if replaced && w.now.Sub(next) > testValidity {
			return fmt.Errorf("process %d serves under revision %d, which was replaced %s ago", i, a.Revision(), w.now.Sub(next))
		}
	}
	return nil
}

// A confirmation counts from before its call, however long the call, the called peer or the process
// itself was stalled. No process serves under a revision that was replaced longer ago than the
// validity.
func TestAdoptionFlightFuzz(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newExchangeSim(3)
		index := func() int { return rapid.IntRange(0, len(w.processes)-1).Draw(rt, "process") }
		flying := func(do func(f *exchange)) {
			if len(w.exchanges) > 0 {
				do(w.exchanges[rapid.IntRange(0, len(w.exchanges)-1).Draw(rt, "call")])
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"apply":    func(*rapid.T) { w.apply() },
			"ask":      func(*rapid.T) { w.ask(w.processes[index()], nil) },
			"ask peer": func(*rapid.T) { w.ask(w.processes[index()], w.processes[index()]) },
			"answer":   func(*rapid.T) { flying(w.answer) },
			"arrive":   func(*rapid.T) { flying(w.arrive) },
			"quick": func(*rapid.T) {
				f := w.ask(w.processes[index()], nil)
				w.answer(f)
				w.arrive(f)
			},
			"quick peer": func(rt *rapid.T) {
				f := w.ask(w.processes[index()], w.processes[index()])
				w.answer(f)
				w.process(f, rapid.Bool().Draw(rt, "fetched"))
			},
			"table out": func(*rapid.T) { w.processes[index()].TableDown() },
			"restart":   func(*rapid.T) { w.restart(index()) },
			"pass": func(rt *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms")) * time.Millisecond)
			},
			"": func(*rapid.T) {
				if err := w.check(); err != nil {
					rt.Fatal(err)
				}
			},
		})
	})
}

// A process that was frozen while an answer was in flight does not count the answer from when it
// resumes, and a restarted process does not take a peer's old confirmation for a new one.
func TestAdoptionFrozenAnswer(t *testing.T) {
	const frozen = testValidity + time.Second
	cases := map[string]func(w *exchangeSim, a, b *Adoption){
		"the answer was in flight": func(w *exchangeSim, a, _ *Adoption) {
			f := w.ask(a, nil)
			w.answer(f)
			w.now = w.now.Add(frozen)
			w.arrive(f)
		},
		"a peer's answer was in flight": func(w *exchangeSim, a, b *Adoption) {
			f := w.ask(a, b)
			w.answer(f)
			w.now = w.now.Add(frozen)
			w.arrive(f)
		},
		"the peer was frozen before it answered": func(w *exchangeSim, a, b *Adoption) {
			f := w.ask(a, b)
			w.now = w.now.Add(frozen)
			w.answer(f)
			w.arrive(f)
		},
		"the peer polled long ago and answers at once": func(w *exchangeSim, a, b *Adoption) {
			w.now = w.now.Add(frozen)
			f := w.ask(a, b)
			w.answer(f)
			w.arrive(f)
		},
		"a restarted process receives an old confirmation through another": func(w *exchangeSim, a, b *Adoption) {
			w.now = w.now.Add(frozen / 2)
			f := w.ask(a, b)
			w.answer(f)
			w.arrive(f)
			w.restart(1)
			w.now = w.now.Add(frozen / 2)
			f = w.ask(w.processes[1], a)
			w.answer(f)
			w.arrive(f)
			require.EqualValues(t, 1, w.processes[1].Revision())
			require.False(t, w.processes[1].Serving(w.now))
		},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			w := newExchangeSim(2)
			a, b := w.processes[0], w.processes[1]
			a.Adopted(1)
			f := w.ask(b, nil)
			w.answer(f)
			w.arrive(f)
			require.True(t, b.Serving(w.now))
			play(w, a, b)
			require.EqualValues(t, 1, a.Revision())
			require.False(t, a.Serving(w.now))
		})
	}
}
