package node

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
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
	// stalled is set once the caller was cut off because it took nothing, or too little.
	stalled atomic.Bool
	// occupied is set while the caller occupies a target.
	occupied atomic.Pointer[occupiedTarget]
	// closedFor is why this node closed the connection, empty if it did not. The mutex of conns guards it.
	closedFor closeReason
}

// closeReason is the reason that this node closes a caller's connection between two requests.
type closeReason string

// Reasons for closing a caller's connection between two requests.
const (
	// closedIdle means that the connection was idle for longer than the configuration permits.
	closedIdle closeReason = "idle"
	// closedHeader means that a header took longer to arrive than the configuration permits.
	closedHeader closeReason = "header"
	// closedMemory means that there was no memory for so many idle connections.
	closedMemory closeReason = "memory"
	// closedCrowded means that no further connection could have been accepted.
	closedCrowded closeReason = "crowded"
	// closedStop means that the node stops.
	closedStop closeReason = "stop"
)

// occupiedTarget counts how much a caller took while it occupied a target, and how long writes waited
// for it. Only Write changes it.
type occupiedTarget struct {
	taken  int
	waited time.Duration
}

// spent reports whether the caller kept the target waiting for longer than a stall and a slow
// transfer of what it took.
func (o *occupiedTarget) spent() bool {
	return o.waited >= occupiedStallTime+time.Duration(float64(o.taken)/minCallerRate*float64(time.Second))
}

// Read implements [net.Conn].
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.conns.headerBegan(c)
	}
	return n, err
}

// Bounds of what is sent to a caller.
const (
	// callerStallTime is how long a caller may take nothing while there is something to send.
	// Targets cut off an answer that is not read for some seconds. Their time begins only when the
	// buffers between them and the caller are full, so the node gives up the target first.
	callerStallTime = 3 * time.Second
	// callerSendBuffer is the size of the kernel's send buffer of a connection in bytes, which the
	// kernel doubles for its own overhead. At a round trip of 2 ms it permits 8 MB/s.
	callerSendBuffer = 16 << 10
	// occupiedStallTime is how long a caller that occupies a target may take nothing. A target has to
	// serve others too, but a lost packet or two must not cut off a caller.
	occupiedStallTime = time.Second
	// minCallerRate is the rate in bytes per second at which a caller that occupies a target has to
	// take the answer, besides one stall.
	minCallerRate = 64 << 10
	// stallCheckInterval is the interval of checks for progress, occupiedCheckInterval that of a caller
	// that occupies a target. If one takes longer by suspendedMargin, this process was suspended.
	stallCheckInterval    = callerStallTime / 4
	occupiedCheckInterval = occupiedStallTime / 4
	suspendedMargin       = 500 * time.Millisecond
)

// Write implements [net.Conn]. It fails if the caller takes nothing for callerStallTime. One that
// occupies a target gets occupiedStallTime, and must not take the answer too slowly.
func (c *callerConn) Write(p []byte) (written int, err error) {
	progressAt, occupied := time.Now(), c.occupied.Load()
	interval, limit := stallCheckInterval, callerStallTime
	if occupied != nil {
		interval, limit = occupiedCheckInterval, occupiedStallTime
	}
	for {
		if occupied != nil && occupied.spent() {
			c.stalled.Store(true)
			return written, os.ErrDeadlineExceeded
		}
		begun := time.Now()
		if err := c.Conn.SetWriteDeadline(begun.Add(interval)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+callerSendBuffer)])
		written += n
		late := errors.Is(err, os.ErrDeadlineExceeded)
		now := time.Now()
		suspended := now.Sub(begun) > interval+suspendedMargin
		if n > 0 || suspended {
			progressAt = now
		}
		if occupied != nil && !suspended {
			occupied.taken += n
			occupied.waited += now.Sub(begun)
		}
		switch {
		case late && now.Sub(progressAt) < limit:
			// The next check follows.
		case err != nil:
			c.stalled.Store(c.stalled.Load() || late)
			return written, err
		case written == len(p):
			return written, nil
		}
	}
}

// connOf returns the connection of a request.
func connOf(r *http.Request) (conn *callerConn, ok bool) {
	conn, ok = r.Context().Value(connKey{}).(*callerConn)
	return conn, ok
}

// occupyTarget bounds how long the caller of a request keeps a target waiting, until the returned
// function is called.
func occupyTarget(r *http.Request) (end func()) {
	conn, ok := connOf(r)
	if !ok {
		return func() {}
	}
	conn.occupied.Store(new(occupiedTarget))
	return func() { conn.occupied.Store(nil) }
}

// CloseWrite closes the sending direction. The server does so before it closes a connection whose
// request was not read completely, so that the answer is not lost in a reset.
func (c *callerConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// resetOnClose sets whether the connection of a request ends with a reset when it is closed, also by the
// end of this process.
func resetOnClose(r *http.Request, reset bool) {
	conn, ok := connOf(r)
	if !ok {
		return
	}
	seconds := -1
	if reset {
		seconds = 0
	}
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		// An error means that the connection has ended.
		_ = tcp.SetLinger(seconds)
	}
}

