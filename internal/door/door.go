// Package door opens the listening addresses of pathhead's programs.
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

	"github.com/zeebo/errs/v2"
)

// Listener is an open listening address with what serves it.
type Listener struct {
	// Serve serves until the door is closed.
	Serve func() error
	Close func()
}

// OpenAll opens doors, all of them or none.
func OpenAll(openers ...func() (Listener, error)) ([]Listener, error) {
	var doors []Listener
	for _, open := range openers {
		d, err := open()
		if err != nil {
			CloseAll(doors)
			return nil, err
		}
		doors = append(doors, d)
	}
	return doors, nil
}

// CloseAll closes doors.
func CloseAll(doors []Listener) {
	for _, d := range doors {
		d.Close()
	}
}

// Option changes a door.
type Option func(net.Listener) net.Listener

// WithConnWrapper sets a function that gets each connection before it is served, and
// returns the one to serve in its place.
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

// Listen listens on an address; cfg is nil for plain TCP.
func Listen(addr netip.AddrPort, cfg *tls.Config, opts ...Option) (net.Listener, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, errs.Errorf("door %s: %w", addr, err)
	}
	for _, opt := range opts {
		l = opt(l)
	}
	if cfg != nil {
		l = tls.NewListener(l, cfg)
	}
	return l, nil
}

// HTTP opens a door for a server; cfg is nil for plain TCP. What the server has to
// say of callers' connections goes to the log at debug level.
func HTTP(addr netip.AddrPort, s *http.Server, cfg *tls.Config, log *slog.Logger, opts ...Option) (Listener, error) {
	l, err := Listen(addr, cfg, opts...)
	if err != nil {
		return Listener{}, err
	}
	s.ErrorLog = slog.NewLogLogger(log.Handler(), slog.LevelDebug)
	serve := func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errs.Errorf("door %s: %w", addr, err)
		}
		return nil
	}
	return Listener{Serve: serve, Close: func() { s.Close() }}, nil
}

// WriteJSON answers with a value as JSON and its length, so that a cut answer is
// seen. A value that does not encode is a fault of the program.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic("door: an answer does not encode: " + err.Error())
	}
	// An error says that the caller is gone, and nobody is left to tell.
	_ = WriteBody(w, status, "application/json", data)
}

// WriteBody answers with a whole body and its length, so that a cut one is seen.
func WriteBody(w http.ResponseWriter, status int, contentType string, data []byte) error {
	h := w.Header()
	h.Set("Content-Type", contentType)
	h.Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, err := w.Write(data)
	return err
}
