package transport

import (
	"bufio"
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// serveEach handles all connections at the same time, each with the function for its number.
func serveEach(t *testing.T, handle func(n int, r *bufio.Reader, c net.Conn)) netip.AddrPort {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(n, bufio.NewReader(c), c)
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// Guards against a late copy of an answer that is taken for the answer to the next send of its request.
func TestSendAgain(t *testing.T) {
	target := serveEach(t, func(n int, r *bufio.Reader, c net.Conn) {
		if n > 0 {
			for read(r) != "" {
				io.WriteString(c, answer("1", "own"))
			}
			return
		}
		read(r)
		io.WriteString(c, answer("1", "refused"))
		if read(r) != "" {
			io.WriteString(c, answer("1", "refused")+answer("2", "other"))
		}
		_, _ = r.ReadByte()
	})
	opened := 0
	p := NewPool(WithOpened(func() { opened++ }))
	defer p.Close()
	req := request(target, "1", "b")
	req.Sends = new(Sends)
	for i, want := range []string{"refused", "own"} {
		got, err := get(t, p, req)
		require.NoError(t, err)
		require.Equal(t, want, got)
		require.Equal(t, i+1, opened)
	}
	// The connections are not in doubt for other requests. The one released last is used first.
	_, err := get(t, p, request(target, "1", "b"))
	require.NoError(t, err)
	req = request(target, "2", "b")
	req.Sends = &Sends{serials: []uint64{2}}
	got, err := get(t, p, req)
	require.NoError(t, err)
	require.Equal(t, "other", got, "the late copy belongs to another request")
	require.Equal(t, 2, opened)
}

// Guards against a request that cannot be sent again since the connection that carried it is the last
// one that the target's limit allows.
func TestSendAgainAtLimit(t *testing.T) {
	target := serveEach(t, func(n int, r *bufio.Reader, c net.Conn) {
		for read(r) != "" {
			io.WriteString(c, answer("1", []string{"refused", "own"}[n]))
		}
	})
	p := NewPool(WithMaxConns(func(netip.AddrPort) int { return 1 }))
	defer p.Close()
	req := request(target, "1", "b")
	req.Sends = new(Sends)
	for _, want := range []string{"refused", "own"} {
		got, err := get(t, p, req)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
}
