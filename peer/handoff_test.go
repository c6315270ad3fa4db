package peer

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/fleet"
)

// silentHandler is a [Handler] that knows nothing.
type silentHandler struct{}

func (silentHandler) Exchange(Exchange) Exchange     { return Exchange{From: "x"} }
func (silentHandler) Config() (fleet.Document, bool) { return fleet.Document{}, false }

// Guards against a listener that takes connections with requests for calls, or the other way round,
// and against a process that does not take requests and keeps their connections.
func TestHandoffConns(t *testing.T) {
	for name, takes := range map[string]bool{"takes requests": true, "does not": false} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			taken := make(chan net.Conn, 1)
			var opts []ServeOption
			if takes {
				opts = append(opts, WithHandoffs(func(c net.Conn) { taken <- c }))
			}
			ended := make(chan error, 1)
			go func() { ended <- Serve(l, silentHandler{}, opts...) }()
			defer func() {
				l.Close()
				require.NoError(t, <-ended)
			}()

			addr := l.Addr().(*net.TCPAddr).AddrPort()
			client := NewClient(time.Second, nil)
			defer client.Close()
			out, err := client.Exchange(t.Context(), addr, Exchange{From: "y"})
			require.NoError(t, err)
			require.Equal(t, "x", out.From)

			c, err := net.Dial("tcp", addr.String())
			require.NoError(t, err)
			defer c.Close()
			_, err = io.WriteString(c, HandoffPreface+"rest")
			require.NoError(t, err)
			if !takes {
				_, err := c.Read(make([]byte, 1))
				require.Error(t, err, "the connection is closed")
				return
			}
			passed := <-taken
			defer passed.Close()
			rest := make([]byte, 4)
			_, err = io.ReadFull(passed, rest)
			require.NoError(t, err)
			require.Equal(t, "rest", string(rest))
		})
	}
}
