package door

import (
	"log/slog"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// failingListener fails to accept with each of some errors, then accepts a connection.
type failingListener struct {
	net.Listener
	fails []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.fails) == 0 {
		near, far := net.Pipe()
		return near, far.Close()
	}
	err := l.fails[0]
	l.fails = l.fails[1:]
	return nil, &net.OpError{Op: "accept", Err: err}
}

func (l *failingListener) Addr() net.Addr { return &net.TCPAddr{} }

// A listener goes on after an error of one connection, which ended the process, and ends once it is closed.
func TestAcceptGoesOn(t *testing.T) {
	l := retryingListener{&failingListener{fails: []error{syscall.EMFILE, syscall.ENOBUFS, syscall.EPROTO}}, slog.New(slog.DiscardHandler)}
	c, err := l.Accept()
	require.NoError(t, err)
	require.NoError(t, c.Close())
	l = retryingListener{&failingListener{fails: []error{net.ErrClosed}}, slog.New(slog.DiscardHandler)}
	_, err = l.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}
