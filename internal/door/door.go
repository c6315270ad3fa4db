// Package door opens the listening addresses of pathhead's programs.
package door

import (
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"

	"github.com/zeebo/errs/v2"
)

// Door is an open listening address with what serves it.
type Door struct {
	// Serve serves until the door is closed.
	Serve func() error
	Close func()
}

// HTTP opens a door for a server; cfg is nil for plain TCP. What the server has to
// say of callers' connections goes to the log at debug level.
func HTTP(addr netip.AddrPort, s *http.Server, cfg *tls.Config, log *slog.Logger) (Door, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return Door{}, errs.Errorf("door %s: %w", addr, err)
	}
	if cfg != nil {
		l = tls.NewListener(l, cfg)
	}
	s.ErrorLog = slog.NewLogLogger(log.Handler(), slog.LevelDebug)
	serve := func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errs.Errorf("door %s: %w", addr, err)
		}
		return nil
	}
	return Door{Serve: serve, Close: func() { s.Close() }}, nil
}
