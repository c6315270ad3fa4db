package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/event"
)

// guiltyPrint is the request of these tests.
var guiltyPrint = FingerprintOf("b", "POST", "h", "/", []byte("guilty"))

// crashWorldOf returns a world of plain targets, with one node before them.
func crashWorldOf(t *testing.T, targets int) *world {
	w := newWorld(t, 0, targets, testSetup{trust: true})
	w.board.begun = w.now
	return w
}

// arrive has a copy of a request come, and returns its attempt if it was sent.
func (w *world) arrive(t *testing.T, f Fingerprint) (a Attempt, sent bool) {
	w.nextID++
	id := fmt.Sprint("c", w.nextID)
	w.execute(w.board.Arrive(w.now, Request{
		ID: id, Revision: w.board.Revision(), Org: "b", Pool: "s", Deadline: w.now.Add(10 * time.Minute),
		QueueTime: 10 * time.Minute, Repeatable: true, MaxTries: 1, Print: f, Streams: true,
	}))
	for i, a := range w.inFlight {
		if a.Request == id {
			return w.takeInFlight(i), true
		}
	}
	return a, false
}

// crash ends the target of an attempt, and starts it again.
func (w *world) crash(a Attempt) {
	w.execute(w.board.Ended(w.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeBroken, Closed: true}))
	w.execute(w.board.TargetCrashed(w.now, a.Target))
	w.restart(a.Target)
}

// restart starts a target again.
func (w *world) restart(at interface{ String() string }) {
	for _, f := range w.targets {
		if f.addr.String() == at.String() {
			f.incarnation++
		}
	}
	w.reportList()
	for _, f := range w.targets {
		w.report(f)
	}
}

// crashes has n targets end under a request, one after another.
func (w *world) crashes(t *testing.T, f Fingerprint, n int) {
	for range n {
		a, sent := w.arrive(t, f)
		require.True(t, sent)
		w.crash(a)
		w.now = w.now.Add(100 * time.Millisecond)
	}
}

// heldRefusal reports whether the request is held back, and what a copy of it is told.
func (w *world) heldRefusal(t *testing.T, f Fingerprint) (refusal Refusal, held bool) {
	w.nextID++
	id := fmt.Sprint("h", w.nextID)
	actions := w.board.Arrive(w.now, Request{
		ID: id, Revision: w.board.Revision(), Org: "b", Pool: "s", Deadline: w.now.Add(time.Minute), QueueTime: time.Minute, Print: f,
	})
	for _, a := range actions {
		if r, ok := a.(Refuse); ok && r.Request == id && r.Refusal.Cause == CauseCrashes {
			return r.Refusal, true
		}
	}
	w.execute(w.board.CallerGone(w.now, id))
	for i, a := range w.inFlight {
		if a.Request == id {
			w.takeInFlight(i)
			break
		}
	}
	return refusal, false
}

// A request is held back once three targets have ended under it, and a copy of it is told that it
// did not run and when to come back; another request goes on. The time over, one more end holds it back for twice as long.
func TestCrashHeld(t *testing.T) {
	w := crashWorldOf(t, 3)
	other := FingerprintOf("a", "POST", "h", "/", []byte("guilty"))
	w.crashes(t, guiltyPrint, 2)
	_, held := w.heldRefusal(t, guiltyPrint)
	require.False(t, held)
	w.crashes(t, guiltyPrint, 1)
	refusal, held := w.heldRefusal(t, guiltyPrint)
	require.True(t, held)
	require.Equal(t, NotRun, refusal.Verdict)
	require.InDelta(t, 2*time.Minute, refusal.RetryAfter, float64(time.Second))
	require.True(t, w.hasEvent(event.RequestHeld))
	_, held = w.heldRefusal(t, other)
	require.False(t, held, "the same text of another organisation")

	w.now = w.now.Add(2 * time.Minute)
	w.board.Tick(w.now)
	_, held = w.heldRefusal(t, guiltyPrint)
	require.False(t, held)
	require.True(t, w.hasEvent(event.RequestReleased))
	w.crashes(t, guiltyPrint, 1)
	refusal, held = w.heldRefusal(t, guiltyPrint)
	require.True(t, held)
	require.InDelta(t, 4*time.Minute, refusal.RetryAfter, float64(time.Second))
	w.now = w.now.Add(4*time.Minute + suspectTTL)
	w.board.Tick(w.now)
	require.Empty(t, w.board.HeldRequests(w.now), "long after, it is forgotten")
}

// Copies that wait when the third target ends are refused at once, and one that fell with it is not sent again.
func TestCrashHeldWhileWaiting(t *testing.T) {
	w := crashWorldOf(t, 1)
	w.crashes(t, guiltyPrint, 2)
	last, sent := w.arrive(t, guiltyPrint)
	require.True(t, sent)
	w.board.SetHeldTargets(map[TargetKey]bool{{last.Target, last.Incarnation}: true})
	_, sent = w.arrive(t, guiltyPrint)
	require.False(t, sent)
	waiting := fmt.Sprint("c", w.nextID)
	w.crash(last)
	require.Len(t, w.ends[waiting], 1)
	refusal := w.ends[waiting][0].(Refuse).Refusal
	require.Equal(t, CauseCrashes, refusal.Cause)
	require.Equal(t, NotRun, refusal.Verdict)
}

