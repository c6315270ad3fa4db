package dispatch

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/pathhead/pathhead/route"
)

// Call is a caller's request as the shell carries it through the board's actions.
type Call struct {
	// ID names the request.
	ID      string
	actions chan route.Action

	mu        sync.Mutex
	cancels   map[string]context.CancelFunc
	cancelled map[string]bool
}

// actionBuffer is the number of actions a call can have waiting: a Send or a
// Refuse per attempt at most, and there is one attempt at a time.
const actionBuffer = 4

// NewCall returns a call with a new id.
func NewCall() *Call {
	return &Call{
		ID:        NewID(),
		actions:   make(chan route.Action, actionBuffer),
		cancels:   make(map[string]context.CancelFunc),
		cancelled: make(map[string]bool),
	}
}

// NewCallWithID returns a call whose request is named by its caller.
func NewCallWithID(id string) *Call {
	c := NewCall()
	if id != "" {
		c.ID = id
	}
	return c
}

// NewID returns a new request id; ids of attempts and claims are made from it.
func NewID() string {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic("dispatch: no random numbers")
	}
	return hex.EncodeToString(b[:])
}

// deliver hands an action to the call; a call that is over takes none.
func (c *Call) deliver(a route.Action) {
	if c != nil {
		c.actions <- a
	}
}

// attempt returns the context of an attempt, which may have been cancelled already.
func (c *Call) attempt(ctx context.Context, id string) (context.Context, context.CancelFunc) {
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
func (c *Call) cancel(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled[id] = true
	if cancel, ok := c.cancels[id]; ok {
		cancel()
	}
}

// Sender sends one attempt and reports its end.
type Sender func(ctx context.Context, a route.Attempt) route.Outcome

// Serve carries a request from its arrival to its end. It returns the refusal
// that ended it, or nil if it was answered or its caller left.
func (d *Driver) Serve(ctx context.Context, req route.Request, c *Call, send Sender) *route.Refusal {
	d.arrive(req, c)
	defer d.removeCall(c)
	for {
		select {
		case <-ctx.Done():
			d.callerGone(c)
			return nil
		case a := <-c.actions:
			refusal, over := d.execute(ctx, c, a, send)
			if over {
				return refusal
			}
		}
	}
}

func (d *Driver) arrive(req route.Request, c *Call) {
	d.mu.Lock()
	for d.calls[c.ID] != nil {
		// Callers name their requests, and two may use one name.
		c.ID += "'"
	}
	req.ID = c.ID
	d.calls[c.ID] = c
	d.onArrival()
	d.mu.Unlock()
	d.Do(func(b *route.Board, now time.Time) []route.Action { return b.Arrive(now, req) })
}

func (d *Driver) removeCall(c *Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.calls, c.ID)
}

func (d *Driver) callerGone(c *Call) {
	d.Do(func(b *route.Board, now time.Time) []route.Action { return b.CallerGone(now, c.ID) })
}

// execute carries out one action; over says that the request has ended.
func (d *Driver) execute(ctx context.Context, c *Call, a route.Action, send Sender) (refusal *route.Refusal, over bool) {
	switch a := a.(type) {
	case route.Refuse:
		return &a.Refusal, true
	case route.Send:
		attemptCtx, cancel := c.attempt(ctx, a.Attempt.ID)
		outcome := send(attemptCtx, a.Attempt)
		cancel()
		if ctx.Err() != nil && outcome.Kind != route.OutcomeDone {
			d.callerGone(c)
			return nil, true
		}
		d.onAttemptEnd(outcome.Kind)
		d.Do(func(b *route.Board, now time.Time) []route.Action { return b.Ended(now, outcome) })
		return nil, outcome.Kind == route.OutcomeDone
	}
	panic("dispatch: action is not for a call")
}
