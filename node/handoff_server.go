package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/internal/door"
	"github.com/pathhead/pathhead/route"
)

// maxHandedPerCore bounds the requests of other nodes that a node serves at once, per core. The least
// urgent ones get leastHandedShare of it. The memory budget bounds their bytes.
const (
	maxHandedPerCore = 128
	leastHandedShare = 0.5
	// handedIdleTime is how long a connection of another node may be idle. That node closes it before,
	// unless it has ended.
	handedIdleTime = time.Minute
	// maxHandoffWait is the longest time that a node is believed to have had a request.
	maxHandoffWait = time.Hour
)

// handedRequest is what a node states of a request that it hands over.
type handedRequest struct {
	revision  int64
	tries     int
	waited    time.Duration
	sent      bool
	lastEvent string
	// release is the release that the request is pinned to, if any.
	release route.ReleasePin
}

// parseHandedRequest reads the headers of the node that hands a request over.
func parseHandedRequest(h http.Header) (*handedRequest, error) {
	revision, err := strconv.ParseInt(h.Get(handoffRevision), 10, 64)
	if err != nil {
		return nil, errs.Errorf("no revision: %w", err)
	}
	tries, err := strconv.Atoi(h.Get(handoffTries))
	if err != nil || tries < 1 {
		return nil, errs.Errorf("%q is no number of targets", h.Get(handoffTries))
	}
	waited, err := strconv.ParseInt(h.Get(handoffWaited), 10, 64)
	if err != nil || waited < 0 || waited > maxHandoffWait.Microseconds() {
		return nil, errs.Errorf("%q is no time in microseconds", h.Get(handoffWaited))
	}
	out := &handedRequest{
		revision: revision, tries: tries, waited: time.Duration(waited) * time.Microsecond,
		sent: h.Get(handoffSent) != "", lastEvent: h.Get(handoffLastEvent),
	}
	if release, ok := strings.CutPrefix(h.Get(handoffRelease), releaseMark); ok {
		out.release = route.PinTo(release)
	}
	return out, nil
}

// handoffServer serves the requests that other nodes hand over, on connections that arrive at the
// listener for peers.
type handoffServer struct {
	// conns are the connections. A node that takes nothing is cut off as a caller is.
	conns callerConns
	// accepted passes connections to the HTTP server.
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
	// inFlight is the number of requests being served.
	inFlight atomic.Int64
}

func newHandoffServer() *handoffServer {
	return &handoffServer{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

// take passes a connection of another node to the server.
func (s *handoffServer) take(c net.Conn) {
	select {
	case s.accepted <- c:
	case <-s.closed:
		c.Close()
	}
}

// Accept implements [net.Listener].
func (s *handoffServer) Accept() (net.Conn, error) {
	select {
	case c := <-s.accepted:
		return s.conns.track(c), nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close implements [net.Listener].
func (s *handoffServer) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// Addr implements [net.Listener].
func (s *handoffServer) Addr() net.Addr { return &net.TCPAddr{} }

// handoffDoor returns the server of requests that other nodes hand over.
func (n *Node) handoffDoor() (door.Listener, error) {
	server := &http.Server{
		Handler:           http.HandlerFunc(n.handleHandedOver),
		ReadHeaderTimeout: maxHeaderTime,
		IdleTimeout:       handedIdleTime,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         n.handed.conns.connStateChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	return door.Listener{
		Serve: func() error {
			if err := server.Serve(n.handed); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				return errs.Wrap(err)
			}
			return nil
		},
		Close: func() {
			n.handed.Close()
			server.Close()
		},
	}, nil
}

// handleHandedOver serves a request that another node handed over. That node has charged it to limits,
// and it is not handed over again.
func (n *Node) handleHandedOver(w http.ResponseWriter, r *http.Request) {
	n.handed.conns.headerRead(r)
	v := &callerRequest{w: handoffWriter{w}, r: r, receivedAt: n.now(), uri: r.RequestURI}
	defer n.logPanic(v)
	handed, err := parseHandedRequest(r.Header)
	if err == nil {
		v.info, err = n.protocol.ParseRequest(r)
	}
	if err != nil {
		v.handed = new(handedRequest)
		n.rejectInvalid(v, http.StatusBadRequest, err.Error())
		return
	}
	if !strings.HasPrefix(v.uri, "/") {
		v.uri = r.URL.RequestURI()
	}
	v.handed = handed
	v.receivedAt = v.receivedAt.Add(-handed.waited)
	n.counters.handedTaken.Inc()
	n.handed.inFlight.Add(1)
	defer n.handed.inFlight.Add(-1)
	n.serveCall(v)
}

// admitHanded checks a request that another node handed over, once route and key are known.
func (n *Node) admitHanded(v *callerRequest) bool {
	if v.handed == nil {
		return true
	}
	if v.snap.Revision < v.handed.revision {
		n.refuse(v, route.Refusal{Cause: route.CauseChanged, RetryAfter: minRetryAfter, Detail: "the other node has a newer configuration"})
		return false
	}
	most := maxHandedPerCore * max(1, n.settings().Power) * (leastHandedShare + (1-leastHandedShare)*n.urgency(v))
	if float64(n.handed.inFlight.Load()) > most {
		n.refuse(v, route.Refusal{Cause: route.CauseMemory, RetryAfter: minRetryAfter, Detail: "this node serves as many requests of others as it may"})
		return false
	}
	return true
}

// applyHanded restricts a request that another node handed over to what that node left of it.
func (v *callerRequest) applyHanded(now time.Time, req *route.Request) {
	if v.handed == nil {
		return
	}
	req.HandedOver, req.Sent = true, v.handed.sent
	req.Waited = now.Sub(v.receivedAt)
	if req.MaxTries == 0 || v.handed.tries < req.MaxTries {
		req.MaxTries = v.handed.tries
	}
}

// handoffWriter marks every response that is not a refusal as the answer of a target, whatever
// headers the target sent.
type handoffWriter struct{ http.ResponseWriter }

// WriteHeader implements [http.ResponseWriter].
func (w handoffWriter) WriteHeader(status int) {
	dropHandoffHeaders(w.Header())
	w.Header().Set(handoffResult, resultAnswer)
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer for [http.ResponseController].
func (w handoffWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// writeRefusal answers a request that is refused, to its caller or to the node that handed it over.
func (n *Node) writeRefusal(v *callerRequest, f route.Refusal) {
	if v.handed == nil {
		n.protocol.WriteRefusal(v.w, f)
		return
	}
	w := v.w
	if marked, ok := w.(handoffWriter); ok {
		w = marked.ResponseWriter
	}
	writeHandoffRefusal(w, f)
}
