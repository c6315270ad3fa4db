package route

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newHintBoard returns a board with a service of some targets, for which the list names
// incarnations.
func newHintBoard(t *testing.T, targets int) *Board {
	b := NewBoard(WithSeed(1))
	b.Adopt(epoch, testSetup{}.snapshot(t))
	listTargets(b, epoch, targets, "x", false)
	return b
}

// listTargets passes the board a list and reports that name an incarnation of the targets.
func listTargets(b *Board, now time.Time, targets int, incarnation Incarnation, draining bool) {
	var seen []ListedTarget
	for k := range targets {
		seen = append(seen, ListedTarget{Addr: testAddr(k), Labels: map[string]string{"s": "s"}, Incarnation: incarnation, Leaving: draining})
	}
	b.SetTargets(now, seen)
	for k := range targets {
		b.Report(now, testAddr(k), Report{Incarnation: incarnation, Leaving: draining, Slots: 8})
	}
}

// A draining hint in an answer holds until the incarnation that gave it ends, whatever else is
// reported about it.
func TestDrainingHintKept(t *testing.T) {
	t.Parallel()
	draining := TargetHints{Draining: true}
	of := func(i Incarnation) TargetKey { return TargetKey{testAddr(0), i} }
	for name, c := range map[string]struct {
		from  TargetKey
		then  func(b *Board)
		holds bool
	}{
		"at once": {of("x"), func(*Board) {}, true},
		"the list has it as ready": {of("x"), func(b *Board) {
			listTargets(b, epoch.Add(time.Second), 1, "x", false)
		}, true},
		"it disappears from the list and returns": {of("x"), func(b *Board) {
			b.SetTargets(epoch.Add(time.Second), nil)
			listTargets(b, epoch.Add(2*time.Second), 1, "x", false)
		}, true},
		"an older answer has no such hint": {of("x"), func(b *Board) { b.ApplyHints(epoch.Add(time.Second), of("x"), epoch, TargetHints{}) }, true},
		"a peer does not report it": {of("x"), func(b *Board) {
			b.MergePeers(epoch.Add(time.Second), map[string]PeerState{"p": {}}, 2)
		}, true},
		"the list names its start time": {of("x"), func(b *Board) {
			listTargets(b, epoch.Add(time.Second), 1, "x@1000", false)
		}, true},
		"a new start under its id": {of("x@1000"), func(b *Board) {
			listTargets(b, epoch.Add(time.Second), 1, "x@1000", false)
			listTargets(b, epoch.Add(2*time.Second), 1, "x@2000", false)
		}, false},
		"a new start at its address": {of("x"), func(b *Board) {
			listTargets(b, epoch.Add(time.Second), 1, "y", false)
		}, false},
		"another incarnation sent it": {of("y"), func(*Board) {}, false},
		"another incarnation sent it, which is listed now": {of("y"), func(b *Board) {
			listTargets(b, epoch.Add(time.Second), 1, "y", false)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHintBoard(t, 1)
			b.ApplyHints(epoch, c.from, epoch, draining)
			c.then(b)
			require.Equal(t, !c.holds, b.targets[testAddr(0)].usable())
			if c.holds {
				require.NotEmpty(t, b.State(epoch.Add(time.Second)).Leaving, "others are informed")
			}
		})
	}
}

// askTarget submits a request to the board and returns the target that it is sent to, or the
// refusal.
func askTarget(b *Board, now time.Time, id string) (to netip.AddrPort, refused *Refusal) {
	for _, a := range b.Arrive(now, Request{ID: id, Revision: 1, Pool: "s", Deadline: now.Add(time.Minute), QueueTime: time.Second}) {
		switch a := a.(type) {
		case Send:
			to = a.Attempt.Target
			b.Ended(now, Outcome{Request: id, Attempt: a.Attempt.ID, Kind: OutcomeDone})
		case Refuse:
			refused = &a.Refusal
		}
	}
	return to, refused
}

