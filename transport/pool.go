package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/internal/clock"
)

// Timeouts and sizes of a connection.
const (
	// defaultDialTimeout bounds the opening of a connection. Targets are a few
	// milliseconds away, and the kernel resends a lost SYN only after a second.
	defaultDialTimeout = 600 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged, which detects machines
	// that stopped responding. A lost packet is resent after about 200 ms.
	userTimeout = 900 * time.Millisecond
	// keepAliveInterval is the time between keep-alive probes of a connection without traffic. With a
	// user timeout, a connection that has received nothing for twice this time ends.
	keepAliveInterval = time.Second
	// defaultIdleTime is how long an idle connection is kept if the target states no timeout.
	defaultIdleTime = 15 * time.Second
	// idleMargin is how long before the idle timeout that a target states its connection is closed.
	idleMargin = 500 * time.Millisecond
	// receiveBuffer is the size of the kernel's receive buffer of a connection in bytes, which the
	// kernel doubles for its own overhead. It bounds what waits there for a caller that reads
	// slowly. At a round trip of 1 ms it permits 32 MB/s.
	receiveBuffer = 32 << 10
	// readBuffer is the size of a connection's read buffer, in bytes; answers are mostly smaller.
	readBuffer = 2 << 10
)

// The classes of errors before an answer.
var (
	// ErrUnsent marks errors after which no byte of the request was sent.
	ErrUnsent = errs.Tag("no byte was sent")
	// ErrUnresponsive marks errors of a target whose machine did not respond at all.
	ErrUnresponsive = errs.Tag("the target's machine does not respond")
)

// ConnectionRefused reports whether an error means that no process listens at the target's address.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// ClosedByTarget reports whether an error means that the target closed the connection,
// possibly because its process ended.
func ClosedByTarget(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// NoResponse reports whether an error of opening a connection means that the target's machine did not
// respond in time.
func NoResponse(err error) bool {
	return errors.Is(err, ErrUnresponsive) || errors.Is(err, context.DeadlineExceeded) || isTimeout(err)
}

// Pool holds the connections to targets.
type Pool struct {
	dialTimeout time.Duration
	maxConns    func(netip.AddrPort) int
	opened      func()
	now         clock.Clock
	dialTarget  DialFunc

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
	open map[netip.AddrPort]int
	// dialed is the number of connections that were opened or tried so far.
	dialed uint64
	closed bool
}

// Option changes a [Pool] at its construction.
type Option func(*Pool)

// WithDialTimeout sets how long the opening of a connection may take.
func WithDialTimeout(d time.Duration) Option {
	return func(p *Pool) { p.dialTimeout = d }
}

// WithMaxConns sets the maximum number of open connections to a target; zero means no limit.
func WithMaxConns(f func(netip.AddrPort) int) Option {
	return func(p *Pool) { p.maxConns = f }
}

// WithOpened sets a function that is called for each connection opened.
func WithOpened(f func()) Option {
	return func(p *Pool) { p.opened = f }
}

// WithClock sets the clock by which idle connections expire and a suspension of this process is detected.
func WithClock(c clock.Clock) Option {
	return func(p *Pool) { p.now = c }
}

// NewPool returns a pool without connections.
func NewPool(opts ...Option) *Pool {
	p := &Pool{
		dialTimeout: defaultDialTimeout,
		maxConns:    func(netip.AddrPort) int { return 0 },
		opened:      func() {},
		now:         clock.Monotonic,
		idle:        make(map[netip.AddrPort][]*conn),
		open:        make(map[netip.AddrPort]int),
	}
	p.dialTarget = p.dialTCP
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
	// serial is unique among the pool's connections.
	serial uint64
	r      *bufio.Reader
	// readingHead is set while the heads of answers are read, of which headLeft bytes may still come.
	readingHead bool
	headLeft    int
	// expiresAt is when an idle connection is closed.
	expiresAt time.Time
	// releasedAt is when the connection last became idle.
	releasedAt time.Time
	used       bool
}

// get returns an idle connection that is still usable and that earlier does not contain, or a new one.
func (p *Pool) get(ctx context.Context, target netip.AddrPort, earlier *Sends) (*conn, error) {
	for {
		c := p.takeIdle(target, earlier)
		if c == nil {
			p.makeRoom(target)
			return p.dial(ctx, target)
		}
		if c.noPendingInput() {
			return c, nil
		}
		c.discard()
	}
}

// takeIdle removes the connection that was released last from those that earlier does not contain.
func (p *Pool) takeIdle(target netip.AddrPort, earlier *Sends) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[target]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		expired := !p.now().Before(c.expiresAt)
		if !expired && earlier.contains(c) {
			continue
		}
		list = slices.Delete(list, i, i+1)
		p.idle[target] = list
		if !expired {
			return c
		}
		p.closeLocked(c)
	}
	return nil
}

