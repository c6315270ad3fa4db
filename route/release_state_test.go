package route

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// releaseTarget returns an entry of the list of the service pool.
func releaseTarget(i int, release string, draining bool) ListedTarget {
	return ListedTarget{Addr: testAddr(i), Labels: map[string]string{"s": "s"}, Release: release, Leaving: draining}
}

// Guards against a router that crashes as it computes the next split while no target is left that new
// streams may begin at.
func TestNextReleasesWithoutTargets(t *testing.T) {
	t.Parallel()
	for name, list := range map[string][]ListedTarget{
		"all draining": {releaseTarget(0, "a", true), releaseTarget(1, "b", true)},
		"none left":    nil,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := NewBoard(WithSeed(1))
			b.Adopt(epoch, testSetup{}.snapshot(t))
			b.SetTargets(epoch, []ListedTarget{releaseTarget(0, "a", false)})
			b.SetTargets(epoch, []ListedTarget{releaseTarget(0, "a", false), releaseTarget(1, "b", false)})
			next, ok := b.NextReleases(epoch, "s", time.Minute)
			require.True(t, ok)
			require.True(t, b.AdoptReleases(epoch, "s", next))
			b.SetTargets(epoch, list)
			require.True(t, b.HasSeveralReleases("s"))
			_, ok = b.NextReleases(epoch.Add(time.Minute), "s", time.Minute)
			require.False(t, ok, "slots stay where they are")
		})
	}
}

// releaseBoard returns a board with a pool of the given targets, each of them reported.
func releaseBoard(t require.TestingT, now time.Time, targets ...ListedTarget) *Board {
	b := NewBoard(WithSeed(1))
	b.Adopt(now, testSetup{}.snapshot(t))
	b.SetTargets(now, targets)
	return b
}

// Guards against trusting a split for streams of which it knows nothing: those that began before its clock,
// at routers whose clocks differ, or before the past that is known.
func TestStreamReleasesOfTime(t *testing.T) {
	t.Parallel()
	const life = 15 * time.Second
	change := epoch.Add(time.Hour)
	ended := change.Add(life + LateSplitTime)
	b := releaseBoard(t, epoch, releaseTarget(0, "a", false), releaseTarget(1, "b", false))
	for name, c := range map[string]struct {
		first ReleaseSplit
		at    time.Time
		want  []string
		known bool
	}{
		"long before":                 {WholeSplit(time.Time{}, "a"), change.Add(-time.Minute), []string{"a"}, true},
		"before a fast clock's":       {WholeSplit(time.Time{}, "a"), change.Add(-splitSkew), []string{"a", "b"}, true},
		"just before the skew":        {WholeSplit(time.Time{}, "a"), change.Add(-splitSkew - 1), []string{"a"}, true},
		"while the first may go on":   {WholeSplit(time.Time{}, "a"), ended.Add(-1), []string{"a", "b"}, true},
		"once it can't":               {WholeSplit(time.Time{}, "a"), ended, []string{"b"}, true},
		"after an unknown past":       {unknownSplit(change.Add(-time.Hour)), ended.Add(-1), []string{"b"}, false},
		"long after an unknown past":  {unknownSplit(change.Add(-time.Hour)), ended, []string{"b"}, true},
		"past the beginning of known": {WholeSplit(change.Add(-time.Second), "a"), change.Add(time.Second), []string{"a", "b"}, false},
	} {
		h := ReleaseHistory{Number: b.ReleaseHistory("s").Number + 1, Splits: []ReleaseSplit{c.first, WholeSplit(change, "b")}}
		require.True(t, b.AdoptReleases(epoch, "s", h))
		b.ForgetOldSplits(c.at, "s", life)
		releases, known := b.StreamReleases(c.at, "s", "id", life)
		require.Equal(t, c.want, releases, name)
		require.Equal(t, c.known, known, name)
	}
}

