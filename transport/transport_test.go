package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serve handles successive connections with one function each.
func serve(t *testing.T, conns ...func(r *bufio.Reader, c net.Conn)) netip.AddrPort {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, f := range conns {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f(bufio.NewReader(c), c)
			c.Close()
		}
	}()
	t.Cleanup(func() {
		l.Close()
		<-done
	})
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func request(target netip.AddrPort, id string, body string) Request {
	return Request{
		Target: target, Method: http.MethodPost, URI: "/x//y?q=%20", Host: "h", Body: []byte(body),
		Header: http.Header{"X-Id": {id}}, Matches: func(h http.Header) bool { return h.Get("X-Id") == id },
	}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// read reads one request from a connection and returns its URI, empty on an error.
func read(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req.RequestURI
}

func get(t *testing.T, p *Pool, req Request) (string, error) {
	resp, err := p.Send(t.Context(), req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := ReadAll(resp.Body, 1<<20)
	return string(data), err
}

func TestSend(t *testing.T) {
	cases := map[string]struct {
		reply func(r *bufio.Reader, c net.Conn)
		body  string
		want  string
		fails bool
	}{
		"an answer": {func(r *bufio.Reader, c net.Conn) {
			if read(r) == "/x//y?q=%20" {
				io.WriteString(c, answer("1", "own"))
			}
		}, "b", "own", false},
		"an interim answer first": {func(r *bufio.Reader, c net.Conn) {
			read(r)
			io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+answer("1", "own"))
		}, "b", "own", false},
		"another's answer first": {func(r *bufio.Reader, c net.Conn) {
			read(r)
			io.WriteString(c, answer("0", "foreign")+answer("1", "own"))
		}, "b", "own", false},
		"only others' answers": {func(r *bufio.Reader, c net.Conn) {
			read(r)
			io.WriteString(c, strings.Repeat(answer("0", "foreign"), 5))
		}, "b", "", true},
		"an answer before a long body": {func(r *bufio.Reader, c net.Conn) {
			req, err := http.ReadRequest(r)
			if err == nil {
				io.WriteString(c, answer("1", "early"))
				_, _ = io.Copy(io.Discard, req.Body)
			}
		}, strings.Repeat("x", 4<<20), "early", false},
		"an answer that ends with its connection": {func(r *bufio.Reader, c net.Conn) {
			read(r)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nunframed")
		}, "b", "unframed", false},
		"one that is reset instead": {func(r *bufio.Reader, c net.Conn) {
			read(r)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nunfra")
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}, "b", "", true},
		"a body cut short": {func(r *bufio.Reader, c net.Conn) {
			read(r)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nshort")
		}, "b", "", true},
		"no answer": {func(r *bufio.Reader, _ net.Conn) { read(r) }, "b", "", true},
		"garbage": {func(r *bufio.Reader, c net.Conn) {
			read(r)
			io.WriteString(c, "\x00\xff\r\n\r\n")
		}, "b", "", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := NewPool()
			defer p.Close()
			got, err := get(t, p, request(serve(t, c.reply), "1", c.body))
			require.Equal(t, c.fails, err != nil, "%v", err)
			if c.fails {
				require.False(t, errors.Is(err, ErrUnsent), "the request was sent")
				return
			}
			require.Equal(t, c.want, got)
		})
	}
}

// An idle connection is reused only if nothing was received on it meanwhile, and a
// request is never sent a second time.
func TestConnectionReuse(t *testing.T) {
	answered, surplus := make(chan struct{}), make(chan struct{})
	target := serve(t,
		func(r *bufio.Reader, c net.Conn) {
			read(r)
			io.WriteString(c, answer("1", "one"))
			read(r)
			io.WriteString(c, answer("2", "two"))
			<-answered
			io.WriteString(c, answer("9", "surplus"))
			close(surplus)
			_, _ = r.ReadByte()
		},
		func(r *bufio.Reader, c net.Conn) {
			read(r)
			io.WriteString(c, answer("3", "three"))
			read(r)
		},
	)
	opened := 0
	p := NewPool(WithOpened(func() { opened++ }))
	defer p.Close()
	for i, want := range []string{"one", "two"} {
		got, err := get(t, p, request(target, fmt.Sprint(i+1), "b"))
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	require.Equal(t, 1, opened)
	close(answered)
	<-surplus
	time.Sleep(10 * time.Millisecond)
	got, err := get(t, p, request(target, "3", "b"))
	require.NoError(t, err)
	require.Equal(t, "three", got)
	require.Equal(t, 2, opened, "the connection with surplus bytes is not reused")
	_, err = get(t, p, request(target, "4", "b"))
	require.Error(t, err, "the target closed the connection after it had read the request")
	require.False(t, errors.Is(err, ErrUnsent))
	require.Equal(t, 2, opened, "it was not sent again")
}

func TestUnsent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	target := l.Addr().(*net.TCPAddr).AddrPort()
	l.Close()
	p := NewPool()
	defer p.Close()
	_, err = get(t, p, request(target, "1", ""))
	require.True(t, errors.Is(err, ErrUnsent))
}

// Cancelling the caller's context ends a request that is waiting for its answer.
func TestCancelled(t *testing.T) {
	gone := make(chan struct{})
	target := serve(t, func(r *bufio.Reader, _ net.Conn) {
		read(r)
		_, _ = r.ReadByte()
		close(gone)
	})
	p := NewPool()
	defer p.Close()
	ctx, cancel := context.WithCancelCause(t.Context())
	cause := errors.New("the caller cancelled")
	time.AfterFunc(20*time.Millisecond, func() { cancel(cause) })
	_, err := p.Send(ctx, request(target, "1", ""))
	require.ErrorIs(t, err, cause)
	<-gone
}

func TestMaxConns(t *testing.T) {
	taken, release := make(chan struct{}), make(chan struct{})
	target := serve(t, func(r *bufio.Reader, c net.Conn) {
		read(r)
		close(taken)
		<-release
		io.WriteString(c, answer("1", "one"))
	})
	p := NewPool(WithMaxConns(func(netip.AddrPort) int { return 1 }))
	defer p.Close()
	first := make(chan error, 1)
	go func() {
		_, err := get(t, p, request(target, "1", ""))
		first <- err
	}()
	<-taken
	_, err := get(t, p, request(target, "2", ""))
	require.True(t, errors.Is(err, ErrUnsent), "the one connection is in use")
	close(release)
	require.NoError(t, <-first)
}

func TestIdleTime(t *testing.T) {
	cases := map[string]struct {
		header string
		want   time.Duration
	}{
		"none":           {"", defaultIdleTime},
		"a time":         {"timeout=5", 5*time.Second - idleMargin},
		"with a maximum": {"max=9, timeout=2", 2*time.Second - idleMargin},
		"no number":      {"timeout=soon", defaultIdleTime},
		"at once":        {"timeout=0", -idleMargin},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, idleTime(http.Header{"Keep-Alive": {c.header}}))
		})
	}
}
