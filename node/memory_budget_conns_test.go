package node

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A caller is cut off once it takes nothing for callerStallTime, however much there is to send, and
// not while it reads slowly. One that occupies a target is cut off after occupiedStallTime, and has to
// take the answer at minCallerRate besides. The time that the target takes for the answer does not count.
func TestCallerStall(t *testing.T) {
	const (
		small, large = 2000, 1 << 20
		// lostPackets is how long a connection pauses for two retransmissions.
		lostPackets = 600 * time.Millisecond
	)
	for name, c := range map[string]struct {
		// read is how many bytes the caller reads after each pause, during the given time from the start.
		read          int
		pause, during time.Duration
		// size is the size of the answer.
		size int
		// cutOff is when it is cut off; zero if it gets the whole answer.
		cutOff   time.Duration
		occupies bool
	}{
		"reads nothing":                         {0, 0, 0, small, callerStallTime, false},
		"reads slowly":                          {100, time.Second, time.Hour, small, 0, false},
		"reads slowly and stops":                {100, time.Second, 10 * time.Second, small, 9*time.Second + callerStallTime, false},
		"occupies a target, reads nothing":      {0, 0, 0, small, occupiedStallTime, true},
		"occupies a target, reads slowly":       {100, lostPackets, time.Hour, small, occupiedStallTime, true},
		"occupies a target, loses some packets": {minCallerRate, lostPackets, time.Hour, large, 0, true},
		"occupies a target, reads and stops":    {minCallerRate, lostPackets, 5 * lostPackets, large, 4*lostPackets + occupiedStallTime, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				defer near.Close()
				conns := new(callerConns)
				conn := conns.track(near).(*callerConn)
				begun := time.Now()
				if c.occupies {
					conn.occupied.Store(new(occupiedTarget))
				}
				var reading sync.WaitGroup
				reading.Go(func() {
					for buf := make([]byte, c.read); c.read > 0 && time.Since(begun) < c.during; time.Sleep(c.pause) {
						if _, err := io.ReadFull(far, buf); err != nil {
							return
						}
					}
				})
				n, err := conn.Write(make([]byte, c.size))
				took := time.Since(begun)
				if c.occupies {
					targetTook := 3 * callerStallTime
					time.Sleep(targetTook)
					_, late := conn.Write([]byte{1})
					if c.cutOff == 0 {
						require.NoError(t, late, "the target took long, not the caller")
					} else {
						require.ErrorIs(t, late, os.ErrDeadlineExceeded, "its time is over")
					}
					if c.cutOff == occupiedStallTime {
						require.Zero(t, time.Since(begun)-took-targetTook, "without a wait")
					}
				}
				far.Close()
				reading.Wait()
				if c.cutOff == 0 {
					require.NoError(t, err)
					require.Equal(t, c.size, n)
					require.False(t, conn.stalled.Load())
					return
				}
				require.ErrorIs(t, err, os.ErrDeadlineExceeded)
				require.True(t, conn.stalled.Load())
				require.GreaterOrEqual(t, took, c.cutOff-stallCheckInterval)
				require.LessOrEqual(t, took, c.cutOff+stallCheckInterval)
			})
		})
	}
}

// When too many connections are open, those that have been idle longest give way, but not at once,
// since their next request may be on its way.
func TestIdleConnsGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conns := &callerConns{maxOpen: 3}
		isOpen := func(conn net.Conn) bool {
			conns.mu.Lock()
			defer conns.mu.Unlock()
			_, open := conns.open[conn.(*callerConn)]
			return open
		}
		open := func() net.Conn {
			near, far := net.Pipe()
			conn := conns.track(near)
			go func() {
				// The server notices the end of the connection in the same way.
				_, _ = io.Copy(io.Discard, far)
				conns.connStateChanged(conn, http.StateClosed)
			}()
			time.Sleep(100 * time.Millisecond)
			return conn
		}
		busy, first := open(), open()
		require.False(t, conns.crowded(10))
		require.True(t, conns.crowded(2), "two are idle")
		second := open()
		require.True(t, conns.crowded(10), "three of three are open")
		require.True(t, busy.(*callerConn).begin())
		begun := time.Now()
		third := open()
		require.False(t, isOpen(first), "the one that has been idle longest")
		require.True(t, isOpen(busy))
		require.GreaterOrEqual(t, time.Since(begun)+300*time.Millisecond, minIdleTime)
		require.Equal(t, 2, conns.idleCount())
		require.Zero(t, conns.closeExcessIdle(time.Now(), 2))
		time.Sleep(minIdleTime)
		conns.connStateChanged(busy, http.StateIdle)
		require.Equal(t, 2, conns.closeExcessIdle(time.Now(), 0), "one has just served a request")
		synctest.Wait()
		require.False(t, isOpen(second))
		require.False(t, isOpen(third))
		require.True(t, isOpen(busy))
		busy.Close()
		synctest.Wait()
		require.Zero(t, conns.idleCount())
		require.Zero(t, conns.count())
	})
}
