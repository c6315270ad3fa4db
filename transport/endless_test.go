package transport

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// kernelBuffers bounds what the kernel takes of a target's bytes before the node has read them.
const kernelBuffers = 8 << 20

// Guards against memory and time that a faulty target takes with bytes that are no answer and have no end.
func TestEndlessHead(t *testing.T) {
	const foreign = "HTTP/1.1 200 OK\r\nX-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		begin, repeat string
		limit         int64
	}{
		"lines of a head":              {"HTTP/1.1 200 OK\r\n", "X-Fill: aaaaaaaa\r\n", maxHeadBytes},
		"one line":                     {"HTTP/1.1 200 OK\r\nX-Fill: ", "a", maxHeadBytes},
		"no answer":                    {"", "a", maxHeadBytes},
		"interim answers":              {"", "HTTP/1.1 103 Early Hints\r\nX-Fill: " + strings.Repeat("a", 30<<10) + "\r\n\r\n", maxHeadBytes},
		"a foreign body":               {foreign, "4\r\naaaa\r\n", 4 * maxForeignBody},
		"the head after a foreign one": {strings.Replace(foreign, "Transfer-Encoding: chunked", "Content-Length: 0", 1) + "HTTP/1.1 200 OK\r\n", "X-Fill: aaaaaaaa\r\n", maxHeadBytes},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan int64, 1)
			target := serveEach(t, func(_ int, r *bufio.Reader, conn net.Conn) {
				read(r)
				_, err := io.WriteString(conn, c.begin)
				sent := int64(0)
				for block := strings.Repeat(c.repeat, 1+(4<<10)/len(c.repeat)); err == nil; sent += int64(len(block)) {
					_, err = io.WriteString(conn, block)
				}
				closed <- sent
			})
			p := NewPool()
			defer p.Close()
			_, err := get(t, p, request(target, "1", "b"))
			require.Error(t, err)
			require.False(t, errors.Is(err, ErrUnsent), "the request was sent")
			require.Less(t, <-closed, c.limit+kernelBuffers, "bytes until the connection was closed")
		})
	}
}
