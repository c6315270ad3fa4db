package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that a stopping router admits and has to cut off at the end of its stop.
func TestDrainAdmits(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		after, timeout time.Duration
		admitted       bool
	}{
		"short, at once":                    {0, second, true},
		"long, at once":                     {0, time.Minute, true},
		"long, before the last moment":      {2*second - 1, time.Minute, true},
		"long, at the last moment":          {2 * second, time.Minute, false},
		"ends with the stop":                {2 * second, 6 * second, true},
		"ends just after the stop":          {2 * second, 6*second + 1, false},
		"short, before all are refused":     {3*second - 1, second, true},
		"short, as all are refused":         {3 * second, second, false},
		"short, after the end of the drain": {9 * second, second, false},
	} {
		t.Run(name, func(t *testing.T) {
			begun := time.Unix(0, 0)
			b := NewBoard()
			b.Drain(Drain{
				LongUntil: begun.Add(2 * second), RefuseFrom: begun.Add(3 * second), End: begun.Add(8 * second),
				Refusal: Refusal{Cause: CauseStopping},
			})
			arrived := begun.Add(c.after)
			out := b.Arrive(arrived, Request{ID: "r", Deadline: arrived.Add(c.timeout)})
			require.Len(t, out, 1)
			// The board has no configuration, so it refuses for that what it would admit during the stop.
			want := CauseFenced
			if !c.admitted {
				want = CauseStopping
			}
			require.Equal(t, want, out[0].(Refuse).Refusal.Cause)
		})
	}
}
