package peer

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/route"
)

// crashNode is the crash gossip of a process with its updates.
type crashNode struct {
	*CrashGossip
	words  []route.CrashUpdate
	merged int
}

func newCrashNode(epoch int64) *crashNode {
	s := new(crashNode)
	s.CrashGossip = NewCrashGossip(
		func(after int64) ([]route.CrashUpdate, int64) { return s.words[after:], int64(len(s.words)) },
		func(words []route.CrashUpdate) {
			for _, w := range words {
				if !slices.Contains(s.words, w) {
					s.merged++
					s.words = append(s.words, w)
				}
			}
		},
	)
	s.epoch = epoch
	return s
}

// exchange sends the node's message to another one, and simulates a failed call if that is nil.
func (s *crashNode) exchange(addr netip.AddrPort, other *crashNode) (sent, answered *CrashMessage) {
	sent = s.NewRequest(addr)
	if other == nil {
		s.HandleFailure(addr)
		return sent, nil
	}
	answered = other.HandleRequest(sent)
	s.HandleResponse(addr, sent, answered)
	return sent, answered
}

// Two processes without updates send nothing. Each update is sent once, and again to a process
// that was restarted or did not answer.
func TestCrashGossip(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:1")
	update := func(n byte) route.CrashUpdate {
		return route.CrashUpdate{CrashKey: route.CrashKey{Print: route.Fingerprint{n}}}
	}
	a, b := newCrashNode(1), newCrashNode(2)
	sent, answered := a.exchange(addr, b)
	require.Nil(t, sent)
	require.Nil(t, answered)

	a.words = append(a.words, update(1))
	a.exchange(addr, nil)
	sent, _ = a.exchange(addr, b)
	require.Len(t, sent.Words, 1, "updates of a failed call are sent again")
	require.Contains(t, a.peers, addr)
	a.exchange(addr, nil)
	sent, _ = a.exchange(addr, b)
	require.Empty(t, sent.Words, "updates sent before a failed call are not sent again")
	require.Equal(t, 1, b.merged)
	answer := b.HandleDirectRequest(sent)
	require.NotNil(t, answer, "a separate call always gets an answer")
	require.Empty(t, answer.Words)
	for range 3 {
		sent, answered = a.exchange(addr, b)
		require.Equal(t, &CrashMessage{Known: CrashCursor{Epoch: 2, Next: 1}}, sent, "only the cursor")
		require.Nil(t, answered)
	}
	b.words = append(b.words, update(2))
	_, answered = a.exchange(addr, b)
	require.Len(t, answered.Words, 1)

	restarted := newCrashNode(3)
	a.exchange(addr, restarted)
	a.exchange(addr, restarted)
	require.NotZero(t, restarted.merged)
	require.Contains(t, restarted.words, update(1), "a restarted process receives all updates")
	require.Contains(t, restarted.words, update(2))

	newcomer := newCrashNode(4)
	newcomer.exchange(addr, a)
	require.Contains(t, newcomer.words, update(1), "a new process that calls receives all updates")

	var none *CrashGossip
	require.Nil(t, none.NewRequest(addr))
	require.Nil(t, none.HandleRequest(&CrashMessage{Words: []route.CrashUpdate{update(9)}}))
}

// The positions of processes that no longer answer are deleted once there are too many.
func TestCrashGossipBounded(t *testing.T) {
	a := newCrashNode(1)
	a.words = append(a.words, route.CrashUpdate{CrashKey: route.CrashKey{Print: route.Fingerprint{1}}})
	for i := range 2 * maxCrashPeers {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
		a.exchange(addr, newCrashNode(int64(2+i)))
		a.HandleFailure(addr)
	}
	require.LessOrEqual(t, len(a.peers), maxCrashPeers+1)
}
