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

// serviceCall is a call of a plain service on its way.
type serviceCall struct {
	r          *Router
	callerReq  *callerRequest
	body       []byte
	atMostOnce bool
	// answer is the service's whole answer; it has no status before it came.
	answer dispatch.ServiceAnswer
}

// handleService serves a call by the configured routes.
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

// callService carries a call through the board to its end.
func (r *Router) callService(s *serviceCall, rt *policy.Route, c *dispatch.Call) *route.Refusal {
	req := s.callerReq.newRequest(c.ID, rt.Pool, time.Duration(rt.Timeout))
	req.Repeatable = !s.atMostOnce
	s.callerReq.w.Header().Set("X-Request-Id", c.ID)
	ctx := s.callerReq.r.Context()
	if s.atMostOnce {
		// The outcome is recorded for the caller's repeat even if the caller leaves.
		ctx = context.WithoutCancel(ctx)
	}
	refusal := r.Serve(ctx, req, c, s.send)
	r.counters.countRequest(s.callerReq, refusal)
	return refusal
}

// writeResult writes the service's answer or the refusal.
func (s *serviceCall) writeResult(refusal *route.Refusal) {
	switch {
	case refusal != nil:
		s.r.protocol.Refuse(s.callerReq.w, *refusal)
	case s.answer.Status != 0:
		s.r.protocol.ServiceAnswer(s.callerReq.w, s.answer)
	}
}

// send makes one attempt of the call; the answer is read whole before any of it is passed on.
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
		// What is cut short is no answer.
		out.Closed, out.Detail = transport.ClosedByTarget(err), err.Error()
		return out
	}
	s.answer = dispatch.ServiceAnswer{Status: reply.Status, ContentType: reply.ContentType, Body: data}
	out.Kind = route.OutcomeDone
	return out
}

// sendFailure says what an attempt without an answer means.
func sendFailure(out route.Outcome, err error) route.Outcome {
	if errors.Is(err, transport.ErrUnsent) {
		out.Kind = route.OutcomeUnsent
	}
	out.Closed = transport.ClosedByTarget(err)
	out.Silent = errors.Is(err, transport.ErrUnresponsive)
	out.Detail = err.Error()
	return out
}

// The time that settling a claim may take, and that recording an outcome may
// hold the answer back.
const (
	claimTimeout  = 2 * time.Second
	recordWait    = 250 * time.Millisecond
	recordTimeout = 30 * time.Second
)

// keyPattern is the form of an idempotency key.
var keyPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// callAtMostOnce serves a call that runs at most once, under the claim of its key.
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
		// The other call of this router has the claim; its outcome comes through the table.
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

// bodyHash names a call's method, path and body.
func (s *serviceCall) bodyHash() string {
	sum := xxh3.HashString128(s.callerReq.r.Method + " " + s.callerReq.r.URL.RequestURI() + "\n" + string(s.body)).Bytes()
	return hex.EncodeToString(sum[:])
}

// takeClaim takes the call's claim, or answers from the one that stands: then there
// is no ticket, and no refusal either if an outcome was replayed.
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

func (r *Router) isServing() bool {
	r.Lock()
	defer r.Unlock()
	r.applyServing()
	return !r.Board().Closed()
}

// abandonClaim clears up a claim whose taking was never answered; nothing was sent under it.
func (r *Router) abandonClaim(key fleet.CallKey, owner, bodyHash string) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	_ = r.claims.Abandon(ctx, key, owner, bodyHash)
}

// replayOutcome gives a repeated call the recorded outcome.
func (s *serviceCall) replayOutcome(o *fleet.Outcome, request string, key fleet.CallKey) {
	s.r.events.Record(event.Event{Code: event.ClaimReplayed, Request: request, Org: key.Org})
	s.r.protocol.ServiceAnswer(s.callerReq.w, dispatch.ServiceAnswer{
		Status: o.Status, ContentType: o.ContentType, Body: o.Body, Replayed: true,
	})
}

// answerDuplicate answers a call whose key another call holds: it waits for that
// one's outcome, and says that the call may have run if none comes.
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

// settleClaim records how a claimed call ended and answers it. An outcome is recorded
// before the answer leaves where the table is quick, and goes on being tried
// after it where it is not.
func (r *Router) settleClaim(s *serviceCall, t *fleet.Ticket, refusal *route.Refusal) {
	var persist func(context.Context) error
	switch {
	case s.answer.Status != 0:
		outcome := fleet.Outcome{Status: s.answer.Status, ContentType: s.answer.ContentType, Body: s.answer.Body}
		persist = func(ctx context.Context) error { return r.claims.Record(ctx, t, outcome) }
	case refusal != nil && refusal.Verdict == route.NotRun:
		persist = func(ctx context.Context) error { return r.claims.Release(ctx, t) }
	default:
		// It may have run: the claim stays open for ever, and repeats are told so.
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