// A target that requests a back-off gets nothing from this router until it ends, and other targets
// get its requests. If all targets back off, a request is refused at once with the time until the
// first accepts one again.
func TestBackoffHintKept(t *testing.T) {
	t.Parallel()
	b := newHintBoard(t, 2)
	first, second := TargetKey{testAddr(0), "x"}, TargetKey{testAddr(1), "x"}
	at := func(s float64) time.Time { return epoch.Add(seconds(s)) }
	goes := func(now time.Time) (to map[netip.AddrPort]bool) {
		to = make(map[netip.AddrPort]bool)
		for n := range 20 {
			target, refused := askTarget(b, now, fmt.Sprint(now, n))
			require.Nil(t, refused)
			to[target] = true
		}
		return to
	}
	both := map[netip.AddrPort]bool{testAddr(0): true, testAddr(1): true}
	b.ApplyHints(at(0), TargetKey{testAddr(0), "y"}, at(0), TargetHints{Backoff: time.Minute})
	require.Equal(t, both, goes(at(0)), "another incarnation requested it")
	b.ApplyHints(at(0), first, at(0), TargetHints{Backoff: 3 * time.Second})
	b.ApplyHints(at(1), first, at(0), TargetHints{Backoff: time.Second})
	b.ApplyHints(at(1), first, at(1), TargetHints{})
	require.Equal(t, map[netip.AddrPort]bool{testAddr(1): true}, goes(at(2.9)), "neither a shorter back-off nor an answer without one shortens it")
	require.Equal(t, both, goes(at(3)))

	b.ApplyHints(at(4), first, at(4), TargetHints{Backoff: 5 * time.Second})
	b.ApplyHints(at(4), second, at(4), TargetHints{Backoff: 8 * time.Second})
	to, refused := askTarget(b, at(6), "all rest")
	require.False(t, to.IsValid())
	require.NotNil(t, refused)
	require.Equal(t, 3*time.Second, refused.RetryAfter)
	require.Equal(t, NotRun, refused.Verdict)
	_, refused = askTarget(b, at(8.5), "one is back soon")
	require.Nil(t, refused, "a request waits for a back-off that ends within its queue time")
	b.ApplyHints(at(8.5), first, at(8.5), TargetHints{Backoff: 2 * time.Second})
	last := b.Tick(at(9.5))
	require.Len(t, last, 1)
	require.Equal(t, "no target had room in time; of 2 targets 0 name a limit and 2 rest", last[0].(Refuse).Refusal.Detail)
	require.Equal(t, time.Second, last[0].(Refuse).Refusal.RetryAfter)
	listTargets(b, at(9.6), 2, "z", false)
	require.Equal(t, both, goes(at(9.6)), "a new start requested none")
}

// The limit and back-off of a target remain in force if it leaves the list and returns, which
// happens when its entry expires while the store is unavailable. They do not apply to another
// target at its address.
func TestHintsSurviveList(t *testing.T) {
	t.Parallel()
	at := func(s float64) time.Time { return epoch.Add(seconds(s)) }
	for name, c := range map[string]struct {
		back  Incarnation
		holds bool
	}{
		"the same start":                {"x", true},
		"the same start, with its time": {"x@1000", true},
		"another at the same address":   {"y", false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHintBoard(t, 1)
			b.ApplyHints(at(0), TargetKey{testAddr(0), "x"}, at(0), TargetHints{Limit: LimitHint{Named: true, PerSecond: 2}, Backoff: time.Minute})
			b.SetTargets(at(1), nil)
			require.Empty(t, b.View(at(1)))
			listTargets(b, at(2), 1, c.back, false)
			v := b.View(at(2))[0]
			require.Equal(t, c.holds, v.Limit != nil, "the limit")
			require.Equal(t, c.holds, v.Rests > 0, "the back-off")
			_, refused := askTarget(b, at(2), "a")
			require.Equal(t, c.holds, refused != nil)
		})
	}
}
