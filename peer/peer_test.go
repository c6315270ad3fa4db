package peer

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/route"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakePeer answers with a fixed half and document.
type fakePeer struct{ message Exchange }

func (f fakePeer) Exchange(Exchange) Exchange { return f.message }

func (f fakePeer) Config() (fleet.Document, bool) { return fleet.Document{Revision: 3}, true }

func TestPeers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	half := Exchange{
		From: "p", Stamp: event.Stamp{Time: time.Unix(5, 0).UTC(), N: 2}, Word: fleet.ConfigStatus{Revision: 3},
		Entries: []Entry{{ID: "p", Addr: addr, Payload: Payload{Kind: KindRouter, State: route.PeerState{
			Leaving: []route.TargetKey{{Target: addr, Incarnation: "i"}},
		}}}},
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = Serve(l, fakePeer{half})
	}()
	told := make(map[string][2]int)
	p := NewClient(time.Second, nil, WithObserver(func(to netip.AddrPort, method string, sent, read int) {
		require.Equal(t, addr, to)
		was := told[method]
		told[method] = [2]int{was[0] + sent, was[1] + read}
	}))
	got, err := p.Exchange(t.Context(), addr, Exchange{From: "q"})
	require.NoError(t, err)
	require.Equal(t, half, got)
	d, ok, err := p.Config(t.Context(), addr, "q", 2)
	require.NoError(t, err)
	require.True(t, ok)
	require.EqualValues(t, 3, d.Revision)
	sent, read := p.Traffic()
	require.Positive(t, sent)
	require.Positive(t, read)
	p.Close()
	require.Equal(t, sent, int64(told["Exchange"][0]+told["Piece"][0]), "each byte is some call's")
	require.Equal(t, read, int64(told["Exchange"][1]+told["Piece"][1]))
	require.NoError(t, l.Close())
	<-done
	_, err = p.Exchange(t.Context(), addr, Exchange{})
	require.Error(t, err)
}

// slowPeer answers exchanges only once it is let go.
type slowPeer struct {
	fakePeer
	release chan struct{}
}

func (s slowPeer) Exchange(in Exchange) Exchange {
	<-s.release
	return s.fakePeer.Exchange(in)
}

// TestPeersCallerCancels checks that a caller who does not wait for an answer leaves
// the connection to others.
func TestPeersCallerCancels(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	slow := slowPeer{release: make(chan struct{})}
	done := make(chan error, 1)
	go func() { done <- Serve(l, slow) }()
	p := NewClient(time.Minute, nil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err = p.Config(t.Context(), addr, "q", 0)
	require.NoError(t, err)
	before, _ := p.Traffic()
	_, err = p.Exchange(ctx, addr, Exchange{From: "q"})
	require.ErrorIs(t, err, context.Canceled)
	_, _, err = p.Config(t.Context(), addr, "q", 0)
	require.NoError(t, err)
	require.Len(t, p.clients, 1)
	after, _ := p.Traffic()
	require.Greater(t, after, before)
	close(slow.release)
	p.Close()
	require.NoError(t, l.Close())
	require.NoError(t, <-done)
}

// lateMembers is how many relays a late answer tells of: enough for reading it to take
// about as long as the way of a call.
const lateMembers = 2000

// TestPeersLateAnswer checks that a caller who gives a call up gets nothing of an answer
// that is read at that moment.
func TestPeersLateAnswer(t *testing.T) {
	half := Exchange{From: "p", Relays: make([]fleet.Member, lateMembers)}
	for i := range half.Relays {
		half.Relays[i] = fleet.Member{ID: "some member", Epoch: int64(i + 1)}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	done := make(chan error, 1)
	go func() { done <- Serve(l, fakePeer{half}) }()
	p := NewClient(time.Minute, nil)
	begun := time.Now()
	_, err = p.Exchange(t.Context(), addr, Exchange{From: "q"})
	require.NoError(t, err)
	took := time.Since(begun)
	for i := range 100 {
		ctx, cancel := context.WithTimeout(t.Context(), took*time.Duration(i+1)/100)
		got, err := p.Exchange(ctx, addr, Exchange{From: "q"})
		cancel()
		if err != nil {
			require.Zero(t, len(got.Relays), "part of an answer that came too late")
		}
	}
	p.Close()
	require.NoError(t, l.Close())
	require.NoError(t, <-done)
}
