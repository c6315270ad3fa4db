// Package door opens the listeners of pathhead's programs and writes HTTP answers.
package door

import (
	"crypto/tls"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/zeebo/errs/v2"
)

// Listener is an open listening address and the functions that serve and close it.
type Listener struct {
	// Serve serves until Close is called.
	Serve func() error
	Close func()
}

// OpenAll opens listeners. If one fails, it closes those already open.
func OpenAll(openers ...func() (Listener, error)) ([]Listener, error) {
	var listeners []Listener
	for _, open := range openers {
		d, err := open()
		if err != nil {
			CloseAll(listeners)
			return nil, err
		}
		listeners = append(listeners, d)
	}
	return listeners, nil
}

// CloseAll closes listeners.
func CloseAll(listeners []Listener) {
	for _, d := range listeners {
		d.Close()
	}
}

// Option wraps the listener of an address.
type Option func(net.Listener) net.Listener

// WithConnWrapper sets a function that receives each accepted connection and returns the
// one to serve in its place.
func WithConnWrapper(wrap func(net.Conn) net.Conn) Option {
	return func(l net.Listener) net.Listener { return wrappingListener{l, wrap} }
}

type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept implements [net.Listener].
func (l wrappingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(c), nil
}

// Intervals at which a listener that cannot accept a connection tries again.
const (
	minAcceptInterval = 5 * time.Millisecond
	maxAcceptInterval = 200 * time.Millisecond
)

// retryingListener is a listener whose Accept fails only once it is closed. Other errors, as for want of
// descriptors, concern the connection or pass, and must not end a process that serves others.
type retryingListener struct {
	net.Listener
	log *slog.Logger
}

// Accept implements [net.Listener].
func (l retryingListener) Accept() (net.Conn, error) {
	for interval := minAcceptInterval; ; interval = min(2*interval, maxAcceptInterval) {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		l.log.Warn("cannot accept a connection; trying again", "listener", l.Addr().String(), "after", interval.String(), "error", err.Error())
		time.Sleep(interval)
	}
}

// Listen listens on a TCP address, with TLS if cfg is not nil. Errors of accepting connections are logged.
func Listen(addr netip.AddrPort, cfg *tls.Config, log *slog.Logger, opts ...Option) (net.Listener, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, errs.Errorf("listener %s: %w", addr, err)
	}
	l = retryingListener{l, log}
	for _, opt := range opts {
		l = opt(l)
	}
	if cfg != nil {
		l = tls.NewListener(l, cfg)
	}
	return l, nil
}

// HTTP opens a listener for an HTTP server, with TLS if cfg is not nil. The server's
// errors on callers' connections are logged at debug level.
func HTTP(addr netip.AddrPort, s *http.Server, cfg *tls.Config, log *slog.Logger, opts ...Option) (Listener, error) {
	l, err := Listen(addr, cfg, log, opts...)
	if err != nil {
		return Listener{}, err
	}
	s.ErrorLog = slog.NewLogLogger(log.Handler(), slog.LevelDebug)
	serve := func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errs.Errorf("listener %s: %w", addr, err)
		}
		return nil
	}
	return Listener{Serve: serve, Close: func() { s.Close() }}, nil
}

// WriteJSON answers with a value as JSON and with its length, so that callers detect a
// truncated answer. It panics if the value can't be encoded, which is a bug.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic("door: can't encode an answer: " + err.Error())
	}
	// An error means that the caller has disconnected, so there is nobody to report it to.
	_ = WriteBody(w, status, "application/json", data)
}

// WriteBody answers with a complete body and its length, so that callers detect a
// truncated one.
func WriteBody(w http.ResponseWriter, status int, contentType string, data []byte) error {
	h := w.Header()
	h.Set("Content-Type", contentType)
	h.Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, err := w.Write(data)
	return err
}
