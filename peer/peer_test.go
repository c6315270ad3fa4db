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

// fakePeer answers with a fixed message and document.
type fakePeer struct{ message Exchange }

func (f fakePeer) Exchange(Exchange) Exchange { return f.message }

func (f fakePeer) Config() (fleet.Document, bool) { return fleet.Document{Revision: 3}, true }

func TestPeers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	message := Exchange{
		From: "p", Stamp: event.Stamp{Time: time.Unix(5, 0).UTC(), N: 2}, Word: fleet.ConfigStatus{Revision: 3},
		Entries: []Entry{{ID: "p", Addr: addr, Payload: Payload{Kind: KindRouter, State: route.PeerState{
			Leaving: []route.TargetKey{{Target: addr, Incarnation: "i"}},
		}}}},
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = Serve(l, fakePeer{message})
	}()
	observed := make(map[string][2]int)
	p := NewClient(time.Second, nil, WithObserver(func(to netip.AddrPort, method string, sent, read int) {
		require.Equal(t, addr, to)
		was := observed[method]
		observed[method] = [2]int{was[0] + sent, was[1] + read}
	}))
	got, err := p.Exchange(t.Context(), addr, Exchange{From: "q"})
	require.NoError(t, err)
	require.Equal(t, message, got)
	d, ok, err := p.Config(t.Context(), addr, "q", 2)
	require.NoError(t, err)
	require.True(t, ok)
	require.EqualValues(t, 3, d.Revision)
	sent, read := p.Traffic()
	require.Positive(t, sent)
	require.Positive(t, read)
	p.Close()
	require.Equal(t, sent, int64(observed["Exchange"][0]+observed["Piece"][0]), "each byte belongs to a call")
	require.Equal(t, read, int64(observed["Exchange"][1]+observed["Piece"][1]))
	require.NoError(t, l.Close())
	<-done
	_, err = p.Exchange(t.Context(), addr, Exchange{})
	require.Error(t, err)
}

// slowPeer answers exchanges only once release is closed.
type slowPeer struct {
	fakePeer
	release chan struct{}
}

func (s slowPeer) Exchange(in Exchange) Exchange {
	<-s.release
	return s.fakePeer.Exchange(in)
}

// TestPeersCallerCancels checks that a cancelled call does not close the connection,
// which other calls still use.
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

// lateMembers is the number of relays in a late answer: enough for decoding it to take about
// as long as the transfer of a call.
const lateMembers = 2000

// TestPeersLateAnswer checks that a call that times out while its answer is decoded returns
// no part of that answer.
func TestPeersLateAnswer(t *testing.T) {
	message := Exchange{From: "p", Relays: make([]fleet.Member, lateMembers)}
	for i := range message.Relays {
		message.Relays[i] = fleet.Member{ID: "some member", Epoch: int64(i + 1)}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	done := make(chan error, 1)
	go func() { done <- Serve(l, fakePeer{message}) }()
	p := NewClient(time.Minute, nil)
	start := time.Now()
	_, err = p.Exchange(t.Context(), addr, Exchange{From: "q"})
	require.NoError(t, err)
	took := time.Since(start)
	for i := range 100 {
		ctx, cancel := context.WithTimeout(t.Context(), took*time.Duration(i+1)/100)
		got, err := p.Exchange(ctx, addr, Exchange{From: "q"})
		cancel()
		if err != nil {
			require.Zero(t, len(got.Relays), "part of a late answer")
		}
	}
	p.Close()
	require.NoError(t, l.Close())
	require.NoError(t, <-done)
}
