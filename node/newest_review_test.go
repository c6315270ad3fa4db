package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/route"
)

// An answer after a gap may have several changes of one row, in order. That weights were
// named and replaced again somewhen in the gap does not say that they were the newest
// when it was answered.
func TestWatchSaysSeveralOfOneModel(t *testing.T) {
	at := time.Now()
	before := map[string]string{"m": "1"}
	said := watchSays(before, []Naming{{"m", "2"}, {"m", "3"}}, at, at, false)
	for _, s := range said {
		if s.Weights == "2" {
			require.True(t, s.Last.IsZero(), "weights 2 were replaced at a time in the gap, not at the answer")
		}
	}
}

// A moment that the store's clock has not reached yet is of another clock: nothing that
// was recorded can lie in the future.
func TestRecordOfAnotherClock(t *testing.T) {
	now := time.Now()
	old := StoreClock{At: time.Hour, Begun: now, Heard: now}
	note := encodeRecord(old, []route.NewestSpan{{Model: "m", Weights: "1", First: now.Add(-time.Minute), Last: now}})
	anew := StoreClock{At: 5 * time.Second, Begun: now.Add(time.Second), Heard: now.Add(time.Second)}
	got, err := decodeRecord(anew, note)
	require.NoError(t, err)
	for _, s := range got {
		require.False(t, s.Last.After(anew.Heard), "weights were the newest %s from now", s.Last.Sub(anew.Heard))
	}
}

// The same for an answer of a clock that another answer has replaced meanwhile.
func TestAnsweredByAnotherClock(t *testing.T) {
	now := time.Now()
	anew := StoreClock{At: 5 * time.Second, Begun: now, Heard: now.Add(4 * time.Millisecond)}
	begun, heard := now.Add(-time.Second), now.Add(5*time.Millisecond)
	from, by := answered(anew, time.Hour, begun, heard)
	require.False(t, from.After(heard), "an answer that was heard is given %s later", from.Sub(heard))
	require.False(t, by.Before(from))
}

// What peers told while a call was under way is not what its answer says: weights that
// were named after it was answered were not the newest by then.
func TestWatchSaysOfAnOlderAnswer(t *testing.T) {
	named := time.Now()
	answered := named.Add(-time.Second)
	// A peer told of 3 meanwhile; the answer, of a second before, names nothing.
	for _, s := range watchSays(map[string]string{"m": "3"}, nil, answered, answered, true) {
		require.False(t, s.Weights == "3" && s.First.Before(named), "3 counts as named %s too early", named.Sub(s.First))
	}
	// The answer has 2, and the peer's 3 came shortly after.
	for _, s := range watchSays(map[string]string{"m": "3"}, []Naming{{"m", "2"}}, answered, answered, true) {
		require.False(t, s.Weights == "3" && s.First.Before(named), "3 counts as named %s too early", named.Sub(s.First))
	}
}