// callerStalled reports whether the connection of a request was given up because its caller stalled.
func callerStalled(r *http.Request) bool {
	conn, ok := connOf(r)
	return ok && conn.stalled.Load()
}

// hasInput reports whether bytes of the caller were received that nobody has read yet.
func (c *callerConn) hasInput() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		// An error means that there is nothing to read.
		n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// callerConns is the set of open caller connections.
type callerConns struct {
	// onClose is called for each connection that is closed between two requests, with whether it had
	// received bytes that nobody had read.
	onClose func(reason closeReason, unread bool)

	mu   sync.Mutex
	open map[*callerConn]bool
	// maxOpen is the maximum number of open connections, zero for no limit.
	maxOpen int
	// idle is the number of open connections that are idle.
	idle int
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
	return c.idle >= idleLimit || c.maxOpen > 0 && float64(len(c.open)) >= crowdedFraction*float64(c.maxOpen)
}

// track adds a new connection. While there are too many, it waits until one of them ends, so that
// the kernel queues further ones.
func (c *callerConns) track(conn net.Conn) net.Conn {
	for !c.makeRoom(time.Now()) {
		time.Sleep(acceptRetryInterval)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// If the buffer cannot be set, the connection is closed already.
		_ = tcp.SetWriteBuffer(callerSendBuffer)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[*callerConn]bool)
	}
	wrapped := &callerConn{Conn: conn, conns: c}
	c.setIdleSince(wrapped, time.Now())
	c.open[wrapped] = true
	return wrapped
}

// makeRoom reports whether another connection may be open. It closes the one that has been idle
// longest if there are too many.
func (c *callerConns) makeRoom(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.maxOpen == 0 || len(c.open) < c.maxOpen {
		return true
	}
	if conn := c.oldestIdle(now); conn != nil {
		c.setIdleSince(conn, time.Time{})
		c.close(conn, closedCrowded)
	}
	return false
}

// close closes a connection. The caller holds the lock.
func (c *callerConns) close(conn *callerConn, reason closeReason) {
	if conn.closedFor == "" {
		conn.closedFor = reason
		if c.onClose != nil {
			c.onClose(reason, conn.hasInput())
		}
	}
	// The server's ConnState hook removes the connection from the set.
	_ = conn.Conn.Close()
}

// closeReasonOf returns why this node closed the connection of a request, or an empty reason.
func closeReasonOf(r *http.Request) closeReason {
	conn, ok := connOf(r)
	if !ok {
		return ""
	}
	conn.conns.mu.Lock()
	defer conn.conns.mu.Unlock()
	return conn.closedFor
}

// oldestIdle returns the connection that has been idle longest, or nil if none has been for
// minIdleTime. The caller holds the lock.
func (c *callerConns) oldestIdle(now time.Time) *callerConn {
	var oldest *callerConn
	for conn := range c.open {
		if before(conn.idleSince, now.Add(-minIdleTime)) && (oldest == nil || conn.idleSince.Before(oldest.idleSince)) {
			oldest = conn
		}
	}
	return oldest
}

// setIdleSince sets since when a connection is idle, zero if it is not. The caller holds the lock.
func (c *callerConns) setIdleSince(conn *callerConn, t time.Time) {
	if !conn.idleSince.IsZero() {
		c.idle--
	}
	if conn.idleSince = t; !t.IsZero() {
		c.idle++
	}
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
		c.setIdleSince(wrapped, time.Now())
		wrapped.headerSince = time.Time{}
	case http.StateClosed, http.StateHijacked:
		c.setIdleSince(wrapped, time.Time{})
		delete(c.open, wrapped)
	case http.StateNew, http.StateActive:
	}
}

// headerBegan records the first byte after an idle period.
func (c *callerConns) headerBegan(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !conn.idleSince.IsZero() {
		c.setIdleSince(conn, time.Time{})
		conn.headerSince = time.Now()
	}
}

// headerRead records that the header of a request is complete.
func (c *callerConns) headerRead(r *http.Request) {
	if conn, ok := connOf(r); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.setIdleSince(conn, time.Time{})
		conn.headerSince = time.Time{}
	}
}

// closeIdle closes the connections that have been idle since before t.
func (c *callerConns) closeIdle(t time.Time, reason closeReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if before(conn.idleSince, t) {
			c.close(conn, reason)
		}
	}
}

// closeSlowHeaders closes the connections on which a header has been arriving since before t.
func (c *callerConns) closeSlowHeaders(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if before(conn.headerSince, t) {
			c.close(conn, closedHeader)
		}
	}
}

// closeExcessIdle closes the connections that have been idle longest, until at most limit are idle or
// the others have not been for minIdleTime. It returns how many it closed.
func (c *callerConns) closeExcessIdle(now time.Time, limit int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	closed := 0
	for ; c.idle > limit; closed++ {
		oldest := c.oldestIdle(now)
		if oldest == nil {
			break
		}
		c.setIdleSince(oldest, time.Time{})
		c.close(oldest, closedMemory)
	}
	return closed
}

// before reports whether since is set and earlier than t.
func before(since, t time.Time) bool { return !since.IsZero() && since.Before(t) }

// count returns the number of open connections.
func (c *callerConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}
