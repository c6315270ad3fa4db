package router

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/pathhead/pathhead/dispatch"
	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/transport"
)

// serviceCall is a call of a plain service in progress.
type serviceCall struct {
	r          *Router
	callerReq  *callerRequest
	body       []byte
	atMostOnce bool
	// answer is the service's complete answer; its status is 0 until it has arrived.
	answer dispatch.ServiceAnswer
}

// handleService serves a call of a plain service according to the configured routes.
func (r *Router) handleService(v *callerRequest) {
	rt, ok := v.snap.RouteFor(v.r.Host, v.r.URL.Path)
	if !ok {
		r.rejectInvalid(v, http.StatusNotFound, "route_not_found", fmt.Errorf("no route is configured for %s", v.r.URL.Path))
		return
	}
	body, ok := r.receiveBody(v)
	if !ok {
		return
	}
	s := &serviceCall{r: r, callerReq: v, body: body, atMostOnce: !v.snap.Repeatable(v.r.Method, v.r.URL.Path)}
	if s.atMostOnce {
		r.callAtMostOnce(s, rt)
		return
	}
	c := dispatch.NewCall()
	s.writeResult(r.callService(s, rt, c))
}

// callService places the call, retrying it as the board decides, until it has an
// answer or is refused.
func (r *Router) callService(s *serviceCall, rt *policy.Route, c *dispatch.Call) *route.Refusal {
	req := s.callerReq.newRequest(c.ID, rt.Pool, time.Duration(rt.Timeout))
	req.Repeatable = !s.atMostOnce
	s.callerReq.w.Header().Set("X-Request-Id", c.ID)
	ctx := s.callerReq.r.Context()
	if s.atMostOnce {
		// The call continues if the caller disconnects, so that its outcome can be
		// recorded for a retry with the same key.
		ctx = context.WithoutCancel(ctx)
	}
	refusal := r.Serve(ctx, req, c, s.send)
	r.counters.countRequest(s.callerReq, refusal)
	return refusal
}

// writeResult writes the service's answer or the refusal to the caller.
func (s *serviceCall) writeResult(refusal *route.Refusal) {
	switch {
	case refusal != nil:
		s.r.protocol.Refuse(s.callerReq.w, *refusal)
	case s.answer.Status != 0:
		s.r.protocol.ServiceAnswer(s.callerReq.w, s.answer)
	}
}

// send makes one attempt of the call and reads the whole answer, without
// forwarding any of it yet.
func (s *serviceCall) send(ctx context.Context, a route.Attempt) route.Outcome {
	out := route.Outcome{Request: a.Request, Attempt: a.ID, Kind: route.OutcomeBroken}
	r := s.callerReq.r
	sent := time.Now()
	reply, err := s.r.protocol.Call(ctx, a, dispatch.ServiceCall{
		Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header, Body: s.body, AtMostOnce: s.atMostOnce,
	})
	if err != nil {
		return sendFailure(out, err)
	}
	defer reply.Body.Close()
	out.Incarnation = reply.Incarnation
	s.r.recordTargetHints(a, sent, reply)
	if reply.NotRun || !echoMatches(reply.Attempt, a.ID) {
		out.Kind, out.Detail = classifyFailure(reply)
		return out
	}
	data, err := transport.ReadAll(reply.Body, maxAnswer)
	if err != nil {
		// A truncated answer is discarded.
		out.Closed, out.Detail = transport.ClosedByTarget(err), err.Error()
		return out
	}
	s.answer = dispatch.ServiceAnswer{Status: reply.Status, ContentType: reply.ContentType, Body: data}
	out.Kind = route.OutcomeDone
	return out
}

// sendFailure sets the outcome of an attempt that failed without a reply.
func sendFailure(out route.Outcome, err error) route.Outcome {
	if errors.Is(err, transport.ErrUnsent) {
		out.Kind = route.OutcomeUnsent
	}
	out.Closed = transport.ClosedByTarget(err)
	out.Silent = errors.Is(err, transport.ErrUnresponsive)
	out.Detail = err.Error()
	return out
}

const (
	// claimTimeout is the maximum time to take a claim, or to wait for the
	// outcome of the call that holds it.
	claimTimeout = 2 * time.Second
	// recordWait is how long an answer is delayed until its outcome is recorded.
	recordWait = 250 * time.Millisecond
	// recordTimeout is the maximum time to record an outcome or to give up a
	// claim; it continues in the background.
	recordTimeout = 30 * time.Second
)

// keyPattern matches valid idempotency keys.
var keyPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// callAtMostOnce serves a call that must run at most once. The call is sent only
// after the claim on its idempotency key is taken.
func (r *Router) callAtMostOnce(s *serviceCall, rt *policy.Route) {
	key := fleet.CallKey{Org: s.callerReq.org.Name, Route: rt.Name, Key: s.callerReq.caller.CallKey}
	if !keyPattern.MatchString(key.Key) {
		err := errors.New("this call may run only once and needs an Idempotency-Key of 1 to 128 letters, digits and . _ : -")
		r.rejectInvalid(s.callerReq, http.StatusBadRequest, "idempotency_key_missing", err)
		return
	}
	end, first := r.keyedCalls.begin(key)
	defer end()
	if !first {
		// Another call at this router has the claim; its outcome is read from the table.
		r.answerDuplicate(s, key)
		return
	}
	c := dispatch.NewCall()
	ticket, refusal := r.takeClaim(s, key, c.ID)
	if ticket == nil {
		s.writeResult(refusal)
		return
	}
	r.settleClaim(s, ticket, r.callService(s, rt, c))
}

