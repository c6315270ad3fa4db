package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// restartedBoard returns the board of a restarted process in a world. It retains nothing of its
// predecessor but the configuration.
func restartedBoard(t *testing.T, w *world, opts ...Option) *Board {
	b := NewBoard(append([]Option{WithSeed(2)}, opts...)...)
	b.Adopt(w.now, w.snap)
	require.Empty(t, b.View(epoch))
	return b
}

// listedTargets returns the list entries for targets of the plain pool.
func listedTargets(draining bool, targets ...*fakeTarget) []ListedTarget {
	var out []ListedTarget
	for _, f := range targets {
		out = append(out, ListedTarget{Addr: f.addr, Labels: map[string]string{"s": "s"}, Leaving: draining})
	}
	return out
}

// A draining target gets no work from a process that started after the mark was set, whichever
// source reports it first: the list, the target's own entry or a peer. This holds even if the list
// later says ready, or if the entry was gone in between.
func TestLeavingOverRestart(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 0, 1, testSetup{})
	f := w.targets[0]
	mark := TargetKey{f.addr, Incarnation(f.id())}
	ready, leaving := f.report(), f.report()
	leaving.Leaving = true
	fromPeer := map[string]PeerState{"p": {Leaving: []TargetKey{mark}}}
	cases := map[string]func(b *Board){
		"the list": func(b *Board) {
			b.SetTargets(w.now, listedTargets(true, f))
			b.Report(w.now, f.addr, ready)
		},
		"its own entry": func(b *Board) {
			b.SetTargets(w.now, listedTargets(false, f))
			b.Report(w.now, f.addr, leaving)
		},
		"the list, which then reports ready again": func(b *Board) {
			b.SetTargets(w.now, listedTargets(true, f))
			b.Report(w.now, f.addr, leaving)
			b.SetTargets(w.now, listedTargets(false, f))
			b.Report(w.now, f.addr, ready)
		},
		"its entry, which disappears and returns as ready": func(b *Board) {
			b.SetTargets(w.now, listedTargets(true, f))
			b.Report(w.now, f.addr, leaving)
			b.SetTargets(w.now, nil)
			b.SetTargets(w.now, listedTargets(false, f))
			b.Report(w.now, f.addr, ready)
		},
		"a peer, before the list": func(b *Board) {
			b.MergePeers(w.now, fromPeer, 2)
			b.SetTargets(w.now, listedTargets(false, f))
			b.Report(w.now, f.addr, ready)
		},
		"a peer, after an old list": func(b *Board) {
			b.SetTargets(w.now, listedTargets(false, f))
			b.Report(w.now, f.addr, ready)
			b.MergePeers(w.now, fromPeer, 2)
		},
		"a peer, between two old lists": func(b *Board) {
			b.SetTargets(w.now, listedTargets(false, f))
			b.Report(w.now, f.addr, ready)
			b.MergePeers(w.now, fromPeer, 2)
			b.MergePeers(w.now, nil, 1)
			b.SetTargets(w.now, nil)
			b.SetTargets(w.now, listedTargets(false, f))
			b.Report(w.now, f.addr, ready)
		},
	}
	for name, tell := range cases {
		t.Run(name, func(t *testing.T) {
			b := restartedBoard(t, w)
			tell(b)
			require.False(t, b.targets[f.addr].usable())
			require.Contains(t, b.DrainingTargets(), mark, "the process also informs others")
		})
	}
	t.Run("the entry is gone", func(t *testing.T) {
		b := restartedBoard(t, w)
		b.SetTargets(w.now, nil)
		require.Empty(t, b.targets)
	})
	t.Run("the next incarnation is not marked", func(t *testing.T) {
		b := restartedBoard(t, w)
		b.MergePeers(w.now, fromPeer, 2)
		b.SetTargets(w.now, listedTargets(false, f))
		b.Report(w.now, f.addr, Report{Incarnation: "next"})
		require.True(t, b.targets[f.addr].usable())
	})
}

// A restarted process no longer knows that another target answered at an address. It sends there
// only under the incarnation in the list entry, so that the other target refuses and is excluded as
// before. A peer that names another incarnation changes nothing.
func TestUnconfirmedAfterRestart(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 0, 1, testSetup{trust: true})
	f := w.targets[0]
	b := restartedBoard(t, w, WithReusedAddresses())
	b.SetTargets(w.now, listedTargets(false, f))
	require.False(t, b.targets[f.addr].usable(), "nothing is sent before an incarnation is known")
	b.Report(w.now, f.addr, f.report())
	send := func(id string) []Action {
		return b.Arrive(w.now, Request{
			ID: id, Revision: b.Revision(), Org: "b", Pool: "s", Deadline: w.now.Add(time.Second),
			QueueTime: time.Second, Repeatable: true,
		})
	}
	out := send("r1")
	require.Len(t, out, 1)
	a := out[0].(Send).Attempt
	require.EqualValues(t, f.id(), a.Incarnation, "the old entry's incarnation is expected")
	b.Ended(w.now, Outcome{Request: "r1", Attempt: a.ID, Kind: OutcomeRefused, Incarnation: "stranger"})
	require.False(t, b.targets[f.addr].usable())
	b.MergePeers(w.now, map[string]PeerState{"p": {Loaded: []WeightsUpdate{{Target: TargetKey{f.addr, Incarnation(f.id())}, Model: "m", Weights: "w2"}}}}, 2)
	require.Empty(t, send("r2"), "the other target gets no work")
	// The old entry is read once more, so the next attempt still names the old incarnation.
	out = b.Report(w.now, f.addr, f.report())
	require.NotEmpty(t, out)
	for _, action := range out {
		require.EqualValues(t, f.id(), action.(Send).Attempt.Incarnation)
	}
}
