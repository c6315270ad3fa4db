package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUnresponsiveReached checks that a target which accepted a new connection after an old one
// became unresponsive is used again at once, and that peers are not informed that it is
// unresponsive.
func TestUnresponsiveReached(t *testing.T) {
	t.Parallel()
	f := newPartsBoard(t, 1)
	a := f.place(f.request("a", own))
	f.b.Ended(f.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeBroken, Silent: true})
	require.False(t, f.b.targets[testAddr(0)].usable())
	require.NotEmpty(t, f.b.State(f.now).Silent)
	waiting := f.request("a", own)
	require.Nil(t, f.place(waiting))
	f.now = f.now.Add(5 * time.Millisecond)
	require.Equal(t, []string{waiting.ID}, f.sentRequests(f.b.Reached(f.now, testAddr(0), f.now)))
	require.Empty(t, f.b.State(f.now).Silent)
}

// TestUnresponsiveReachedLate checks that a new connection does not bring back a target that peers
// found unresponsive later.
func TestUnresponsiveReachedLate(t *testing.T) {
	t.Parallel()
	f := newPartsBoard(t, 1)
	a := f.place(f.request("a", own))
	f.b.Ended(f.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeBroken, Silent: true})
	began := f.now
	f.now = f.now.Add(time.Millisecond)
	m := TargetKey{testAddr(0), "0"}
	f.b.MergePeers(f.now, map[string]PeerState{"p": {Silent: []UnresponsiveUpdate{{m, minUnresponsiveRouters}}}}, 2)
	f.b.Reached(f.now, testAddr(0), began)
	require.False(t, f.b.targets[testAddr(0)].usable())
}
