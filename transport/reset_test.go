package transport

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// listenNarrow listens with a small receive buffer and the segments of Ethernet, so that a long body does
// not fit into the kernel's buffers.
func listenNarrow(t *testing.T) *net.TCPListener {
	cfg := net.ListenConfig{Control: func(_, _ string, rc syscall.RawConn) error {
		return rc.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1448)
		})
	}}
	cfg.SetMultipathTCP(false)
	l, err := cfg.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

// Guards against half of an answer without a length that looks whole: its connection was reset while the
// request's long body was being written, and the write got the kernel's only report of it.
func TestUnframedAnswerResetWhileWriting(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"
	for name, c := range map[string]struct {
		end   func(conn *net.TCPConn)
		whole bool
	}{
		// Closing with unread bytes resets.
		"reset": {func(conn *net.TCPConn) { conn.Close() }, false},
		"closed in order, the body is read on": {func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}, true},
		"closed in order, then reset": {func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			conn.Close()
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := listenNarrow(t)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				conn, err := l.AcceptTCP()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := conn.Read(make([]byte, 1<<10)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, head+"half")
				time.Sleep(20 * time.Millisecond)
				c.end(conn)
			}()
			p := NewPool()
			defer p.Close()
			target := netip.MustParseAddrPort(l.Addr().String())
			resp, err := p.Send(t.Context(), request(target, "1", strings.Repeat("x", 4_000_000)))
			require.NoError(t, err)
			defer resp.Body.Close()
			if !c.whole {
				<-ended
				// Until now only the write waits for the connection.
				time.Sleep(20 * time.Millisecond)
			}
			got, err := ReadAll(resp.Body, 1<<20)
			if !c.whole {
				require.ErrorIs(t, err, syscall.ECONNRESET)
				require.True(t, ClosedByTarget(err))
				return
			}
			require.NoError(t, err)
			require.Equal(t, "half", string(got))
		})
	}
}
