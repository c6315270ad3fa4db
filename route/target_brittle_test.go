package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// brittleBoard returns a board with one target of four slots that announced that it can reject a
// number of requests per second, in a fleet of one router.
func brittleBoard(t *testing.T, maxRejected float64) (*Board, *target) {
	b := NewBoard(WithTargetNotices("n", nil))
	b.Adopt(epoch, brittleSnapshot(t))
	b.SetTargets(epoch, []ListedTarget{{Addr: testAddr(0), Labels: map[string]string{"s": "s"}}, {Addr: testAddr(1), Labels: map[string]string{"s": "s"}}})
	for k := range 2 {
		b.Report(epoch, testAddr(k), Report{Incarnation: "i", Slots: 4})
	}
	b.ApplyHints(epoch, TargetKey{testAddr(0), "i"}, epoch, TargetHints{Brittle: BrittleHint{Named: true, MaxRejected: maxRejected}})
	b.MergePeers(epoch, nil, 1)
	return b, b.targets[testAddr(0)]
}

// The places at a brittle target follow what it is known to take.
func TestBrittleRoom(t *testing.T) {
	t.Parallel()
	room := func(b *Board, now time.Time, t *target) int {
		n := 0
		for ; n < 10; n++ {
			if ok, _ := b.brittleRoom(now, t, b.pools["s"], &request{}); !ok {
				break
			}
			if t.attempts == nil {
				t.attempts = make(map[string]*attempt)
			}
			t.attempts[string(rune('a'+n))] = &attempt{}
		}
		clear(t.attempts)
		return n
	}
	reject := func(b *Board, now time.Time, t *target, risky bool) {
		b.recordRejection(now, &attempt{Attempt: Attempt{Target: t.addr, Incarnation: "i"}, target: t, risky: risky}, Outcome{Kind: OutcomeRefused, Unavailable: true})
	}
	update := func(u BrittleUpdate) map[string]PeerState {
		u.Target, u.Named, u.MaxRejected = TargetKey{testAddr(0), "i"}, true, 8
		return map[string]PeerState{"others": {Speaks: 2, Brittle: []BrittleUpdate{u}}}
	}
	second := epoch.Add(time.Second)
	for name, c := range map[string]struct {
		change func(b *Board, t *target)
		now    time.Time
		want   int
	}{
		"its slots":                     {nil, epoch, 4},
		"a slot less after a rejection": {func(b *Board, t *target) { reject(b, epoch, t, false) }, epoch, 3},
		"again all slots after a while": {func(b *Board, t *target) { reject(b, epoch, t, false) }, epoch.Add(lostSlotTime), 4},
		"all slots after a risk failed": {func(b *Board, t *target) { reject(b, epoch, t, true) }, epoch, 4},
		"one lost slot for two at once": {func(b *Board, t *target) { reject(b, epoch, t, false); reject(b, epoch, t, false) }, second, 3},
		"one slot at least":             {func(b *Board, t *target) { t.brittle.lost, t.brittle.lostAt = 9, epoch }, epoch, 1},
		"none while rejections are used up": {func(b *Board, t *target) {
			for range 4 {
				reject(b, epoch, t, true)
			}
		}, epoch, 0},
		"all slots a second later": {func(b *Board, t *target) {
			for range 4 {
				reject(b, epoch, t, true)
			}
		}, second, 4},
		"none after rejections of others": {func(b *Board, t *target) { t.brittle.others, t.brittle.othersAt = 4, epoch }, epoch, 0},
		"others' rejections end":          {func(b *Board, t *target) { t.brittle.others, t.brittle.othersAt = 4, epoch }, second, 4},
		"slots that a peer found lacking": {func(b *Board, t *target) { b.mergeBrittle(epoch, update(BrittleUpdate{Seq: 2, Lost: 2})) }, epoch, 2},
		"an older update of a peer": {func(b *Board, t *target) {
			reject(b, epoch, t, true)
			b.mergeBrittle(epoch, update(BrittleUpdate{Seq: 0, Lost: 2}))
		}, epoch, 4},
		"requests of another router there":    {func(b *Board, t *target) { t.peerInFlight = 3 }, epoch, 1},
		"a report that it carries out orders": {func(b *Board, t *target) { t.loadingUntil = second; reject(b, epoch, t, false) }, epoch, 4},
	} {
		t.Run(name, func(t *testing.T) {
			b, target := brittleBoard(t, 8)
			if c.change != nil {
				c.change(b, target)
			}
			require.Equal(t, c.want, room(b, c.now, target))
		})
	}
}

