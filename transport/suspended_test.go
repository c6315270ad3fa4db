package transport

import (
	"bufio"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestProcessSuspendedWhileDialing checks that a process which stood still while a connection was opened
// sends nothing on it: what the caller checked before, and the time that it worked out
// as left, may hold no more. The next request goes out on a connection as any other.
func TestProcessSuspendedWhileDialing(t *testing.T) {
	const longest = 100 * time.Millisecond
	var asked atomic.Int64
	target := accept(t, func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for read(r) != "" {
			asked.Add(1)
			if _, err := c.Write([]byte(answer("a", "ok"))); err != nil {
				return
			}
		}
	})
	var still atomic.Bool
	still.Store(true)
	// Opened is called once a connection is there, which is where the process stops.
	p := NewPool(WithDialTimeout(longest), WithOpened(func() {
		if still.Load() {
			time.Sleep(2 * longest)
		}
	}))
	defer p.Close()
	_, err := get(t, p, request(target, "a", "body"))
	require.ErrorIs(t, err, ErrUnsent)
	require.NotErrorIs(t, err, ErrUnresponsive, "the target is not to blame")
	require.Zero(t, asked.Load())
	still.Store(false)
	_, err = get(t, p, request(target, "a", "body"))
	require.NoError(t, err)
	require.EqualValues(t, 1, asked.Load())
}
