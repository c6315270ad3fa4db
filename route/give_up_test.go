package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestGiveUp guards against answers that end because their target fell silent: an attempt is given
// up only if its request can go to another target now, and then the retry is certain.
func TestGiveUp(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(f *partsBoard, r *Request)
		begun   bool
		want    bool
	}{
		"another target has room":         {want: true},
		"a call that may run once":        {prepare: func(_ *partsBoard, r *Request) { r.Repeatable = false }},
		"the last attempt":                {prepare: func(_ *partsBoard, r *Request) { r.MaxTries = 1 }},
		"a stream that cannot be resumed": {prepare: func(_ *partsBoard, r *Request) { r.Resumable = false }, begun: true},
		"a stream that can be resumed":    {begun: true, want: true},
		"the time is over":                {prepare: func(f *partsBoard, r *Request) { r.Deadline = f.now }},
		"no other target is usable":       {prepare: func(f *partsBoard, _ *Request) { f.b.markFailing(f.now, f.b.targets[testAddr(1)], "test") }},
		"the retry budget is used up":     {prepare: func(f *partsBoard, _ *Request) { f.useRetries() }},
	} {
		t.Run(name, func(t *testing.T) {
			f := newPartsBoard(t, 2)
			f.b.markFailing(f.now, f.b.targets[testAddr(1)], "test")
			r := f.request("a", own)
			r.Repeatable, r.Resumable, r.MaxTries = true, true, 2
			a := f.place(r)
			f.b.recordRecovery(f.b.targets[testAddr(1)])
			state := f.b.requests[r.ID]
			if c.begun {
				f.b.Progress(f.now, a.Request, a.ID)
			}
			if c.prepare != nil {
				c.prepare(f, &state.Request)
			}
			require.Equal(t, c.want, f.b.GiveUp(f.now, a.Request, a.ID))
			if !c.want {
				return
			}
			f.useRetries()
			require.True(t, f.b.GiveUp(f.now, a.Request, a.ID), "asked again")
			out := f.b.Ended(f.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeBroken})
			require.Equal(t, []string{r.ID}, f.sentRequests(out))
		})
	}
}

// TestStalledAttempts guards against answers that end because a failing target is silent: of its
// stalled attempts only those are cancelled whose requests can go elsewhere, and those at an
// incarnation that has ended, which cannot answer.
func TestStalledAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		repeatable, ended bool
		want              int
	}{
		"may be repeated":               {repeatable: true, want: 1},
		"may run once":                  {want: 0},
		"may run once, target replaced": {ended: true, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newPartsBoard(t, 2)
			f.b.markFailing(f.now, f.b.targets[testAddr(1)], "test")
			r := f.request("a", own)
			r.Repeatable, r.MaxTries = c.repeatable, 2
			f.place(r)
			f.b.recordRecovery(f.b.targets[testAddr(1)])
			at := f.b.targets[testAddr(0)]
			f.b.markFailing(f.now, at, "test")
			if c.ended {
				at.incarnation = NewIncarnation("successor", time.Time{})
			}
			f.now = f.now.Add(stallTime + time.Millisecond)
			require.Len(t, f.b.cancelStalled(f.now, at), c.want)
		})
	}
}

// useRetries uses up the retry budget of the engines' pool.
func (p *partsBoard) useRetries() { p.b.pools["e"].retries.tokens = 0 }
