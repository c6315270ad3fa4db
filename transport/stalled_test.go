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

// stallProxy stands before a target. Once it is muted, the connections that are
// open stay open and pass nothing on any more, while new ones work.
type stallProxy struct {
	addr   netip.AddrPort
	opened atomic.Int64

	mu      sync.Mutex
	stalled chan struct{}
	// passing counts the connections that may still pass something on.
	forwarding sync.WaitGroup
}

// stall silences the connections that are open; once it returns they pass nothing on.
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
	// It runs before the cleanup of accept, which waits for all connections.
	t.Cleanup(m.stall)
	return m
}

// accept has a function serve each connection to a new address until the test ends.
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

// forward connects a connection with the target until it is muted; then it is only held open.
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

// serveAll answers every connection, one request after the other.
func serveAll(t *testing.T) netip.AddrPort {
	return accept(t, func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for read(r) != "" {
			_, _ = io.WriteString(c, answer("a", "ok"))
		}
	})
}

var errNoAnswerInTime = errors.New("nothing came in time")

// sendWithin sends a request that is given up after a time without an answer.
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

// TestStalledIdleConnsClosed checks that of several kept connections that have all gone silent
// only one costs a request: what was kept before that one was used is not used again.
func TestStalledIdleConnsClosed(t *testing.T) {
	proxy := startStallProxy(t, serveAll(t))
	p := NewPool()
	defer p.Close()
	const kept = 4
	var resps []*Response
	for range kept {
		resp, err := p.Send(t.Context(), request(proxy.addr, "a", "body"))
		require.NoError(t, err)
		resps = append(resps, resp)
	}
	for _, resp := range resps {
		_, err := ReadAll(resp.Body, 1<<10)
		require.NoError(t, err)
	}
	require.EqualValues(t, kept, proxy.opened.Load())
	proxy.stall()
	require.ErrorIs(t, sendWithin(t, p, proxy.addr, 50*time.Millisecond), errNoAnswerInTime)
	require.NoError(t, sendWithin(t, p, proxy.addr, 10*time.Second))
	require.EqualValues(t, kept+1, proxy.opened.Load())
}

// TestCancelKeepsIdleConns checks that a caller who leaves says nothing of the target's connections.
func TestCancelKeepsIdleConns(t *testing.T) {
	proxy := startStallProxy(t, serveAll(t))
	p := NewPool()
	defer p.Close()
	require.NoError(t, sendWithin(t, p, proxy.addr, 10*time.Second))
	held, err := p.get(t.Context(), proxy.addr)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = p.Send(ctx, request(proxy.addr, "a", "body"))
	require.Error(t, err)
	held.release(time.Minute)
	require.NoError(t, sendWithin(t, p, proxy.addr, 10*time.Second))
	require.EqualValues(t, 1, proxy.opened.Load())
}

// TestCheckReachable checks that a target is found to be reached by a connection that is
// kept for the next request.
func TestCheckReachable(t *testing.T) {
	target := serveAll(t)
	p := NewPool()
	defer p.Close()
	require.NoError(t, p.CheckReachable(t.Context(), target))
	require.Len(t, p.idle[target], 1)
	require.Error(t, p.CheckReachable(t.Context(), netip.MustParseAddrPort("127.0.0.1:1")))
}
