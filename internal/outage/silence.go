// Package outage lets the machines of a test's stand-ins fail.
package outage

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Listener is a listener whose machine can fall silent: what arrives for its connections and for
// new ones is dropped without an acknowledgement, and what is written waits. Afterwards the
// retransmissions of both sides go through.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]bool
	// resumed is closed unless the machine is silent.
	resumed chan struct{}
}

// NewListener returns a listener whose machine responds.
func NewListener(inner net.Listener) *Listener {
	l := &Listener{Listener: inner, conns: make(map[*conn]bool), resumed: make(chan struct{})}
	close(l.resumed)
	return l
}

// FallSilent makes the machine silent for d. It must not be silent already.
func (l *Listener) FallSilent(d time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resumed = make(chan struct{})
	time.AfterFunc(d, l.resume)
	return l.each(dropPackets)
}

func (l *Listener) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	// It fails for connections that were closed meanwhile.
	_ = l.each(acceptPackets)
	close(l.resumed)
}

// each applies a function to the sockets of the listener and all connections; the caller holds the
// lock.
func (l *Listener) each(set func(fd int) error) error {
	err := control(l.Listener, set)
	for c := range l.conns {
		err = errors.Join(err, control(c.Conn, set))
	}
	return err
}

// Accept implements [net.Listener].
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &conn{Conn: inner, listener: l}
	l.conns[c] = true
	select {
	case <-l.resumed:
		return c, nil
	default:
		return c, control(inner, dropPackets)
	}
}

// conn is a connection of a [Listener].
type conn struct {
	net.Conn
	listener *Listener
}

// Write implements [net.Conn].
func (c *conn) Write(p []byte) (int, error) {
	c.listener.mu.Lock()
	resumed := c.listener.resumed
	c.listener.mu.Unlock()
	<-resumed
	return c.Conn.Write(p)
}

// Close implements [net.Conn].
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// dropPackets makes the kernel drop all packets that arrive for a socket.
func dropPackets(fd int) error {
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
}

// acceptPackets undoes dropPackets.
func acceptPackets(fd int) error {
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
}

// control applies a function to the socket of a listener or connection.
func control(of any, set func(fd int) error) error {
	sc, ok := of.(syscall.Conn)
	if !ok {
		return errors.New("it has no socket")
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	ctlErr := rc.Control(func(fd uintptr) { err = set(int(fd)) })
	return errors.Join(ctlErr, err)
}
