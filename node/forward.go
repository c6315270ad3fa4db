package node

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs/v2"
	"github.com/zeebo/xxh3"

	"github.com/pathhead/pathhead/dispatch"
	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/transport"
)

// forwarding is the state of a request while it is forwarded.
type forwarding struct {
	n    *Node
	v    *callerRequest
	req  route.Request
	head http.Header
	// sends are the connections on which the request was sent to targets.
	sends transport.Sends
	// answer is a complete response to be sent to the caller. It is sent after its attempt has ended,
	// so that a caller that reads slowly does not occupy the target.
	answer *bufferedAnswer
	// fallback is a complete error response of a target, sent if no other target does better.
	fallback *bufferedAnswer
	// started is set once part of the answer was sent to the caller; lastEvent is the id of the
	// last event that the caller has.
	started   bool
	lastEvent string
	// done is set once the whole answer was sent.
	done bool
	// sentAfter is when the newest attempt was sent, firstAfter when the first part of the answer
	// was sent to the caller, both since the arrival of the request.
	sentAfter  time.Duration
	firstAfter time.Duration
	// heardAt is when the newest attempt was sent or the last part of its answer arrived. silence is
	// the longest time for which a target sent nothing before that.
	heardAt time.Time
	// probe checks the target of the newest attempt once it has sent nothing for a while.
	probe   *time.Timer
	silence time.Duration
	// cancelled is set if the newest attempt was cancelled, and silentFor is how long its target had sent
	// nothing at its end.
	cancelled bool
	silentFor time.Duration
	// handedOver is set during an attempt by way of another node.
	handedOver bool
}

// bufferedAnswer is a response that was read completely.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// forward forwards an admitted request and sends the answer.
func (n *Node) forward(v *callerRequest) {
	f := &forwarding{n: n, v: v, req: n.request(v), head: callerHeader(v.r.Header), lastEvent: v.info.LastEvent}
	if v.handed != nil && v.handed.lastEvent != "" {
		f.lastEvent = v.handed.lastEvent
	}
	n.recordAges(n.now())
	if refusal := n.pinRelease(v, &f.req); refusal != nil {
		n.refundCharge(v)
		n.refuse(v, *refusal)
		return
	}
	n.queryHolders(v.r.Context(), f.req)
	c := dispatch.NewCallWithID(v.info.ID)
	refusal := n.Serve(v.r.Context(), f.req, c, func(ctx context.Context, a route.Attempt) route.Outcome {
		defer f.attemptEnded(ctx)
		return f.send(ctx, a)
	})
	if refusal == nil && f.answer != nil {
		f.writeBuffered(f.answer)
	}
	n.counters.finished(n.now.Since(v.receivedAt), refusal)
	f.logLate(refusal)
	if callerStalled(v.r) {
		n.counters.stalledCallers.Inc()
		n.events.Record(event.Event{Code: event.CallerStalled, Request: v.info.ID, Org: f.req.Org, Route: f.req.Route})
	}
	switch {
	case refusal == nil:
		if !f.done {
			// The caller disconnected, or its connection broke while the answer was sent.
			f.cut(cutByCaller, "")
		}
	case f.started:
		// Part of the answer was sent. Only closing the connection tells the caller that it is
		// incomplete.
		f.cut(cutUnfinished, refusal.Cause.String()+": "+refusal.Detail)
	case f.fallback != nil:
		f.writeBuffered(f.fallback)
	default:
		n.writeRefusal(v, *refusal)
	}
}

// logLate logs an answer whose first part came later than the route's aim.
func (f *forwarding) logLate(refusal *route.Refusal) {
	aim := time.Duration(f.v.route.Aim)
	if refusal != nil || aim == 0 || !f.done || f.firstAfter <= aim {
		return
	}
	f.n.events.Record(event.Event{
		Code: event.RequestLate, Request: f.v.info.ID, Org: f.req.Org, Route: f.req.Route, Tokens: f.v.info.promptTokens(),
		Detail: event.Lateness{First: f.firstAfter, Aim: aim, Sent: f.sentAfter, Finished: f.n.now.Since(f.v.receivedAt)}.String(),
	})
}

