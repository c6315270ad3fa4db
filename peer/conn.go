package peer

import (
	"net"
	"sync/atomic"
)

// countingConn counts the bytes sent and read on a connection.
type countingConn struct {
	net.Conn
	sent atomic.Int64
	read atomic.Int64
}

// Read implements [net.Conn].
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// Write implements [net.Conn].
func (c *countingConn) Write(p []byte) (int, error) {
	c.sent.Add(int64(len(p)))
	return c.Conn.Write(p)
}

func (c *countingConn) counts() (sent, read int64) { return c.sent.Load(), c.read.Load() }
