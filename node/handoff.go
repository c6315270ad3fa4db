package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/transport"
)

// Headers between two nodes, of which one hands a caller's request over to the other. They are
// dropped from what callers and targets send.
const (
	// handoffRevision is the revision of the configuration that admitted the request.
	handoffRevision = "Pathhead-Handoff-Revision"
	// handoffTries is how many targets the request may be sent to, or was sent to in a refusal.
	handoffTries = "Pathhead-Handoff-Tries"
	// handoffWaited is how long the sender had the request, in microseconds.
	handoffWaited = "Pathhead-Handoff-Waited"
	// handoffSent is set if a target has received the request before.
	handoffSent = "Pathhead-Handoff-Sent"
	// handoffLastEvent is the id of the last event that the caller received.
	handoffLastEvent = "Pathhead-Handoff-Last-Event"
	// handoffRelease is the release at which the answer has to run, after releaseMark; it is not set if
	// any release may run it.
	handoffRelease = "Pathhead-Handoff-Release"
	// handoffResult tells whether a response is the answer of a target or a refusal.
	handoffResult = "Pathhead-Handoff-Result"
	// handoffCause, handoffVerdict, handoffRetryAfter and handoffDetail describe a refusal; the time
	// is in milliseconds.
	handoffCause      = "Pathhead-Handoff-Cause"
	handoffVerdict    = "Pathhead-Handoff-Verdict"
	handoffRetryAfter = "Pathhead-Handoff-Retry-After"
	handoffDetail     = "Pathhead-Handoff-Detail"
)

// releaseMark stands before a release, whose name may be empty.
const releaseMark = "="

// Values of handoffResult.
const (
	resultAnswer  = "answer"
	resultRefusal = "refusal"
)

var handoffHeaders = []string{
	handoffRevision, handoffTries, handoffWaited, handoffSent, handoffLastEvent, handoffRelease, handoffResult, handoffCause, handoffVerdict,
	handoffRetryAfter, handoffDetail,
}

// dropHandoffHeaders removes the headers that only nodes send to each other.
func dropHandoffHeaders(h http.Header) {
	for _, name := range handoffHeaders {
		h.Del(name)
	}
}

// dialHandoff opens a connection to the peer listener of another node for requests handed over.
func dialHandoff(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	if _, err := io.WriteString(conn, peer.HandoffPreface); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return conn, nil
}

// handOver makes one attempt by way of another node.
func (f *forwarding) handOver(ctx context.Context, a route.Attempt, out route.Outcome) (end route.Outcome) {
	defer func() { f.n.counters.handedOver(end.Kind) }()
	f.handedOver, f.probe = true, nil
	defer func() { f.handedOver = false }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := newSilenceTimer(f.req.Deadline, f.n.now, func() bool { return false },
		func() bool { return f.n.mayGiveUp(a) }, func() { cancel(errUnresponsive.Errorf("node %s", a.Via)) })
	defer timer.Stop()
	resp, err := f.n.handoffs.Send(ctx, f.handoffRequest(a))
	if err != nil {
		return f.attemptFailed(a.Target, out, err)
	}
	defer resp.Body.Close()
	result := resp.Header.Get(handoffResult)
	if result == resultRefusal {
		return f.handoffRefused(resp, out)
	}
	dropHandoffHeaders(resp.Header)
	if resp.Status == http.StatusOK && f.n.protocol.Streams(resp.Header) {
		return f.stream(a, resp, out, timer)
	}
	return f.bufferAnswer(a, resp, out, timer)
}

// handoffRequest builds the request for another node. It has the caller's header, since the other
// node checks key, route and limits of the header by itself.
func (f *forwarding) handoffRequest(a route.Attempt) transport.Request {
	h := f.head.Clone()
	h.Set(handoffRevision, strconv.FormatInt(f.req.Revision, 10))
	h.Set(handoffTries, strconv.Itoa(a.Tries))
	h.Set(handoffWaited, strconv.FormatInt(f.n.now.Since(f.v.receivedAt).Microseconds(), 10))
	if a.Sent {
		h.Set(handoffSent, "true")
	}
	if a.Resume && f.lastEvent != "" {
		h.Set(handoffLastEvent, f.lastEvent)
	}
	if a.Pin.Set {
		h.Set(handoffRelease, releaseMark+a.Pin.Release)
	}
	id := f.v.info.ID
	return transport.Request{
		Target: a.Via, Method: f.v.r.Method, URI: f.v.uri, Host: f.v.r.Host, Header: h, Body: f.v.body,
		Matches: func(h http.Header) bool {
			switch h.Get(handoffResult) {
			case resultRefusal:
				return true
			case resultAnswer:
				return f.n.protocol.BelongsTo(h, id)
			}
			return false
		},
	}
}

