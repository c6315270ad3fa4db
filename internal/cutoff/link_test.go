package cutoff

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// linkMode is what a link does with a node's connections to targets.
type linkMode int

// Modes of a link.
const (
	linkOpen linkMode = iota
	// linkSilent holds back the bytes of established connections, and new ones hang.
	linkSilent
	// linkReset resets established connections, and new ones hang.
	linkReset
	// linkRefused refuses new connections; established ones work.
	linkRefused
	// linkRefusedReset resets established connections and refuses new ones.
	linkRefusedReset
)

// String implements [fmt.Stringer].
func (m linkMode) String() string {
	return [...]string{"open", "silent", "reset", "refused", "refused and reset"}[m]
}

// targetLink is a node's link to all targets.
type targetLink struct {
	mu sync.Mutex
	// modes lists the targets to which the link is not open.
	modes map[netip.AddrPort]linkMode
	// changed is closed when a mode changes.
	changed chan struct{}
	conns   map[*linkedConn]bool
}

// linkedConn is a connection from a node to a target, in two halves.
type linkedConn struct {
	target            netip.AddrPort
	nodeSide, farSide *net.TCPConn
	closed            chan struct{}
	closeOnce         sync.Once
}

func newTargetLink() *targetLink {
	return &targetLink{modes: make(map[netip.AddrPort]linkMode), changed: make(chan struct{}), conns: make(map[*linkedConn]bool)}
}

// set sets the mode towards some targets.
func (l *targetLink) set(mode linkMode, targets ...netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, target := range targets {
		l.modes[target] = mode
	}
	if mode == linkReset || mode == linkRefusedReset {
		l.resetLocked(targets)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// resetLocked resets the established connections to some targets; the caller holds the lock.
func (l *targetLink) resetLocked(targets []netip.AddrPort) {
	for _, target := range targets {
		for c := range l.conns {
			if c.target == target {
				c.reset()
			}
		}
	}
}

// mode returns the mode towards a target, and a channel that is closed when a mode changes.
func (l *targetLink) mode(target netip.AddrPort) (linkMode, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.modes[target], l.changed
}

// dial opens a connection to a target over the link.
func (l *targetLink) dial(ctx context.Context, target netip.AddrPort) (net.Conn, error) {
	for {
		mode, changed := l.mode(target)
		switch mode {
		case linkRefused, linkRefusedReset:
			return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(target), Err: syscall.ECONNREFUSED}
		case linkSilent, linkReset:
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-changed:
			}
		case linkOpen:
			return l.connect(ctx, target)
		}
	}
}

// connect opens a connection to a target whose bytes the link forwards.
func (l *targetLink) connect(ctx context.Context, target netip.AddrPort) (net.Conn, error) {
	far, err := new(net.Dialer).DialContext(ctx, "tcp4", target.String())
	if err != nil {
		return nil, err
	}
	node, near, err := tcpPair(ctx)
	if err != nil {
		_ = far.Close()
		return nil, err
	}
	c := &linkedConn{target: target, nodeSide: near, farSide: far.(*net.TCPConn), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	// The link may have been cut while the connection was opened.
	if mode := l.modes[target]; mode == linkReset || mode == linkRefusedReset {
		c.reset()
	}
	go l.serve(c)
	return node, nil
}

// tcpPair returns the two ends of a TCP connection on the loopback address.
func tcpPair(ctx context.Context) (dialed net.Conn, accepted *net.TCPConn, err error) {
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer lis.Close()
	dialed, err = new(net.Dialer).DialContext(ctx, "tcp4", lis.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	conn, err := lis.Accept()
	if err != nil {
		_ = dialed.Close()
		return nil, nil, err
	}
	return dialed, conn.(*net.TCPConn), nil
}

// serve forwards both directions of a connection until they have ended.
func (l *targetLink) serve(c *linkedConn) {
	var directions sync.WaitGroup
	directions.Go(func() { l.forward(c, c.farSide, c.nodeSide) })
	directions.Go(func() { l.forward(c, c.nodeSide, c.farSide) })
	directions.Wait()
	c.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// forward forwards the bytes of one direction and then its end. What a silent link holds back
// arrives once the link is open, as after a network partition.
func (l *targetLink) forward(c *linkedConn, to, from *net.TCPConn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !l.awaitSound(c) {
			return
		}
		if _, writeErr := to.Write(buf[:n]); writeErr != nil {
			c.reset()
			return
		}
		switch err {
		case nil:
		case io.EOF:
			// An error means that the other side is already closed.
			_ = to.CloseWrite()
			return
		default:
			c.reset()
			return
		}
	}
}

// awaitSound waits while the link to a connection's target is silent. It returns false if the
// connection is closed meanwhile.
func (l *targetLink) awaitSound(c *linkedConn) bool {
	for {
		mode, changed := l.mode(c.target)
		if mode != linkSilent {
			return true
		}
		select {
		case <-changed:
		case <-c.closed:
			return false
		}
	}
}

// close ends the connections of a link that nobody uses any more.
func (l *targetLink) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.reset()
	}
}

// close closes both halves of the connection.
func (c *linkedConn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		// The halves are not used again, whether closing them succeeds or not.
		_, _ = c.nodeSide.Close(), c.farSide.Close()
	})
}

// reset resets both halves of the connection.
func (c *linkedConn) reset() {
	// SetLinger fails only on a connection that is already closed.
	_, _ = c.nodeSide.SetLinger(0), c.farSide.SetLinger(0)
	c.close()
}

// A link does with established connections and with new ones what its mode says, towards the
// targets that are cut off alone, and carries what it held back once it is open.
func TestTargetLink(t *testing.T) {
	const short = 50 * time.Millisecond
	cases := map[linkMode]struct {
		established error
		dial        error
		// survives is true if an established connection works once the link is open.
		survives bool
	}{
		linkOpen:         {nil, nil, true},
		linkSilent:       {os.ErrDeadlineExceeded, context.DeadlineExceeded, true},
		linkReset:        {syscall.ECONNRESET, context.DeadlineExceeded, false},
		linkRefused:      {nil, syscall.ECONNREFUSED, true},
		linkRefusedReset: {syscall.ECONNRESET, syscall.ECONNREFUSED, false},
	}
	for mode, c := range cases {
		t.Run(mode.String(), func(t *testing.T) {
			link := newTargetLink()
			defer link.close()
			cut, other := startEcho(t), startEcho(t)
			established, err := link.dial(t.Context(), cut)
			require.NoError(t, err)
			require.NoError(t, exchange(established, cutoffWait))

			link.set(mode, cut)
			require.ErrorIs(t, exchange(established, short), c.established)
			ctx, cancel := context.WithTimeout(t.Context(), short)
			defer cancel()
			_, err = link.dial(ctx, cut)
			require.ErrorIs(t, err, c.dial)
			sound, err := link.dial(t.Context(), other)
			require.NoError(t, err)
			require.NoError(t, exchange(sound, cutoffWait))

			link.set(linkOpen, cut)
			fresh, err := link.dial(t.Context(), cut)
			require.NoError(t, err)
			require.NoError(t, exchange(fresh, cutoffWait))
			require.Equal(t, c.survives, exchange(established, cutoffWait) == nil)
		})
	}
}

// startEcho starts a server that returns what it receives.
func startEcho(t *testing.T) netip.AddrPort {
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return lis.Addr().(*net.TCPAddr).AddrPort()
}

// exchange sends a byte to an echo server and waits for one.
func exchange(conn net.Conn, limit time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}
