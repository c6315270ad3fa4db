package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRetryAfterAcrossRestart checks that a router does not rely on a Retry-After that its
// previous process returned: after a restart it computes the next one from its current queue,
// and treats a caller that returns earlier or later like any other.
func TestRetryAfterAcrossRestart(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 0, 1, testSetup{})
	ask := func(b *Board, id string) []Action {
		return b.Arrive(w.now, Request{
			ID: id, Revision: b.Revision(), Org: "b", Pool: "s", Deadline: w.now.Add(time.Second),
			QueueTime: 10 * time.Millisecond, Repeatable: true,
		})
	}
	refusal := func(out []Action) Refusal {
		require.Len(t, out, 1)
		require.IsType(t, Refuse{}, out[0])
		return out[0].(Refuse).Refusal
	}
	b := NewBoard()
	first := refusal(ask(b, "r1"))
	require.Equal(t, NotRun, first.Verdict)
	require.Equal(t, defaultMinRetryAfter, first.RetryAfter)
	for name, after := range map[string]time.Duration{"at once": 0, "when advised": first.RetryAfter, "much later": time.Hour} {
		t.Run(name, func(t *testing.T) {
			w.now = w.now.Add(after)
			b := restartedBoard(t, w)
			require.Empty(t, ask(b, "r2"), "the request waits for a target")
			w.now = w.now.Add(20 * time.Millisecond)
			next := refusal(b.Tick(w.now))
			require.Equal(t, NotRun, next.Verdict)
			require.Equal(t, defaultMinRetryAfter, next.RetryAfter, "computed from the current queue alone")
			f := w.targets[0]
			b.SetTargets(w.now, listedTargets(false, f))
			b.Report(w.now, f.addr, f.report())
			out := ask(b, "r3")
			require.Len(t, out, 1)
			require.IsType(t, Send{}, out[0])
		})
	}
}
