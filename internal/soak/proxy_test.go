package soak

import (
	"bufio"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echoProxy starts a server that echoes lines, and returns a proxy in front of it.
func echoProxy(t *testing.T) *Proxy { return echoProxyWithCuts(t, nil) }

func echoProxyWithCuts(t *testing.T, cuts *nodeCuts) *Proxy {
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					if _, err := c.Write([]byte(line)); err != nil {
						return
					}
				}
			}()
		}
	}()
	free, err := newAddressPool()
	require.NoError(t, err)
	t.Cleanup(func() { free.guard.Close() })
	p := NewProxy(free.next(), cuts)
	require.NoError(t, p.SetTarget(lis.Addr().(*net.TCPAddr).AddrPort()))
	t.Cleanup(p.Close)
	return p
}

// lineConn is a connection to the echo server.
type lineConn struct {
	net.Conn
	r *bufio.Reader
}

func connect(t *testing.T, addr netip.AddrPort) *lineConn {
	c, err := net.Dial("tcp4", addr.String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return &lineConn{c, bufio.NewReader(c)}
}

// roundTrip sends a line and waits up to d for the same line.
func (c *lineConn) roundTrip(d time.Duration) error {
	if _, err := c.Write([]byte("hello\n")); err != nil {
		return err
	}
	return c.readLine(d)
}

// readLine waits up to d for a line.
func (c *lineConn) readLine(d time.Duration) error {
	if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
		return err
	}
	_, err := c.r.ReadString('\n')
	return err
}

// replyTimeout bounds the wait for lines that must arrive. stallWait is the time for which the
// tests wait for lines that are held back.
const (
	stallWait    = 50 * time.Millisecond
	replyTimeout = 10 * time.Second
)

// Bytes that a cut or delay holds back arrive once the link is restored. A stalled connection
// stays stalled and is not reset, while new connections work.
func TestProxy(t *testing.T) {
	p := echoProxy(t)
	c := connect(t, p.Addr)
	require.NoError(t, c.roundTrip(replyTimeout))
	for _, cut := range []LinkState{CutUp, CutDown, Delayed} {
		p.SetState(cut)
		var timeout net.Error
		require.ErrorAs(t, c.roundTrip(stallWait), &timeout, cut)
		require.True(t, timeout.Timeout(), cut)
		p.SetState(Passing)
		require.NoError(t, c.readLine(replyTimeout), cut)
	}
	p.SetState(Stall)
	var timeout net.Error
	require.ErrorAs(t, c.roundTrip(stallWait), &timeout)
	require.True(t, timeout.Timeout())
	second := connect(t, p.Addr)
	require.NoError(t, second.roundTrip(replyTimeout))
	p.SetState(Reset)
	require.Error(t, second.roundTrip(replyTimeout))
	require.ErrorAs(t, c.readLine(stallWait), &timeout, "a reset does not affect the stalled connection")
	require.True(t, timeout.Timeout())
	p.Close()
	_, err := net.Dial("tcp4", p.Addr.String())
	require.Error(t, err)
}
