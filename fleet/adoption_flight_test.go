package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testGrace is how long a process serves on that knows of a newer revision.
const testGrace = testValidity / 2

// exchange is a call on its way: it was begun, is answered later, and its answer is
// taken in later still, since a process may be frozen at any moment.
type exchange struct {
	asker *Adoption
	// teller is the peer that is asked, nil for the table.
	teller *Adoption
	begun  time.Time
	// word and revision are the answer, once it was given.
	answered bool
	word     ConfigStatus
	revision int64
}

// exchangeSim is strict processes whose calls take time.
type exchangeSim struct {
	now       time.Time
	inForce   int64
	forcedAt  map[int64]time.Time
	processes []*Adoption
	flights   []*exchange
}

func newExchangeSim(n int) *exchangeSim {
	w := &exchangeSim{now: epoch, inForce: 1, forcedAt: map[int64]time.Time{1: epoch}, processes: make([]*Adoption, n)}
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
	w.forcedAt[w.inForce] = w.now
}

// ask begins a call of a process to the table, or to a peer.
func (w *exchangeSim) ask(asker, teller *Adoption) *exchange {
	f := &exchange{asker: asker, teller: teller, begun: w.now}
	w.flights = append(w.flights, f)
	return f
}

// answer gives a call its answer, as things are now.
func (w *exchangeSim) answer(f *exchange) {
	switch {
	case f.answered:
	case f.teller == nil:
		f.revision = w.inForce
	default:
		f.word = f.teller.Status(w.now)
		// The one that is asked hears who asks, without a time that it could count from.
		f.teller.ObservePeer(time.Time{}, ConfigStatus{Revision: f.asker.Revision(), ConfirmedAge: -1})
	}
	f.answered = true
}

// arrive takes an answer in; those of calls that a dead process made go nowhere. A
// newer revision that a peer told of may still have to be fetched.
func (w *exchangeSim) arrive(f *exchange) { w.take(f, true) }

func (w *exchangeSim) take(f *exchange, fetched bool) {
	if !f.answered {
		return
	}
	if f.teller == nil {
		f.asker.Adopted(f.revision)
		f.asker.Confirm(f.begun, f.asker.Revision())
		return
	}
	f.asker.ObservePeer(f.begun, f.word)
	if fetched {
		f.asker.Adopted(f.word.Revision)
	}
}

// check is the oracle: a process that serves does so under a revision that was the
// newest at some moment within the validity, within the grace if it knows of a newer
// one, and it tells others nothing better than that.
func (w *exchangeSim) check() error {
	for i, a := range w.processes {
		next, replaced := w.forcedAt[a.Revision()+1]
		if word := a.Status(w.now); replaced && word.ConfirmedAge >= 0 && w.now.Add(-word.ConfirmedAge).After(next) {
			return fmt.Errorf("process %d tells that revision %d was the newest %s ago, which was replaced %s ago", i, a.Revision(), word.ConfirmedAge, w.now.Sub(next))
		}
		if replaced && a.Behind() && !a.Outdated(w.now) && w.now.Sub(next) > testGrace {
			return fmt.Errorf("process %d knows of a newer revision than %d and goes on under it, which was replaced %s ago", i, a.Revision(), w.now.Sub(next))
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

// A confirmation counts from before its call, however long the call, the peer that
// was asked or the process itself stood still: no process serves under a revision
// that was replaced longer ago than the validity.
func TestAdoptionFlightFuzz(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newExchangeSim(3)
		index := func() int { return rapid.IntRange(0, len(w.processes)-1).Draw(rt, "process") }
		flying := func(do func(f *exchange)) {
			if len(w.flights) > 0 {
				do(w.flights[rapid.IntRange(0, len(w.flights)-1).Draw(rt, "call")])
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
				w.take(f, rapid.Bool().Draw(rt, "fetched"))
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

// A process that was frozen while an answer was on its way does not count it from its
// waking, nor does one that was started anew take a peer's old confirmation for new.
func TestAdoptionFrozenAnswer(t *testing.T) {
	const frozen = testValidity + time.Second
	cases := map[string]func(w *exchangeSim, a, b *Adoption){
		"the answer was on its way": func(w *exchangeSim, a, _ *Adoption) {
			f := w.ask(a, nil)
			w.answer(f)
			w.now = w.now.Add(frozen)
			w.arrive(f)
		},
		"a peer's answer was on its way": func(w *exchangeSim, a, b *Adoption) {
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
		"the peer asked long ago and tells at once": func(w *exchangeSim, a, b *Adoption) {
			w.now = w.now.Add(frozen)
			f := w.ask(a, b)
			w.answer(f)
			w.arrive(f)
		},
		"a process that was started anew hears an old word through another": func(w *exchangeSim, a, b *Adoption) {
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
