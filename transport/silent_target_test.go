package transport

import (
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/internal/outage"
)

// targetSilence is longer than the kernel waits for a machine that acknowledges nothing, with bytes on
// their way (userTimeout) or without (two keep-alive intervals).
const targetSilence = 2*keepAliveInterval + userTimeout

// silentTarget answers one request in two parts, and its machine falls silent before the head of the
// answer or between the parts.
func silentTarget(t *testing.T, midway bool) netip.AddrPort {
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false)
	inner, err := cfg.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	l := outage.NewListener(inner)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		text := answer("a", "the answer")
		if midway {
			_, _ = c.Read(make([]byte, 1<<10))
			_, _ = io.WriteString(c, text[:len(text)-3])
			text = text[len(text)-3:]
			time.Sleep(10 * time.Millisecond)
		}
		if err := l.FallSilent(targetSilence); err != nil {
			t.Error(err)
		}
		if !midway {
			_, _ = c.Read(make([]byte, 1<<10))
		}
		_, _ = io.WriteString(c, text)
		_, _ = c.Read(make([]byte, 1))
	}()
	t.Cleanup(func() {
		l.Close()
		<-done
	})
	return inner.Addr().(*net.TCPAddr).AddrPort()
}

// TestSilentTarget guards against exchanges that the kernel ends because the target's machine
// acknowledged nothing for a while: a patient one goes on and gets the whole answer, whether or not
// bytes were on their way, and its connection can be used again.
func TestSilentTarget(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ midway, patient bool }{
		"request unacknowledged":              {patient: true},
		"request unacknowledged, not patient": {},
		"within the answer":                   {midway: true, patient: true},
		"within the answer, not patient":      {midway: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := NewPool()
			defer p.Close()
			req := request(silentTarget(t, c.midway), "a", "body")
			req.Patient = c.patient
			got, err := get(t, p, req)
			if !c.patient {
				require.ErrorIs(t, err, ErrUnresponsive)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "the answer", got)
			require.Len(t, p.idle[req.Target], 1)
			require.Equal(t, int(userTimeout.Milliseconds()), socketOption(t, p.idle[req.Target][0], syscall.IPPROTO_TCP, tcpUserTimeout))
			require.Equal(t, 1, socketOption(t, p.idle[req.Target][0], syscall.SOL_SOCKET, syscall.SO_KEEPALIVE))
		})
	}
}

// socketOption returns an option of a connection's socket.
func socketOption(t *testing.T, c *conn, level, name int) int {
	rc, err := c.Conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	value := 0
	require.NoError(t, rc.Control(func(fd uintptr) { value, err = syscall.GetsockoptInt(int(fd), level, name) }))
	require.NoError(t, err)
	return value
}
