package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs/v2"
)

// LinkState is how a proxy passes bytes on.
type LinkState string

// The states of a link. Silence and Reset hit the connections that are open and
// leave new ones alone; the others hold until the link is mended.
const (
	Passing LinkState = "passing"
	Delayed LinkState = "delayed"
	// CutUp holds what callers send, CutDown what they are answered, as a
	// partition does: it comes once the link is mended.
	CutUp   LinkState = "cut-up"
	CutDown LinkState = "cut-down"
	// Stall passes nothing on any more and resets nothing.
	Stall LinkState = "silence"
	Reset LinkState = "reset"
)

// linkDelay is by how much a delayed link holds each piece up. It stays under the
// guard of 300 ms that a node leaves between its lease and its last order.
const linkDelay = 120 * time.Millisecond

// Proxy stands before an address and passes connections on.
type Proxy struct {
	// Addr is where the proxy listens.
	Addr netip.AddrPort

	mu      sync.Mutex
	target  netip.AddrPort
	lis     net.Listener
	link    LinkState
	changed chan struct{}
	conns   map[*proxiedConn]bool
}

// proxiedConn is one connection through a proxy.
type proxiedConn struct {
	downstream, upstream net.Conn
	// mute is closed when the pair falls silent.
	stalled chan struct{}
}

// close ends both connections; a reset drops what they still hold.
func (p *proxiedConn) close(reset bool) {
	for _, c := range []net.Conn{p.downstream, p.upstream} {
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			// It fails only on a connection that is closed already.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// NewProxy returns a proxy at an address that leads nowhere yet.
func NewProxy(addr netip.AddrPort) *Proxy {
	return &Proxy{Addr: addr, link: Passing, changed: make(chan struct{}), conns: make(map[*proxiedConn]bool)}
}

// SetTarget leads new connections to a target.
func (p *Proxy) SetTarget(target netip.AddrPort) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
	if p.lis != nil {
		return nil
	}
	lis, err := net.Listen("tcp4", p.Addr.String())
	if err != nil {
		return errs.Errorf("proxy: %w", err)
	}
	p.lis = lis
	go p.accept(lis)
	return nil
}

// Close refuses new connections, and resets those that are open.
func (p *Proxy) Close() {
	p.mu.Lock()
	if p.lis != nil {
		_ = p.lis.Close()
		p.lis = nil
	}
	p.mu.Unlock()
	p.forEachConn(func(c *proxiedConn) { c.close(true) })
}

// SetState puts the link in a state.
func (p *Proxy) SetState(link LinkState) {
	switch link {
	case Reset:
		p.forEachConn(func(c *proxiedConn) { c.close(true) })
		return
	case Stall:
		p.forEachConn(func(c *proxiedConn) { close(c.stalled) })
		return
	case Passing, Delayed, CutUp, CutDown:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = link
	close(p.changed)
	p.changed = make(chan struct{})
}

// forEachConn does something to all pairs that are open and not silent, which count no longer as such.
func (p *Proxy) forEachConn(do func(*proxiedConn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		do(c)
	}
	clear(p.conns)
}

func (p *Proxy) accept(lis net.Listener) {
	for {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

// serve passes one connection on.
func (p *Proxy) serve(downstream net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	upstream, err := net.Dial("tcp4", target.String())
	if err != nil {
		(&proxiedConn{downstream: downstream, upstream: downstream}).close(true)
		return
	}
	c := &proxiedConn{downstream: downstream, upstream: upstream, stalled: make(chan struct{})}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.forward(c, upstream, downstream, CutUp) })
	copies.Go(func() { p.forward(c, downstream, upstream, CutDown) })
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	c.close(false)
}

// maxChunkBytes is the most that a proxy passes on at once.
const maxChunkBytes = 32 << 10

// forward passes one direction on, and its end.
func (p *Proxy) forward(c *proxiedConn, to, from net.Conn, cut LinkState) {
	buf := make([]byte, maxChunkBytes)
	for {
		n, err := from.Read(buf)
		if !p.waitToForward(c, cut) {
			// Each side of a silent connection sees its own end only.
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				c.close(true)
				return
			}
		}
		if err != nil {
			p.forwardClose(c, to, err)
			return
		}
	}
}

// forwardClose passes on that one side has closed or reset the connection.
func (p *Proxy) forwardClose(c *proxiedConn, to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if !ok || err != io.EOF {
		c.close(true)
		return
	}
	// It fails only where the other side is closed already.
	_ = tcp.CloseWrite()
}

// waitToForward waits until the link passes a piece on; it is false if the pair is silent.
func (p *Proxy) waitToForward(c *proxiedConn, cut LinkState) bool {
	delayed := false
	for {
		p.mu.Lock()
		link, changed := p.link, p.changed
		p.mu.Unlock()
		var wait <-chan time.Time
		switch {
		case link == Delayed && !delayed:
			wait, delayed = time.After(linkDelay), true
		case link != cut:
			select {
			case <-c.stalled:
				return false
			default:
				return true
			}
		}
		select {
		case <-wait:
		case <-changed:
		case <-c.stalled:
			return false
		}
	}
}
