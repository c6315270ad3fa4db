package transport

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a dial function whose connections lack the bound on unacknowledged bytes.
func TestDialFuncSetsSocketOptions(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	p := NewPool(WithDial(func(ctx context.Context, target netip.AddrPort) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", target.String())
	}))
	defer p.Close()
	c, err := p.get(t.Context(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), nil)
	require.NoError(t, err)
	defer c.discard()
	require.Equal(t, int(userTimeout.Milliseconds()), socketOption(t, c, syscall.IPPROTO_TCP, tcpUserTimeout))
}

// Guards against a dial function that hangs for longer than the dial timeout.
func TestDialFuncThatHangs(t *testing.T) {
	p := NewPool(WithDialTimeout(20*time.Millisecond), WithDial(func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}))
	defer p.Close()
	err := p.CheckReachable(t.Context(), netip.MustParseAddrPort("192.0.2.1:80"))
	require.ErrorIs(t, err, ErrUnsent)
	require.ErrorIs(t, err, ErrUnresponsive)
}
