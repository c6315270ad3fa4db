package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs/v2"
)

// Request is a request to a target.
type Request struct {
	Target netip.AddrPort
	Method string
	// URI is the path with the query, which is sent byte for byte.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether an answer belongs to this request; nil accepts every answer.
	Matches func(http.Header) bool
	// Fresh requests a new connection that no other request uses. If the target has just
	// closed a reused one, a failed write does not show whether any byte was sent.
	Fresh bool
	// Sends holds the connections of earlier sends of this request, which this one does not use, and
	// records its own.
	Sends *Sends
	// Patient leaves the end of the exchange to its context: the kernel does not end it, however long
	// the target's machine responds to nothing.
	Patient bool
}

// Response is a target's answer; Body must be closed.
type Response struct {
	Status int
	Header http.Header
	// Size is the stated length of the body, -1 if there is none.
	Size int64
	// Unframed is set if the body has neither a length nor chunks (RFC 9112, section 6.3). Its end is
	// the end of the connection then, which a target that crashes may close in order as well.
	Unframed bool
	Body     io.ReadCloser
}

// maxForeignAnswers is the number of answers to other requests that are skipped before
// the connection is closed.
const maxForeignAnswers = 3

// Send sends a request once and returns the head of its answer. An error wraps
// [ErrUnsent] if no byte of the request was sent; after any other error the target may have
// run it. Cancelling ctx closes the connection, also while the body is read.
func (p *Pool) Send(ctx context.Context, req Request) (*Response, error) {
	start := p.now()
	c, err := p.connect(ctx, req)
	if err != nil {
		return nil, err
	}
	req.Sends.add(c)
	if elapsed := p.now.Since(start); elapsed > p.dialTimeout {
		// Opening ends within dialTimeout, so this process was suspended meanwhile. The caller's
		// earlier checks may no longer hold, and nothing has been sent yet.
		c.discard()
		return nil, ErrUnsent.Errorf("target %s: this process was suspended for about %s", req.Target, elapsed.Round(time.Millisecond))
	}
	x := &exchange{conn: c, ctx: ctx, fresh: req.Fresh, startedAt: p.now()}
	if req.Patient || len(req.Body) > maxWindowBody {
		if err := c.setSilenceTimeouts(false); err != nil {
			c.discard()
			return nil, ErrUnsent.Errorf("target %s: %w", req.Target, err)
		}
		x.patient = true
	}
	x.stop = context.AfterFunc(ctx, func() {
		// If the deadline cannot be set, the connection is closed already.
		_ = c.SetDeadline(time.Unix(1, 0))
	})
	if err := x.write(req); err != nil {
		x.abort()
		return nil, err
	}
	resp, err := x.readHead(req)
	if err != nil {
		x.abort()
		return nil, x.classifyError(req.Target, err)
	}
	return resp, nil
}

// connect returns the connection on which a request is sent.
func (p *Pool) connect(ctx context.Context, req Request) (*conn, error) {
	if req.Fresh {
		return p.dial(ctx, req.Target)
	}
	return p.get(ctx, req.Target, req.Sends)
}

// exchange is a request and its answer on one connection.
type exchange struct {
	conn *conn
	ctx  context.Context
	stop func() bool
	// startedAt is when the exchange began.
	startedAt time.Time
	// written is set once the whole request was written.
	written atomic.Bool
	// wrote is closed once a long body was written or failed to be, with writeErr; nil for a short one.
	wrote    chan struct{}
	writeErr error
	done     bool
	// patient is set if the connection's silence timeouts are off during the exchange.
	patient bool
	// fresh says that the connection is closed after the exchange.
	fresh bool
}

// write sends the request. A long body is written while the answer is read,
// since a target may answer before it has read the whole body.
func (x *exchange) write(req Request) error {
	head := appendHead(make([]byte, 0, 1024), req)
	if len(req.Body) > inlineBody {
		x.wrote = make(chan struct{})
		go func() {
			defer close(x.wrote)
			// The body is not copied: it may wait for a slow target in each of many attempts.
			parts := net.Buffers{head, req.Body}
			_, x.writeErr = parts.WriteTo(x.conn.Conn)
			x.written.Store(x.writeErr == nil)
		}()
		return nil
	}
	n, err := x.conn.Write(append(head, req.Body...))
	switch {
	case err == nil:
		x.written.Store(true)
		return nil
	case n == 0 && !x.conn.used:
		return ErrUnsent.Wrap(err)
	}
	return errs.Errorf("target %s: %w", req.Target, err)
}

