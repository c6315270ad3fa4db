package wire

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/dispatch"
	"github.com/pathhead/pathhead/internal/outage"
	"github.com/pathhead/pathhead/route"
)

// TestCallSilentTarget guards against calls that end because a sound target acknowledged nothing for
// longer than the kernel waits, with bytes on their way or without.
func TestCallSilentTarget(t *testing.T) {
	t.Parallel()
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false)
	inner, err := cfg.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	l := outage.NewListener(inner)
	served := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			served <- err
			return
		}
		defer c.Close()
		if err := l.FallSilent(2500 * time.Millisecond); err != nil {
			served <- err
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			served <- err
			return
		}
		_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		served <- err
	}()
	defer l.Close()
	a := route.Attempt{ID: "a", Request: "r", Target: inner.Addr().(*net.TCPAddr).AddrPort()}
	reply, err := NewOpenAI().Call(t.Context(), a, dispatch.ServiceCall{Method: http.MethodPost, Path: "/x"})
	require.NoError(t, err)
	data, err := io.ReadAll(reply.Body)
	require.NoError(t, err)
	require.Equal(t, "ok", string(data))
	require.NoError(t, <-served)
}
