package dispatch

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/pathhead/pathhead/route"
)

// Call is a caller's request while its actions from the board are carried out.
type Call struct {
	// ID is the id of the request.
	ID      string
	actions chan route.Action

	mu        sync.Mutex
	cancels   map[string]context.CancelFunc
	cancelled map[string]bool
}

// actionBuffer is the number of actions that may be queued for a call: at most one Send or Refuse
// per attempt, and there is one attempt at a time.
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

// NewCallWithID returns a call with the given id, or with a new id if it is empty.
func NewCallWithID(id string) *Call {
	c := NewCall()
	if id != "" {
		c.ID = id
	}
	return c
}

// NewID returns a new request id. Ids of attempts and claims are derived from it.
func NewID() string {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic("dispatch: read random id: " + err.Error())
	}
	return hex.EncodeToString(b[:])
}

// deliver queues an action for the call. A nil call, which has ended, drops it.
func (c *Call) deliver(a route.Action) {
	if c != nil {
		c.actions <- a
	}
}

// attempt returns the context of an attempt, which may already be cancelled.
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

// cancel cancels an attempt.
func (c *Call) cancel(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled[id] = true
	if cancel, ok := c.cancels[id]; ok {
		cancel()
	}
}

// Sender sends one attempt and returns its outcome.
type Sender func(ctx context.Context, a route.Attempt) route.Outcome

// Serve processes a request from its arrival to its end. It returns the refusal that ended it, or
// nil if it was answered or its caller disconnected.
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
		// Callers choose the ids of their requests, and two requests may use the same one.
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

// execute carries out one action; over is true if the request has ended.
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
	panic("dispatch: unexpected action for a call")
}
