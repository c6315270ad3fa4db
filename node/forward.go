package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/dispatch"
	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/transport"
)

// forwarding is a request on its way to a target and back.
type forwarding struct {
	n    *Node
	v    *callerRequest
	req  route.Request
	head http.Header
	// spare is a whole answer with a target's own failure, to be passed on if no better one comes.
	fallback *bufferedAnswer
	// begun is true once a part of the answer has left, lastEvent the last event passed on.
	started   bool
	lastEvent string
	// done is true once the whole answer was passed on.
	done bool
	// sentAfter is when the newest attempt left, firstAfter when the first part of
	// the answer was passed on, counted from the request's arrival.
	sentAfter  time.Duration
	firstAfter time.Duration
}

// bufferedAnswer is an answer that was read to its end.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// forward carries an admitted request to its end.
func (n *Node) forward(v *callerRequest) {
	f := &forwarding{n: n, v: v, req: n.request(v), head: callerHeader(v.r.Header)}
	n.recordAges(n.now())
	n.queryHolders(v.r.Context(), f.req)
	c := dispatch.NewCallWithID(v.info.ID)
	refusal := n.Serve(v.r.Context(), f.req, c, f.send)
	n.counters.finished(n.now.Since(v.begun), refusal)
	f.logLate(refusal)
	switch {
	case refusal == nil:
		if !f.done {
			// The caller left, or its connection broke while the answer was passed on.
			panic(http.ErrAbortHandler)
		}
	case f.started:
		// Part of the answer has left: only a cut connection says that it is not whole.
		panic(http.ErrAbortHandler)
	case f.fallback != nil:
		f.writeBuffered(f.fallback)
	default:
		n.protocol.WriteRefusal(v.w, *refusal)
	}
}

// logLate tells of an answer that began after the route's aim.
func (f *forwarding) logLate(refusal *route.Refusal) {
	aim := time.Duration(f.v.route.Aim)
	if refusal != nil || aim == 0 || !f.done || f.firstAfter <= aim {
		return
	}
	f.n.events.Record(event.Event{
		Code: event.RequestLate, Request: f.v.info.ID, Org: f.req.Org,
		Detail: event.Lateness{First: f.firstAfter, Aim: aim, Sent: f.sentAfter, Finished: f.n.now.Since(f.v.begun)}.String(),
	})
}

// request describes the caller's request to the board.
func (n *Node) request(v *callerRequest) route.Request {
	rt := v.route
	timeout := time.Duration(rt.Timeout)
	if v.info.Timeout > 0 && (timeout == 0 || v.info.Timeout < timeout) {
		timeout = v.info.Timeout
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	req := route.Request{
		Revision:       v.snap.Revision,
		Pool:           n.poolOf(rt),
		Deadline:       v.begun.Add(timeout),
		Aim:            aimOf(rt),
		Priority:       rt.Priority,
		Repeatable:     !rt.Once,
		Resumable:      rt.Resumable && !n.off.Has(route.Resuming),
		ResumeAnywhere: true,
		Streams:        rt.Streams,
		MaxTries:       rt.Attempts,
		MaxTokens:      v.info.MaxTokens,
		Bytes:          headerBytes + len(v.body) + eventBytes*v.info.MaxTokens,
		Parts:          v.info.Parts,
		Charge:         v.charge,
	}
	if v.org != nil {
		req.Org = v.org.Name
		req.SharesCache = v.org.SharesCache
		if v.org.Priority != nil {
			req.Priority = *v.org.Priority
		}
	}
	req.Print = route.FingerprintOf(req.Org, v.r.Method, hostOf(v.r.Host), v.uri, v.body)
	if n.off.Has(route.Urgency) {
		req.Priority = 0
	}
	if m, _, ok := v.snap.Model(v.info.Model); ok && m.Pool == req.Pool {
		req.Model = m
	}
	return req
}

// The times of a request whose route states none.
const (
	defaultTimeout = 30 * time.Second
	defaultAim     = 500 * time.Millisecond
)

// The sizes by which a request's bytes are estimated: of the heads of a request and
// its answer, and of one event, which has a token or a few.
const (
	headerBytes = 600
	eventBytes  = 60
)

// aimOf is the time within which an answer on the route is to begin.
func aimOf(rt *policy.Route) time.Duration {
	if rt.Aim == 0 {
		return defaultAim
	}
	return time.Duration(rt.Aim)
}

// poolOf chooses among a route's pools by their weights.
func (n *Node) poolOf(rt *policy.Route) string {
	total := 0
	for _, s := range rt.Split {
		total += s.Weight
	}
	if total <= 0 {
		return rt.Pool
	}
	n.Lock()
	at := n.rng.IntN(total)
	n.Unlock()
	for _, s := range rt.Split {
		if at -= s.Weight; at < 0 {
			return s.Pool
		}
	}
	return rt.Pool
}

// connectionHeaders are those that concern one connection only (RFC 9110, 7.6.1).
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Content-Length", "Expect",
}

