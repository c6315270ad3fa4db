package soak

import (
	"bufio"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echo answers each line with the same line, and returns a proxy before it.
func echo(t *testing.T) *Proxy {
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
	free, err := newAddresses()
	require.NoError(t, err)
	t.Cleanup(func() { free.guard.Close() })
	p := NewProxy(free.next())
	require.NoError(t, p.Point(lis.Addr().(*net.TCPAddr).AddrPort()))
	t.Cleanup(p.Close)
	return p
}

// lineConn is a connection to an echo.
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

// says sends a line and reports what becomes of it within a time.
func (c *lineConn) says(d time.Duration) error {
	if _, err := c.Write([]byte("hello\n")); err != nil {
		return err
	}
	return c.hears(d)
}

func (c *lineConn) hears(d time.Duration) error {
	if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
		return err
	}
	_, err := c.r.ReadString('\n')
	return err
}

// The times of these tests: what comes at all comes within long, and what is held is
// not there after short.
const (
	short = 50 * time.Millisecond
	long  = 10 * time.Second
)

// What is held by a cut comes once the link is mended; what falls silent does so for
// good and is not reset, while new connections work.
func TestProxy(t *testing.T) {
	p := echo(t)
	c := connect(t, p.Addr)
	require.NoError(t, c.says(long))
	for _, cut := range []Link{CutUp, CutDown, Delayed} {
		p.Set(cut)
		var timeout net.Error
		require.ErrorAs(t, c.says(short), &timeout, cut)
		require.True(t, timeout.Timeout(), cut)
		p.Set(Passing)
		require.NoError(t, c.hears(long), cut)
	}
	p.Set(Silence)
	var timeout net.Error
	require.ErrorAs(t, c.says(short), &timeout)
	require.True(t, timeout.Timeout())
	fresh := connect(t, p.Addr)
	require.NoError(t, fresh.says(long))
	p.Set(Reset)
	require.Error(t, fresh.says(long))
	require.ErrorAs(t, c.hears(short), &timeout, "a reset leaves the silent connection alone")
	require.True(t, timeout.Timeout())
	p.Close()
	_, err := net.Dial("tcp4", p.Addr.String())
	require.Error(t, err)
}
