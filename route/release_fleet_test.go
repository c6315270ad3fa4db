package route

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Delays of the simulated fleet of releases.
const (
	splitTraceLines = 40
	splitStep       = 10 * time.Millisecond
	splitRound      = 500 * time.Millisecond
	splitStreamLife = 15 * time.Second
	splitRowDelay   = 900 * time.Millisecond
	splitListDelay  = 1500 * time.Millisecond
	splitCommit     = 3 * time.Second
	splitCutOff     = 10 * time.Second
	splitBeginDelay = 300 * time.Millisecond
	// splitRecordDelay is how late the record has a stream, through relays.
	splitRecordDelay = 600 * time.Millisecond
	// splitClockError is how far a router may err about the age of a split.
	splitClockError = 100 * time.Millisecond
	splitTakeOver   = 3 * time.Second
	// splitContactTime is how long a router that is cut off still counts the others as heard.
	splitContactTime = 1200 * time.Millisecond
)

// splitFleet simulates routers that share a row of splits, before a pool whose targets come, drain and
// crash at several releases. Take-ups follow the rules of package node.
type splitFleet struct {
	rng      *rand.Rand
	now      time.Time
	commit   time.Duration
	releases []string
	targets  []*splitTarget
	nextAddr int
	routers  []*splitRouter
	row      ReleaseHistory
	due      []splitEvent
	nextID   int
	trace    []string
	// wrong are traces of streams taken up at another release, by what the routers did not know.
	wrong map[string][]string
	// Streams asked for and begun, and taken up while two targets of their release serve and gone on,
	// at routers in contact.
	asked, begun, taken, goneOn int
	splits                      int
	// record are the streams that routers in contact recorded.
	record map[string]string
}

type splitEvent struct {
	at time.Time
	do func()
}

type splitTarget struct {
	ListedTarget
	// goneAt is when it crashed or ended.
	goneAt time.Time
}

type splitRouter struct {
	board   *Board
	boot    int
	writing bool
	// cut is set while the router learns nothing, since cutAt.
	cut   bool
	cutAt time.Time
	// listAt and rowAt are when the router read the list and the row itself.
	listAt, rowAt time.Time
	neededSince   time.Time
	memory        map[string]string
}

func newSplitFleet(t *testing.T, n int, seed uint64, releases int, commit time.Duration) *splitFleet {
	f := &splitFleet{rng: rand.New(rand.NewPCG(seed, 7)), now: epoch, commit: commit, releases: []string{"a", "b", "c"}[:releases], wrong: make(map[string][]string), record: make(map[string]string)}
	// A node records the only release of a pool.
	f.row = ReleaseHistory{Number: 1, Splits: []ReleaseSplit{WholeSplit(time.Time{}, "a")}}
	for range 4 {
		f.addTarget("a")
	}
	for range n {
		f.routers = append(f.routers, &splitRouter{})
	}
	for i := range f.routers {
		f.restart(t, i)
	}
	return f
}

func (f *splitFleet) note(format string, args ...any) {
	f.trace = append(f.trace, fmt.Sprintf("%7.2f ", f.now.Sub(epoch).Seconds())+fmt.Sprintf(format, args...))
}

func (f *splitFleet) random(most time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(most) + 1))
}

func (f *splitFleet) after(d time.Duration, do func()) {
	e := splitEvent{f.now.Add(d), do}
	i, _ := slices.BinarySearchFunc(f.due, e, func(a, b splitEvent) int { return max(a.at.Compare(b.at), 0)*2 - 1 })
	f.due = slices.Insert(f.due, i, e)
}

func (f *splitFleet) addTarget(release string) {
	f.targets = append(f.targets, &splitTarget{ListedTarget: releaseTarget(f.nextAddr, release, false)})
	f.nextAddr++
	f.note("target of %s comes", release)
}

// live returns the serving targets of a release.
func (f *splitFleet) live(release string) (out []*splitTarget) {
	for _, t := range f.targets {
		if t.goneAt.IsZero() && !t.Leaving && t.Release == release {
			out = append(out, t)
		}
	}
	return out
}