// Guards against a target that falls again as soon as it is back: routers that know nothing of its new
// incarnation all send to it, though it is as brittle as the others of its service.
func TestBrittleAssumed(t *testing.T) {
	t.Parallel()
	b, first := brittleBoard(t, 8)
	p, other := b.pools["s"], b.targets[testAddr(1)]
	brittle := func(now time.Time, t *target) bool {
		_, is := b.maxRejectedBy(now, t, p)
		return is
	}
	require.True(t, brittle(epoch, first))
	require.True(t, brittle(epoch, other), "nothing is known of it")
	b.Report(epoch, testAddr(0), Report{Incarnation: "next", Slots: 4})
	require.False(t, first.brittle.named, "it ends with the incarnation")
	require.True(t, brittle(epoch, first))
	later := epoch.Add(time.Second)
	b.ApplyHints(later, TargetKey{testAddr(1), "i"}, epoch, TargetHints{})
	require.False(t, brittle(later, other), "its answer announces nothing")
	require.False(t, brittle(epoch.Add(brittlePoolTime), first))
	b.disabled = BrittleTargets
	require.False(t, brittle(epoch, first), "switched off")
}

// What is known of a brittle target survives its absence from the list, as of the same incarnation.
func TestBrittleSurvivesList(t *testing.T) {
	t.Parallel()
	b, _ := brittleBoard(t, 8)
	b.SetTargets(epoch, nil)
	b.SetTargets(epoch, []ListedTarget{{Addr: testAddr(0), Labels: map[string]string{"s": "s"}, Incarnation: "i"}})
	require.True(t, b.targets[testAddr(0)].brittle.named)
	b.SetTargets(epoch, nil)
	b.SetTargets(epoch, []ListedTarget{{Addr: testAddr(0), Labels: map[string]string{"s": "s"}, Incarnation: "j"}})
	require.False(t, b.targets[testAddr(0)].brittle.named)
}

// Updates about one incarnation merge to the newest, or the most careful one, with all rejections.
func TestBrittleUpdateJoined(t *testing.T) {
	t.Parallel()
	named := BrittleUpdate{Seq: 2, Named: true, MaxRejected: 4}
	for name, c := range map[string]struct{ a, b, want BrittleUpdate }{
		"newer":              {named, BrittleUpdate{Seq: 3}, BrittleUpdate{Seq: 3}},
		"named":              {BrittleUpdate{Seq: 2}, named, named},
		"fewer rejections":   {named, BrittleUpdate{Seq: 2, Named: true, MaxRejected: 2}, BrittleUpdate{Seq: 2, Named: true, MaxRejected: 2}},
		"more lost slots":    {named, BrittleUpdate{Seq: 2, Named: true, MaxRejected: 4, Lost: 1}, BrittleUpdate{Seq: 2, Named: true, MaxRejected: 4, Lost: 1}},
		"rejections counted": {BrittleUpdate{Seq: 2, Named: true, Rejected: 1}, BrittleUpdate{Seq: 1, Named: true, Rejected: 2}, BrittleUpdate{Seq: 2, Named: true, Rejected: 3}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, c.a.joined(c.b))
			require.Equal(t, c.want, c.b.joined(c.a))
		})
	}
}

// Guards against a restarted router that takes a part of brittle targets by a demand which the others
// do not know yet, and have divided among themselves.
func TestArrivalRateBeginsUnknown(t *testing.T) {
	t.Parallel()
	var a arrivalRate
	a.update(epoch, 80)
	require.Zero(t, a.known())
	a.update(epoch.Add(arrivalReportLag/2), 80)
	require.Zero(t, a.known())
	a.update(epoch.Add(arrivalReportLag), 80)
	require.InDelta(t, 80, a.known(), 1e-9)
}
