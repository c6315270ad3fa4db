package transport

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an answer whose status is none of HTTP and that counts as one, or as an interim one for which the
// node goes on waiting.
func TestInvalidStatus(t *testing.T) {
	t.Parallel()
	const interim = "HTTP/1.1 103 Early Hints\r\nX-Id: 0\r\n\r\n"
	for name, c := range map[string]struct {
		before, status string
		valid          bool
	}{
		"200":                         {"", "200 OK", true},
		"no reason":                   {"", "200", true},
		"599":                         {"", "599 Odd", true},
		"after interim ones":          {strings.Repeat(interim, 3*maxForeignAnswers), "200 OK", true},
		"000":                         {"", "000 OK", false},
		"001":                         {"", "001 OK", false},
		"099":                         {"", "099 OK", false},
		"101":                         {"", "101 Switching Protocols", false},
		"600":                         {"", "600 OK", false},
		"999":                         {"", "999 OK", false},
		"a sign":                      {"", "+20 OK", false},
		"a negative one":              {"", "-01 OK", false},
		"two digits":                  {"", "20 OK", false},
		"four digits":                 {"", "2000 OK", false},
		"other digits":                {"", "２00 OK", false},
		"after an interim one":        {interim, "000 OK", false},
		"after a foreign one":         {"HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 1\r\n\r\nf", "000 OK", false},
		"of a foreign one":            {"HTTP/1.1 000 OK\r\nX-Id: 0\r\nContent-Length: 1\r\n\r\nf", "200 OK", false},
		"of one without a body first": {"HTTP/1.1 000 OK\r\nX-Id: 1\r\n\r\n", "200 OK", false},
	} {
		for what, framing := range map[string]string{
			"a length": "Content-Length: 2\r\n\r\nok", "chunks": "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		} {
			t.Run(name+", "+what, func(t *testing.T) {
				t.Parallel()
				target := serveEach(t, func(_ int, r *bufio.Reader, conn net.Conn) {
					read(r)
					_, _ = io.WriteString(conn, c.before+"HTTP/1.1 "+c.status+"\r\nX-Id: 1\r\n"+framing)
					// The target waits for the next request, as if all were well.
					read(r)
				})
				p := NewPool()
				defer p.Close()
				got, err := get(t, p, request(target, "1", "b"))
				require.Equal(t, c.valid, err == nil, "%v", err)
				if c.valid {
					require.Equal(t, "ok", got)
				} else {
					require.NotErrorIs(t, err, ErrUnsent)
				}
			})
		}
	}
}