// listed returns the list of targets, in which a target that is gone stays for a second.
func (f *splitFleet) listed() (out []ListedTarget) {
	for _, t := range f.targets {
		if t.goneAt.IsZero() || f.now.Sub(t.goneAt) < time.Second {
			out = append(out, t.ListedTarget)
		}
	}
	return out
}

func (f *splitFleet) restart(t *testing.T, i int) {
	r := f.routers[i]
	*r = splitRouter{board: NewBoard(WithSeed(uint64(i))), boot: r.boot + 1, cut: r.cut, cutAt: r.cutAt, memory: make(map[string]string)}
	r.board.Adopt(f.now, testSetup{}.snapshot(t))
	f.note("router %d starts", i)
	f.readRow(i)
	f.readList(i, r.boot)
}

// readRow has a router read the row, which completes later.
func (f *splitFleet) readRow(i int) {
	r, boot, row := f.routers[i], f.routers[i].boot, f.row
	f.after(f.random(splitRowDelay), func() {
		if r.boot == boot && !r.cut {
			r.rowAt = f.now
			f.adopt(i, row)
		}
	})
}

// hear has a router learn the row from others, which completes later.
func (f *splitFleet) hear(i int) {
	row := f.row
	f.after(f.random(splitRowDelay), func() {
		if !f.routers[i].cut {
			f.adopt(i, row)
		}
	})
}

func (f *splitFleet) adopt(i int, h ReleaseHistory) {
	h.Splits = slices.Clone(h.Splits)
	skew := f.random(2*splitClockError) - splitClockError
	for k := range h.Splits {
		if !h.Splits[k].From.IsZero() {
			h.Splits[k].From = h.Splits[k].From.Add(skew)
		}
	}
	if f.routers[i].board.AdoptReleases(f.now, "s", h) {
		f.note("router %d learns split %d", i, h.Number)
	}
}

// readList reads the list again and again.
func (f *splitFleet) readList(i, boot int) {
	list := f.listed()
	f.after(f.random(splitListDelay), func() {
		r := f.routers[i]
		if r.boot != boot {
			return
		}
		if !r.cut {
			r.listAt = f.now
			r.board.SetTargets(f.now, list)
		}
		f.readList(i, boot)
	})
}

// round lets a router change the splits if they have to change, as the node does.
func (f *splitFleet) round(i int) {
	r := f.routers[i]
	if r.cut || r.writing || !r.board.HasSeveralReleases("s") {
		return
	}
	r.board.ForgetOldSplits(f.now, "s", splitStreamLife)
	if _, needed := r.board.NextReleases(f.now, "s", splitStreamLife); !needed {
		r.neededSince = time.Time{}
		return
	}
	if r.neededSince.IsZero() {
		r.neededSince = f.now
	}
	owner := slices.IndexFunc(f.routers, func(r *splitRouter) bool { return !r.cut })
	if i != owner && f.now.Sub(r.neededSince) < splitTakeOver {
		return
	}
	f.adopt(i, f.row)
	r.rowAt = f.now
	next, ok := r.board.NextReleases(f.now, "s", splitStreamLife)
	if !ok {
		return
	}
	r.writing = true
	written := false
	replaces, boot, took := f.row.Number, r.boot, f.random(f.commit)
	f.note("router %d writes split %d: %s", i, next.Number, next.newest())
	f.after(f.random(took), func() {
		if f.row.Number != replaces {
			return
		}
		f.row, written = next, true
		f.splits++
		f.note("split %d is written", next.Number)
		for k := range f.routers {
			f.hear(k)
		}
	})
	f.after(took, func() {
		if r.boot != boot {
			return
		}
		r.writing = false
		if written && !r.cut {
			f.adopt(i, next)
		}
	})
}

