package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pathhead/pathhead/event"
)

// An incarnation returns its id and start time whichever characters the id contains.
func TestIncarnationFuzz(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		id := rapid.StringMatching(`[a-z@0-9-]{1,12}`).Draw(rt, "id")
		start := time.UnixMilli(rapid.Int64Range(-1e13, 1e13).Draw(rt, "start")).UTC()
		i := NewIncarnation(id, start)
		require.Equal(rt, id, i.ID())
		got, ok := i.Start()
		require.True(rt, ok)
		require.Equal(rt, start, got)
		bare := NewIncarnation(id, time.Time{})
		require.Equal(rt, id, bare.ID())
		_, ok = bare.Start()
		require.False(rt, ok)
	})
}

func TestIncarnationSame(t *testing.T) {
	t.Parallel()
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	cases := map[string]struct {
		a, b Incarnation
		same bool
	}{
		"the same start":            {NewIncarnation("i", at(5)), NewIncarnation("i", at(5)), true},
		"another start":             {NewIncarnation("i", at(5)), NewIncarnation("i", at(6)), false},
		"an earlier one":            {NewIncarnation("i", at(5)), NewIncarnation("i", at(4)), false},
		"one is unknown":            {NewIncarnation("i", at(5)), NewIncarnation("i", time.Time{}), true},
		"none is known":             {NewIncarnation("i", time.Time{}), NewIncarnation("i", time.Time{}), true},
		"another id":                {NewIncarnation("i", at(5)), NewIncarnation("k", at(5)), false},
		"another id, unknown start": {"i", "k", false},
		"a start less than 1 ms":    {NewIncarnation("i", at(5)), NewIncarnation("i", at(5).Add(time.Microsecond)), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.same, c.a.Same(c.b))
			require.Equal(t, c.same, c.b.Same(c.a))
		})
	}
}

// incarnationAt returns the incarnation of engine 0 that started at the given second.
func incarnationAt(second int64) Incarnation { return NewIncarnation("0", time.Unix(second, 0)) }

// A target that restarts with the same id and address has lost its state: everything believed about
// the earlier start is discarded, whatever start time its clock reports, and late information about
// that start has no effect.
func TestTargetRestart(t *testing.T) {
	t.Parallel()
	first, again := incarnationAt(500), incarnationAt(400)
	setup := func(t *testing.T) (*partsBoard, *target) {
		p := newPartsBoard(t, 1)
		p.restart(first, "1", false)
		return p, p.b.targets[testAddr(0)]
	}
	t.Run("its cache", func(t *testing.T) {
		p, target := setup(t)
		part := Part{ID: "aa", Tokens: 3000}
		p.b.PartChanges(p.now, testAddr(0), time.Unix(500, 0), true, []PartChange{{"salt", part.ID, part.Tokens}})
		require.Len(t, target.parts.tokens, 1)
		slot := target.slot
		p.restart(again, "1", false)
		require.Empty(t, target.parts.tokens)
		require.NotEqual(t, slot, target.slot, "cache entries of own sends belong to a slot")
	})
	t.Run("its failures and its speed", func(t *testing.T) {
		p, target := setup(t)
		target.learned, target.service = 9, time.Hour
		target.failedSends.add(p.now, 50)
		p.b.markFailing(p.now, target, "test")
		p.restart(again, "1", false)
		require.Zero(t, target.learned)
		require.Equal(t, defaultService, target.service)
		require.Zero(t, p.b.failurePenalty(p.now, target))
		require.True(t, target.usable())
	})
	t.Run("the load of peers", func(t *testing.T) {
		p, target := setup(t)
		load := func(i Incarnation, n int) map[string]PeerState {
			return map[string]PeerState{"p": {Loads: []Load{{Target: TargetKey{testAddr(0), i}, InFlight: n, Prefill: 1000, Tokens: 500}}}}
		}
		p.b.MergePeers(p.now, load(first, 7), 2)
		require.Equal(t, 7, target.peerInFlight)
		p.restart(again, "1", false)
		require.Zero(t, target.peerInFlight)
		require.Zero(t, target.peerPrefill)
		require.Zero(t, target.peerTokens)
		p.b.MergePeers(p.now, load(first, 7), 2)
		require.Zero(t, target.peerInFlight, "a peer that does not know of the restart yet")
	})
	t.Run("its draining mark", func(t *testing.T) {
		p, target := setup(t)
		p.restart(first, "1", true)
		require.False(t, target.usable())
		p.restart(again, "1", false)
		require.True(t, target.usable())
		p.b.MarkDraining(TargetKey{testAddr(0), first})
		require.True(t, target.usable(), "a peer's mark of the earlier start")
		p.restart(again, "1", true)
		require.False(t, target.usable())
	})
	t.Run("its weights", func(t *testing.T) {
		p, target := setup(t)
		p.restart(first, "3", false)
		p.restart(again, "2", false)
		weights, ok := target.serves("m", "")
		require.True(t, ok)
		require.Equal(t, "2", weights, "numbered weights rise within a start alone")
	})
	t.Run("a start that a peer reports first", func(t *testing.T) {
		p, target := setup(t)
		p.b.MarkDraining(TargetKey{testAddr(0), again})
		p.b.MergePeers(p.now, map[string]PeerState{"p": {Loads: []Load{{Target: TargetKey{testAddr(0), again}, InFlight: 7}}}}, 2)
		require.True(t, target.usable(), "it does not apply to the start that the list names")
		require.Zero(t, target.peerInFlight)
		p.restart(again, "1", false)
		require.False(t, target.usable(), "its mark holds once the list names it")
	})
	t.Run("a start that an answer names by its id", func(t *testing.T) {
		p, target := setup(t)
		slot := target.slot
		p.b.identify(p.now, target, NewIncarnation("0", time.Time{}))
		require.Equal(t, first, target.incarnation)
		require.Equal(t, slot, target.slot)
	})
	t.Run("a report without a start time", func(t *testing.T) {
		p, target := setup(t)
		target.learned = 9
		p.restart(NewIncarnation("0", time.Time{}), "1", false)
		require.EqualValues(t, 9, target.learned, "it does not indicate a new start")
	})
	t.Run("two starts between two reports", func(t *testing.T) {
		p, target := setup(t)
		p.restart(incarnationAt(600), "1", false)
		p.restart(incarnationAt(700), "1", false)
		require.Equal(t, incarnationAt(700), target.incarnation)
	})
}

