package node

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pathhead/pathhead/route"
)

// storeZero is the moment of a process at which the store's clock showed zero.
type storeZero time.Time

func drawTime(rt *rapid.T, name string, most time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(most)).Draw(rt, name))
}

// call returns the clock relation from one store call that began at begun.
func (s storeZero) call(rt *rapid.T, begun time.Time) StoreClock {
	answered := begun.Add(drawTime(rt, "way", time.Second))
	return StoreClock{At: answered.Sub(time.Time(s)), Begun: begun, Heard: answered.Add(drawTime(rt, "back", time.Second))}
}

// Whichever calls related the clocks, the time shown by the store's clock lies within the bounds,
// and a record written by one process is correct in another process with a different clock.
func TestRecordFuzz(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// The clocks of the two processes differ by a constant.
		zero := time.Now()
		offset := drawTime(rt, "offset", 1000*time.Hour)
		store, other := storeZero(zero.Add(-time.Hour)), storeZero(zero.Add(offset-time.Hour))
		now := zero
		var writer, reader StoreClock
		for range rapid.IntRange(1, 6).Draw(rt, "calls") {
			now = now.Add(drawTime(rt, "pause", time.Minute))
			writer = writer.Better(store.call(rt, now))
			reader = reader.Better(other.call(rt, now.Add(offset)))
			at := now.Add(drawTime(rt, "later", time.Hour))
			least, most := writer.ToStore(at)
			require.LessOrEqual(rt, least, at.Sub(time.Time(store)))
			require.GreaterOrEqual(rt, most, at.Sub(time.Time(store)))
			from, by := writer.ToHere(at.Sub(time.Time(store)))
			require.False(rt, from.After(at))
			require.False(rt, by.Before(at))
		}
		span := route.NewestSpan{Model: "m", Weights: "2", First: now.Add(-drawTime(rt, "first", time.Minute))}
		known := rapid.Bool().Draw(rt, "known")
		if known {
			span.Last = span.First.Add(drawTime(rt, "last", time.Minute))
		}
		got, err := decodeRecord(reader, now.Add(offset+time.Hour), encodeRecord(writer, []route.NewestSpan{span}))
		require.NoError(rt, err)
		require.Len(rt, got, 1)
		require.False(rt, got[0].First.Before(span.First.Add(offset)), "the later bound comes no earlier")
		require.Equal(rt, known, !got[0].Last.IsZero())
		require.False(rt, known && got[0].Last.After(span.Last.Add(offset)), "the earlier bound comes no later")
	})
}

// A closer relation replaces the known one, an older one loses accuracy over time, and one with a
// different clock replaces it always.
func TestStoreClock(t *testing.T) {
	now := time.Now()
	tie := func(at, begun, heard time.Duration) StoreClock {
		return StoreClock{At: at, Begun: now.Add(begun), Heard: now.Add(heard)}
	}
	tight := tie(time.Hour, 0, 4*time.Millisecond)
	for name, c := range map[string]struct {
		later StoreClock
		want  StoreClock
	}{
		"a closer one":          {later: tie(time.Hour+time.Second, time.Second, time.Second+3*time.Millisecond)},
		"a wider one":           {later: tie(time.Hour+time.Second, time.Second, 2*time.Second), want: tight},
		"a wider one, in time":  {later: tie(time.Hour+time.Minute, time.Minute, time.Minute+30*time.Millisecond)},
		"a clock that is early": {later: tie(time.Minute, time.Second, 2*time.Second)},
		"no clock":              {later: tie(0, time.Second, time.Second), want: tight},
	} {
		t.Run(name, func(t *testing.T) {
			if !c.want.Known() {
				c.want = c.later
			}
			require.Equal(t, c.want, tight.Better(c.later))
		})
	}
}

// An answer counts as given when the store's clock showed the time in it, however long it was in
// transit. Without the store's clock only the call bounds it.
func TestAnswerBounds(t *testing.T) {
	now := time.Now()
	clock := StoreClock{At: time.Hour, Begun: now, Heard: now.Add(4 * time.Millisecond)}
	begun, heard := now.Add(time.Second), now.Add(20*time.Second)
	from, by := answerBounds(clock, time.Hour+2*time.Second, begun, heard)
	require.WithinDuration(t, now.Add(2*time.Second), from, 5*time.Millisecond)
	require.WithinDuration(t, now.Add(2*time.Second), by, 10*time.Millisecond)
	from, by = answerBounds(clock, 0, begun, heard)
	require.Equal(t, []time.Time{begun, heard}, []time.Time{from, by})
	from, by = answerBounds(StoreClock{}, time.Hour, begun, heard)
	require.Equal(t, []time.Time{begun, heard}, []time.Time{from, by})
}

