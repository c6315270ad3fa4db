package transport

import (
	"context"
	"errors"
	"net"
	"net/netip"
)

// DialFunc opens a connection to a target.
type DialFunc func(ctx context.Context, target netip.AddrPort) (net.Conn, error)

// WithDial sets how connections are opened, in place of TCP. The dial timeout ends the function's
// context, and the pool sets its socket options on a connection that is a TCP one.
func WithDial(dial DialFunc) Option {
	return func(p *Pool) {
		p.dialTarget = func(ctx context.Context, target netip.AddrPort) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
			defer cancel()
			nc, err := dial(ctx, target)
			if err != nil {
				return nil, err
			}
			if err := tuneConn(nc); err != nil {
				return nil, errors.Join(err, nc.Close())
			}
			return nc, nil
		}
	}
}

// dialTCP opens a connection over TCP.
func (p *Pool) dialTCP(ctx context.Context, target netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: p.dialTimeout, Control: setSocketOptions, KeepAliveConfig: keepAlive}
	return d.DialContext(ctx, "tcp", target.String())
}

// keepAlive detects machines that stop responding on connections without traffic.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 1}

// tuneConn sets the socket options of a connection if it is a TCP one.
func tuneConn(nc net.Conn) error {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nil
	}
	rc, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return errors.Join(setSocketOptions("", "", rc), tcp.SetKeepAliveConfig(keepAlive))
}
