package rig2

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// storeAnswerTime is how long an answer of the store takes on the sheet.
const storeAnswerTime = 4 * time.Millisecond

// storeLink lies between the nodes and the store. It delays answers as on the sheet, and resets all connections while
// the store is away.
type storeLink struct {
	mu        sync.Mutex
	away      bool
	listeners []net.Listener
	conns     map[net.Conn]bool
}

// open returns an address at which the store at the given one is reached.
func (l *storeLink) open(store netip.AddrPort) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	l.mu.Lock()
	l.listeners = append(l.listeners, listener)
	l.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(c, store)
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// forward passes on what comes on a connection.
func (l *storeLink) forward(c net.Conn, store netip.AddrPort) {
	if !l.add(c) {
		reset(c)
		return
	}
	defer l.end(c)
	s, err := net.Dial("tcp4", store.String())
	if err != nil {
		return
	}
	defer s.Close()
	go func() {
		// The node has closed the connection, or the store is away.
		_, _ = io.Copy(s, c)
		_ = s.Close()
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := s.Read(buf)
		time.Sleep(storeAnswerTime)
		if _, werr := c.Write(buf[:n]); err != nil || werr != nil {
			return
		}
	}
}

// add records a connection, or returns false while the store is away.
func (l *storeLink) add(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.away {
		return false
	}
	if l.conns == nil {
		l.conns = make(map[net.Conn]bool)
	}
	l.conns[c] = true
	return true
}

func (l *storeLink) end(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	_ = c.Close()
}

// setAway sets whether the store is away.
func (l *storeLink) setAway(away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = away
	if !away {
		return
	}
	for c := range l.conns {
		reset(c)
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	// An error means that the connection has ended.
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func (l *storeLink) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, listener := range l.listeners {
		_ = listener.Close()
	}
	for c := range l.conns {
		_ = c.Close()
	}
}
