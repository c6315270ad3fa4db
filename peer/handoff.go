package peer

import (
	"io"
	"net"
	"net/rpc"
)

// HandoffPreface begins a connection that carries requests handed over to another process instead of
// calls. A gob stream never begins with a zero, so a process that does not know it closes the
// connection.
const HandoffPreface = "\x00handoff 1\n"

// ServeOption changes how [Serve] treats connections.
type ServeOption func(*serveSettings)

type serveSettings struct {
	handoffs func(net.Conn)
}

// WithHandoffs sets the function that receives the connections that begin with [HandoffPreface], after
// it was read. Without it they are closed.
func WithHandoffs(take func(net.Conn)) ServeOption {
	return func(s *serveSettings) { s.handoffs = take }
}

// serve serves calls on a connection, or passes it on if it carries requests.
func (s serveSettings) serve(server *rpc.Server, c net.Conn) {
	first := make([]byte, len(HandoffPreface))
	if _, err := io.ReadFull(c, first[:1]); err != nil {
		c.Close()
		return
	}
	if first[0] != HandoffPreface[0] {
		server.ServeConn(&startedConn{Conn: c, first: first[:1]})
		return
	}
	if _, err := io.ReadFull(c, first[1:]); err != nil || string(first) != HandoffPreface || s.handoffs == nil {
		c.Close()
		return
	}
	s.handoffs(c)
}

// startedConn is a connection of which the first bytes were read.
type startedConn struct {
	net.Conn
	first []byte
}

// Read implements [net.Conn].
func (c *startedConn) Read(p []byte) (int, error) {
	if len(c.first) > 0 {
		n := copy(p, c.first)
		c.first = c.first[n:]
		return n, nil
	}
	return c.Conn.Read(p)
}
