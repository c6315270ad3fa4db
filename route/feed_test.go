package route

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestFeed checks that a reader that follows a feed from any version has its current values,
// even if it falls so far behind that changes were discarded.
func TestFeed(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		f := NewFeed[int](func(a, b int) bool { return a == b })
		want := make(map[int]int)
		got := make(map[int]int)
		cursor := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				k, v := rapid.IntRange(0, 9).Draw(t, "key"), rapid.IntRange(0, 3).Draw(t, "value")
				f.Set(k, v)
				want[k] = v
			case 2:
				k := rapid.IntRange(0, 9).Draw(t, "key")
				f.Drop(k)
				delete(want, k)
			case 3:
				if len(f.log) > 3 && rapid.Bool().Draw(t, "compact") {
					f.compact()
				}
				changes, full := f.Since(cursor)
				if full {
					clear(got)
				}
				for _, c := range changes {
					if delete(got, c.Key); !c.Gone {
						got[c.Key] = c.Value
					}
				}
				cursor = f.Version()
				require.Equal(t, want, got)
			}
		}
	})
}

func TestFeedIsBounded(t *testing.T) {
	t.Parallel()
	f := NewFeed[int](func(a, b int) bool { return a == b })
	for i := range 10 * maxFeedLog {
		f.Set(i%100, i)
		f.Drop(100 + i)
		f.Set(1000+i, 1)
		f.Drop(1000 + i)
	}
	require.LessOrEqual(t, len(f.log), maxFeedLog)
	require.LessOrEqual(t, len(f.changed), maxFeedLog+100)
	_, full := f.Since(1)
	require.True(t, full)
}
