package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pathhead/pathhead/route"
)

// testStoreAt is what the store's clock shows at the zero moment of a process.
type testStoreAt time.Time

func drawTime(rt *rapid.T, name string, most time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(most)).Draw(rt, name))
}

// call returns a tie that one call to the store brings, begun at a moment.
func (s testStoreAt) call(rt *rapid.T, begun time.Time) StoreClock {
	answered := begun.Add(drawTime(rt, "way", time.Second))
	return StoreClock{At: answered.Sub(time.Time(s)), Begun: begun, Heard: answered.Add(drawTime(rt, "back", time.Second))}
}

// Whatever calls tied the clocks, the moment at which the store's clock stood at a time
// lies within the bounds, and a record that one process writes is true for another, on
// whose clock the same moments are others.
func TestRecordFuzz(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// The two processes' clocks differ by a constant.
		zero := time.Now()
		offset := drawTime(rt, "offset", 1000*time.Hour)
		store, other := testStoreAt(zero.Add(-time.Hour)), testStoreAt(zero.Add(offset-time.Hour))
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
		got, err := decodeRecord(reader, encodeRecord(writer, []route.NewestSpan{span}))
		require.NoError(rt, err)
		require.Len(rt, got, 1)
		require.False(rt, got[0].First.Before(span.First.Add(offset)), "the later bound comes no earlier")
		require.Equal(rt, known, !got[0].Last.IsZero())
		require.False(rt, known && got[0].Last.After(span.Last.Add(offset)), "the earlier bound comes no later")
	})
}

// A closer tie counts, one of long ago less and less, and one of another clock alone.
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

// An answer counts as given when the store's clock stood at what it tells, however long
// it was on its way, and without that clock no better than the call bounds it.
func TestAnswered(t *testing.T) {
	now := time.Now()
	clock := StoreClock{At: time.Hour, Begun: now, Heard: now.Add(4 * time.Millisecond)}
	begun, heard := now.Add(time.Second), now.Add(20*time.Second)
	from, by := answered(clock, time.Hour+2*time.Second, begun, heard)
	require.WithinDuration(t, now.Add(2*time.Second), from, 5*time.Millisecond)
	require.WithinDuration(t, now.Add(2*time.Second), by, 10*time.Millisecond)
	from, by = answered(clock, 0, begun, heard)
	require.Equal(t, []time.Time{begun, heard}, []time.Time{from, by})
	from, by = answered(StoreClock{}, time.Hour, begun, heard)
	require.Equal(t, []time.Time{begun, heard}, []time.Time{from, by})
}

// What a watch does not name is still the newest; what it replaced was so until shortly
// before an answer that was held.
func TestWatchSays(t *testing.T) {
	at := time.Now()
	before := map[string]string{"a": "2", "b": ""}
	still := route.NewestAt(at, at, "b", "")
	named := route.NewestAt(at, at, "a", "3")
	was := route.NewestAt(at.Add(-watchLag), at.Add(-watchLag), "a", "2")
	for name, c := range map[string]struct {
		named []Naming
		held  bool
		want  []route.NewestSpan
	}{
		"no change":          {held: true, want: []route.NewestSpan{route.NewestAt(at, at, "a", "2"), still}},
		"a change":           {named: []Naming{{"a", "3"}}, held: true, want: []route.NewestSpan{named, was, still}},
		"a change some time": {named: []Naming{{"a", "3"}}, want: []route.NewestSpan{named, still}},
		"a new model":        {named: []Naming{{"c", "1"}}, want: []route.NewestSpan{route.NewestAt(at, at, "a", "2"), still, route.NewestAt(at, at, "c", "1")}},
	} {
		t.Run(name, func(t *testing.T) {
			require.ElementsMatch(t, c.want, watchSays(before, c.named, at, at, c.held))
		})
	}
}
