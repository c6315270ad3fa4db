package transport

import (
	"bufio"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestProcessSuspendedWhileDialing checks that a process that was suspended while it opened a
// connection sends nothing on it: the caller's earlier checks and its remaining time may
// no longer be valid. The next request is sent as usual.
func TestProcessSuspendedWhileDialing(t *testing.T) {
	const dialTimeout = 100 * time.Millisecond
	var received atomic.Int64
	target := accept(t, func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for read(r) != "" {
			received.Add(1)
			if _, err := c.Write([]byte(answer("a", "ok"))); err != nil {
				return
			}
		}
	})
	var suspended atomic.Bool
	suspended.Store(true)
	// The opened function runs once the connection is established; the suspension is simulated there.
	p := NewPool(WithDialTimeout(dialTimeout), WithOpened(func() {
		if suspended.Load() {
			time.Sleep(2 * dialTimeout)
		}
	}))
	defer p.Close()
	_, err := get(t, p, request(target, "a", "body"))
	require.ErrorIs(t, err, ErrUnsent)
	require.NotErrorIs(t, err, ErrUnresponsive, "the target was not the cause")
	require.Zero(t, received.Load())
	suspended.Store(false)
	_, err = get(t, p, request(target, "a", "body"))
	require.NoError(t, err)
	require.EqualValues(t, 1, received.Load())
}