// Guards against a first split that claims a past that its writer does not know, and against one that
// forgets it.
func TestNextReleasesFirst(t *testing.T) {
	t.Parallel()
	const life = 15 * time.Second
	now := epoch.Add(time.Hour)
	a, c := releaseTarget(0, "a", false), releaseTarget(1, "b", false)
	t.Run("a known past", func(t *testing.T) {
		t.Parallel()
		b := releaseBoard(t, epoch, a)
		_, ok := b.NextReleases(now, "s", life)
		require.False(t, ok, "one release needs no row")
		require.Empty(t, b.SeveralReleases())
		b.SetTargets(now, []ListedTarget{a, c})
		h, ok := b.NextReleases(now, "s", life)
		require.True(t, ok)
		require.Equal(t, WholeSplit(time.Time{}, "a"), h.Splits[0])
		require.Equal(t, now.Add(SplitLead), h.Splits[1].From)
		require.True(t, b.AdoptReleases(now, "s", h))
		for _, at := range []time.Time{now, now.Add(SplitLead - 1)} {
			release, ok := b.NewStreamRelease(at, "s", "id")
			require.True(t, ok)
			require.Equal(t, "a", release, "the split is not in effect yet")
		}
		_, again := b.NextReleases(h.Splits[1].From, "s", life)
		require.False(t, again)
	})
	t.Run("an unknown past", func(t *testing.T) {
		t.Parallel()
		b := releaseBoard(t, epoch, a, c)
		_, ok := b.NewStreamRelease(now, "s", "id")
		require.False(t, ok, "two releases and no split")
		h, ok := b.NextReleases(now, "s", life)
		require.True(t, ok)
		require.True(t, b.AdoptReleases(now, "s", h))
		_, known := b.StreamReleases(now, "s", "id", life)
		require.False(t, known)
		_, known = b.StreamReleases(now.Add(life+LateSplitTime), "s", "id", life)
		require.True(t, known)
	})
	t.Run("later changes keep splits for the life of a stream", func(t *testing.T) {
		t.Parallel()
		b := releaseBoard(t, epoch, a)
		b.SetTargets(now, []ListedTarget{a, c})
		h, _ := b.NextReleases(now, "s", life)
		require.True(t, b.AdoptReleases(now, "s", h))
		b.SetTargets(now, []ListedTarget{c})
		later := now.Add(SplitLead + life + LateSplitTime - time.Millisecond)
		h, ok := b.NextReleases(later, "s", life)
		require.True(t, ok)
		require.Len(t, h.Splits, 3, "streams of the first split may be under way")
		h, ok = b.NextReleases(later.Add(time.Millisecond), "s", life)
		require.True(t, ok)
		require.Len(t, h.Splits, 2)
	})
}

// pinWorld is a board before targets of several releases, which records what the board does.
type pinWorld struct {
	t       require.TestingT
	now     time.Time
	board   *Board
	list    []ListedTarget
	sent    []Attempt
	refused []Refuse
}

// newPinWorld has a target of each given release.
func newPinWorld(t require.TestingT, engine bool, releases ...string) *pinWorld {
	w := &pinWorld{t: t, now: epoch, board: NewBoard(WithSeed(1), WithExposure(exposureShare))}
	w.board.Adopt(w.now, testSetup{window: 50, trust: true}.snapshot(t))
	for i, release := range releases {
		x := releaseTarget(i, release, false)
		if engine {
			x.Labels = map[string]string{"s": "e"}
		}
		w.list = append(w.list, x)
	}
	w.setList(w.list)
	return w
}

func (w *pinWorld) setList(list []ListedTarget) {
	w.list = list
	w.do(w.board.SetTargets(w.now, list))
	for _, x := range list {
		w.do(w.board.Report(w.now, x.Addr, Report{Incarnation: "i", Slots: 50, PrefillRate: 1000, Weights: map[string]string{"m": "w1"}}))
	}
}

func (w *pinWorld) do(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			w.sent = append(w.sent, a.Attempt)
		case Refuse:
			w.refused = append(w.refused, a)
		}
	}
}

// arrive has a request of the engine or the service pool arrive. One without a pin is no stream, since the
// board pins streams that may be resumed as it places them.
func (w *pinWorld) arrive(id string, engine bool, pin ReleasePin, continues bool) {
	r := Request{
		ID: id, Revision: 1, Org: "b", Pool: "s", Deadline: w.now.Add(30 * time.Second), QueueTime: 10 * time.Second,
		Aim: 5 * time.Second, AimAssumed: true, Repeatable: true, Resumable: true, Streams: pin.Set, Pin: pin, Continues: continues, MaxTokens: 4,
	}
	if engine {
		m, _, _ := w.board.snap.Model("m")
		r.Pool, r.Model, r.Text = "e", m, []byte(id)
	}
	w.do(w.board.Arrive(w.now, r))
}

func (w *pinWorld) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(min(10*time.Millisecond, end.Sub(w.now)))
		w.do(w.board.Tick(w.now))
	}
}

