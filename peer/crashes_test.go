package peer

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/route"
)

// crashNode is a process's side with what it knows.
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

// exchange has one side speak to another, which may not answer.
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

// Two processes that know of nothing send nothing; each word is told once, and again to a
// process that was started anew or may not have heard it.
func TestCrashGossip(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:1")
	word := func(n byte) route.CrashUpdate {
		return route.CrashUpdate{CrashKey: route.CrashKey{Print: route.Fingerprint{n}}}
	}
	a, b := newCrashNode(1), newCrashNode(2)
	sent, answered := a.exchange(addr, b)
	require.Nil(t, sent)
	require.Nil(t, answered)

	a.words = append(a.words, word(1))
	a.exchange(addr, nil)
	sent, _ = a.exchange(addr, b)
	require.Len(t, sent.Words, 1, "what got no answer is told again")
	require.Contains(t, a.peers, addr)
	a.exchange(addr, nil)
	sent, _ = a.exchange(addr, b)
	require.Empty(t, sent.Words, "what was told before a call that failed is not told again")
	require.Equal(t, 1, b.merged)
	heard := b.HandleDirectRequest(sent)
	require.NotNil(t, heard, "a call of its own is answered always")
	require.Empty(t, heard.Words)
	for range 3 {
		sent, answered = a.exchange(addr, b)
		require.Equal(t, &CrashMessage{Known: CrashCursor{Epoch: 2, Next: 1}}, sent, "the cursor alone")
		require.Nil(t, answered)
	}
	b.words = append(b.words, word(2))
	_, answered = a.exchange(addr, b)
	require.Len(t, answered.Words, 1)

	again := newCrashNode(3)
	a.exchange(addr, again)
	a.exchange(addr, again)
	require.NotZero(t, again.merged)
	require.Contains(t, again.words, word(1), "a process that was started anew hears all")
	require.Contains(t, again.words, word(2))

	fresh := newCrashNode(4)
	fresh.exchange(addr, a)
	require.Contains(t, fresh.words, word(1), "one that asks hears all")

	var none *CrashGossip
	require.Nil(t, none.NewRequest(addr))
	require.Nil(t, none.HandleRequest(&CrashMessage{Words: []route.CrashUpdate{word(9)}}))
}

// Processes that do not answer any more are forgotten once there are too many.
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
