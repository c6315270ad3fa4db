package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/transport"
)

// lateCopyID is the id of the request that the target refuses once.
const lateCopyID = "r"

// refusingProtocol takes a 421 for a refusal and tells requests apart by their id.
type refusingProtocol struct{ idProtocol }

func (refusingProtocol) Header(h http.Header, _ AttemptInfo)                { h.Set("X-Id", lateCopyID) }
func (refusingProtocol) BelongsTo(h http.Header, id string) bool            { return h.Get("X-Id") == id }
func (refusingProtocol) TargetHints(int, http.Header) (h route.TargetHints) { return h }
func (refusingProtocol) ClassifyResponse(status int, _ http.Header) (ResponseClass, route.Incarnation) {
	if status == http.StatusMisdirectedRequest {
		return ResponseOtherIncarnation, "i-2"
	}
	return ResponseAnswer, ""
}

// listenRefusing starts a target that refuses the first request that it receives. If another one follows
// on the same connection, a late copy of the refusal comes in the place of its answer.
func listenRefusing(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	const refusal = "HTTP/1.1 421 Misdirected Request\r\nX-Id: " + lateCopyID + "\r\nContent-Length: 0\r\n\r\n"
	answerOf := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok", id)
	}
	handle := func(c net.Conn, refuse bool) {
		defer c.Close()
		r := bufio.NewReader(c)
		for n := 0; ; n++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			text := answerOf(req.Header.Get("X-Id"))
			switch {
			case refuse && n == 0:
				text = refusal
			case refuse && n == 1:
				text = refusal + text
			}
			// The test checks what arrives.
			_, _ = io.WriteString(c, text)
		}
	}
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(c, n == 0)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// Guards against a 503 for a request that runs: a late copy of the refusal of a request was taken for the
// answer to its second send, on the same connection.
func TestLateCopyOfRefusal(t *testing.T) {
	t.Parallel()
	same := func(f *forwarding) *forwarding { return f }
	for name, next := range map[string]func(f *forwarding) *forwarding{
		"sent again": same,
		"handed over by another node, again": func(f *forwarding) *forwarding {
			again := &forwarding{n: f.n, v: f.v, req: f.req, head: f.head}
			again.req.HandedOver, again.req.Sent = true, true
			return again
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, _ := newForwarding(t, 1<<20)
			f.n.protocol = refusingProtocol{}
			f.v.uri, f.v.info.ID, f.head = "/x", lateCopyID, http.Header{}
			f.req.Deadline = f.n.now().Add(5 * time.Second)
			a := route.Attempt{ID: "r-1", Request: "r", Target: listenRefusing(t), Number: 1}
			out := f.send(context.Background(), a)
			require.Equal(t, route.OutcomeRefused, out.Kind, out.Detail)
			again := next(f)
			out = again.send(context.Background(), a)
			require.Equal(t, route.OutcomeDone, out.Kind, out.Detail)
			require.Equal(t, "ok", string(again.answer.body))
			// The connection is kept for other requests, which the late copy does not belong to.
			resp, err := f.n.conns.Send(context.Background(), transport.Request{
				Target: a.Target, Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"X-Id": {"other"}},
				Matches: func(h http.Header) bool { return h.Get("X-Id") == "other" },
			})
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
		})
	}
}