// bodyHash returns a hash of the call's method, path and body, by which the
// reuse of a key for another call is detected.
func (s *serviceCall) bodyHash() string {
	sum := xxh3.HashString128(s.callerReq.r.Method + " " + s.callerReq.r.URL.RequestURI() + "\n" + string(s.body)).Bytes()
	return hex.EncodeToString(sum[:])
}

// takeClaim takes the claim for the call. If the key is claimed already, it writes
// the response of the earlier call, or an error, and returns neither a ticket nor
// a refusal. A refusal is returned if this router does not serve or the table fails.
func (r *Router) takeClaim(s *serviceCall, key fleet.CallKey, owner string) (*fleet.Ticket, *route.Refusal) {
	if !r.isServing() {
		return nil, &route.Refusal{Cause: route.CauseFenced, RetryAfter: time.Second, Detail: "this router does not serve now"}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.callerReq.r.Context()), claimTimeout)
	defer cancel()
	ticket, outcome, err := r.claims.Take(ctx, key, owner, s.bodyHash(), time.Now().UTC())
	switch {
	case err == nil && ticket != nil:
		r.events.Record(event.Event{Code: event.ClaimTaken, Request: owner, Org: key.Org})
		return ticket, nil
	case err == nil:
		s.replayOutcome(outcome, owner, key)
		return nil, nil
	case errors.Is(err, fleet.ErrTaken):
		r.answerDuplicate(s, key)
		return nil, nil
	case errors.Is(err, fleet.ErrBodyDiffers):
		r.rejectInvalid(s.callerReq, http.StatusUnprocessableEntity, "idempotency_key_reused", err)
		return nil, nil
	}
	go r.abandonClaim(key, owner, s.bodyHash())
	return nil, &route.Refusal{Cause: route.CauseStore, RetryAfter: claimTimeout, Detail: "the claim could not be settled"}
}

// isServing reports whether the board accepts requests, after an update by the
// state of the configuration.
func (r *Router) isServing() bool {
	r.Lock()
	defer r.Unlock()
	r.applyServing()
	return !r.Board().Closed()
}

// abandonClaim releases a claim that may have been written although the write
// failed. No call was sent under it.
func (r *Router) abandonClaim(key fleet.CallKey, owner, bodyHash string) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	_ = r.claims.Abandon(ctx, key, owner, bodyHash)
}

// replayOutcome answers a repeated call with the recorded outcome.
func (s *serviceCall) replayOutcome(o *fleet.Outcome, request string, key fleet.CallKey) {
	s.r.events.Record(event.Event{Code: event.ClaimReplayed, Request: request, Org: key.Org})
	s.r.protocol.ServiceAnswer(s.callerReq.w, dispatch.ServiceAnswer{
		Status: o.Status, ContentType: o.ContentType, Body: o.Body, Replayed: true,
	})
}

// answerDuplicate answers a call whose key is claimed by another call. It waits
// for the outcome of that call and replays it; if there is none in time, the
// response states that the call may have run.
func (r *Router) answerDuplicate(s *serviceCall, key fleet.CallKey) {
	ctx, cancel := context.WithTimeout(s.callerReq.r.Context(), claimTimeout)
	defer cancel()
	claim, err := r.claims.Wait(ctx, key)
	switch {
	case err == nil && claim.BodyHash != s.bodyHash():
		r.rejectInvalid(s.callerReq, http.StatusUnprocessableEntity, "idempotency_key_reused", errors.New("the key was used with another body"))
	case err == nil && claim.State == fleet.ClaimDone:
		s.replayOutcome(claim.Outcome, claim.Owner, key)
	case err == nil && claim.State == fleet.ClaimReleased:
		r.protocol.Refuse(s.callerReq.w, route.Refusal{
			Cause: route.CauseClaimed, Verdict: route.NotRun, RetryAfter: time.Second, Detail: "the call that held the key did not run",
		})
	default:
		r.events.Record(event.Event{Code: event.ClaimUnsettled, Request: claim.Owner, Org: key.Org})
		r.protocol.Refuse(s.callerReq.w, route.Refusal{
			Cause: route.CauseClaimed, Verdict: route.MayHaveRun, RetryAfter: claimTimeout,
			Detail: "another call with this key has no outcome yet",
		})
	}
}

// settleClaim records how a claimed call ended and answers it. The answer waits
// up to recordWait for the outcome to be recorded; after that, recording
// continues in the background.
func (r *Router) settleClaim(s *serviceCall, t *fleet.Ticket, refusal *route.Refusal) {
	var persist func(context.Context) error
	switch {
	case s.answer.Status != 0:
		outcome := fleet.Outcome{Status: s.answer.Status, ContentType: s.answer.ContentType, Body: s.answer.Body}
		persist = func(ctx context.Context) error { return r.claims.Record(ctx, t, outcome) }
	case refusal != nil && refusal.Verdict == route.NotRun:
		persist = func(ctx context.Context) error { return r.claims.Release(ctx, t) }
	default:
		// The call may have run. The claim stays open forever, so that every
		// repeat is answered that it may have run.
		s.writeResult(refusal)
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if err := persist(ctx); err != nil {
			r.events.Record(event.Event{Code: event.OutcomeUnsaved, Org: s.callerReq.org.Name, Detail: err.Error()})
			return
		}
		r.events.Record(event.Event{Code: event.OutcomeRecorded, Org: s.callerReq.org.Name})
	}()
	select {
	case <-done:
	case <-time.After(recordWait):
	}
	s.writeResult(refusal)
}
