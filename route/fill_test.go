package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPlacementReport checks that a request with a long prefill is reported immediately, with
// the router's whole load at its target, and that one with a short prefill is not.
func TestPlacementReport(t *testing.T) {
	t.Parallel()
	var reports []PlacementReport
	f := newPartsBoard(t, 1, WithPlaced(func(p PlacementReport) { reports = append(reports, p) }))
	f.b.pools["e"].compiled.CacheReaders = 1
	f.place(f.request("a", Part{"little", minReportedPrefill - 1}))
	require.Empty(t, reports)
	f.place(f.request("a", append(shared, own)...))
	require.Len(t, reports, 1)
	require.Equal(t, 2, reports[0].Load.InFlight)
	require.Equal(t, f.b.targets[testAddr(0)].prefill, reports[0].Load.Prefill)
	require.Len(t, reports[0].Fills, len(shared), "the unshared part is not reported")
}

// newFillBoard returns a board whose engines have reported empty caches by events.
func newFillBoard(t require.TestingT, engines int) *partsBoard {
	f := newPartsBoard(t, engines)
	f.b.pools["e"].compiled.CacheReaders = 1
	for i := range engines {
		f.reportParts(testAddr(i), "any")
	}
	return f
}

// requestWithAim returns a request with an aim.
func (p *partsBoard) requestWithAim(aim time.Duration, parts ...Part) Request {
	r := p.request("a", parts...)
	r.Aim = aim
	return r
}

func (p *partsBoard) sentRequests(actions []Action) []string {
	var out []string
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			out = append(out, s.Attempt.Request)
		}
	}
	return out
}

// TestAwaitsPendingFill checks that a request waits while its shared parts are computed for
// another request, and is sent as soon as they are ready.
func TestAwaitsPendingFill(t *testing.T) {
	t.Parallel()
	f := newFillBoard(t, 3)
	first := f.place(f.requestWithAim(time.Second, append(shared, own)...))
	second := f.requestWithAim(time.Second, append(shared, Part{"own2", 500})...)
	require.Nil(t, f.place(second))
	other := f.place(f.requestWithAim(time.Second, Part{"cc", 3000}, Part{"own3", 500}))
	require.NotNil(t, other, "a request without shared parts does not wait")
	f.now = f.now.Add(40 * time.Millisecond)
	require.Empty(t, f.sentRequests(f.b.Tick(f.now)))
	f.now = f.now.Add(60 * time.Millisecond)
	require.Equal(t, []string{second.ID}, f.sentRequests(f.b.FirstToken(f.now, first.Request, first.ID)))
}

// TestAwaitsPendingFillWithinAim checks that a request does not wait for a pending fill if only
// computing the parts again lets its answer begin in time.
func TestAwaitsPendingFillWithinAim(t *testing.T) {
	t.Parallel()
	f := newFillBoard(t, 3)
	f.place(f.requestWithAim(time.Second, append(shared, Part{"long", 10_000})...))
	require.NotNil(t, f.place(f.requestWithAim(200*time.Millisecond, append(shared, own)...)))
}

// TestAwaitsOverdueFill checks that a request does not wait for a fill that takes more than
// twice as long as predicted, or that has failed.
func TestAwaitsOverdueFill(t *testing.T) {
	t.Parallel()
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
			require.Contains(t, f.sentRequests(then(f, first)), second.ID)
		})
	}
}

// TestAwaitsPeerFill checks that a request waits for a pending fill that a peer reported until
// its expected end.
func TestAwaitsPeerFill(t *testing.T) {
	t.Parallel()
	f, peer := newFillBoard(t, 3), newFillBoard(t, 3)
	var reports []PlacementReport
	WithPlaced(func(p PlacementReport) { reports = append(reports, p) })(peer.b)
	peer.place(peer.requestWithAim(time.Second, append(shared, own)...))
	f.b.MergeFills(f.now, reports[0].Fills)
	second := f.requestWithAim(time.Second, append(shared, Part{"own2", 500})...)
	require.Nil(t, f.place(second))
	f.now = f.now.Add(reports[0].Fills[0].Left + time.Millisecond)
	require.Equal(t, []string{second.ID}, f.sentRequests(f.b.Tick(f.now)))
	f.b.MergePeers(f.now, nil, 1)
	require.Empty(t, f.b.pendingFills, "expired fills are removed")
}

// TestAwaitsCanceledFill checks that a request whose caller disconnected while it waited for a
// pending fill is not sent.
func TestAwaitsCanceledFill(t *testing.T) {
	t.Parallel()
	f := newFillBoard(t, 3)
	first := f.place(f.requestWithAim(time.Second, append(shared, own)...))
	second := f.requestWithAim(time.Second, append(shared, Part{"own2", 500})...)
	require.Nil(t, f.place(second))
	require.Empty(t, f.sentRequests(f.b.CallerGone(f.now, second.ID)))
	f.now = f.now.Add(100 * time.Millisecond)
	require.Empty(t, f.sentRequests(f.b.FirstToken(f.now, first.Request, first.ID)))
	require.Empty(t, f.sentRequests(f.b.Tick(f.now)))
}