// makeRoom closes the connection to a target that has been idle for longest if no other may be opened.
func (p *Pool) makeRoom(target netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit, list := p.maxConns(target), p.idle[target]
	if limit <= 0 || p.open[target] < limit || len(list) == 0 {
		return
	}
	p.idle[target] = list[1:]
	p.closeLocked(list[0])
}

// closeLocked closes a connection that is not in the idle list; the caller holds the lock.
func (p *Pool) closeLocked(c *conn) {
	if p.open[c.target]--; p.open[c.target] <= 0 {
		delete(p.open, c.target)
	}
	// The connection is not used again, whether closing it succeeds or not.
	_ = c.Conn.Close()
}

func (p *Pool) dial(ctx context.Context, target netip.AddrPort) (*conn, error) {
	p.mu.Lock()
	if limit := p.maxConns(target); limit > 0 && p.open[target] >= limit {
		p.mu.Unlock()
		return nil, ErrUnsent.Errorf("target %s: all %d connections are in use", target, limit)
	}
	p.open[target]++
	p.dialed++
	serial := p.dialed
	p.mu.Unlock()
	nc, err := p.dialTarget(ctx, target)
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
	c := &conn{Conn: nc, pool: p, target: target, serial: serial}
	c.r = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

// Read implements [io.Reader] and bounds the heads of an answer.
func (c *conn) Read(p []byte) (int, error) {
	if !c.readingHead {
		return c.Conn.Read(p)
	}
	if c.headLeft <= 0 {
		return 0, errHeadTooLarge.Errorf("more than %d bytes", maxHeadBytes)
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headLeft)])
	c.headLeft -= n
	return n, err
}

// tcpUserTimeout is the number of the TCP_USER_TIMEOUT option (linux/tcp.h), which package syscall lacks.
const tcpUserTimeout = 18

func setSocketOptions(_, _ string, rc syscall.RawConn) error {
	var err error
	ctlErr := rc.Control(func(fd uintptr) {
		err = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds())),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
		)
	})
	return errors.Join(ctlErr, err)
}

// tcpClose is the state of a connection that was reset or closed by both ends (include/net/tcp_states.h);
// after the other end has closed its side in order, the state is another one.
const tcpClose = 7

// ended reports whether nothing can be read or written on the connection any more.
func (c *conn) ended() bool {
	state := 0
	err := c.controlSocket(func(fd int) (err error) {
		// The state is the first byte of the answer.
		state, err = syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
		return err
	})
	return err == nil && byte(state) == tcpClose
}

// setSilenceTimeouts turns on or off that the kernel ends the connection when the target's machine
// acknowledges nothing.
func (c *conn) setSilenceTimeouts(on bool) error {
	timeout, keepAlive := 0, 0
	if on {
		timeout, keepAlive = int(userTimeout.Milliseconds()), 1
	}
	return c.controlSocket(func(fd int) error {
		return errors.Join(
			syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, tcpUserTimeout, timeout),
			syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, keepAlive),
		)
	})
}

// controlSocket calls f with the connection's socket, if it has one.
func (c *conn) controlSocket(f func(fd int) error) error {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	ctlErr := rc.Control(func(fd uintptr) { err = f(int(fd)) })
	return errors.Join(ctlErr, err)
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT) ||
		errors.As(err, &ne) && ne.Timeout()
}

// noPendingInput reports whether an idle connection is open and has received nothing that
// belongs to no request.
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

// discard closes the connection instead of returning it to the pool.
func (c *conn) discard() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.closeLocked(c)
}

// release returns the connection to the pool, for at most d until the next request.
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

// CheckReachable opens a connection to a target and keeps it idle for the next request. It
// returns an error if the target's machine does not respond or refuses the connection.
func (p *Pool) CheckReachable(ctx context.Context, target netip.AddrPort) error {
	c, err := p.dial(ctx, target)
	if err != nil {
		return err
	}
	c.release(defaultIdleTime)
	return nil
}

// CloseIdleSince closes the connections to a target that have been idle since the given time
// or longer. A connection used since then does not respond, so these may not respond either.
func (p *Pool) CloseIdleSince(target netip.AddrPort, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	remaining := p.idle[target][:0]
	for _, c := range p.idle[target] {
		if c.releasedAt.After(since) {
			remaining = append(remaining, c)
			continue
		}
		p.closeLocked(c)
	}
	if p.idle[target] = remaining; len(remaining) == 0 {
		delete(p.idle, target)
	}
}

// Sweep closes expired idle connections and those to targets that are no longer wanted.
func (p *Pool) Sweep(wanted func(netip.AddrPort) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for target, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			if now.Before(c.expiresAt) && wanted(target) {
				remaining = append(remaining, c)
				continue
			}
			p.closeLocked(c)
		}
		if p.idle[target] = remaining; len(remaining) == 0 {
			delete(p.idle, target)
		}
	}
}

// Close closes the idle connections; those in use are closed when their requests end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Sweep(func(netip.AddrPort) bool { return false })
}