// callerHeader copies a header without what concerns the connection it came on.
func callerHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, field := range h["Connection"] {
		for _, name := range strings.Split(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	return out
}

// The times after which a silent target is given up where another may be tried.
const (
	// silenceFraction is the part of a request's remaining time that one target may be silent for.
	silenceFraction = 0.35
	// minSilence and maxSilence bound it: callers give a silent stream up after two seconds.
	minSilence = 150 * time.Millisecond
	maxSilence = 1100 * time.Millisecond
)

var errSilent = errs.Tag("the target said nothing in time")

// silenceTimeout is how long the target of an attempt may say nothing; zero means until the deadline.
func (f *forwarding) silenceTimeout(a route.Attempt, now time.Time) time.Duration {
	if !f.req.Repeatable || f.req.MaxTries > 0 && a.Number >= f.req.MaxTries {
		return 0
	}
	left := f.req.Deadline.Sub(now)
	return min(maxSilence, max(minSilence, fraction(left, silenceFraction)))
}

// send makes one attempt.
func (f *forwarding) send(ctx context.Context, a route.Attempt) route.Outcome {
	out := route.Outcome{Request: a.Request, Attempt: a.ID, Kind: route.OutcomeUnsent}
	if !f.stillAllowed() {
		// No target is to blame, and nothing was sent.
		out.Kind = route.OutcomeRefused
		out.Detail = "the configuration or the key was not confirmed when the request was to be sent"
		return out
	}
	now := f.n.now()
	f.sentAfter = now.Sub(f.v.begun)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := time.AfterFunc(time.Hour, func() { cancel(errSilent.Errorf("target %s", a.Target)) })
	defer watch.Stop()
	if d := f.silenceTimeout(a, now); d > 0 {
		watch.Reset(d)
	}
	resp, err := f.n.conns.Send(ctx, f.call(a, now))
	if err != nil {
		return f.attemptFailed(a.Target, out, err)
	}
	defer resp.Body.Close()
	meaning, incarnation := f.n.protocol.ClassifyResponse(resp.Status, resp.Header)
	said := f.n.protocol.TargetSignals(resp.Status, resp.Header)
	by := route.TargetKey{Target: a.Target, Incarnation: a.Incarnation}
	if meaning == ResponseOtherIncarnation {
		by.Incarnation = incarnation
	}
	f.recordTargetHints(by, now, said)
	if meaning != ResponseAnswer {
		// The rest of a refusal is of no interest, but its connection is.
		_, err := transport.ReadAll(resp.Body, maxRefusalBody)
		out.Kind, out.Incarnation = route.OutcomeRefused, incarnation
		out.Detail = http.StatusText(resp.Status)
		if said.Backoff > 0 {
			out.Detail += fmt.Sprintf(", the target asks for %s of rest", said.Backoff)
		}
		if err != nil {
			out.Detail += ", cut short: " + err.Error()
		}
		return out
	}
	if resp.Status == http.StatusOK && f.n.protocol.Streams(resp.Header) {
		return f.stream(a, resp, out, watch)
	}
	return f.bufferAnswer(a, resp, out)
}

// recordTargetHints takes what an answer to an attempt sent at a time says of the target that gave it, before any of it
// is passed on.
func (f *forwarding) recordTargetHints(by route.TargetKey, sent time.Time, said route.TargetHints) {
	if by.Incarnation == "" {
		// Another target answered, which does not say who it is.
		return
	}
	f.n.Lock()
	defer f.n.Unlock()
	f.n.Board().ApplyHints(f.n.now(), by, sent, said)
}

// maxRefusalBody bounds the body of a target's refusal, in bytes.
const maxRefusalBody = 64 << 10

// stillAllowed checks key and configuration once more right before the sending:
// the process may have stood still since the request was admitted.
func (f *forwarding) stillAllowed() bool {
	now := f.n.configStatus()
	if f.v.org == nil {
		return !now.outdated
	}
	if !now.keysConfirmed {
		return false
	}
	snap := f.n.snapshot()
	if snap == f.v.snap {
		return true
	}
	org, ok := snap.Authenticate(f.v.info.Key)
	return ok && org.Name == f.v.org.Name
}

// call renders an attempt.
func (f *forwarding) call(a route.Attempt, now time.Time) transport.Request {
	h := f.head.Clone()
	s := AttemptInfo{Attempt: a, Org: f.req.Org, Remaining: f.req.Deadline.Sub(now), Priority: f.req.Priority}
	if a.Resume {
		s.LastEvent = f.lastEvent
	}
	f.n.protocol.Header(h, s)
	id := f.v.info.ID
	return transport.Request{
		Target: a.Target, Method: f.v.r.Method, URI: f.v.uri, Host: f.v.r.Host, Header: h, Body: f.v.body,
		Matches: func(h http.Header) bool { return f.n.protocol.BelongsTo(h, id) },
	}
}

// attemptFailed says what a failed attempt means.
func (f *forwarding) attemptFailed(target netip.AddrPort, out route.Outcome, err error) route.Outcome {
	if out.Kind = route.OutcomeBroken; errors.Is(err, transport.ErrUnsent) {
		out.Kind = route.OutcomeUnsent
	}
	if out.Silent = errors.Is(err, transport.ErrUnresponsive); out.Silent && out.Kind != route.OutcomeUnsent {
		f.n.probeSilent(target)
	}
	switch {
	case out.Kind == route.OutcomeUnsent && transport.ConnectionRefused(err):
		f.n.targetEnded(target)
	case out.Kind == route.OutcomeBroken && transport.ClosedByTarget(err):
		out.Closed = true
		f.n.probeClosed(target)
	}
	out.Delivered = f.started
	out.Detail = err.Error()
	return out
}

// maxInteger bounds an answer that is held whole, in bytes.
const maxBufferedAnswer = 4 << 20

// bufferAnswer reads an answer to its end before any of it is passed on. A target's own
// failure is kept while another target may still do better.
func (f *forwarding) bufferAnswer(a route.Attempt, resp *transport.Response, out route.Outcome) route.Outcome {
	data, err := transport.ReadAll(resp.Body, maxBufferedAnswer)
	if err != nil {
		return f.attemptFailed(a.Target, out, err)
	}
	got := &bufferedAnswer{status: resp.Status, header: resp.Header, body: data}
	out.TargetError = resp.Status >= http.StatusInternalServerError
	if out.TargetError && f.req.Repeatable && (f.started || a.Number < f.req.MaxTries) {
		f.fallback = got
		out.Kind = route.OutcomeBroken
		out.Delivered = f.started
		out.Detail = "the target failed: " + http.StatusText(resp.Status)
		return out
	}
	if f.started {
		out.Kind, out.Delivered = route.OutcomeBroken, true
		out.Detail = "the answer does not go on: " + http.StatusText(resp.Status)
		return out
	}
	f.writeBuffered(got)
	out.Kind = route.OutcomeDone
	return out
}

// writeBuffered passes a whole answer on.
func (f *forwarding) writeBuffered(a *bufferedAnswer) {
	f.done = true
	f.firstAfter = f.n.now.Since(f.v.begun)
	copyHeader(f.v.w.Header(), a.header)
	if f.v.r.Method != http.MethodHead {
		setLength(f.v.w.Header(), len(a.body))
	}
	f.v.w.WriteHeader(a.status)
	if _, err := f.v.w.Write(a.body); err != nil {
		f.n.events.Record(event.Event{Code: event.CallerGone, Request: f.v.info.ID, Detail: err.Error()})
	}
}

// copyHeader copies a target's header without what concerns its connection. A
// header that the target did not send is not made up here either.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(connectionHeaders, name) {
			to[name] = values
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}
