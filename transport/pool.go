package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/internal/clock"
)

// The bounds of a connection.
const (
	// defaultDialTimeout bounds the opening of a connection: targets are a few
	// milliseconds away, and a lost opening packet is repeated only after a second.
	defaultDialTimeout = 600 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged. Machines that
	// went dark are noticed by it; a lost packet is repeated after some 200 ms.
	userTimeout = 900 * time.Millisecond
	// keepAliveInterval is the pause between probes of a connection on which nothing moves.
	keepAliveInterval = time.Second
	// defaultIdleTime is how long an unused connection is kept where the target names no time.
	defaultIdleTime = 15 * time.Second
	// idleMargin is how long before the time that a target names its connection is given up.
	idleMargin = 500 * time.Millisecond
	// readBuffer is the size of a connection's read buffer, in bytes; answers are mostly smaller.
	readBuffer = 2 << 10
)

// The ways in which an attempt can fail before its answer.
var (
	// ErrUnsent says that no byte of a request left.
	ErrUnsent = errs.Tag("no byte was sent")
	// ErrUnresponsive says that the target's machine gave no sign of life.
	ErrUnresponsive = errs.Tag("the target's machine is silent")
)

// ConnectionRefused reports whether an error says that no process listens at the target's address.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// ClosedByTarget reports whether an error says that the target ended the connection, for
// which it may have ended itself.
func ClosedByTarget(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Pool keeps connections to targets.
type Pool struct {
	dialTimeout time.Duration
	maxConns    func(netip.AddrPort) int
	opened      func()
	now         clock.Clock

	mu     sync.Mutex
	idle   map[netip.AddrPort][]*conn
	open   map[netip.AddrPort]int
	closed bool
}

// Option changes a [Pool] at its construction.
type Option func(*Pool)

// WithDialTimeout sets how long the opening of a connection may take.
func WithDialTimeout(d time.Duration) Option {
	return func(p *Pool) { p.dialTimeout = d }
}

// WithMaxConns sets the bound of open connections to a target; zero means none.
func WithMaxConns(f func(netip.AddrPort) int) Option {
	return func(p *Pool) { p.maxConns = f }
}

// WithOpened sets a function that is called for each connection opened.
func WithOpened(f func()) Option {
	return func(p *Pool) { p.opened = f }
}

// WithClock sets the clock by which connections are kept and a process that stood still is noticed.
func WithClock(c clock.Clock) Option {
	return func(p *Pool) { p.now = c }
}

// NewPool returns a pool without connections.
func NewPool(opts ...Option) *Pool {
	p := &Pool{
		dialTimeout: defaultDialTimeout,
		maxConns:    func(netip.AddrPort) int { return 0 },
		opened:      func() {},
		now:         clock.Steady,
		idle:        make(map[netip.AddrPort][]*conn),
		open:        make(map[netip.AddrPort]int),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// conn is a connection to a target; one request uses it at a time.
type conn struct {
	net.Conn
	pool   *Pool
	target netip.AddrPort
	r      *bufio.Reader
	// until is when an idle connection is given up.
	expiresAt time.Time
	// releasedAt is when it was put back last.
	releasedAt time.Time
	used       bool
}

// get returns a kept connection that is still good, or a new one.
func (p *Pool) get(ctx context.Context, target netip.AddrPort) (*conn, error) {
	for {
		c := p.takeIdle(target)
		if c == nil {
			return p.dial(ctx, target)
		}
		if c.noPendingInput() {
			return c, nil
		}
		c.discard()
	}
}

func (p *Pool) takeIdle(target netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[target]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[target] = list
		if p.now().Before(c.expiresAt) {
			return c
		}
		p.closeLocked(c)
	}
	return nil
}

// closeLocked closes a connection that is in no list; the caller holds the lock.
func (p *Pool) closeLocked(c *conn) {
	if p.open[c.target]--; p.open[c.target] <= 0 {
		delete(p.open, c.target)
	}
	// The connection is of no more use whether closing it succeeds or not.
	_ = c.Conn.Close()
}

func (p *Pool) dial(ctx context.Context, target netip.AddrPort) (*conn, error) {
	p.mu.Lock()
	if most := p.maxConns(target); most > 0 && p.open[target] >= most {
		p.mu.Unlock()
		return nil, ErrUnsent.Errorf("target %s: all %d connections are in use", target, most)
	}
	p.open[target]++
	p.mu.Unlock()
	d := net.Dialer{
		Timeout:         p.dialTimeout,
		Control:         setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 1},
	}
	nc, err := d.DialContext(ctx, "tcp", target.String())
	if err != nil {
		p.mu.Lock()
		p.open[target]--
		p.mu.Unlock()
		if isTimeout(err) && ctx.Err() == nil {
			return nil, ErrUnsent.Wrap(ErrUnresponsive.Errorf("target %s: %w", target, err))
		}
		return nil, ErrUnsent.Errorf("target %s: %w", target, err)
	}
	p.opened()
	return &conn{Conn: nc, pool: p, target: target, r: bufio.NewReaderSize(nc, readBuffer)}, nil
}

// tcpUserTimeout is the number of the TCP_USER_TIMEOUT option (linux/tcp.h), which package syscall lacks.
const tcpUserTimeout = 18

func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var err error
	ctlErr := rc.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.Join(ctlErr, err)
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT) ||
		errors.As(err, &ne) && ne.Timeout()
}

// noPendingInput reports whether nothing has come on an idle connection: neither its end
// nor bytes that belong to no request.
func (c *conn) noPendingInput() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// discard closes the connection for good.
func (c *conn) discard() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.closeLocked(c)
}

// release puts the connection back for the next request, for at most d.
func (c *conn) release(d time.Duration) {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || d <= 0 || c.r.Buffered() > 0 {
		p.closeLocked(c)
		return
	}
	c.used = true
	c.releasedAt = p.now()
	c.expiresAt = c.releasedAt.Add(d)
	p.idle[c.target] = append(p.idle[c.target], c)
}

// CheckReachable opens a connection to a target and keeps it for the next request. It
// returns an error if the target's machine does not answer or takes none.
func (p *Pool) CheckReachable(ctx context.Context, target netip.AddrPort) error {
	c, err := p.dial(ctx, target)
	if err != nil {
		return err
	}
	c.release(defaultIdleTime)
	return nil
}

// closeIdleSince closes the idle connections to a target on which nothing came since a
// time. One that was in use since then has gone silent, and the others may have.
func (p *Pool) closeIdleSince(target netip.AddrPort, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[target][:0]
	for _, c := range p.idle[target] {
		if c.releasedAt.After(since) {
			kept = append(kept, c)
			continue
		}
		p.closeLocked(c)
	}
	if p.idle[target] = kept; len(kept) == 0 {
		delete(p.idle, target)
	}
}

// Sweep closes idle connections whose time is over and those to targets that are not wanted any more.
func (p *Pool) Sweep(wanted func(netip.AddrPort) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for target, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expiresAt) && wanted(target) {
				kept = append(kept, c)
				continue
			}
			p.closeLocked(c)
		}
		if p.idle[target] = kept; len(kept) == 0 {
			delete(p.idle, target)
		}
	}
}

// Close ends the idle connections; those in use end with their requests.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Sweep(func(netip.AddrPort) bool { return false })
}