// Weights that a watch answer does not replace are still the newest. Replaced ones were the newest
// until the last answer before the naming, if no other weights can have been named in between.
func TestNewestFromWatch(t *testing.T) {
	at, last := time.Now(), time.Now().Add(-time.Second)
	before := map[string]string{"a": "2", "b": ""}
	still := []route.NewestSpan{route.NewestAt(at, at, "a", "2"), route.NewestAt(at, at, "b", "")}
	naming := func(model, weights string, notBefore time.Time) observedNaming {
		return observedNaming{Naming: Naming{Model: model, Weights: weights}, notBefore: notBefore}
	}
	for name, c := range map[string]struct {
		named []observedNaming
		want  []route.NewestSpan
	}{
		"no change": {want: still},
		"a naming after an answer without it": {
			named: []observedNaming{naming("a", "3", last)},
			want:  []route.NewestSpan{route.NewestAt(at, at, "a", "3"), route.NewestAt(last, at, "a", "2"), still[1]},
		},
		"a naming at an unknown time": {
			named: []observedNaming{naming("a", "3", time.Time{})},
			want:  []route.NewestSpan{route.NewestAt(at, at, "a", "3"), still[1]},
		},
		"a naming that skips weights": {
			named: []observedNaming{naming("a", "4", last)},
			want:  []route.NewestSpan{route.NewestAt(at, at, "a", "4"), still[1]},
		},
		"the first weights named are the second": {
			named: []observedNaming{naming("b", "2", last)},
			want:  []route.NewestSpan{route.NewestAt(at, at, "b", "2"), route.NewestAt(last, at, "b", ""), still[0]},
		},
		"an answer older than a peer's update": {
			named: []observedNaming{naming("a", "1", last)},
			want:  []route.NewestSpan{route.NewestAt(at, at, "a", "1"), still[1]},
		},
		"a new model": {
			named: []observedNaming{naming("c", "1", time.Time{})},
			want:  append([]route.NewestSpan{route.NewestAt(at, at, "c", "1")}, still...),
		},
	} {
		t.Run(name, func(t *testing.T) {
			require.ElementsMatch(t, c.want, newestFromWatch(before, c.named, at, at))
		})
	}
}

// An answer after a gap may contain several changes of one row, in order. Weights that were named
// and replaced within the gap were not the newest when the answer was given.
func TestNewestFromWatchSeveralOfOneModel(t *testing.T) {
	at := time.Now()
	before := map[string]string{"m": "1"}
	said := newestFromWatch(before, []observedNaming{{Naming: Naming{Model: "m", Weights: "2"}}, {Naming: Naming{Model: "m", Weights: "3"}}}, at, at)
	for _, s := range said {
		if s.Weights == "2" {
			require.True(t, s.Last.IsZero(), "weights 2 were replaced at a time in the gap, not at the answer")
		}
	}
}

// A time that the store's clock has not reached yet comes from a different clock, since nothing
// recorded can lie in the future.
func TestRecordOfAnotherClock(t *testing.T) {
	now := time.Now()
	old := StoreClock{At: time.Hour, Begun: now, Heard: now}
	note := encodeRecord(old, []route.NewestSpan{{Model: "m", Weights: "1", First: now.Add(-time.Minute), Last: now}})
	anew := StoreClock{At: 5 * time.Second, Begun: now.Add(time.Second), Heard: now.Add(time.Second)}
	got, err := decodeRecord(anew, anew.Heard, note)
	require.NoError(t, err)
	for _, s := range got {
		require.False(t, s.Last.After(anew.Heard), "weights were the newest %s from now", s.Last.Sub(anew.Heard))
	}
}

// An answer with the time of a clock that another answer has since replaced is bounded only by the
// call.
func TestAnswerBoundsAnotherClock(t *testing.T) {
	now := time.Now()
	anew := StoreClock{At: 5 * time.Second, Begun: now, Heard: now.Add(4 * time.Millisecond)}
	begun, heard := now.Add(-time.Second), now.Add(5*time.Millisecond)
	from, by := answerBounds(anew, time.Hour, begun, heard)
	require.False(t, from.After(heard), "an answer that was heard is given %s later", from.Sub(heard))
	require.False(t, by.Before(from))
}

// A request is withdrawn only after such requests are no longer sent, and before it would begin too
// late.
func TestStalenessOfSettings(t *testing.T) {
	now := time.Now()
	set := Settings{Heartbeat: time.Second, Bounds: Bounds{Weights: 10 * time.Second, Contact: 3 * time.Second, Drain: 2 * time.Second}}
	s := stalenessOf(set, now)
	require.Less(t, s.Grace, s.Limit)
	require.Less(t, s.Limit, s.BeginLimit)
	require.Less(t, s.BeginLimit, set.Bounds.Weights)
	require.True(t, s.UnknownUntil.After(now))
	require.True(t, s.UnknownUntil.Before(now.Add(set.Bounds.Contact)))
	require.Greater(t, s.GuessTime, set.Heartbeat, "a target's entry is as old as that")
	set.Bounds.Contact = 0
	require.Equal(t, now, stalenessOf(set, now).UnknownUntil)
}

// An invalid record from another writer has no effect, and a recorded fleet size is believed only
// within plausible limits.
func TestRecordUnread(t *testing.T) {
	clock := StoreClock{At: time.Minute, Begun: time.Unix(100, 0), Heard: time.Unix(100, 0)}
	for name, note := range map[string]string{
		"no list": `{}`, "other types": `[{"model":7}]`, "no JSON": "\xff", "a number": `5`,
	} {
		t.Run(name, func(t *testing.T) {
			spans, err := decodeRecord(clock, clock.Heard, []byte(note))
			require.Error(t, err)
			require.Empty(t, spans)
		})
	}
	store := newSimStore(1)
	n, err := New(validSettings(), store, nil, store)
	require.NoError(t, err)
	alone := n.fleetSize()
	for _, nodes := range []int{-1, 0, maxRecordedSize + 1, math.MaxInt} {
		n.applyRecordedSize(nodes)
		require.Equal(t, alone, n.fleetSize(), "%d nodes", nodes)
	}
	n.applyRecordedSize(maxRecordedSize)
	require.Equal(t, maxRecordedSize, n.fleetSize())
}
