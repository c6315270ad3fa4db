package node

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connKey is the key under which a request's context has its connection.
type connKey struct{}

// callerConn is a caller's connection, which notes when a request's head began to come.
type callerConn struct {
	net.Conn
	conns *callerConns
	// idleSince is when nothing was under way, headerSince when the first byte of a
	// head came after that; both are zero while a request is served. The lock of
	// conns guards them.
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

// callerConns are the open connections of callers.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]bool
}

// track takes a new connection.
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

// connStateChanged hears of a connection's state from the server.
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

// headerBegan notes the first byte after a connection was idle.
func (c *callerConns) headerBegan(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !conn.idleSince.IsZero() {
		conn.idleSince, conn.headerSince = time.Time{}, time.Now()
	}
}

// headerRead notes that a request's head is there.
func (c *callerConns) headerRead(r *http.Request) {
	if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		conn.idleSince, conn.headerSince = time.Time{}, time.Time{}
	}
}

// closeStale closes the connections that have been idle, and those on which a head
// has been coming, since before a time.
func (c *callerConns) closeStale(idle, head time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if before(conn.idleSince, idle) || before(conn.headerSince, head) {
			// The server notes the end of the connection itself.
			_ = conn.Conn.Close()
		}
	}
}

// before reports whether something has been going on since before a time.
func before(since, t time.Time) bool { return !since.IsZero() && since.Before(t) }

// count returns the number of open connections.
func (c *callerConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}
