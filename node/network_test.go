package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

// Figures of the simulated network: latency within a failure domain and between two, and the accept
// backlog.
const (
	simSameZoneLatency  = 100 * time.Microsecond
	simCrossZoneLatency = 900 * time.Microsecond
	simBacklog          = 256
)

// simNetwork connects simulated VMs in the time of a synctest bubble. Each VM has one link that
// carries bytes sequentially in either direction.
type simNetwork struct {
	mu        sync.Mutex
	vms       map[netip.Addr]*simVM
	listeners map[netip.AddrPort]*simListener
	conns     []*simConn
	closed    bool
	// cut are VMs that are cut off from all others, without any error.
	cut map[netip.Addr]bool
}

// simVM is the link of a VM and its traffic.
type simVM struct {
	addr netip.Addr
	zone string
	// rate is the link rate in bytes per second.
	rate    float64
	out, in simLink
	// sent counts the bytes sent, crossZone those of them that left the failure domain; maxQueued is
	// the maximum number of bytes queued for the link.
	sent, crossZone, maxQueued int64
	dials                      int64
}

// simLink is one direction of a link, busy until free.
type simLink struct{ free time.Time }

// pass returns when bytes that arrive at the time at have passed the link.
func (l *simLink) pass(at time.Time, bytes int, rate float64) time.Time {
	if l.free.Before(at) {
		l.free = at
	}
	l.free = l.free.Add(time.Duration(float64(bytes) / rate * float64(time.Second)))
	return l.free
}

func newSimNetwork() *simNetwork {
	return &simNetwork{
		vms: make(map[netip.Addr]*simVM), listeners: make(map[netip.AddrPort]*simListener), cut: make(map[netip.Addr]bool),
	}
}

func (s *simNetwork) add(addr netip.Addr, zone string, mbps float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms[addr] = &simVM{addr: addr, zone: zone, rate: mbps * 1e6 / 8}
}

// listen opens a listener.
func (s *simNetwork) listen(addr netip.AddrPort) *simListener {
	l := &simListener{addr: addr, conns: make(chan net.Conn, simBacklog), closed: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners[addr] = l
	return l
}

// dial returns a VM's dial function.
func (s *simNetwork) dial(from netip.Addr) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		s.mu.Lock()
		l, ok := s.listeners[to]
		a, b := s.vms[from], s.vms[to.Addr()]
		a.dials++
		cut := s.cut[from] || s.cut[to.Addr()]
		s.mu.Unlock()
		if cut {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if !ok {
			return nil, errors.New("connection refused")
		}
		latency := simSameZoneLatency
		if a.zone != b.zone {
			latency = simCrossZoneLatency
		}
		time.Sleep(2 * latency)
		there, back := newSimPipe(s, a, b, latency), newSimPipe(s, b, a, latency)
		theirs, ours := &simConn{in: there, out: back}, &simConn{in: back, out: there}
		if !s.register(ours) {
			return nil, errors.New("network is down")
		}
		select {
		case l.conns <- theirs:
			return ours, nil
		case <-l.closed:
			return nil, errors.New("connection refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// register adds a connection and reports whether the network is open.
func (s *simNetwork) register(c *simConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
	return !s.closed
}

// read puts bytes from outside on a VM's link and returns when they have arrived.
func (s *simNetwork) read(to netip.Addr, n int) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	vm := s.vms[to]
	return vm.in.pass(time.Now(), n, vm.rate)
}

// cutOff cuts a VM off.
func (s *simNetwork) cutOff(addr netip.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[addr] = true
}

// restore ends the cut of a VM. Its connections, which lost data, are closed.
func (s *simNetwork) restore(addr netip.Addr) {
	s.mu.Lock()
	wasCut := s.cut[addr]
	delete(s.cut, addr)
	var lost []*simConn
	for _, c := range s.conns {
		if wasCut && (c.out.from.addr == addr || c.out.to.addr == addr) {
			lost = append(lost, c)
		}
	}
	s.mu.Unlock()
	for _, c := range lost {
		c.Close()
	}
}

// close closes all connections and prevents new ones.
func (s *simNetwork) close() {
	s.mu.Lock()
	s.closed = true
	conns := slices.Clone(s.conns)
	s.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// simListener is a listener of a VM.
type simListener struct {
	addr   netip.AddrPort
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

// Accept implements [net.Listener].
func (l *simListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements [net.Listener].
func (l *simListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements [net.Listener].
func (l *simListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

// simPipe is one direction of a connection.
type simPipe struct {
	net      *simNetwork
	from, to *simVM
	latency  time.Duration

	mu     sync.Mutex
	change *sync.Cond
	chunks []simChunk
	closed bool
}

// simChunk is the data of one write and its arrival time.
type simChunk struct {
	data []byte
	at   time.Time
}

func newSimPipe(s *simNetwork, from, to *simVM, latency time.Duration) *simPipe {
	p := &simPipe{net: s, from: from, to: to, latency: latency}
	p.change = sync.NewCond(&p.mu)
	return p
}

// write sends bytes without blocking: a blocked writer would wait on a mutex, and a bubble's time
// does not advance then. Bytes that the link has not passed yet are queued.
func (p *simPipe) write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, io.ErrClosedPipe
	}
	if at, ok := p.send(len(data)); ok {
		p.chunks = append(p.chunks, simChunk{data: slices.Clone(data), at: at})
		p.change.Broadcast()
	}
	return len(data), nil
}

// send puts bytes on the links of both VMs and returns when they arrive, if they do.
func (p *simPipe) send(n int) (at time.Time, ok bool) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	if p.net.cut[p.from.addr] || p.net.cut[p.to.addr] {
		return at, false
	}
	p.from.sent += int64(n)
	if p.from.zone != p.to.zone {
		p.from.crossZone += int64(n)
	}
	left := p.from.out.pass(time.Now(), n, p.from.rate)
	p.from.maxQueued = max(p.from.maxQueued, int64(time.Until(left).Seconds()*p.from.rate))
	return p.to.in.pass(left.Add(p.latency), n, p.to.rate), true
}

func (p *simPipe) read(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.chunks) == 0 {
		if p.closed {
			return 0, io.EOF
		}
		p.change.Wait()
	}
	if wait := time.Until(p.chunks[0].at); wait > 0 {
		p.mu.Unlock()
		time.Sleep(wait)
		p.mu.Lock()
	}
	if len(p.chunks) == 0 {
		return 0, io.EOF
	}
	n := copy(data, p.chunks[0].data)
	p.chunks[0].data = p.chunks[0].data[n:]
	if len(p.chunks[0].data) == 0 {
		p.chunks = p.chunks[1:]
	}
	return n, nil
}

func (p *simPipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.change.Broadcast()
}

// simConn is one end of a connection.
type simConn struct{ in, out *simPipe }

// Read implements [net.Conn].
func (c *simConn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write implements [net.Conn].
func (c *simConn) Write(b []byte) (int, error) { return c.out.write(b) }

// Close implements [net.Conn].
func (c *simConn) Close() error {
	c.in.close()
	c.out.close()
	return nil
}

// LocalAddr implements [net.Conn].
func (c *simConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements [net.Conn].
func (c *simConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline implements [net.Conn].
func (c *simConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements [net.Conn].
func (c *simConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements [net.Conn].
func (c *simConn) SetWriteDeadline(time.Time) error { return nil }

// hashFraction hashes a string to a number from 0 to 1.
func hashFraction(text string) float64 { return float64(xxh3.HashString(text)>>11) / (1 << 53) }
