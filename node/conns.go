package node

import (
	"errors"
	"io"
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

// callerConn is a caller's connection. Bytes are read from its socket only under its lock, so that it is
// either closed between two requests or has read the next one, never both.
type callerConn struct {
	net.Conn
	conns *callerConns
	// socket is the socket of the connection; nil if it has none.
	socket syscall.RawConn
	// stalled is set once the caller was cut off because it took nothing, or too little.
	stalled atomic.Bool
	// occupied is set while the caller occupies a target.
	occupied atomic.Pointer[occupiedTarget]

	// mu guards the fields below. It is acquired before the lock of conns.
	mu sync.Mutex
	// phase is what the connection does, since the given time.
	phase connPhase
	since time.Time
	// closedFor is why this node closed the connection between two requests, empty if it did not.
	closedFor closeReason
}

// connPhase is what a caller's connection does.
type connPhase int

const (
	// connIdle means that no byte of the next request was read.
	connIdle connPhase = iota
	// connHeader means that the header of a request is arriving.
	connHeader
	// connBusy means that a request is served.
	connBusy
	// connClosed means that the connection is closed.
	connClosed
)

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
	if c.socket == nil || len(p) == 0 {
		return c.readThenRecord(p)
	}
	n, err := c.readLocked(p)
	switch {
	case err != nil:
		return 0, c.readError(err)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// readThenRecord reads from a connection without a socket. What is read while the connection is closed is
// dropped, since its request must not be served.
func (c *callerConn) readThenRecord(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.received(n) {
		return 0, net.ErrClosed
	}
	return n, err
}

// readLocked waits until there is something to read, and reads it under the lock. It returns zero bytes at the
// end of the stream.
func (c *callerConn) readLocked(p []byte) (n int, err error) {
	waitErr := c.socket.Read(func(fd uintptr) (done bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.phase == connClosed {
			err = net.ErrClosed
			return true
		}
		n, err = readAvailable(int(fd), p)
		c.received(n)
		return !errors.Is(err, syscall.EAGAIN)
	})
	var op *net.OpError
	switch {
	case errors.As(waitErr, &op):
		return 0, op.Err
	case waitErr != nil:
		return 0, waitErr
	}
	return n, err
}

// readAvailable reads what a socket has received, without waiting.
func readAvailable(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		switch {
		case err == nil:
			return n, nil
		case !errors.Is(err, syscall.EINTR):
			return 0, os.NewSyscallError("read", err)
		}
	}
}

// readError returns an error of reading as [net.TCPConn] does.
func (c *callerConn) readError(err error) error {
	return &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// received records that n bytes were read, and reports false if the connection was closed before. The caller
// holds the lock.
func (c *callerConn) received(n int) bool {
	if n > 0 && c.phase == connIdle {
		c.setPhase(connHeader)
	}
	return c.phase != connClosed
}

// setPhase sets what the connection does from now on. The caller holds the lock.
func (c *callerConn) setPhase(p connPhase) {
	now := time.Now()
	if c.phase == connIdle || p == connIdle {
		c.conns.setIdle(c, p == connIdle, now)
	}
	c.phase, c.since = p, now
}

// closeIf closes the connection if it has been in a phase since before t, and reports whether it did. An idle
// one that has bytes to read stays open, since they belong to the next request.
func (c *callerConn) closeIf(phase connPhase, t time.Time, reason closeReason) bool {
	c.mu.Lock()
	if c.phase != phase || !c.since.Before(t) {
		c.mu.Unlock()
		return false
	}
	unread := c.hasInput()
	if unread && phase == connIdle {
		c.mu.Unlock()
		c.conns.reportKept(reason)
		return false
	}
	c.setPhase(connClosed)
	c.closedFor = reason
	c.mu.Unlock()
	c.conns.reportClosed(reason, unread)
	// This waits for the reader, which may wait for the lock. The server's ConnState hook removes the
	// connection from the set.
	_ = c.Conn.Close()
	return true
}

// hasInput reports whether bytes of the caller were received that nobody has read yet.
func (c *callerConn) hasInput() bool {
	if c.socket == nil {
		return false
	}
	n := 0
	err := c.socket.Control(func(fd uintptr) {
		var b [1]byte
		// An error means that there is nothing to read.
		n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// begin records that the header of a request is complete. It reports false if this node has closed the
// connection before, so that no answer can reach the caller.
func (c *callerConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connClosed {
		return false
	}
	c.setPhase(connBusy)
	return true
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

// closeReasonOf returns why this node closed the connection of a request, or an empty reason.
func closeReasonOf(r *http.Request) closeReason {
	conn, ok := connOf(r)
	if !ok {
		return ""
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.closedFor
}
