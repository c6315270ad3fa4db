package node

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/pathhead/pathhead/event"
)

// cutReason is the reason that a caller's connection is closed without a complete answer.
type cutReason string

// Reasons for closing a caller's connection without a complete answer.
const (
	// cutByCaller means that the caller disconnected or did not take the answer.
	cutByCaller cutReason = "caller"
	// cutUnfinished means that the answer ended after a part of it was sent.
	cutUnfinished cutReason = "unfinished"
	// cutByPanic means that the handler of the request panicked.
	cutByPanic cutReason = "panic"
)

// heard records that a part of an answer arrived, or that an attempt ended.
func (f *forwarding) heard() {
	now := f.n.now()
	f.silence, f.heardAt = max(f.silence, now.Sub(f.heardAt)), now
}

// attemptEnded records the end of an attempt with the given context.
func (f *forwarding) attemptEnded(ctx context.Context) {
	f.cancelled, f.silentFor = ctx.Err() != nil, f.n.now.Since(f.heardAt)
	f.heard()
}

// stopCutState is the state of a request that a planned stop cuts off.
type stopCutState string

// States of a request that a planned stop cuts off.
const (
	// cutWorking means that its target was sending.
	cutWorking stopCutState = "working"
	// cutSilent means that its target sent nothing during the last part of the stop.
	cutSilent stopCutState = "silent"
	// cutWaiting means that it waited for a target.
	cutWaiting stopCutState = "waiting"
	// cutCaller means that its caller left, or did not take the answer until the end.
	cutCaller stopCutState = "caller"
)

// silentPart is the last part of a stop's grace in which a target that is at work sends something.
const silentPart = 1.0 / 6

// stopCut counts a request that is cut off during a planned stop, and describes it for the event.
func (f *forwarding) stopCut(s *plannedStop, reason cutReason, now time.Time) string {
	state := cutWorking
	switch {
	case reason == cutByCaller:
		state = cutCaller
	case !f.cancelled:
		state = cutWaiting
	case f.silentFor >= fraction(s.grace, silentPart):
		state = cutSilent
	}
	sinceStop := f.v.receivedAt.Sub(s.begunAt)
	f.n.counters.stopCut(state, sinceStop >= 0)
	text := fmt.Sprintf("; %s after the stop began, its request arrived %s after that, state %s", now.Sub(s.begunAt).Round(time.Millisecond),
		sinceStop.Round(time.Millisecond), state)
	if f.cancelled {
		text += fmt.Sprintf(", the target sent nothing for the last %s", f.silentFor.Round(time.Millisecond))
	}
	return text
}

// cut records that the request ends without a complete answer and closes the caller's connection.
func (f *forwarding) cut(reason cutReason, detail string) {
	now := f.n.now()
	text := string(reason)
	if detail != "" {
		text += ", " + detail
	}
	if !f.heardAt.IsZero() {
		text += fmt.Sprintf("; a target sent nothing for %s", f.silence.Round(time.Millisecond))
	}
	text += fmt.Sprintf("; %s after the arrival", now.Sub(f.v.receivedAt).Round(time.Millisecond))
	if age, ok := f.n.configurationAge(now); ok {
		text += fmt.Sprintf(", %s after the configuration was adopted", age.Round(time.Millisecond))
	}
	if s := f.n.stop.Load(); s != nil {
		text += f.stopCut(s, reason, now)
	}
	f.n.counters.cut(reason)
	f.n.events.Record(event.Event{Code: event.AnswerCut, Request: f.v.info.ID, Org: f.req.Org, Route: f.req.Route, Detail: text})
	panic(http.ErrAbortHandler)
}

// configurationAge returns how long ago the configuration in use was adopted.
func (n *Node) configurationAge(now time.Time) (age time.Duration, ok bool) {
	n.Lock()
	defer n.Unlock()
	return now.Sub(n.adoptedAt), !n.adoptedAt.IsZero()
}

// logPanic records a panic of a request's handler and panics again, so that the server closes the
// connection. Closing it deliberately is no fault.
func (n *Node) logPanic(v *callerRequest) {
	p := recover()
	if p == nil {
		return
	}
	if p != http.ErrAbortHandler {
		n.counters.cut(cutByPanic)
		n.events.Record(event.Event{Code: event.HandlerPanicked, Request: v.info.ID, Detail: fmt.Sprintf("%v\n%s", p, debug.Stack())})
	}
	panic(p)
}
