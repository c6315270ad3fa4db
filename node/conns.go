package node

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connKey is the context key for the connection of a request.
type connKey struct{}

// callerConn is a caller's connection. It records when the header of a request began to arrive.
type callerConn struct {
	net.Conn
	conns *callerConns
	// idleSince is when the connection became idle, headerSince when the first byte of a header
	// arrived after that. Both are zero while a request is served. The mutex of conns guards them.
	idleSince, headerSince time.Time
}

// Read implements [net.Conn].
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.conns.headerBegan(c)
	}
	return n, err
}

// callerConns is the set of open caller connections.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]bool
}

// track adds a new connection.
func (c *callerConns) track(conn net.Conn) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[*callerConn]bool)
	}
	wrapped := &callerConn{Conn: conn, conns: c, idleSince: time.Now()}
	c.open[wrapped] = true
	return wrapped
}

// connStateChanged is the ConnState hook of the server.
func (c *callerConns) connStateChanged(conn net.Conn, state http.ConnState) {
	wrapped, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		wrapped.idleSince, wrapped.headerSince = time.Now(), time.Time{}
	case http.StateClosed, http.StateHijacked:
		delete(c.open, wrapped)
	case http.StateNew, http.StateActive:
	}
}

// headerBegan records the first byte after an idle period.
func (c *callerConns) headerBegan(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !conn.idleSince.IsZero() {
		conn.idleSince, conn.headerSince = time.Time{}, time.Now()
	}
}

// headerRead records that the header of a request is complete.
func (c *callerConns) headerRead(r *http.Request) {
	if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		conn.idleSince, conn.headerSince = time.Time{}, time.Time{}
	}
}

// closeStale closes connections that have been idle since before idle, and those whose header has
// been arriving since before header.
func (c *callerConns) closeStale(idle, header time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if before(conn.idleSince, idle) || before(conn.headerSince, header) {
			// The server's ConnState hook removes the connection from the set.
			_ = conn.Conn.Close()
		}
	}
}

// before reports whether since is set and earlier than t.
func before(since, t time.Time) bool { return !since.IsZero() && since.Before(t) }

// count returns the number of open connections.
func (c *callerConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}