func (f *splitFleet) cutOff(i int, d time.Duration) {
	r := f.routers[i]
	if r.cut {
		return
	}
	r.cut, r.cutAt = true, f.now
	f.note("router %d is cut off", i)
	f.after(d, func() {
		// A router counts as in contact once it has learned what the others know.
		row := f.row
		f.after(f.random(splitRowDelay), func() {
			r.cut = false
			if r.rowAt.IsZero() {
				r.rowAt = f.now
			}
			f.note("router %d is back", i)
			f.adopt(i, row)
			f.adopt(i, f.row)
		})
	})
}

// late is the rule of the node for routers that are cut off.
func (f *splitFleet) late(r *splitRouter, limit time.Duration) bool {
	if !r.cut || f.now.Sub(r.cutAt) <= splitContactTime {
		return false
	}
	return f.now.Sub(r.listAt) > limit || r.board.HasSeveralReleases("s") && f.now.Sub(r.rowAt) > limit
}

func (f *splitFleet) begin() {
	i := f.rng.IntN(len(f.routers))
	r := f.routers[i]
	f.nextID++
	id := fmt.Sprintf("s%d", f.nextID)
	if !r.cut {
		f.asked++
	}
	release, ok := r.board.NewStreamRelease(f.now, "s", id)
	if !ok || r.rowAt.IsZero() || r.board.HasSeveralReleases("s") && f.late(r, LateSplitTime) {
		return
	}
	r.memory[id] = release
	if boot := r.boot; !r.cut {
		f.after(f.random(splitRecordDelay), func() {
			if r.boot == boot && !r.cut {
				f.record[id] = release
			}
		})
	}
	until, inContact := f.now.Add(splitStreamLife), !r.cut
	how := "in contact"
	switch {
	case len(r.board.ReleaseHistory("s").Splits) == 0:
		how = "without a split"
	case r.cut:
		how = "cut off"
	}
	f.after(f.random(splitBeginDelay), func() {
		if len(f.live(release)) == 0 {
			return
		}
		if inContact {
			f.begun++
		}
		begun := f.now
		for range 2 {
			f.after(f.random(until.Sub(f.now)), func() { f.takeUp(id, release, i, begun, how) })
		}
	})
}

// releaseOf returns the release at which a router takes up a stream, by the rules of the node.
func (f *splitFleet) releaseOf(r *splitRouter, id string) (string, bool) {
	if release, ok := r.memory[id]; ok {
		return release, true
	}
	candidates, known := r.board.StreamReleases(f.now, "s", id, splitStreamLife)
	if !r.rowAt.IsZero() && !f.late(r, SplitLead) && known && len(candidates) == 1 {
		return candidates[0], true
	}
	if r.cut {
		return "", false
	}
	answer, found := f.record[id], f.record[id] != ""
	for _, o := range f.routers {
		release, ok := o.memory[id]
		if o.cut || !ok {
			continue
		}
		if found && answer != release {
			return "", false
		}
		answer, found = release, true
	}
	return answer, found
}

func (f *splitFleet) takeUp(id, began string, beginner int, at time.Time, how string) {
	i := f.rng.IntN(len(f.routers))
	r := f.routers[i]
	release, ok := f.releaseOf(r, id)
	serves := ok && (r.board.pools["s"].streams.listed[release] > 0 || len(f.live(release)) > 0)
	if serves && release != began {
		f.note("WRONG: %s (slot %d) began at %s by router %d (%s) at %.2f, router %d (cut off: %t) takes it up at %s",
			id, ReleaseSlot(id), began, beginner, how, at.Sub(epoch).Seconds(), i, r.cut, release)
		class := fmt.Sprintf("begun %s, taken up by a router cut off: %t", how, r.cut)
		f.wrong[class] = append(f.wrong[class], strings.Join(f.trace[max(0, len(f.trace)-splitTraceLines):], "\n"))
	}
	if ok {
		r.memory[id] = release
	}
	if r.cut || len(f.live(began)) < 2 {
		return
	}
	f.taken++
	if serves && release == began {
		f.goneOn++
	}
}