// inlineBody is the maximum size in bytes of a body that is written before the
// answer is read; together with the head it fits into any send buffer.
const inlineBody = 2 << 10

// maxWindowBody is the maximum size in bytes of a body that fits into any target's receive window. A
// target that reads a longer one slowly closes its window, and the kernel would count that towards
// the user timeout although the target responds. Such requests are bounded by their context alone.
const maxWindowBody = 64 << 10

// appendHead renders the request's head.
func appendHead(b []byte, req Request) []byte {
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, req.Host...)
	b = append(b, "\r\n"...)
	for name, values := range req.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(req.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// Bounds of what may come before an answer, in bytes: its head with those of interim and foreign answers,
// and the body of one foreign answer.
const (
	maxHeadBytes   = 64 << 10
	maxForeignBody = 4 << 20
)

// errHeadTooLarge marks a target that sends bytes in place of an answer without end.
var errHeadTooLarge = errs.Tag("the head of the answer is too large")

// readHead reads heads until one belongs to the request.
func (x *exchange) readHead(req Request) (*Response, error) {
	x.conn.headLeft = maxHeadBytes
	for foreign := 0; foreign < maxForeignAnswers; {
		x.conn.readingHead = true
		resp, err := http.ReadResponse(x.conn.r, &http.Request{Method: req.Method})
		x.conn.readingHead = false
		if err == nil {
			err = checkStatus(resp)
		}
		switch {
		case err != nil:
			return nil, err
		case isInterim(resp.StatusCode):
			// The bound on heads also bounds the number of interim answers.
			continue
		case req.Matches == nil || req.Matches(resp.Header):
			b := &body{exchange: x, resp: resp, unframed: unframed(resp) && req.Method != http.MethodHead}
			return &Response{Status: resp.StatusCode, Header: resp.Header, Size: resp.ContentLength, Unframed: b.unframed, Body: b}, nil
		case unframed(resp):
			return nil, errForeignAnswer.Errorf("answer to another request is delimited by the end of the connection")
		}
		if err := discard(resp.Body); err != nil {
			return nil, err
		}
		foreign++
	}
	return nil, errForeignAnswer.Errorf("none of %d answers matches the request", maxForeignAnswers)
}

// errStatus marks an answer whose status is none of HTTP. Its target is at fault, so no part of it
// counts as an answer.
var errStatus = errs.Tag("invalid status")

// checkStatus checks that an answer has a status code of RFC 9110, section 15: three digits from 100 to
// 599. A connection on which the target switches protocols cannot be used, since no request asks for it.
func checkStatus(resp *http.Response) error {
	code, _, _ := strings.Cut(resp.Status, " ")
	if len(code) != 3 || strings.Trim(code, "0123456789") != "" || resp.StatusCode < 100 || resp.StatusCode >= 600 ||
		resp.StatusCode == http.StatusSwitchingProtocols {
		return errStatus.Errorf("%.20q", resp.Status)
	}
	return nil
}

// isInterim reports whether another answer follows one with this status.
func isInterim(status int) bool { return status < http.StatusOK }

// discard reads the body of an answer to another request to its end.
func discard(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxForeignBody+1))
	if err == nil && n > maxForeignBody {
		return errForeignAnswer.Errorf("its body has more than %d bytes", maxForeignBody)
	}
	return err
}

// unframed reports whether the end of the connection is the end of an answer's body, if it has one.
func unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

var errForeignAnswer = errs.Tag("answers to other requests")

// classifyError converts an error on the connection. After a timeout, unlike a cancellation
// by the caller, the target's idle connections may not respond either and are closed.
func (x *exchange) classifyError(target netip.AddrPort, err error) error {
	switch cause := context.Cause(x.ctx); {
	case cause != nil:
		if !errors.Is(cause, context.Canceled) {
			x.conn.pool.CloseIdleSince(target, x.startedAt)
		}
		return errs.Errorf("target %s: %w", target, cause)
	case isTimeout(err):
		x.conn.pool.CloseIdleSince(target, x.startedAt)
		return ErrUnresponsive.Errorf("target %s: %w", target, err)
	}
	return errs.Errorf("target %s: %w", target, err)
}

