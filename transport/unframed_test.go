package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The end of a connection is the end of an answer without length or chunks only while the target accepts
// connections: one that crashed closes its connections in order too.
func TestUnframedAnswerOfEndedTarget(t *testing.T) {
	for name, c := range map[string]struct {
		method, head string
		ended, whole bool
		// opened is the number of connections that the pool opens.
		opened int
	}{
		"the target goes on":           {http.MethodPost, "", false, true, 2},
		"it has ended":                 {http.MethodPost, "", true, false, 1},
		"it has ended after a length":  {http.MethodPost, "Content-Length: 4\r\n", true, true, 1},
		"it has ended, without a body": {http.MethodHead, "", true, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := serveOnce(t, func(conn net.Conn, l net.Listener) {
				if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"+c.head+"\r\n"); err != nil {
					return
				}
				if c.ended {
					l.Close()
				}
				if c.method != http.MethodHead {
					_, _ = io.WriteString(conn, "part")
				}
			})
			opened := 0
			// The connection that ended leaves room for the one that checks.
			p := NewPool(WithOpened(func() { opened++ }), WithMaxConns(func(netip.AddrPort) int { return 1 }))
			defer p.Close()
			req := request(l.Addr().(*net.TCPAddr).AddrPort(), "1", "b")
			req.Method = c.method
			got, err := get(t, p, req)
			require.Equal(t, c.opened, opened)
			if !c.whole {
				require.ErrorIs(t, err, io.ErrUnexpectedEOF)
				require.True(t, ClosedByTarget(err))
				return
			}
			require.NoError(t, err)
			if c.method != http.MethodHead {
				require.Equal(t, "part", got)
			}
		})
	}
}

// The kernel closes the connections of a process that was killed before its listener: for a moment, a
// connection still opens and is reset, or is reset while it opens.
func TestUnframedAnswerOfEndingTarget(t *testing.T) {
	reset := func(context.Context, netip.AddrPort) (net.Conn, error) {
		return nil, os.NewSyscallError("connect", syscall.ECONNRESET)
	}
	for name, c := range map[string]struct {
		// lag is how long the listener outlives the connection.
		lag time.Duration
		// second opens the second connection instead of the kernel.
		second DialFunc
		whole  bool
	}{
		"a connection opens and is reset": {time.Millisecond, nil, false},
		"one is reset while it opens":     {0, reset, false},
		"a target at its limit resets it": {-1, reset, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := serveOnce(t, func(conn net.Conn, l net.Listener) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart")
				if c.lag == 0 {
					l.Close()
				}
				conn.Close()
				if c.lag > 0 {
					time.Sleep(c.lag)
					l.Close()
				}
			})
			var dials atomic.Int32
			p := NewPool(WithDial(func(ctx context.Context, target netip.AddrPort) (net.Conn, error) {
				if dials.Add(1) == 2 && c.second != nil {
					return c.second(ctx, target)
				}
				var d net.Dialer
				return d.DialContext(ctx, "tcp", target.String())
			}))
			defer p.Close()
			got, err := get(t, p, request(l.Addr().(*net.TCPAddr).AddrPort(), "1", "b"))
			if !c.whole {
				require.ErrorIs(t, err, io.ErrUnexpectedEOF)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "part", got)
		})
	}
}

// serveOnce accepts one connection, reads a request from it and lets answer do the rest. It returns the
// listener, which is closed at the end of the test.
func serveOnce(t *testing.T, answer func(conn net.Conn, l net.Listener)) net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		read(bufio.NewReader(conn))
		answer(conn, l)
	}()
	return l
}