// handoffRefused returns the outcome of an attempt that another node refused.
func (f *forwarding) handoffRefused(resp *transport.Response, out route.Outcome) route.Outcome {
	refusal, detail := parseHandoffRefusal(resp.Header)
	// The body is empty; it is read so that the connection can be used again.
	if _, err := transport.ReadAll(resp.Body, maxRefusalBody); err != nil {
		detail += ", cut short: " + err.Error()
	}
	out.Kind, out.Handoff, out.Detail, out.Delivered = route.OutcomeBroken, &refusal, detail, f.started
	if refusal.Verdict == route.NotRun {
		out.Kind = route.OutcomeRefused
	}
	return out
}

// parseHandoffRefusal reads a refusal. What it does not understand, as of another release, counts as
// if the request may have run.
func parseHandoffRefusal(h http.Header) (r route.HandoffRefusal, detail string) {
	r = route.HandoffRefusal{Cause: route.CauseBroken, Verdict: route.MayHaveRun}
	if cause, ok := route.ParseCause(h.Get(handoffCause)); ok {
		r.Cause = cause
	}
	if h.Get(handoffVerdict) == route.NotRun.String() {
		r.Verdict = route.NotRun
	}
	if ms, err := strconv.ParseInt(h.Get(handoffRetryAfter), 10, 64); err == nil && ms > 0 {
		r.RetryAfter = min(time.Duration(ms)*time.Millisecond, time.Hour)
	}
	if n, err := strconv.Atoi(h.Get(handoffTries)); err == nil && n >= 0 {
		r.Tries = n
	}
	return r, "another node: " + h.Get(handoffDetail)
}

// writeHandoffRefusal answers a node that handed a request over with a refusal.
func writeHandoffRefusal(w http.ResponseWriter, f route.Refusal) {
	h := w.Header()
	h.Set(handoffResult, resultRefusal)
	h.Set(handoffCause, f.Cause.String())
	h.Set(handoffVerdict, f.Verdict.String())
	h.Set(handoffRetryAfter, strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
	h.Set(handoffTries, strconv.Itoa(f.Tries))
	h.Set(handoffDetail, strings.Map(printable, f.Detail))
	setLength(h, 0)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// printable replaces the characters that may not stand in a header.
func printable(r rune) rune {
	if r < ' ' || r > '~' {
		return '?'
	}
	return r
}

// handoffPeers returns the nodes that take requests from this one. In a large fleet others is the
// merged state of all other nodes.
func (n *Node) handoffPeers(large bool, others route.PeerState) []route.HandoffPeer {
	var out []route.HandoffPeer
	if large {
		cutOff := others.CutOffPools()
		for _, m := range n.relays.handoffMembers() {
			out = append(out, route.HandoffPeer{Addr: m.Addr, Zone: m.Zone, CutOff: cutOff[m.Addr]})
		}
		return out
	}
	for _, e := range n.gossip.Live() {
		if e.Payload.TakesHandoffs && !e.Payload.Draining {
			out = append(out, route.HandoffPeer{Addr: e.Addr, Zone: e.Payload.Zone, CutOff: e.Payload.State.CutOff})
		}
	}
	return out
}

// handoffMembers returns the other nodes of a large fleet that take requests.
func (r *relays) handoffMembers() []fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.roster.Self().ID
	return slices.DeleteFunc(slices.Clone(r.roster.Members(r.n.now())), func(m fleet.Member) bool { return m.ID == own || !m.TakesHandoffs })
}

// probeLinks probes targets of pools from which this node is cut off.
func (n *Node) probeLinks() {
	n.Lock()
	targets := n.Board().LinkProbes(n.now())
	n.Unlock()
	for _, target := range targets {
		n.probeAsync(target, func() bool { return true })
	}
}