// abort ends the exchange and closes its connection.
func (x *exchange) abort() {
	if x.done {
		return
	}
	x.done = true
	x.stop()
	if x.patient {
		// What is still on its way then does not keep the closed connection for long.
		_ = x.conn.setSilenceTimeouts(true)
	}
	x.conn.discard()
	if x.wrote != nil {
		<-x.wrote
	}
}

// finish ends an exchange whose answer was read completely and returns the connection
// to the pool if it can be reused safely.
func (x *exchange) finish(resp *http.Response) {
	if x.done {
		return
	}
	if !x.written.Load() || x.fresh || resp.Close || unframed(resp) || !x.stop() {
		x.abort()
		return
	}
	if x.patient && x.conn.setSilenceTimeouts(true) != nil {
		x.abort()
		return
	}
	x.done = true
	x.conn.release(idleTime(resp.Header))
}

// idleTime returns how long a connection may stay idle, according to the Keep-Alive header.
func idleTime(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return defaultIdleTime
}

// errTargetEnded means that the target of an answer without length or chunks ended with its connection.
var errTargetEnded = errs.Tag("the target closed the connection and accepts no other")

// Bounds of the check whether a target ended.
const (
	// endLag is how long the listener of a process that was killed may outlive one of its connections: the
	// kernel closes them one after another. The ends of complete answers wait for it too.
	endLag = 10 * time.Millisecond
	// endChecks is the maximum number of connections that are opened. The reset of one shows that the
	// listener is being closed, or that a target has too many connections; the next one tells which.
	endChecks = 3
)

// resetWhileWriting reports whether the connection was reset while the request was still being written.
// The kernel reports a reset once. If the write gets it, the answer seems to end in order. A write on a
// connection that has ended fails at once.
func (x *exchange) resetWhileWriting() bool {
	if x.wrote == nil || !x.conn.ended() {
		return false
	}
	<-x.wrote
	return errors.Is(x.writeErr, syscall.ECONNRESET)
}

// targetEnded reports whether the target refuses connections. A process that crashes closes its
// connections as in order and its listener with them, sometimes a moment later: a connection that opens
// meanwhile is reset. One that stays open serves the next request.
func (x *exchange) targetEnded() bool {
	for range endChecks {
		c, err := x.conn.pool.dial(x.ctx, x.conn.target)
		switch {
		case err != nil && !errors.Is(err, syscall.ECONNRESET):
			return ConnectionRefused(err)
		case err != nil:
			continue
		case c.staysOpen(endLag):
			c.release(defaultIdleTime)
			return false
		}
		c.discard()
	}
	return false
}

// staysOpen reports whether a new connection is open and has received nothing after d.
func (c *conn) staysOpen(d time.Duration) bool {
	if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
		return false
	}
	_, err := c.r.Peek(1)
	return isTimeout(err) && c.SetReadDeadline(time.Time{}) == nil
}

// body is an answer's body; reading it to its end returns the connection to the pool.
type body struct {
	exchange *exchange
	resp     *http.Response
	// unframed is that of the [Response].
	unframed bool
	// end is the error with which reading ended.
	end error
}

// Read implements [io.Reader].
func (b *body) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.resp.Body.Read(p)
	switch {
	case errors.Is(err, io.EOF) && b.unframed:
		// The connection ends with the answer.
		reset := b.exchange.resetWhileWriting()
		b.exchange.abort()
		switch {
		case reset:
			err = errs.Errorf("target %s: the request was still being written: %w", b.exchange.conn.target, syscall.ECONNRESET)
		case b.exchange.targetEnded():
			err = errTargetEnded.Errorf("target %s: %w", b.exchange.conn.target, io.ErrUnexpectedEOF)
		}
	case errors.Is(err, io.EOF):
		b.exchange.finish(b.resp)
	case err != nil:
		err = b.exchange.classifyError(b.exchange.conn.target, err)
		b.exchange.abort()
	}
	b.end = err
	return n, err
}

// Close implements [io.Closer]. It closes the connection if the answer was not read to its end.
func (b *body) Close() error {
	b.exchange.abort()
	return nil
}

// ReadAll reads a body of at most limit bytes to its end.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	var buf bytes.Buffer
	n, err := io.Copy(&buf, io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if n > limit {
		return nil, errs.Errorf("answer is larger than %d bytes", limit)
	}
	return buf.Bytes(), nil
}