// disturb changes the targets and routers at random.
func (f *splitFleet) disturb(t *testing.T) {
	release := f.releases[f.rng.IntN(len(f.releases))]
	live := f.live(release)
	remove := func(x *splitTarget) {
		x.goneAt = f.now
		f.note("target of %s crashes", x.Release)
	}
	router := f.rng.IntN(len(f.routers))
	switch k := f.rng.IntN(20); {
	case k < 5 || len(live) == 0:
		if len(live) < 6 {
			for range 1 + f.rng.IntN(3) {
				f.addTarget(release)
			}
		}
	case k < 8:
		x := live[f.rng.IntN(len(live))]
		x.Leaving = true
		f.note("target of %s drains", release)
		f.after(f.random(8*time.Second), func() { x.goneAt = f.now })
	case k < 11:
		remove(live[f.rng.IntN(len(live))])
		f.after(f.random(4*time.Second), func() { f.addTarget(release) })
	case k < 12:
		for _, x := range live {
			remove(x)
		}
		f.after(f.random(6*time.Second), func() { f.addTarget(release); f.addTarget(release) })
	case k < 16:
		f.cutOff(router, f.random(splitCutOff))
	default:
		f.restart(t, router)
	}
}

// play advances the fleet. Once, all routers start again at the same time.
func (f *splitFleet) play(t *testing.T, d time.Duration) {
	end, restart, next := f.now.Add(d), f.now.Add(d/2), f.now.Add(5*time.Second)
	for ; f.now.Before(end); f.now = f.now.Add(splitStep) {
		for len(f.due) > 0 && !f.due[0].at.After(f.now) {
			e := f.due[0]
			f.due = f.due[1:]
			e.do()
		}
		if f.now.Sub(epoch)%splitRound == 0 {
			for i := range f.routers {
				f.round(i)
			}
		}
		if f.now.Equal(restart) {
			for i := range f.routers {
				f.restart(t, i)
			}
		}
		if !f.now.Before(next) {
			f.disturb(t)
			next = f.now.Add(f.random(2 * time.Second))
		}
		f.begin()
	}
}

// releasePlays multiplies the plays of TestReleasesFleet, of which some take minutes with the race detector.
var releasePlays = flag.Int("releases.plays", 1, "times as many plays in TestReleasesFleet")

// Guards against streams that are taken up at another release than the one that began them, whatever
// routers and targets do, and against refusing those that could go on.
func TestReleasesFleet(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		routers, releases, seeds int
		commit                   time.Duration
	}{
		"6 routers, two releases":                     {6, 2, 6, time.Second / 2},
		"6 routers, three releases":                   {6, 3, 6, time.Second / 2},
		"6 routers, two releases, a slow store":       {6, 2, 3, splitCommit},
		"6 routers, three releases, a slow store":     {6, 3, 3, splitCommit},
		"84 routers, two releases, with a slow store": {84, 2, 1, splitCommit},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			skipLargeFleet(t, c.routers)
			sum := splitFleet{wrong: make(map[string][]string), record: make(map[string]string)}
			for seed := range c.seeds * *releasePlays {
				f := newSplitFleet(t, c.routers, uint64(seed), c.releases, c.commit)
				f.play(t, 2*time.Minute)
				sum.asked, sum.begun, sum.taken, sum.goneOn = sum.asked+f.asked, sum.begun+f.begun, sum.taken+f.taken, sum.goneOn+f.goneOn
				sum.splits += f.splits
				for class, traces := range f.wrong {
					t.Logf("seed %d: %d wrong, %s", seed, len(traces), class)
					sum.wrong[class] = append(sum.wrong[class], traces...)
				}
			}
			goOn, begin := float64(sum.goneOn)/float64(sum.taken), float64(sum.begun)/float64(sum.asked)
			t.Logf("%d splits; %d of %d new streams begin (%.3f), %d of %d taken up go on (%.3f)", sum.splits, sum.begun, sum.asked, begin, sum.goneOn, sum.taken, goOn)
			for class, traces := range sum.wrong {
				t.Logf("%s, the first:\n%s", class, traces[0])
			}
			require.Positive(t, sum.splits)
			require.Zero(t, len(sum.wrong), "kinds of streams taken up at another release")
			require.GreaterOrEqual(t, goOn, begin/2)
		})
	}
}
