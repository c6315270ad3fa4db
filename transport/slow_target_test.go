package transport

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowReadPause is the time in which the target of these tests reads 1 KB.
const slowReadPause = time.Second

// slowReader reads the body of a request at 1 KB/s through a small receive buffer, so that the
// sender's window closes.
func slowReader(t *testing.T) net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	var serving sync.WaitGroup
	t.Cleanup(func() {
		l.Close()
		serving.Wait()
	})
	serving.Go(func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_ = c.(*net.TCPConn).SetReadBuffer(1 << 10)
		r := bufio.NewReaderSize(c, 1<<10)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		for buf := make([]byte, 1<<10); err == nil; {
			_, err = req.Body.Read(buf)
			select {
			case <-t.Context().Done():
				return
			case <-time.After(slowReadPause):
			}
		}
	})
	return l
}

// A target may read a body slowly. Its window stays closed for longer than a machine may leave bytes
// unacknowledged, but it responds, and so its request goes on until its own deadline.
func TestSlowReaderIsResponsive(t *testing.T) {
	t.Parallel()
	l := slowReader(t)
	p := NewPool()
	defer p.Close()
	const deadline = 4 * userTimeout
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	req := request(l.Addr().(*net.TCPAddr).AddrPort(), "a", "")
	req.Body = make([]byte, 4<<20)
	_, err := p.Send(ctx, req)
	ended := time.Now()
	due, _ := ctx.Deadline()
	t.Logf("ended %s after its deadline: %v", ended.Sub(due), err)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.NotErrorIs(t, err, ErrUnresponsive)
	require.GreaterOrEqual(t, ended.Sub(due), time.Duration(0), "ended before its deadline")
}