// request builds the [route.Request] for a caller's request.
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
		Pool:           n.poolOf(rt, v.info),
		Route:          rt.Name,
		Deadline:       v.receivedAt.Add(timeout),
		Aim:            aimOf(rt),
		AimAssumed:     rt.Aim == 0,
		Priority:       v.priority(),
		Repeatable:     !rt.Once,
		Resumable:      rt.Resumable && !n.disabled.Has(route.Resuming),
		ResumeAnywhere: true,
		Streams:        rt.Streams,
		MaxTries:       rt.Attempts,
		MaxTokens:      v.info.MaxTokens,
		LengthHint:     v.info.LengthHint,
		Bytes:          headerBytes + len(v.body) + eventBytes*v.info.MaxTokens,
		Parts:          v.info.Parts,
		Charge:         v.charge,
	}
	if v.org != nil {
		req.Org = v.org.Name
		req.SharesCache = v.org.SharesCache
	}
	req.Print = route.FingerprintOf(req.Org, v.r.Method, hostOf(v.r.Host), v.uri, v.body)
	if n.disabled.Has(route.Urgency) {
		req.Priority = 0
	}
	v.applyHanded(n.now(), &req)
	m, adapter, ok := v.snap.ModelAt(req.Pool, v.info.Model)
	if !ok {
		req.Nonce = rand.Text()
		if v.info.Model != "" {
			n.counters.unknownModels.Inc()
		}
		return req
	}
	req.Model, req.Adapter = m, adapter
	return req
}

// Defaults for routes that set no timeout or aim.
const (
	defaultTimeout = 30 * time.Second
	defaultAim     = 500 * time.Millisecond
)

// Sizes for estimating the bytes of a request: the headers of request and response, and one event,
// which carries one token or a few.
const (
	headerBytes = 600
	eventBytes  = 60
)

// aimOf returns the route's target time to the first part of an answer.
func aimOf(rt *policy.Route) time.Duration {
	if rt.Aim == 0 {
		return defaultAim
	}
	return time.Duration(rt.Aim)
}

// divideSeed makes the hash that divides streams between pools differ from that of [route.ReleaseSlot].
const divideSeed = 1

// poolOf picks one of the route's pools at random by weight. A stream that may be resumed goes by the id of
// its first request, since it goes on only at targets of the pool that began it.
func (n *Node) poolOf(rt *policy.Route, info RequestInfo) string {
	total := 0
	for _, s := range rt.Split {
		total += s.Weight
	}
	if total <= 0 {
		return rt.Pool
	}
	at := 0
	if rt.Streams && rt.Resumable {
		at = int(xxh3.HashStringSeed(cmp.Or(info.Resumes, info.ID), divideSeed) % uint64(total))
	} else {
		n.Lock()
		at = n.rng.IntN(total)
		n.Unlock()
	}
	for _, s := range rt.Split {
		if at -= s.Weight; at < 0 {
			return s.Pool
		}
	}
	return rt.Pool
}

// connectionHeaders are the hop-by-hop headers (RFC 9110, section 7.6.1).
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Content-Length", "Expect",
}

// callerHeader copies a header without hop-by-hop fields.
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
	dropHandoffHeaders(out)
	return out
}

// Timeouts after which an unresponsive target is abandoned if another may be tried.
const (
	// idleTimeoutFraction is the fraction of a request's remaining time that a target may send
	// nothing.
	idleTimeoutFraction = 0.35
	// minIdleTimeout and maxIdleTimeout bound the result: callers abandon a stalled stream after
	// two seconds.
	minIdleTimeout = 150 * time.Millisecond
	maxIdleTimeout = 1100 * time.Millisecond
)

var errUnresponsive = errs.Tag("the target said nothing in time")

// idleTimeout returns how long the target of an attempt may send nothing; zero means until the
// deadline.
func (f *forwarding) idleTimeout(a route.Attempt, now time.Time) time.Duration {
	if !f.req.Repeatable || f.req.MaxTries > 0 && a.Number >= f.req.MaxTries {
		return 0
	}
	left := f.req.Deadline.Sub(now)
	return min(maxIdleTimeout, max(minIdleTimeout, fraction(left, idleTimeoutFraction)))
}

