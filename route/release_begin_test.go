package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// idOfSlot returns the id of a request in a slot.
func idOfSlot(slot int) string {
	for i := 0; ; i++ {
		if id := time.Duration(i).String(); ReleaseSlot(id) == slot {
			return id
		}
	}
}

// twoSplits returns a history whose second split moves all slots to another release.
func twoSplits(number int64, from time.Time) ReleaseHistory {
	return ReleaseHistory{Number: number, Splits: []ReleaseSplit{WholeSplit(time.Time{}, oldRel), WholeSplit(from, newRel)}}
}

// Streams begin under a split only once the other routers had the time to learn of it, also if the router
// that wrote it learns late that it was written: a commit whose answer was lost, or that it did not see
// since it was stopped.
func TestReleaseSplitLearnedLate(t *testing.T) {
	t.Parallel()
	for _, late := range []time.Duration{0, time.Second, SplitLead, 2 * SplitLead, 5 * SplitLead} {
		w := newWorld(t, 2, 0, testSetup{})
		id, from := idOfSlot(0), w.now.Add(-late)
		require.True(t, w.board.AdoptReleases(w.now, "e", twoSplits(1, from)))
		release, ok := w.board.NewStreamRelease(w.now, "e", id)
		require.True(t, ok)
		require.Equal(t, oldRel, release, "%s late", late)
		release, _ = w.board.NewStreamRelease(w.now.Add(splitSpreadTime), "e", id)
		require.Equal(t, newRel, release, "%s late", late)
	}
}

// A router that learned a split by a slow link takes its beginning for later than it is. It does not place
// a stream that is taken up by the split before alone.
func TestReleaseSplitBySlowLink(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, 0, testSetup{})
	const transit = time.Second
	from := w.now.Add(SplitLead)
	w.board.AdoptReleases(w.now.Add(transit), "e", twoSplits(1, from.Add(transit)))
	releases, _ := w.board.StreamReleases(from.Add(transit/2), "e", idOfSlot(0), time.Second)
	require.Equal(t, []string{oldRel, newRel}, releases)
}

// A router that reads the row, every [SplitLead] at most, has read a split before streams begin under it,
// also if the store was slow to carry out its writing.
func TestReleaseSplitWrittenSlowly(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, 0, testSetup{})
	written := w.now.Add(SplitLead - 500*time.Millisecond)
	w.board.AdoptReleases(written, "e", twoSplits(1, w.now.Add(SplitLead)))
	release, ok := w.board.NewStreamRelease(written.Add(SplitLead-time.Millisecond), "e", idOfSlot(0))
	require.True(t, ok)
	require.Equal(t, oldRel, release)
}

// A new stream of a release that was rolled back is refused at once, since that release gets no new requests.
func TestReleaseRolledBack(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 0, 2, testSetup{})
	list := func() []ListedTarget {
		var out []ListedTarget
		for i, f := range w.targets {
			out = append(out, ListedTarget{Addr: f.addr, Labels: map[string]string{"s": "s"}, Release: []string{oldRel, newRel}[i]})
		}
		return out
	}
	w.board.SetTargets(w.now, list())
	for _, f := range w.targets {
		w.report(f)
	}
	ask := func(id string) []Action {
		return w.board.Arrive(w.now, Request{
			ID: id, Pool: "s", Revision: w.snap.Revision, Deadline: w.now.Add(time.Minute), QueueTime: 10 * time.Second,
			Streams: true, Resumable: true, Pin: PinTo(newRel),
		})
	}
	actions := ask("before")
	require.Len(t, actions, 1)
	require.IsType(t, Send{}, actions[0])
	w.board.rollouts["s"] = &rollout{order: RolloutOrder{Pool: "s", Release: newRel}, phase: RolloutRolledBack}
	actions = ask("after")
	require.Len(t, actions, 1, "the request waits")
	require.IsType(t, Refuse{}, actions[0])
	require.Equal(t, NotRun, actions[0].(Refuse).Refusal.Verdict)
}