// restart passes the board a list entry of engine 0.
func (p *partsBoard) restart(i Incarnation, weights string, draining bool) {
	p.b.SetTargets(p.now, []ListedTarget{
		{Addr: testAddr(0), Labels: map[string]string{"s": "e"}, Leaving: draining, Incarnation: i},
		{Addr: storeTestAddr, Labels: map[string]string{"s": "k"}},
	})
	p.b.Report(p.now, testAddr(0), Report{
		Incarnation: i, Weights: map[string]string{"m": weights}, PrefillRate: 50000, Slots: 64, Leaving: draining,
	})
}

// Cache events of another start than the listed one are ignored, whichever of the two is later, and
// the target's believed cache contents are no longer used.
func TestEventsOfOtherIncarnation(t *testing.T) {
	t.Parallel()
	p := newPartsBoard(t, 1, WithEventHandler(func(event.Event) {}))
	p.restart(incarnationAt(500), "1", false)
	held := []PartChange{{"salt", "aa", 3000}}
	tokens := func() int { return len(p.b.targets[testAddr(0)].parts.tokens) }
	require.True(t, p.b.PartChanges(p.now, testAddr(0), time.Unix(500, 0), true, held))
	require.Equal(t, 1, tokens())
	for _, second := range []int64{400, 600} {
		require.False(t, p.b.PartChanges(p.now, testAddr(0), time.Unix(second, 0), true, held))
		require.Zero(t, tokens())
		require.True(t, p.b.PartChanges(p.now, testAddr(0), time.Unix(500, 0), true, held))
		require.Equal(t, 1, tokens())
	}
	require.True(t, p.b.PartChanges(p.now, testAddr(0), time.Time{}, false, nil), "a target that reports no start time")
	require.Equal(t, 1, tokens())
}

// A new start known only from an answer is sent to by the state of the earlier one until it reports
// itself, because a router that polls rarely has no other information.
func TestTargetRestartBeforeReport(t *testing.T) {
	t.Parallel()
	p := newPartsBoard(t, 1)
	p.restart(incarnationAt(500), "2", false)
	target := p.b.targets[testAddr(0)]
	p.b.identify(p.now, target, incarnationAt(600))
	weights, ok := target.serves("m", "")
	require.True(t, ok)
	require.Equal(t, "2", weights)
	p.restart(incarnationAt(600), "1", false)
	weights, _ = target.serves("m", "")
	require.Equal(t, "1", weights, "its own report counts, even with older weights")
	p.restart(incarnationAt(600), "0", false)
	weights, _ = target.serves("m", "")
	require.Equal(t, "1", weights, "within a start they rise")
}
