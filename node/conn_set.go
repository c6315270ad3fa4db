package node

import (
	"container/list"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// callerConns is the set of open caller connections.
type callerConns struct {
	// closedHook and keptHook are called for each connection that is closed between two requests, with whether it
	// had received bytes that nobody had read, and for each that stays open since it had. Either may be nil.
	closedHook func(reason closeReason, unread bool)
	keptHook   func(reason closeReason)

	mu   sync.Mutex
	open map[*callerConn]*list.Element
	// idle has the connections that are idle as [idleConn], longest first. The map has their elements, nil
	// for the others.
	idle list.List
	// maxOpen is the maximum number of open connections, zero for no limit.
	maxOpen int
}

// idleConn is a connection and the time since which it is idle.
type idleConn struct {
	conn  *callerConn
	since time.Time
}

// setMaxOpen changes the maximum number of open connections.
func (c *callerConns) setMaxOpen(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxOpen = n
}

// Bounds of accepting connections.
const (
	// acceptRetryInterval is the interval at which a node with too many connections checks for room.
	acceptRetryInterval = 5 * time.Millisecond
	// minIdleTime is how long an idle connection is kept in any case. The next request may be on its
	// way, and would be lost with the connection.
	minIdleTime = time.Second
	// crowdedFraction is the fraction of the maximum of open connections from which on answers end
	// their connections.
	crowdedFraction = 0.75
)

// crowded reports whether answers should end their connections, since there are too many. Unlike
// closing an idle connection, that loses no request.
func (c *callerConns) crowded(idleLimit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle.Len() >= idleLimit || c.maxOpen > 0 && float64(len(c.open)) >= crowdedFraction*float64(c.maxOpen)
}

// track adds a new connection. While there are too many, it waits until one of them ends, so that
// the kernel queues further ones.
func (c *callerConns) track(conn net.Conn) net.Conn {
	for !c.makeRoom(time.Now()) {
		time.Sleep(acceptRetryInterval)
	}
	wrapped := &callerConn{Conn: conn, conns: c}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// If the buffer cannot be set, the connection is closed already.
		_ = tcp.SetWriteBuffer(callerSendBuffer)
		if raw, err := tcp.SyscallConn(); err == nil {
			wrapped.socket = raw
		}
	}
	c.mu.Lock()
	if c.open == nil {
		c.open = make(map[*callerConn]*list.Element)
	}
	c.open[wrapped] = nil
	c.mu.Unlock()
	wrapped.mu.Lock()
	defer wrapped.mu.Unlock()
	wrapped.setPhase(connIdle)
	return wrapped
}

// setIdle records that a connection is idle since a time, or that it no longer is.
func (c *callerConns) setIdle(conn *callerConn, idle bool, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, open := c.open[conn]
	if e != nil {
		c.idle.Remove(e)
	}
	switch {
	case idle && open:
		c.open[conn] = c.idle.PushBack(idleConn{conn, since})
	case open:
		c.open[conn] = nil
	}
}

// idleBefore returns at most the given number of connections that have been idle since before t, longest
// first.
func (c *callerConns) idleBefore(t time.Time, most int) []*callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*callerConn
	for e := c.idle.Front(); e != nil && len(out) < most; e = e.Next() {
		i := e.Value.(idleConn)
		if !i.since.Before(t) {
			break
		}
		out = append(out, i.conn)
	}
	return out
}

// makeRoom reports whether another connection may be open. It closes the one that has been idle
// longest if there are too many, and has been for minIdleTime.
func (c *callerConns) makeRoom(now time.Time) bool {
	c.mu.Lock()
	room, open := c.maxOpen == 0 || len(c.open) < c.maxOpen, len(c.open)
	c.mu.Unlock()
	if room {
		return true
	}
	before := now.Add(-minIdleTime)
	for _, conn := range c.idleBefore(before, open) {
		if conn.closeIf(connIdle, before, closedCrowded) {
			break
		}
	}
	return false
}

// connStateChanged is the ConnState hook of the server.
func (c *callerConns) connStateChanged(conn net.Conn, state http.ConnState) {
	wrapped, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		wrapped.mu.Lock()
		defer wrapped.mu.Unlock()
		if wrapped.phase != connClosed {
			wrapped.setPhase(connIdle)
		}
	case http.StateClosed, http.StateHijacked:
		c.remove(wrapped)
	case http.StateNew, http.StateActive:
	}
}

// remove removes a connection that has ended.
func (c *callerConns) remove(conn *callerConn) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.phase != connClosed {
		conn.setPhase(connClosed)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

// headerRead records that the header of a request is complete. It reports false if this node has closed its
// connection before.
func (c *callerConns) headerRead(r *http.Request) bool {
	conn, ok := connOf(r)
	return !ok || conn.begin()
}

// closeIdle closes the connections that have been idle since before t.
func (c *callerConns) closeIdle(t time.Time, reason closeReason) {
	for _, conn := range c.idleBefore(t, c.count()) {
		conn.closeIf(connIdle, t, reason)
	}
}

// closeSlowHeaders closes the connections on which a header has been arriving since before t.
func (c *callerConns) closeSlowHeaders(t time.Time) {
	for _, conn := range c.all() {
		conn.closeIf(connHeader, t, closedHeader)
	}
}

// closeExcessIdle closes the connections that have been idle longest, until at most limit are idle or
// the others have not been for minIdleTime. It returns how many it closed.
func (c *callerConns) closeExcessIdle(now time.Time, limit int) int {
	before, closed := now.Add(-minIdleTime), 0
	for _, conn := range c.idleBefore(before, c.idleCount()-limit) {
		if conn.closeIf(connIdle, before, closedMemory) {
			closed++
		}
	}
	return closed
}

// reportClosed reports that a connection is closed between two requests.
func (c *callerConns) reportClosed(reason closeReason, unread bool) {
	if c.closedHook != nil {
		c.closedHook(reason, unread)
	}
}

// reportKept reports that a connection is not closed, since a request has arrived.
func (c *callerConns) reportKept(reason closeReason) {
	if c.keptHook != nil {
		c.keptHook(reason)
	}
}

// all returns the open connections.
func (c *callerConns) all() []*callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.open))
}

// count returns the number of open connections.
func (c *callerConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// idleCount returns the number of connections that are idle.
func (c *callerConns) idleCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle.Len()
}

// busyCount returns the number of open connections that are not idle.
func (c *callerConns) busyCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) - c.idle.Len()
}
