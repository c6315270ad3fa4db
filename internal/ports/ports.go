// Package ports assigns loopback addresses to the programs and nodes that tests start.
package ports

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
)

// The range of ports. It lies below the one from which the kernel assigns ports to outgoing connections
// (32768 on, ip(7)): a port of that range that was free a moment ago may belong to a connection when a
// program listens on it. It has no port of the range of load.FreePorts.
const (
	first  = 20000
	blocks = 120
	// blockSize is the number of ports in a block, the first of which is its guard's.
	blockSize = 100
	// maxBlocks is the maximum number of blocks of a process, so that several find some.
	maxBlocks = 30
)

// Pool assigns ports of blocks that it has claimed. The zero value is ready to use.
//
// Between the choice of a port and the time at which a program listens on it anybody else may take the
// port, if only to find out whether it is free. A pool therefore listens on the first port of a block for
// as long as its process runs, and assigns ports of blocks whose guard it is.
type Pool struct {
	mu     sync.Mutex
	guards []net.Listener
	// free has the ports of the claimed blocks that were not assigned, released those whose tests have
	// ended.
	free, released []int
}

// process is the pool of this process.
var process Pool

// Free returns a loopback address that no other test is assigned until this one has ended.
func Free(t testing.TB) netip.AddrPort {
	t.Helper()
	return process.Free(t)
}

// Free returns a loopback address that no pool of this machine assigns until the test has ended. A program
// that listens on it has to be stopped by a cleanup that is registered after the call.
func (p *Pool) Free(t testing.TB) netip.AddrPort {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if len(p.free) == 0 && (len(p.guards) == maxBlocks || !p.claim()) {
			p.free, p.released = p.released, nil
		}
		if len(p.free) == 0 {
			t.Fatal("no port is free")
		}
		port := p.free[0]
		p.free = p.free[1:]
		t.Cleanup(func() { p.release(port) })
		// A program that does not take its port from a pool may use it.
		if l, err := listen(port); err == nil && l.Close() == nil {
			return loopback(port)
		}
	}
}

func (p *Pool) release(port int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released = append(p.released, port)
}

// claim claims a block that nobody has. It reports false if there is none.
func (p *Pool) claim() bool {
	offset := rand.IntN(blocks)
	for i := range blocks {
		guard := first + (offset+i)%blocks*blockSize
		l, err := listen(guard)
		if err != nil {
			continue
		}
		p.guards = append(p.guards, l)
		for port := guard + 1; port < guard+blockSize; port++ {
			p.free = append(p.free, port)
		}
		return true
	}
	return false
}

func listen(port int) (net.Listener, error) { return net.Listen("tcp4", loopback(port).String()) }

func loopback(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
}