// send makes one attempt.
func (f *forwarding) send(ctx context.Context, a route.Attempt) route.Outcome {
	out := route.Outcome{Request: a.Request, Attempt: a.ID, Kind: route.OutcomeUnsent}
	if !f.stillAllowed() {
		// Nothing was sent, and no target is at fault.
		out.Kind = route.OutcomeRefused
		out.Detail = "the configuration or the key was not confirmed when the request was to be sent"
		return out
	}
	now := f.n.now()
	f.sentAfter = now.Sub(f.v.receivedAt)
	f.heardAt = now
	if a.Via.IsValid() {
		return f.handOver(ctx, a, out)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := newSilenceTimer(now.Add(f.patience(a, now)), f.n.now, func() bool { return f.n.suspected(a) },
		func() bool { return f.n.mayGiveUp(a) }, func() { cancel(errUnresponsive.Errorf("target %s", a.Target)) })
	defer timer.Stop()
	defer f.probeWhileSilent(ctx, a.Target)()
	if d := f.idleTimeout(a, now); d > 0 {
		timer.Reset(d)
	}
	resp, err := f.n.conns.Send(ctx, f.call(a, now))
	if err != nil {
		return f.attemptFailed(a.Target, out, err)
	}
	defer resp.Body.Close()
	f.heard()
	class, incarnation := f.n.protocol.ClassifyResponse(resp.Status, resp.Header)
	hints := f.n.protocol.TargetHints(resp.Status, resp.Header)
	if f.req.Model != nil {
		hints.Model = f.req.Model.Name
	}
	responder := route.TargetKey{Target: a.Target, Incarnation: a.Incarnation}
	if class == ResponseOtherIncarnation {
		responder.Incarnation = incarnation
	}
	f.recordTargetHints(responder, now, hints)
	if class != ResponseAnswer {
		// The body of a refusal is read only so that the connection can be reused.
		_, err := transport.ReadAll(resp.Body, maxRefusalBody)
		out.Kind, out.Incarnation = route.OutcomeRefused, incarnation
		out.Detail = http.StatusText(resp.Status)
		out.Weights, out.Unavailable = hints.Weights, resp.Status == http.StatusServiceUnavailable
		out.Backoff = hints.Backoff
		if hints.Backoff > 0 {
			out.Detail += fmt.Sprintf(", the target asks for %s of rest", hints.Backoff)
		}
		if err != nil {
			out.Detail += ", cut short: " + err.Error()
		}
		return out
	}
	if resp.Status == http.StatusOK && f.n.protocol.Streams(resp.Header) {
		return f.stream(a, resp, out, timer)
	}
	return f.bufferAnswer(a, resp, out, timer)
}

// probeWhileSilent probes the target of an attempt whenever it has sent nothing for a while, until the
// returned function is called.
func (f *forwarding) probeWhileSilent(ctx context.Context, target netip.AddrPort) (stop func() bool) {
	started := make(chan *time.Timer, 1)
	f.probe = time.AfterFunc(probeSilence, func() {
		f.n.probeSilent(target)
		probe := <-started
		started <- probe
		if ctx.Err() == nil {
			probe.Reset(probeInterval)
		}
	})
	started <- f.probe
	return f.probe.Stop
}

// delayProbe lets the target of the attempt send nothing for as long again. A node that an attempt goes
// by way of is not probed.
func (f *forwarding) delayProbe() {
	if f.probe != nil {
		f.probe.Reset(probeSilence)
	}
}

// recordTargetHints passes the target hints in the response to an attempt sent at the given time to
// the board, before any part of the response is sent on.
func (f *forwarding) recordTargetHints(responder route.TargetKey, sent time.Time, hints route.TargetHints) {
	if responder.Incarnation == "" {
		// Another, unidentified target answered.
		return
	}
	f.n.Lock()
	defer f.n.Unlock()
	f.n.Board().ApplyHints(f.n.now(), responder, sent, hints)
}

// maxRefusalBody limits the body of a target's refusal, in bytes.
const maxRefusalBody = 64 << 10

// stillAllowed checks key and configuration again right before sending, since the process may have
// been suspended, or another configuration adopted, after the request was admitted.
func (f *forwarding) stillAllowed() bool {
	status := f.n.configStatus()
	snap, v := f.n.snapshot(), f.v
	if snap != v.snap && !v.keepsOrg(snap) {
		return false
	}
	if v.org == nil {
		return !status.outdated
	}
	return status.keysConfirmed
}

// keepsOrg reports whether a configuration admits the request for the organisation for which it was
// admitted before, or still without one. The calls of a route that is gone may end by its rules.
func (v *callerRequest) keepsOrg(snap *policy.Snapshot) bool {
	rt, ok := v.routeIn(snap)
	switch {
	case !ok:
		rt = v.route
	case rt.Invalid:
		return false
	}
	if v.org == nil {
		return !snap.NeedsKey(rt)
	}
	org, ok := snap.Authenticate(v.info.Key)
	return ok && !org.Invalid && org.Name == v.org.Name
}

// call builds the request for an attempt.
func (f *forwarding) call(a route.Attempt, now time.Time) transport.Request {
	h := f.head.Clone()
	s := AttemptInfo{Attempt: a, Org: f.req.Org, Remaining: f.req.Deadline.Sub(now), Priority: f.req.Priority}
	s.LastEvent = f.lastEvent
	f.n.protocol.Header(h, s)
	id := f.v.info.ID
	return transport.Request{
		Target: a.Target, Method: f.v.r.Method, URI: f.v.uri, Host: f.v.r.Host, Header: h, Body: f.v.body, Patient: true,
		Sends: &f.sends,
		// An earlier send of the request by this node, for the same other node, is not among f.sends.
		Fresh:   f.req.HandedOver && f.req.Sent,
		Matches: func(h http.Header) bool { return f.n.protocol.BelongsTo(h, id) },
	}
}

// attemptFailed fills in the outcome of a failed attempt.
func (f *forwarding) attemptFailed(target netip.AddrPort, out route.Outcome, err error) route.Outcome {
	if out.Kind = route.OutcomeBroken; errors.Is(err, transport.ErrUnsent) {
		out.Kind = route.OutcomeUnsent
	}
	out.Delivered, out.Detail = f.started, err.Error()
	if f.handedOver {
		// The target stands for another node.
		return out
	}
	if out.Silent = errors.Is(err, transport.ErrUnresponsive); out.Silent && out.Kind != route.OutcomeUnsent {
		f.n.probeUnresponsive(target)
	}
	switch {
	case out.Kind == route.OutcomeUnsent && transport.ConnectionRefused(err):
		f.n.reportCrashed(target)
	case out.Kind == route.OutcomeBroken && transport.ClosedByTarget(err):
		out.Closed = true
		f.n.probeClosed(target)
	}
	return out
}

// maxBufferedAnswer limits a buffered response, in bytes.
const maxBufferedAnswer = 4 << 20

// bufferAnswer reads a response completely before any of it is sent on. An error response of the
// target is kept as the fallback while another target may be tried.
func (f *forwarding) bufferAnswer(a route.Attempt, resp *transport.Response, out route.Outcome, timer *silenceTimer) route.Outcome {
	data, err := f.readAnswer(resp)
	switch {
	case err == nil:
		f.n.memory.countAnswer(f.req.Route, int64(len(data)))
	case errors.Is(err, errNoMemory) && resp.Size >= 0:
		f.n.memory.countAnswer(f.req.Route, min(maxBufferedAnswer, resp.Size))
	}
	out.TargetError = resp.Status >= http.StatusInternalServerError
	again := out.TargetError && !f.handedOver && f.req.Repeatable && (f.started || a.Number < f.req.MaxTries)
	switch {
	case errors.Is(err, errNoMemory) && !f.started && !f.req.Resumable && !again:
		timer.Stop()
		return f.passThrough(a, resp, data, out)
	case err != nil:
		// A target's error is its own failure, whether or not it can be kept.
		out.Local = errors.Is(err, errNoMemory) && !out.TargetError
		f.v.memory.shrink(int64(cap(data)))
		return f.attemptFailed(a.Target, out, err)
	}
	got := &bufferedAnswer{status: resp.Status, header: resp.Header, body: data}
	if again {
		f.keepFallback(got)
		out.Kind = route.OutcomeBroken
		out.Delivered = f.started
		out.Detail = "the target failed: " + http.StatusText(resp.Status)
		return out
	}
	if f.started {
		f.v.memory.shrink(int64(cap(data)))
		out.Kind, out.Delivered = route.OutcomeBroken, true
		out.Detail = "the answer does not go on: " + http.StatusText(resp.Status)
		return out
	}
	f.answer = got
	out.Kind = route.OutcomeDone
	return out
}

// readAnswer reads a complete answer, whose buffer counts as memory of the request.
func (f *forwarding) readAnswer(resp *transport.Response) ([]byte, error) {
	first := int64(0)
	if resp.Size >= 0 && f.v.r.Method != http.MethodHead {
		if first = min(resp.Size+1, maxReadBuffer); !f.v.memory.grow(first) {
			return nil, errNoMemory.Errorf("%d bytes", first)
		}
	}
	return f.v.memory.read(resp.Body, first, maxBufferedAnswer)
}

// keepFallback keeps an error response in place of an earlier one.
func (f *forwarding) keepFallback(a *bufferedAnswer) {
	if f.fallback != nil {
		f.v.memory.shrink(int64(cap(f.fallback.body)))
	}
	f.fallback = a
}

// passThrough sends an answer on as it arrives, since there is no memory to buffer it. The request
// has run, so its answer is worth more than the possibility to retry. The caller occupies the target
// meanwhile, so it gets less time. An answer without a stated size that is larger than any that is buffered is
// cut off: it may have no end.
func (f *forwarding) passThrough(a route.Attempt, resp *transport.Response, read []byte, out route.Outcome) route.Outcome {
	f.firstAfter = f.n.now.Since(f.v.receivedAt)
	if resp.Size >= 0 {
		setLength(f.v.w.Header(), int(resp.Size))
	}
	f.writeHeader(resp)
	f.n.counters.passedThrough.Inc()
	defer occupyTarget(f.v.r)()
	out.Delivered = true
	defer f.v.memory.shrink(int64(cap(read)))
	size := len(read)
	for buf := make([]byte, streamBuffer); ; {
		if err := f.write(a, read); err != nil {
			out.Kind, out.Detail = route.OutcomeBroken, "the caller left: "+err.Error()
			return out
		}
		n, err := resp.Body.Read(buf)
		size += n
		switch read = buf[:n]; {
		case resp.Size < 0 && size > maxBufferedAnswer:
			return f.attemptFailed(a.Target, out, errTooLarge.Errorf("at most %d bytes are taken", maxBufferedAnswer))
		case errors.Is(err, io.EOF):
			if f.write(a, read) == nil {
				f.complete()
			}
			if resp.Size < 0 {
				f.n.memory.countAnswer(f.req.Route, int64(size))
			}
			out.Kind = route.OutcomeDone
			return out
		case err != nil:
			return f.attemptFailed(a.Target, out, err)
		}
	}
}

// writeBuffered sends a complete response to the caller.
func (f *forwarding) writeBuffered(a *bufferedAnswer) {
	f.done = true
	f.firstAfter = f.n.now.Since(f.v.receivedAt)
	copyHeader(f.v.w.Header(), a.header)
	if f.v.r.Method != http.MethodHead {
		setLength(f.v.w.Header(), len(a.body))
	}
	f.v.w.WriteHeader(a.status)
	if _, err := f.v.w.Write(a.body); err != nil {
		f.n.events.Record(event.Event{Code: event.CallerGone, Request: f.v.info.ID, Detail: err.Error()})
	}
}

// copyHeader copies a target's header without hop-by-hop fields. It suppresses the Content-Type
// that net/http would add if the target sent none.
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
