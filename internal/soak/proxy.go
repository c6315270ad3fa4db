package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs/v2"
)

// Link is how a proxy passes bytes on.
type Link string

// The states of a link. Silence and Reset hit the connections that are open and
// leave new ones alone; the others hold until the link is mended.
const (
	Passing Link = "passing"
	Delayed Link = "delayed"
	// CutUp holds what callers send, CutDown what they are answered, as a
	// partition does: it comes once the link is mended.
	CutUp   Link = "cut-up"
	CutDown Link = "cut-down"
	// Silence passes nothing on any more and resets nothing.
	Silence Link = "silence"
	Reset   Link = "reset"
)

// delayTime is by how much a delayed link holds each piece up. It stays under the
// guard of 300 ms that a node leaves between its lease and its last order.
const delayTime = 120 * time.Millisecond

// Proxy stands before an address and passes connections on.
type Proxy struct {
	// Addr is where the proxy listens.
	Addr netip.AddrPort

	mu      sync.Mutex
	target  netip.AddrPort
	lis     net.Listener
	link    Link
	changed chan struct{}
	pairs   map[*pair]bool
}

// pair is one connection through a proxy.
type pair struct {
	near, far net.Conn
	// mute is closed when the pair falls silent.
	mute chan struct{}
}

// close ends both connections; a reset drops what they still hold.
func (p *pair) close(reset bool) {
	for _, c := range []net.Conn{p.near, p.far} {
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			// It fails only on a connection that is closed already.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// NewProxy returns a proxy at an address that leads nowhere yet.
func NewProxy(addr netip.AddrPort) *Proxy {
	return &Proxy{Addr: addr, link: Passing, changed: make(chan struct{}), pairs: make(map[*pair]bool)}
}

// Point leads new connections to a target.
func (p *Proxy) Point(target netip.AddrPort) error {
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
	p.hit(func(c *pair) { c.close(true) })
}

// Set puts the link in a state.
func (p *Proxy) Set(link Link) {
	switch link {
	case Reset:
		p.hit(func(c *pair) { c.close(true) })
		return
	case Silence:
		p.hit(func(c *pair) { close(c.mute) })
		return
	case Passing, Delayed, CutUp, CutDown:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = link
	close(p.changed)
	p.changed = make(chan struct{})
}

// hit does something to all pairs that are open and not silent, which count no longer as such.
func (p *Proxy) hit(do func(*pair)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		do(c)
	}
	clear(p.pairs)
}

func (p *Proxy) accept(lis net.Listener) {
	for {
		near, err := lis.Accept()
		if err != nil {
			return
		}
		go p.serve(near)
	}
}

// serve passes one connection on.
func (p *Proxy) serve(near net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	far, err := net.Dial("tcp4", target.String())
	if err != nil {
		(&pair{near: near, far: near}).close(true)
		return
	}
	c := &pair{near: near, far: far, mute: make(chan struct{})}
	p.mu.Lock()
	p.pairs[c] = true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(c, far, near, CutUp) })
	copies.Go(func() { p.copy(c, near, far, CutDown) })
	copies.Wait()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
	c.close(false)
}

// pieceBytes is the most that a proxy passes on at once.
const pieceBytes = 32 << 10

// copy passes one direction on, and its end.
func (p *Proxy) copy(c *pair, to, from net.Conn, cut Link) {
	buf := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buf)
		if !p.pass(c, cut) {
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
			p.end(c, to, err)
			return
		}
	}
}

// end passes on that one side has closed or reset the connection.
func (p *Proxy) end(c *pair, to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if !ok || err != io.EOF {
		c.close(true)
		return
	}
	// It fails only where the other side is closed already.
	_ = tcp.CloseWrite()
}

// pass waits until the link passes a piece on; it is false if the pair is silent.
func (p *Proxy) pass(c *pair, cut Link) bool {
	delayed := false
	for {
		p.mu.Lock()
		link, changed := p.link, p.changed
		p.mu.Unlock()
		var wait <-chan time.Time
		switch {
		case link == Delayed && !delayed:
			wait, delayed = time.After(delayTime), true
		case link != cut:
			select {
			case <-c.mute:
				return false
			default:
				return true
			}
		}
		select {
		case <-wait:
		case <-changed:
		case <-c.mute:
			return false
		}
	}
}