// What is no end of a target under the request counts for nothing, and several views of one end count once.
func TestCrashCounts(t *testing.T) {
	broken := func(w *world, a Attempt) Outcome {
		return Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeBroken, Closed: true}
	}
	for name, c := range map[string]struct {
		// once has something happen to a copy's attempt.
		once func(w *world, a Attempt)
		// suspected says that it counts.
		suspected bool
	}{
		"a target ends": {func(w *world, a Attempt) { w.crash(a) }, true},
		"a new start is listed": {func(w *world, a Attempt) {
			w.board.Ended(w.now, broken(w, a))
			w.restart(a.Target)
		}, true},
		"a new start was listed before the connection broke": {func(w *world, a Attempt) {
			w.restart(a.Target)
			w.board.Ended(w.now, broken(w, a))
		}, true},
		"a silent target starts again": {func(w *world, a Attempt) {
			o := broken(w, a)
			o.Closed, o.Silent = false, true
			w.board.Ended(w.now, o)
			w.restart(a.Target)
		}, true},
		"the connection breaks": {func(w *world, a Attempt) { w.board.Ended(w.now, broken(w, a)) }, false},
		"the connection breaks, and the target ends later": {func(w *world, a Attempt) {
			w.board.Ended(w.now, broken(w, a))
			w.now = w.now.Add(crashConfirmWindow)
			w.restart(a.Target)
		}, false},
		"the target answers an error": {func(w *world, a Attempt) {
			o := broken(w, a)
			o.Closed, o.TargetError = false, true
			w.board.Ended(w.now, o)
			w.restart(a.Target)
		}, false},
		"the target turns it away": {func(w *world, a Attempt) {
			w.board.Ended(w.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeRefused})
			w.restart(a.Target)
		}, false},
		"nothing listens there": {func(w *world, a Attempt) {
			w.board.Ended(w.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeUnsent})
			w.board.TargetCrashed(w.now, a.Target)
			w.restart(a.Target)
		}, false},
		"the target was leaving": {func(w *world, a Attempt) {
			w.board.MarkDraining(TargetKey{a.Target, a.Incarnation})
			w.crash(a)
		}, false},
		"the answer had been coming for a while": {func(w *world, a Attempt) {
			w.board.FirstToken(w.now, a.Request, a.ID)
			w.now = w.now.Add(survivalTime)
			w.crash(a)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := crashWorldOf(t, 3)
			a, sent := w.arrive(t, guiltyPrint)
			require.True(t, sent)
			c.once(w, a)
			require.Equal(t, c.suspected, len(w.board.HeldRequests(w.now)) == 1)
		})
	}
	t.Run("one end, seen by several", func(t *testing.T) {
		w := crashWorldOf(t, 3)
		for i, incarnation := range []Incarnation{"i", NewIncarnation("i", epoch), "i", NewIncarnation("i", epoch)} {
			w.board.TakeCrashes(w.now, []CrashUpdate{{CrashKey: CrashKey{guiltyPrint, TargetKey{testAddr(9), incarnation}}, Age: time.Duration(i) * time.Millisecond}})
		}
		require.Len(t, w.board.HeldRequests(w.now)[0].Targets, 1)
	})
	t.Run("answers that had begun count half", func(t *testing.T) {
		w := crashWorldOf(t, 3)
		for n := range 6 {
			_, held := w.heldRefusal(t, guiltyPrint)
			require.False(t, held, "after %d", n)
			a, _ := w.arrive(t, guiltyPrint)
			w.board.FirstToken(w.now, a.Request, a.ID)
			w.crash(a)
		}
		_, held := w.heldRefusal(t, guiltyPrint)
		require.True(t, held)
	})
}

// A request that is answered anywhere is cleared; so is what fell with a target that turns out to live.
func TestCrashCleared(t *testing.T) {
	w := crashWorldOf(t, 3)
	under, sent := w.arrive(t, guiltyPrint)
	require.True(t, sent)
	w.crashes(t, guiltyPrint, 3)
	_, held := w.heldRefusal(t, guiltyPrint)
	require.True(t, held)
	w.execute(w.board.Ended(w.now, Outcome{Request: under.Request, Attempt: under.ID, Kind: OutcomeDone}))
	_, held = w.heldRefusal(t, guiltyPrint)
	require.False(t, held)
	require.True(t, w.hasEvent(event.RequestReleased))

	other := NewBoard()
	other.Adopt(w.now, w.snap)
	ends := func(from int) (out []CrashUpdate) {
		for n := range 3 {
			out = append(out, CrashUpdate{CrashKey: CrashKey{guiltyPrint, TargetKey{testAddr(from + n), "i"}}, Age: time.Second})
		}
		return out
	}
	other.TakeCrashes(w.now, ends(20))
	require.True(t, other.HeldRequests(w.now)[0].Held)
	words, _ := w.board.CrashesSince(w.now, 0)
	other.TakeCrashes(w.now, words)
	require.Empty(t, other.HeldRequests(w.now), "another process hears of it")
	other.TakeCrashes(w.now, ends(20))
	require.Empty(t, other.HeldRequests(w.now), "also where it is told of the ends again")
	w.now = w.now.Add(5 * time.Second)
	other.TakeCrashes(w.now, ends(30))
	require.True(t, other.HeldRequests(w.now)[0].Held, "ends after that count anew")
	other.TakeCrashes(w.now, []CrashUpdate{{CrashKey: CrashKey{Target: TargetKey{testAddr(31), "i"}}}})
	require.False(t, other.HeldRequests(w.now)[0].Held, "one of the targets answered")
}

