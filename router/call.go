package router

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/pathhead/pathhead/route"
)

// call is a caller's request as the shell carries it through the board's actions.
type call struct {
	id      string
	actions chan route.Action

	mu        sync.Mutex
	cancels   map[string]context.CancelFunc
	cancelled map[string]bool
}

// actionsHeld is the number of actions a call can have waiting: a Send or a
// Refuse per attempt at most, and there is one attempt at a time.
const actionsHeld = 4

func newCall() *call {
	return &call{
		id:        newID(),
		actions:   make(chan route.Action, actionsHeld),
		cancels:   make(map[string]context.CancelFunc),
		cancelled: make(map[string]bool),
	}
}

// newID returns a new request id; ids of attempts and claims are made from it.
func newID() string {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic("router: no random numbers")
	}
	return hex.EncodeToString(b[:])
}

// push hands an action to the call; a call that is over takes none.
func (c *call) push(a route.Action) {
	if c != nil {
		c.actions <- a
	}
}

// attempt returns the context of an attempt, which may have been cancelled already.
func (c *call) attempt(ctx context.Context, id string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled[id] {
		cancel()
	}
	c.cancels[id] = cancel
	return ctx, cancel
}

// cancel ends an attempt.
func (c *call) cancel(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled[id] = true
	if cancel, ok := c.cancels[id]; ok {
		cancel()
	}
}

// sender sends one attempt and reports its end.
type sender func(ctx context.Context, a route.Attempt) route.Outcome

// serve carries a request from its arrival to its end. It returns the refusal
// that ended it, or nil if it was answered or its caller left.
func (r *Router) serve(ctx context.Context, req route.Request, c *call, send sender) *route.Refusal {
	r.arrive(req, c)
	defer r.leave(c)
	for {
		select {
		case <-ctx.Done():
			r.gone(c)
			return nil
		case a := <-c.actions:
			refusal, over := r.act(ctx, c, a, send)
			if over {
				return refusal
			}
		}
	}
}

func (r *Router) arrive(req route.Request, c *call) {
	r.mu.Lock()
	r.calls[c.id] = c
	r.applyServing()
	r.mu.Unlock()
	r.do(func(b *route.Board, now time.Time) []route.Action { return b.Arrive(now, req) })
}

func (r *Router) leave(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, c.id)
}

func (r *Router) gone(c *call) {
	r.do(func(b *route.Board, now time.Time) []route.Action { return b.Gone(now, c.id) })
}

// act carries out one action; over says that the request has ended.
func (r *Router) act(ctx context.Context, c *call, a route.Action, send sender) (refusal *route.Refusal, over bool) {
	switch a := a.(type) {
	case route.Refuse:
		return &a.Refusal, true
	case route.Send:
		attemptCtx, cancel := c.attempt(ctx, a.Attempt.ID)
		outcome := send(attemptCtx, a.Attempt)
		cancel()
		if ctx.Err() != nil && outcome.Kind != route.OutcomeDone {
			r.gone(c)
			return nil, true
		}
		r.counters.attempt(outcome.Kind)
		r.do(func(b *route.Board, now time.Time) []route.Action { return b.Ended(now, outcome) })
		return nil, outcome.Kind == route.OutcomeDone
	}
	panic("router: action is not for a call")
}