// release returns the release of a target in the list.
func (w *pinWorld) release(addr netip.AddrPort) string {
	for _, x := range w.list {
		if x.Addr == addr {
			return x.Release
		}
	}
	return "not listed"
}

// last returns the last attempt, which must be a new one.
func (w *pinWorld) last(before int) Attempt {
	require.Equal(w.t, before+1, len(w.sent), "one more attempt, refusals: %v", w.refused)
	return w.sent[before]
}

var eightTargets = []string{oldRel, oldRel, oldRel, oldRel, newRel, newRel, newRel, newRel}

// rolloutCases are the phases of a roll-out to newRel; nil stands for none.
var rolloutCases = map[string]*RolloutPhase{
	"no roll-out": nil, "pending": ptr(RolloutPending), "trial": ptr(RolloutTrial), "moving": ptr(RolloutMoving),
	"completed": ptr(RolloutCompleted), "rolled back": ptr(RolloutRolledBack),
}

func ptr[T any](v T) *T { return &v }

// Guards against attempts of a pinned request at another release, in any phase of a roll-out: the first,
// those after a refusal or a loss, and the continuation after a part was delivered.
func TestPinnedAttempts(t *testing.T) {
	t.Parallel()
	for name, phase := range rolloutCases {
		for _, engine := range []bool{false, true} {
			for _, release := range []string{oldRel, newRel} {
				for _, continues := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, engine %t, release %s, continues %t", name, engine, release, continues), func(t *testing.T) {
						t.Parallel()
						w := newPinWorld(t, engine, eightTargets...)
						pool := "s"
						if engine {
							pool = "e"
						}
						if phase != nil {
							o := RolloutOrder{Pool: pool, Release: newRel, Revision: 7, Duration: rolloutTime}
							w.board.StartRollout(w.now, o)
							w.board.SetRollout(w.now, o, *phase, "")
						}
						for i := range 20 {
							w.playPinned(fmt.Sprint("r", i), engine, PinTo(release), continues)
						}
						for _, a := range w.sent {
							require.Equal(t, release, w.release(a.Target), "attempt %d of %s", a.Number, a.Request)
						}
						held := phase != nil && release == newRel && !continues && (*phase == RolloutPending || *phase == RolloutRolledBack)
						require.Equal(t, held, len(w.sent) == 0, "a release that gets no new requests still continues streams")
					})
				}
			}
		}
	}
}

// playPinned has a request refused once, lost once before the first event, and lost once after a part was
// delivered.
func (w *pinWorld) playPinned(id string, engine bool, pin ReleasePin, continues bool) {
	before := len(w.sent)
	w.arrive(id, engine, pin, continues)
	for _, o := range []Outcome{{Kind: OutcomeRefused, Incarnation: "i"}, {Kind: OutcomeBroken}, {Kind: OutcomeBroken, Delivered: true}, {Kind: OutcomeDone}} {
		w.pass(200 * time.Millisecond)
		if len(w.sent) == before {
			return
		}
		a := w.last(before)
		before++
		if o.Delivered {
			w.do(w.board.FirstToken(w.now, id, a.ID))
			w.board.Progress(w.now, id, a.ID)
		}
		o.Request, o.Attempt = id, a.ID
		w.do(w.board.Ended(w.now, o))
	}
}

// Guards against a resend to the target that refused, where the list gives it another release by then.
func TestPinnedResendAfterUpgrade(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		release string
		resent  bool
	}{"the same release": {oldRel, true}, "another release": {newRel, false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newPinWorld(t, true, oldRel)
			w.arrive("r", true, PinTo(oldRel), false)
			a := w.last(0)
			w.list[0].Release = c.release
			w.setList(w.list)
			_, ok := w.board.resendCandidate(w.now, w.board.requests["r"], w.board.targets[a.Target])
			require.Equal(t, c.resent, ok)
		})
	}
}

// Guards against a request that waits, or runs elsewhere, while no target of its release is left.
func TestPinnedReleaseGone(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ engine, continues bool }{
		"new service request":      {false, false},
		"continued service answer": {false, true},
		"new engine request":       {true, false},
		"continued engine answer":  {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newPinWorld(t, c.engine, eightTargets...)
			w.arrive("r", c.engine, PinTo("gone"), c.continues)
			require.Empty(t, w.sent)
			require.Len(t, w.refused, 1, "at once")
			require.Equal(t, CauseNoTarget, w.refused[0].Refusal.Cause)
			require.Equal(t, NotRun, w.refused[0].Refusal.Verdict)
			require.Positive(t, w.refused[0].Refusal.RetryAfter)
		})
	}
}

