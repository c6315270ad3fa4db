package node

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/internal/door"
)

// startCallersServer serves on a loopback address with the connections of callers tracked as in a node. Its
// handler is called once the header of a request is read.
func startCallersServer(t *testing.T, conns *callerConns, h http.HandlerFunc) netip.AddrPort {
	l, err := door.Listen(netip.MustParseAddrPort("127.0.0.1:0"), nil, slog.New(slog.DiscardHandler), door.WithConnWrapper(conns.track))
	require.NoError(t, err)
	server := &http.Server{
		ConnState:   conns.connStateChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			conns.headerRead(r)
			h(w, r)
		}),
	}
	t.Cleanup(func() { server.Close() })
	go func() { _ = server.Serve(l) }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// testCaller keeps a connection to a server.
type testCaller struct {
	addr netip.AddrPort
	conn net.Conn
	r    *bufio.Reader
}

// get sends a request with an id, over a new connection if there is none, and reads the answer. It reports
// whether there is one.
func (c *testCaller) get(id string) bool {
	if c.conn == nil {
		conn, err := net.Dial("tcp4", c.addr.String())
		if err != nil {
			return false
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	_, err := fmt.Fprintf(c.conn, "GET /%s HTTP/1.1\r\nHost: test\r\n\r\n", id)
	if err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(c.r, nil); err == nil {
			resp.Body.Close()
			return true
		}
	}
	c.conn.Close()
	c.conn = nil
	return false
}

// A request whose first byte was read is handled only if its connection stays open for the answer, although the
// connection is closed as idle at that moment.
func TestIdleCloseRacesRequest(t *testing.T) {
	const (
		callers, rounds = 500, 8
		spread          = 20 * time.Millisecond
	)
	// later makes all connections idle for long enough.
	later := func() time.Time { return time.Now().Add(2 * minIdleTime) }
	for name, closeConns := range map[string]func(c *callerConns){
		"idle limit": func(c *callerConns) { c.closeIdle(time.Now(), closedIdle) },
		"memory":     func(c *callerConns) { c.closeExcessIdle(later(), callers/10) },
		"crowded": func(c *callerConns) {
			c.setMaxOpen(callers / 4)
			for range callers {
				c.makeRoom(later())
			}
			c.setMaxOpen(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			var (
				conns   callerConns
				closed  atomic.Int64
				handled sync.Map
			)
			conns.closedHook = func(closeReason, bool) { closed.Add(1) }
			addr := startCallersServer(t, &conns, func(_ http.ResponseWriter, r *http.Request) { handled.Store(r.URL.Path[1:], true) })
			all := make([]testCaller, callers)
			unanswered, lost := 0, 0
			for round := range rounds {
				ids := make(chan string, callers)
				var sent sync.WaitGroup
				for k := range all {
					all[k].addr = addr
					sent.Go(func() {
						// Each has a connection that is idle.
						for n := 0; !all[k].get(fmt.Sprintf("idle-%d-%d-%d", round, k, n)); n++ {
						}
					})
				}
				sent.Wait()
				for k := range all {
					sent.Go(func() {
						time.Sleep(rand.N(spread))
						if id := fmt.Sprintf("%d-%d", round, k); !all[k].get(id) {
							ids <- id
						}
					})
				}
				time.Sleep(spread / 2)
				closeConns(&conns)
				sent.Wait()
				close(ids)
				for id := range ids {
					unanswered++
					if _, ok := handled.Load(id); ok {
						lost++
					}
				}
			}
			t.Logf("%d connections closed; of %d requests %d were not answered, %d of them were handled", closed.Load(), callers*rounds, unanswered, lost)
			require.Greater(t, closed.Load(), int64(callers), "connections closed as requests arrive")
			require.Zero(t, lost, "requests that are handled without an answer")
		})
	}
}

// parsingProtocol takes every request.
type parsingProtocol struct{ idProtocol }

func (parsingProtocol) ParseRequest(*http.Request) (info RequestInfo, err error) { return info, nil }

// A request does not run if its connection was closed, for a header that took too long, before it was handled.
func TestSlowHeaderRunsNothing(t *testing.T) {
	n, err := New(validSettings(), nil, parsingProtocol{}, nil)
	require.NoError(t, err)
	near, far := net.Pipe()
	defer far.Close()
	conn := n.callers.track(near)
	go func() { _, _ = far.Write([]byte("G")) }()
	_, err = conn.Read(make([]byte, 1))
	require.NoError(t, err)
	n.callers.closeSlowHeaders(time.Now().Add(time.Second))
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	r = r.WithContext(context.WithValue(r.Context(), connKey{}, conn))
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { n.handleCall(httptest.NewRecorder(), r) })
}

// A planned stop waits for the answer to a request that another node handed over, also while it is written: the
// board knows nothing of it any more then.
func TestStopAwaitsHandedAnswer(t *testing.T) {
	n, err := New(validSettings(), nil, parsingProtocol{}, nil)
	require.NoError(t, err)
	near, far := net.Pipe()
	defer far.Close()
	conn := n.handed.conns.track(near).(*callerConn)
	require.True(t, conn.begin())
	require.False(t, n.drained(time.Now().Add(5*tickInterval)), "the answer is being written")
	n.handed.conns.connStateChanged(conn, http.StateIdle)
	require.True(t, n.drained(time.Now().Add(5*tickInterval)))
}