// One that was answered here before is not suspected for the next target that ends, once.
func TestCrashAnsweredBefore(t *testing.T) {
	w := crashWorldOf(t, 3)
	a, _ := w.arrive(t, guiltyPrint)
	w.execute(w.board.Ended(w.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeDone}))
	w.crashes(t, guiltyPrint, 1)
	require.Empty(t, w.board.HeldRequests(w.now))
	words, _ := w.board.CrashesSince(w.now, 0)
	require.Len(t, words, 1)
	require.Equal(t, CrashKey{Print: guiltyPrint}, words[0].CrashKey, "others hear that it was answered")
	w.crashes(t, guiltyPrint, 3)
	_, held := w.heldRefusal(t, guiltyPrint)
	require.True(t, held)
}

// However many requests fall with targets, those that are held back stay so, and what is remembered and
// told stays bounded.
func TestCrashBounds(t *testing.T) {
	w := crashWorldOf(t, 3)
	w.crashes(t, guiltyPrint, 3)
	most := w.board.crashes.MaxRequests
	for n := range 3 * most {
		f := FingerprintOf("a", "POST", "h", "/", fmt.Append(nil, n))
		w.board.TakeCrashes(w.now, []CrashUpdate{
			{CrashKey: CrashKey{f, TargetKey{testAddr(n % 200), Incarnation(fmt.Sprint("i", n))}}},
			{CrashKey: CrashKey{f, TargetKey{testAddr(n % 200), Incarnation(fmt.Sprint("j", n))}}},
			{CrashKey: CrashKey{Target: TargetKey{testAddr(n), "k"}}},
		})
	}
	_, held := w.heldRefusal(t, guiltyPrint)
	require.True(t, held, "after a herd of others")
	for n := range 3 * maxCrashesPerRequest {
		w.board.TakeCrashes(w.now, []CrashUpdate{{CrashKey: CrashKey{guiltyPrint, TargetKey{testAddr(n), "l"}}, Age: time.Second}})
	}
	_, held = w.heldRefusal(t, guiltyPrint)
	require.True(t, held)
	w.now = w.now.Add(sweepEvery)
	w.board.Tick(w.now)
	seen := w.board.HeldRequests(w.now)
	require.Len(t, seen, most)
	require.Len(t, seen[0].Targets, maxCrashesPerRequest)
	words, _ := w.board.CrashesSince(w.now, 0)
	require.LessOrEqual(t, len(words), factsFactor*most+maxCrashesPerRequest)
}

// Words that can't be are passed over.
func TestCrashUpdatesMalformed(t *testing.T) {
	w := crashWorldOf(t, 1)
	good := CrashKey{guiltyPrint, TargetKey{testAddr(1), "i"}}
	long := CrashKey{guiltyPrint, TargetKey{testAddr(1), Incarnation(make([]byte, maxIncarnationLen+1))}}
	w.board.TakeCrashes(w.now, []CrashUpdate{{CrashKey: good, Age: -1}, {CrashKey: good, Age: suspectTTL}, {CrashKey: long}, {}})
	require.Empty(t, w.board.HeldRequests(w.now))
	words, _ := w.board.CrashesSince(w.now, 0)
	require.Empty(t, words)
}

// An operator may release a request, which the other processes hear.
func TestCrashReleased(t *testing.T) {
	seen := 0
	w := crashWorldOf(t, 3)
	w.board.crashes.onChange = func() { seen++ }
	w.crashes(t, guiltyPrint, 3)
	before := seen
	require.True(t, w.board.Release(w.now, guiltyPrint))
	require.False(t, w.board.Release(w.now, guiltyPrint), "it is known no more")
	_, held := w.heldRefusal(t, guiltyPrint)
	require.False(t, held)
	require.Greater(t, seen, before)
}

// Targets that ended at one moment under a request are told in one order by all processes.
func TestSimultaneousCrashes(t *testing.T) {
	for range 20 {
		s := suspectRequest{crashes: make(map[TargetKey]crash)}
		for i := range 6 {
			s.crashes[TargetKey{Target: testAddr(i / 2), Incarnation: Incarnation(string(rune('a' + i)))}] = crash{at: epoch}
		}
		marks := s.crashedTargets()
		for i := range 6 {
			require.Equal(t, Incarnation(string(rune('a'+i))), marks[i].Incarnation)
		}
	}
}
