package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPlacementReport checks that a request with much to read is told of at once, with
// the router's whole load at its target, and one with little is not.
func TestPlacementReport(t *testing.T) {
	var told []PlacementReport
	f := newPartsBoard(t, 1, WithPlaced(func(p PlacementReport) { told = append(told, p) }))
	f.b.pools["e"].compiled.CacheReaders = 1
	f.place(f.request("a", Part{"little", minReportedPrefill - 1}))
	require.Empty(t, told)
	f.place(f.request("a", append(shared, own)...))
	require.Len(t, told, 1)
	require.Equal(t, 2, told[0].Load.InFlight)
	require.Equal(t, f.b.targets[testAddr(0)].prefill, told[0].Load.Prefill)
	require.Len(t, told[0].Fills, len(shared), "a part of its own is of no use to others")
}

// newFillBoard returns a board whose engines' events are read and say that they hold nothing.
func newFillBoard(t require.TestingT, engines int) *partsBoard {
	f := newPartsBoard(t, engines)
	f.b.pools["e"].compiled.CacheReaders = 1
	for i := range engines {
		f.reportParts(testAddr(i), "any")
	}
	return f
}

// requestWithAim is a request that is to be answered in time.
func (p *partsBoard) requestWithAim(aim time.Duration, parts ...Part) Request {
	r := p.request("a", parts...)
	r.Aim = aim
	return r
}

func (p *partsBoard) sentTargets(actions []Action) []string {
	var out []string
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			out = append(out, s.Attempt.Request)
		}
	}
	return out
}

// TestAwaitsPendingFill checks that a request waits while what it shares is read for
// another one, and goes as soon as that is done.
func TestAwaitsPendingFill(t *testing.T) {
	f := newFillBoard(t, 3)
	first := f.place(f.requestWithAim(time.Second, append(shared, own)...))
	second := f.requestWithAim(time.Second, append(shared, Part{"own2", 500})...)
	require.Nil(t, f.place(second))
	other := f.place(f.requestWithAim(time.Second, Part{"cc", 3000}, Part{"own3", 500}))
	require.NotNil(t, other, "one that shares nothing with it does not wait")
	f.now = f.now.Add(40 * time.Millisecond)
	require.Empty(t, f.sentTargets(f.b.Tick(f.now)))
	f.now = f.now.Add(60 * time.Millisecond)
	require.Equal(t, []string{second.ID}, f.sentTargets(f.b.FirstToken(f.now, first.Request, first.ID)))
}

// TestAwaitsPendingFillWithinAim checks that a request does not wait for what is read for
// another one if only reading it again lets it be in time.
func TestAwaitsPendingFillWithinAim(t *testing.T) {
	f := newFillBoard(t, 3)
	f.place(f.requestWithAim(time.Second, append(shared, Part{"long", 10_000})...))
	require.NotNil(t, f.place(f.requestWithAim(200*time.Millisecond, append(shared, own)...)))
}

// TestAwaitsOverdueFill checks that a request does not wait for a reading that takes
// over twice as long as was predicted, nor for one that has failed.
func TestAwaitsOverdueFill(t *testing.T) {
	cases := map[string]func(f *partsBoard, first *Attempt) []Action{
		"overdue": func(f *partsBoard, _ *Attempt) []Action {
			f.now = f.now.Add(400 * time.Millisecond)
			return f.b.Tick(f.now)
		},
		"failed": func(f *partsBoard, first *Attempt) []Action {
			return f.b.Ended(f.now, Outcome{Request: first.Request, Attempt: first.ID, Kind: OutcomeBroken})
		},
	}
	for name, then := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFillBoard(t, 3)
			first := f.place(f.requestWithAim(time.Second, append(shared, own)...))
			second := f.requestWithAim(time.Second, append(shared, Part{"own2", 500})...)
			require.Nil(t, f.place(second))
			require.Contains(t, f.sentTargets(then(f, first)), second.ID)
		})
	}
}

// TestAwaitsPeerFill checks that a request waits for what a peer's request has read,
// until that is taken to be done.
func TestAwaitsPeerFill(t *testing.T) {
	f, peer := newFillBoard(t, 3), newFillBoard(t, 3)
	var told []PlacementReport
	WithPlaced(func(p PlacementReport) { told = append(told, p) })(peer.b)
	peer.place(peer.requestWithAim(time.Second, append(shared, own)...))
	f.b.MergeFills(f.now, told[0].Fills)
	second := f.requestWithAim(time.Second, append(shared, Part{"own2", 500})...)
	require.Nil(t, f.place(second))
	f.now = f.now.Add(told[0].Fills[0].Left + time.Millisecond)
	require.Equal(t, []string{second.ID}, f.sentTargets(f.b.Tick(f.now)))
	f.b.MergePeers(f.now, nil, 1)
	require.Empty(t, f.b.pendingFills, "what is over is forgotten")
}

// TestAwaitsCanceledFill checks that nothing is sent of a request whose caller left while it
// waited for what is being read.
func TestAwaitsCanceledFill(t *testing.T) {
	f := newFillBoard(t, 3)
	first := f.place(f.requestWithAim(time.Second, append(shared, own)...))
	second := f.requestWithAim(time.Second, append(shared, Part{"own2", 500})...)
	require.Nil(t, f.place(second))
	require.Empty(t, f.sentTargets(f.b.CallerGone(f.now, second.ID)))
	f.now = f.now.Add(100 * time.Millisecond)
	require.Empty(t, f.sentTargets(f.b.FirstToken(f.now, first.Request, first.ID)))
	require.Empty(t, f.sentTargets(f.b.Tick(f.now)))
}
