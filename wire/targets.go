package wire

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs/v2"
)

// Targets sends callers' requests to targets and tells whether any byte of one left.
type Targets struct {
	shared *http.Transport
	single *http.Transport
}

// dialTimeout bounds the opening of a connection to a target; they are a
// millisecond away, so a second covers a lost packet and its repeat.
const dialTimeout = time.Second

// NewTargets returns a sender that keeps connections open for repeatable requests.
func NewTargets() *Targets {
	shared := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 128,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	single := shared.Clone()
	single.DisableKeepAlives = true
	return &Targets{shared: shared, single: single}
}

// Close ends idle connections.
func (t *Targets) Close() {
	t.shared.CloseIdleConnections()
	t.single.CloseIdleConnections()
}

// ErrUnsent says that no byte of a request left.
var ErrUnsent = errs.Tag("no byte was sent")

// Call is a request to a target.
type Call struct {
	Target netip.AddrPort
	Method string
	// Path is the path with the query, as the caller sent it.
	Path   string
	Header http.Header
	Body   []byte
	// Once is true for a call that may run at most once.
	Once bool
}

// Send sends a call. An error wraps ErrUnsent if no byte of the request left;
// after any other the target may have run it.
//
// Having got a connection counts as having sent, since the transport writes in
// a goroutine of its own that may still write after it gave up.
//
// A call that runs at most once gets a connection of its own, because
// [http.Transport] repeats some requests by itself on a reused connection.
func (t *Targets) Send(ctx context.Context, c Call) (*http.Response, error) {
	var got atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { got.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Target.String()+c.Path, onceReader(c.Body))
	if err != nil {
		return nil, ErrUnsent.Wrap(err)
	}
	req.ContentLength = int64(len(c.Body))
	req.Header = c.Header
	transport := t.shared
	if c.Once {
		transport = t.single
	}
	resp, err := transport.RoundTrip(req)
	if err == nil {
		return resp, nil
	}
	if !got.Load() {
		return nil, ErrUnsent.Wrap(err)
	}
	return nil, errs.Errorf("target %s: %w", c.Target, err)
}

// onceReader hides the body's type, so that the transport can't read it twice.
func onceReader(body []byte) io.Reader {
	if len(body) == 0 {
		return http.NoBody
	}
	return struct{ io.Reader }{bytes.NewReader(body)}
}