// Guards against a caller that hears nothing until its deadline from an answer that cannot go on, and against
// giving up early where another target of the only release may still come.
func TestPinnedPatience(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		releases []string
		pin      ReleasePin
		patience time.Duration
	}{
		"several releases":           {[]string{oldRel, newRel}, PinTo(oldRel), releasePatience},
		"several releases, unpinned": {[]string{oldRel, newRel}, ReleasePin{}, releasePatience},
		"one release":                {[]string{oldRel}, PinTo(oldRel), 30 * time.Second},
		"one release, unpinned":      {[]string{oldRel}, ReleasePin{}, 30 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newPinWorld(t, true, c.releases...)
			w.arrive("r", true, c.pin, false)
			a := w.last(0)
			w.do(w.board.FirstToken(w.now, "r", a.ID))
			w.board.Progress(w.now, "r", a.ID)
			// The only target of the release stays in the list and takes no requests.
			w.do(w.board.Report(w.now, a.Target, Report{Incarnation: "i", Slots: 50, PrefillRate: 1000, Weights: map[string]string{}}))
			broke := w.now
			w.do(w.board.Ended(w.now, Outcome{Request: "r", Attempt: a.ID, Kind: OutcomeBroken, Delivered: true}))
			w.pass(c.patience - 20*time.Millisecond)
			require.Len(t, w.sent, 1, "it goes on at no other release")
			require.Empty(t, w.refused, "it waits for a target of its release")
			w.pass(40 * time.Millisecond)
			require.Len(t, w.refused, 1, "%s after the answer broke", w.now.Sub(broke))
			require.Len(t, w.sent, 1)
		})
	}
}

// Guards against refused continuations that prolong the caller's wait again and again, and against a wait
// that was used up before a further part was delivered.
func TestPinnedPatienceOfRefusals(t *testing.T) {
	t.Parallel()
	w := newPinWorld(t, true, oldRel, oldRel, newRel)
	w.arrive("r", true, PinTo(oldRel), false)
	const step = 10 * time.Millisecond
	broken := func() time.Time {
		a := w.last(len(w.sent) - 1)
		w.do(w.board.FirstToken(w.now, "r", a.ID))
		w.board.Progress(w.now, "r", a.ID)
		w.do(w.board.Ended(w.now, Outcome{Request: "r", Attempt: a.ID, Kind: OutcomeBroken, Delivered: true}))
		return w.now
	}
	refuse := func() {
		for before := len(w.sent); w.board.requests["r"].attempt == nil; w.pass(step) {
			require.Empty(t, w.refused, "before attempt %d", before+1)
		}
		a := w.last(len(w.sent) - 1)
		w.do(w.board.Ended(w.now, Outcome{Request: "r", Attempt: a.ID, Kind: OutcomeRefused, Incarnation: "i"}))
	}
	broken()
	refuse()
	for w.board.requests["r"].attempt == nil {
		w.pass(step)
	}
	w.pass(time.Second)
	broke := broken()
	for sent := 0; len(w.refused) == 0; w.pass(step) {
		require.LessOrEqual(t, w.now.Sub(broke), releasePatience+2*step, "each refusal prolongs the wait")
		if r := w.board.requests["r"]; r.attempt != nil && sent < len(w.sent) {
			sent = len(w.sent)
			refuse()
		}
	}
	require.Greater(t, len(w.sent), 4, "continuations were refused again and again")
	require.GreaterOrEqual(t, w.now.Sub(broke), releasePatience-step, "the patience begins anew with each part")
	for _, a := range w.sent {
		require.Equal(t, oldRel, w.release(a.Target))
	}
}

// Guards against an answer without a pin that goes on at another release than its delivered part has.
func TestDeliveredPartPins(t *testing.T) {
	t.Parallel()
	for name, ends := range map[string]bool{"by its progress": false, "by its end": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for i := range 40 {
				w := newPinWorld(t, i%2 == 0, eightTargets...)
				w.board.rng = rand.New(rand.NewPCG(uint64(i), 1))
				w.arrive(fmt.Sprint("r", i), i%2 == 0, ReleasePin{}, false)
				a := w.last(0)
				began := w.release(a.Target)
				w.do(w.board.FirstToken(w.now, a.Request, a.ID))
				if !ends {
					w.board.Progress(w.now, a.Request, a.ID)
				}
				w.do(w.board.Ended(w.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeBroken, Delivered: ends}))
				w.pass(100 * time.Millisecond)
				next := w.last(1)
				require.Equal(t, began, w.release(next.Target), "request %d", i)
			}
		})
	}
}

