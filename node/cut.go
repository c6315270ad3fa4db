package node

import (
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
	// cutByNode means that this node closed the connection between two requests.
	cutByNode cutReason = "closed"
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

// cut records that the request ends without a complete answer and closes the caller's connection.
func (f *forwarding) cut(reason cutReason, detail string) {
	now := f.n.now()
	if closedFor := closeReasonOf(f.v.r); reason == cutByCaller && closedFor != "" {
		reason, detail = cutByNode, string(closedFor)
	}
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
