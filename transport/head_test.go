package transport

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an answer that looks whole although its target stopped within its head: cut at any byte, closed in
// order or reset, on a connection of its own.
func TestHeadCutAnywhere(t *testing.T) {
	t.Parallel()
	const (
		ok = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
		// The end of a head may be taken for a line that goes on.
		folded = ok + "X-Folded: a\r\n b\r\nContent-Length: 12\r\n c\r\n\r\n"
	)
	for name, c := range map[string]struct {
		method, head string
	}{
		"a length":             {http.MethodPost, ok + "Content-Length: 12\r\n\r\n"},
		"a length of zero":     {http.MethodPost, ok + "Content-Length: 0\r\n\r\n"},
		"chunks":               {http.MethodPost, ok + "Transfer-Encoding: chunked\r\n\r\n"},
		"no length":            {http.MethodPost, ok + "X-Last: 1\r\n\r\n"},
		"a stream":             {http.MethodPost, ok + "Content-Type: text/event-stream\r\n\r\n"},
		"no body":              {http.MethodPost, "HTTP/1.1 204 No\r\nX-Id: 1\r\n\r\n"},
		"a failure":            {http.MethodPost, "HTTP/1.1 503 No\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n"},
		"an interim one first": {http.MethodPost, "HTTP/1.1 103 Early\r\nX-Id: 1\r\n\r\n" + ok + "Content-Length: 0\r\n\r\n"},
		"a folded line":        {http.MethodPost, folded},
		"a GET":                {http.MethodGet, ok + "Content-Length: 12\r\n\r\n"},
		"a HEAD":               {http.MethodHead, ok + "Content-Length: 12\r\n\r\n"},
		"a HEAD, no length":    {http.MethodHead, ok + "X-Last: 1\r\n\r\n"},
		"trailers":             {http.MethodPost, ok + "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n1\r\na\r\n0\r\nX-End: 1\r\n\r\n"},
		"bare line feeds":      {http.MethodPost, strings.ReplaceAll(ok+"Content-Length: 0\r\n\r\n", "\r\n", "\n")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for at := 0; at < len(c.head); at++ {
				for _, reset := range []bool{false, true} {
					got, err := cutHead(t, c.method, c.head[:at], reset)
					require.Error(t, err, "cut after %q (reset: %t): %q looks whole", c.head[:at], reset, got)
				}
			}
		})
	}
}

// cutHead sends a request to a target that answers with the beginning of a head and closes the connection.
func cutHead(t *testing.T, method, head string, reset bool) (string, error) {
	l := serveOnce(t, func(conn net.Conn, _ net.Listener) {
		if _, err := io.WriteString(conn, head); err != nil {
			return
		}
		if reset {
			// The deferred close then discards what is unsent and resets the connection.
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	})
	defer l.Close()
	p := NewPool()
	defer p.Close()
	req := request(l.Addr().(*net.TCPAddr).AddrPort(), "1", "b")
	req.Method = method
	got, err := get(t, p, req)
	return fmt.Sprintf("%q", got), err
}
