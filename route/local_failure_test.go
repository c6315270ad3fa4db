package route

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A burst of answers that this node has no memory for is not blamed on the targets that sent them,
// and uses up neither attempts nor the retry budget.
func TestLocalFailureBlamesNoTarget(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ local, delivered bool }{
		"the node's shortage":                     {true, false},
		"the node's shortage, part was delivered": {true, true},
		"the target broke off":                    {false, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newPartsBoard(t, 1)
			for range 2 * failuresToFail {
				r := f.request("a", Part{"own", 1000})
				r.Resumable, r.Repeatable, r.MaxTries = true, true, 3
				a := f.place(r)
				actions := f.b.Ended(f.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeBroken, Local: c.local, Delivered: c.delivered, Detail: "no memory"})
				if !c.local {
					require.Empty(t, refusals(actions), "it is tried again")
					break
				}
				require.Len(t, refusals(actions), 1)
				require.Equal(t, CauseMemory, refusals(actions)[r.ID].Cause)
				require.Equal(t, MayHaveRun, refusals(actions)[r.ID].Verdict)
				require.Empty(t, f.sentRequests(actions))
			}
			target := f.b.targets[testAddr(0)]
			require.Equal(t, !c.local, target.failures > 0)
			require.Equal(t, !c.local, target.failedSends.value > 0)
			require.False(t, target.failing)
		})
	}
}
