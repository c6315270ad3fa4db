package soak

import (
	"io"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs/v2"
)

// LinkState is the way in which a proxy forwards bytes.
type LinkState string

// The states of a link. Stall and Reset affect the connections that are open and leave new
// ones alone. The other states last until the link is restored.
const (
	Passing LinkState = "passing"
	Delayed LinkState = "delayed"
	// CutUp holds back the bytes that callers send, CutDown those of the answers. As after a
	// network partition, these bytes arrive once the link is restored.
	CutUp   LinkState = "cut-up"
	CutDown LinkState = "cut-down"
	// Cut holds back the bytes of both directions. It is a state of a node's links to all targets.
	Cut LinkState = "cut"
	// Stall stops forwarding on a connection without resetting it.
	Stall LinkState = "silence"
	Reset LinkState = "reset"
)

// linkDelay is the delay of each chunk on a delayed link. It is below the 300 ms that a lease
// holder leaves between its last order and the end of its lease.
const linkDelay = 120 * time.Millisecond

// Proxy forwards TCP connections to a target address and injects link faults.
type Proxy struct {
	// Addr is the address at which the proxy listens.
	Addr netip.AddrPort

	mu      sync.Mutex
	target  netip.AddrPort
	lis     net.Listener
	link    LinkState
	changed chan struct{}
	conns   map[*proxiedConn]bool
	// cuts cut single nodes off; nil in front of anything else than a target.
	cuts *nodeCuts
}

// proxiedConn is one connection through a proxy, with its downstream and upstream sides.
type proxiedConn struct {
	downstream, upstream net.Conn
	// stalled is closed when the connection stalls.
	stalled chan struct{}
	// node is the node that opened the connection, once lookUp has run.
	node   string
	lookUp sync.Once
}

// close closes both sides. With reset, unsent data is discarded.
func (p *proxiedConn) close(reset bool) {
	for _, c := range []net.Conn{p.downstream, p.upstream} {
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			// SetLinger fails only on a connection that is already closed.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// NewProxy returns a proxy for an address. It listens once it has a target. Only the proxies of
// targets have cuts.
func NewProxy(addr netip.AddrPort, cuts *nodeCuts) *Proxy {
	return &Proxy{Addr: addr, cuts: cuts, link: Passing, changed: make(chan struct{}), conns: make(map[*proxiedConn]bool)}
}

// SetTarget forwards new connections to a target, and starts to listen if necessary.
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

// Close stops listening and resets open connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	if p.lis != nil {
		_ = p.lis.Close()
		p.lis = nil
	}
	p.mu.Unlock()
	p.forEachConn(func(c *proxiedConn) { c.close(true) })
}

// SetState sets the state of the link, or stalls or resets its open connections.
func (p *Proxy) SetState(link LinkState) {
	switch link {
	case Reset:
		p.forEachConn(func(c *proxiedConn) { c.close(true) })
		return
	case Stall:
		p.forEachConn(func(c *proxiedConn) { close(c.stalled) })
		return
	case Passing, Delayed, CutUp, CutDown, Cut:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = link
	close(p.changed)
	p.changed = make(chan struct{})
}

// forEachConn calls do for all open connections that are not stalled, and stops tracking them.
func (p *Proxy) forEachConn(do func(*proxiedConn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		do(c)
	}
	clear(p.conns)
}

// openConns returns the open connections that are not stalled.
func (p *Proxy) openConns() []*proxiedConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.conns))
}

// accept serves connections until the listener is closed.
func (p *Proxy) accept(lis net.Listener) {
	for {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

// serve forwards one connection in both directions until both have ended.
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
	if state, _ := p.cuts.state(c); state == Reset {
		c.close(true)
		return
	}
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

// maxChunkBytes is the maximum number of bytes that a proxy forwards at once.
const maxChunkBytes = 32 << 10

// forward forwards the bytes of one direction and then its close. The state cut blocks this
// direction.
func (p *Proxy) forward(c *proxiedConn, to, from net.Conn, cut LinkState) {
	buf := make([]byte, maxChunkBytes)
	for {
		n, err := from.Read(buf)
		if !p.waitToForward(c, cut) {
			// A side of a stalled connection does not learn that the other side has closed it.
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

// forwardClose closes or resets the other side after one side was closed or reset.
func (p *Proxy) forwardClose(c *proxiedConn, to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if !ok || err != io.EOF {
		c.close(true)
		return
	}
	// CloseWrite fails only if the other side is already closed.
	_ = tcp.CloseWrite()
}

// waitToForward blocks until the link may forward a chunk. It returns false if the connection
// is stalled.
func (p *Proxy) waitToForward(c *proxiedConn, cut LinkState) bool {
	delayed := false
	for {
		p.mu.Lock()
		link, changed := p.link, p.changed
		p.mu.Unlock()
		ofNode, cutsChanged := p.cuts.state(c)
		var wait <-chan time.Time
		switch {
		case ofNode == Cut:
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
		case <-cutsChanged:
		case <-c.stalled:
			return false
		}
	}
}