// releaseIndex is an index of a large service pool with few targets of one release.
type releaseIndex []*Entry

func (x releaseIndex) Size(pool string) int {
	if pool == "s" {
		return len(x)
	}
	return 0
}

func (x releaseIndex) Best(_ string, k int, pin ReleasePin, rank func(uint64) uint64) []*Entry {
	var out []*Entry
	for _, e := range x {
		if !pin.Set || e.Seen.Release == pin.Release {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *Entry) int {
		return cmp.Compare(rank(HashAddr(b.Seen.Addr)), rank(HashAddr(a.Seen.Addr)))
	})
	return out[:min(k, len(out))]
}

func (x releaseIndex) Releases(pool string) map[string]int {
	if pool != "s" {
		return nil
	}
	out := make(map[string]int)
	for _, e := range x {
		out[e.Seen.Release]++
	}
	return out
}

func (x releaseIndex) Get(addr netip.AddrPort) *Entry {
	for _, e := range x {
		if e.Seen.Addr == addr {
			return e
		}
	}
	return nil
}

// Guards against a large pool of which the loaded targets are all of other releases than the pinned one.
func TestPinnedLargePool(t *testing.T) {
	t.Parallel()
	var index releaseIndex
	for i := range 600 {
		release := oldRel
		if i%200 == 0 {
			release = newRel
		}
		index = append(index, &Entry{Seen: releaseTarget(i, release, false), Report: Report{Incarnation: "i", Slots: 50}, Revision: 1})
	}
	w := &pinWorld{t: t, now: epoch, board: NewBoard(WithSeed(1), WithTargetIndex(index))}
	w.board.Adopt(w.now, testSetup{window: 50}.snapshot(t))
	w.do(w.board.SetTargets(w.now, nil))
	for _, e := range index {
		w.list = append(w.list, e.Seen)
	}
	for i := range 100 {
		w.arrive(fmt.Sprint("any", i), false, ReleasePin{}, false)
	}
	loaded := len(w.board.targets)
	require.GreaterOrEqual(t, loaded, minLoadedTargets)
	before := len(w.sent)
	for i := range 20 {
		sent := len(w.sent)
		w.arrive(fmt.Sprint("pinned", i), false, PinTo(newRel), i%2 == 0)
		a := w.last(sent)
		w.pass(10 * time.Millisecond)
		w.do(w.board.Ended(w.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeDone}))
	}
	require.Len(t, w.sent, before+20)
	used := make(map[netip.AddrPort]bool)
	for _, a := range w.sent[before:] {
		require.Equal(t, newRel, w.release(a.Target))
		used[a.Target] = true
	}
	require.Len(t, used, 3, "all targets of the release are used")
	w.arrive("gone", false, PinTo("gone"), true)
	require.Len(t, w.refused, 1, "a release of which the index has no target")
}

// Guards against a stream that goes on at another release since the first splits of its pool were written by a
// router that started after its release had left, and taken over by one that knew it.
func TestFirstSplitsByLateStarter(t *testing.T) {
	t.Parallel()
	const life = 8 * time.Second
	early := releaseBoard(t, epoch, releaseTarget(0, "a", false))
	// The only release is replaced as a whole, and the other router starts.
	early.SetTargets(epoch.Add(time.Second), []ListedTarget{releaseTarget(1, "b", false)})
	now := epoch.Add(2 * time.Second)
	late := releaseBoard(t, now, releaseTarget(1, "b", false))
	for _, b := range []*Board{early, late} {
		b.SetTargets(now, []ListedTarget{releaseTarget(1, "b", false), releaseTarget(2, "c", false)})
	}
	first, ok := late.NextReleases(now, "s", life)
	require.True(t, ok)
	early.AdoptReleases(now, "s", first)
	for slot := range ReleaseSlots {
		releases, known := early.StreamReleases(now, "s", idOfSlot(slot), life)
		require.False(t, known && !slices.Contains(releases, "a"), "slot %d: streams of a are taken up at %v", slot, releases)
	}
}
