package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stallProxy is a proxy for a target. A stall leaves the open connections open but forwards
// nothing on them any more, while new connections work.
type stallProxy struct {
	addr   netip.AddrPort
	opened atomic.Int64

	mu      sync.Mutex
	stalled chan struct{}
	// forwarding counts the connections that may still forward data.
	forwarding sync.WaitGroup
}

// stall stalls the open connections; once it returns they forward nothing.
func (m *stallProxy) stall() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.stalled)
	m.forwarding.Wait()
	m.stalled = make(chan struct{})
}

func startStallProxy(t *testing.T, target netip.AddrPort) *stallProxy {
	m := &stallProxy{stalled: make(chan struct{})}
	m.addr = accept(t, func(c net.Conn) {
		m.opened.Add(1)
		m.mu.Lock()
		muted := m.stalled
		m.forwarding.Add(1)
		m.mu.Unlock()
		m.forward(c, target, muted)
	})
	// This runs before the cleanup of accept, which waits for all connections.
	t.Cleanup(m.stall)
	return m
}

// accept listens on a new address and serves each connection with a function until the test ends.
func accept(t *testing.T, serve func(net.Conn)) netip.AddrPort {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	var running sync.WaitGroup
	running.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			running.Go(func() { serve(c) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		running.Wait()
	})
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// forward copies data between a connection and the target until the stall; then it only holds
// the connection open.
func (m *stallProxy) forward(c net.Conn, target netip.AddrPort, muted chan struct{}) {
	defer c.Close()
	up, err := net.Dial("tcp4", target.String())
	if err != nil {
		m.forwarding.Done()
		return
	}
	defer up.Close()
	var copies sync.WaitGroup
	for _, pair := range [][2]net.Conn{{c, up}, {up, c}} {
		copies.Go(func() { _, _ = io.Copy(pair[0], pair[1]) })
	}
	<-muted
	past := time.Unix(1, 0)
	for _, end := range []net.Conn{c, up} {
		_ = end.SetDeadline(past)
	}
	copies.Wait()
	m.forwarding.Done()
	_ = c.SetDeadline(time.Time{})
	_, _ = io.Copy(io.Discard, c)
}

// serveAll answers the requests on every connection.
func serveAll(t *testing.T) netip.AddrPort {
	return accept(t, func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for read(r) != "" {
			_, _ = io.WriteString(c, answer("a", "ok"))
		}
	})
}

var errNoAnswerInTime = errors.New("no answer in time")

// sendWithin sends a request that is cancelled if it has no answer after a time.
func sendWithin(t *testing.T, p *Pool, target netip.AddrPort, d time.Duration) error {
	ctx, cancel := context.WithCancelCause(t.Context())
	timer := time.AfterFunc(d, func() { cancel(errNoAnswerInTime) })
	defer timer.Stop()
	defer cancel(nil)
	resp, err := p.Send(ctx, request(target, "a", "body"))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = ReadAll(resp.Body, 1<<10)
	return err
}

// TestStalledIdleConnsClosed checks that if several idle connections stall, only one request fails:
// after its timeout all connections that became idle before it are closed.
func TestStalledIdleConnsClosed(t *testing.T) {
	proxy := startStallProxy(t, serveAll(t))
	p := NewPool()
	defer p.Close()
	const conns = 4
	var resps []*Response
	for range conns {
		resp, err := p.Send(t.Context(), request(proxy.addr, "a", "body"))
		require.NoError(t, err)
		resps = append(resps, resp)
	}
	for _, resp := range resps {
		_, err := ReadAll(resp.Body, 1<<10)
		require.NoError(t, err)
	}
	require.EqualValues(t, conns, proxy.opened.Load())
	proxy.stall()
	require.ErrorIs(t, sendWithin(t, p, proxy.addr, 50*time.Millisecond), errNoAnswerInTime)
	require.NoError(t, sendWithin(t, p, proxy.addr, 10*time.Second))
	require.EqualValues(t, conns+1, proxy.opened.Load())
}

// TestCancelKeepsIdleConns checks that a cancellation by the caller does not close the target's
// idle connections.
func TestCancelKeepsIdleConns(t *testing.T) {
	proxy := startStallProxy(t, serveAll(t))
	p := NewPool()
	defer p.Close()
	require.NoError(t, sendWithin(t, p, proxy.addr, 10*time.Second))
	held, err := p.get(t.Context(), proxy.addr, nil)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = p.Send(ctx, request(proxy.addr, "a", "body"))
	require.Error(t, err)
	held.release(time.Minute)
	require.NoError(t, sendWithin(t, p, proxy.addr, 10*time.Second))
	require.EqualValues(t, 1, proxy.opened.Load())
}

// TestCheckReachable checks that the connection of a successful check is kept for the next request,
// and that a check of an address without a listener fails.
func TestCheckReachable(t *testing.T) {
	target := serveAll(t)
	p := NewPool()
	defer p.Close()
	require.NoError(t, p.CheckReachable(t.Context(), target))
	require.Len(t, p.idle[target], 1)
	require.Error(t, p.CheckReachable(t.Context(), netip.MustParseAddrPort("127.0.0.1:1")))
}
