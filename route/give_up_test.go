package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestGiveUp guards against answers that end because their target fell silent: an attempt is given
// up only if another target can take its request now, and then its retry is taken from the budget.
func TestGiveUp(t *testing.T) {
	t.Parallel()
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
	t.Parallel()
	for name, c := range map[string]struct {
		repeatable, sound bool
		successor         Incarnation
		want              int
	}{
		"may be repeated":                     {repeatable: true, want: 1},
		"may be repeated, target sound":       {repeatable: true, sound: true},
		"may run once":                        {},
		"may run once, target replaced":       {successor: "successor", want: 1},
		"may run once, same target, restarts": {sound: true, successor: "0"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newPartsBoard(t, 2)
			f.b.markFailing(f.now, f.b.targets[testAddr(1)], "test")
			r := f.request("a", own)
			r.Repeatable, r.MaxTries = c.repeatable, 2
			f.place(r)
			f.b.recordRecovery(f.b.targets[testAddr(1)])
			at := f.b.targets[testAddr(0)]
			if !c.sound {
				f.b.markFailing(f.now, at, "test")
			}
			if c.successor != "" {
				at.incarnation = c.successor
			}
			f.now = f.now.Add(stallTime + time.Millisecond)
			require.Len(t, f.b.cancelStalled(f.now, at), c.want)
		})
	}
}

// TestSilentCrash guards against requests that take machines down without a trace of it: an attempt
// that ends at a machine which stopped responding, or was replaced, counts as one that may have crashed
// it, however it ends.
func TestSilentCrash(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(f *partsBoard, a *Attempt){
		"given up": func(f *partsBoard, a *Attempt) {
			f.b.Ended(f.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeBroken})
		},
		"stalled": func(f *partsBoard, a *Attempt) {
			f.b.targets[a.Target].incarnation = "successor"
			f.now = f.now.Add(stallTime + time.Millisecond)
			require.Len(f.t, f.b.cancelStalled(f.now, f.b.targets[a.Target]), 1)
		},
		"at its deadline": func(f *partsBoard, _ *Attempt) {
			f.now = f.now.Add(time.Minute)
			f.b.Tick(f.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newPartsBoard(t, 1)
			r := f.request("a", own)
			r.Print = FingerprintOf("a", "POST", "h", "/x", []byte("body"))
			a := f.place(r)
			f.now = f.now.Add(time.Millisecond)
			f.b.Unresponsive(f.now, a.Target, f.now)
			end(f, a)
			f.b.TargetCrashed(f.now, a.Target)
			require.Len(t, f.b.crashes.suspects, 1)
		})
	}
}

// TestUnresponsiveAnswered guards against a target that is marked although it answered while a
// connection to it was tried.
func TestUnresponsiveAnswered(t *testing.T) {
	t.Parallel()
	f := newPartsBoard(t, 1)
	a := f.place(f.request("a", own))
	since := f.now
	f.now = f.now.Add(time.Millisecond)
	f.b.Progress(f.now, a.Request, a.ID)
	f.b.Unresponsive(f.now.Add(time.Millisecond), a.Target, since)
	require.True(t, f.b.targets[a.Target].usable())
	f.b.Unresponsive(f.now.Add(time.Millisecond), a.Target, f.now)
	require.False(t, f.b.targets[a.Target].usable())
}

// useRetries uses up the retry budget of the engines' pool.
func (p *partsBoard) useRetries() { p.b.pools["e"].retries.tokens = 0 }
