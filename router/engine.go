package router

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pathhead/pathhead/dispatch"
	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/wire"
)

// completion is a completion on its way: what the caller asked and what arrived so far.
type completion struct {
	r      *Router
	visit  *visit
	comp   *wire.Completion
	req    route.Request
	answer *answer
	// text is the answer delivered so far and tokens the number of chunks it came in.
	text   strings.Builder
	tokens int
}

// complete carries a checked completion to its end; a refusal is left to the caller to write.
func (r *Router) complete(v *visit, comp *wire.Completion, model *policy.Model, adapter string) (*answer, *route.Refusal) {
	c := dispatch.NewCall()
	req := v.request(c.ID, model.Pool, v.snap.Timeout())
	if p, ok := v.snap.PolicyFor(v.labels); ok && p.Pool != "" {
		req.Pool = p.Pool
	}
	req.Repeatable = true
	req.Model = model
	req.Adapter = adapter
	req.Text = comp.Text
	req.Bounds = comp.Bounds
	req.MaxTokens = comp.MaxTokens
	req.Resumable = comp.Plain
	done := &completion{r: r, visit: v, comp: comp, req: req, answer: newAnswer(v.w, comp, c.ID)}
	send := done.stream
	if !comp.Stream && !comp.Plain {
		send = done.whole
	}
	refusal := r.Serve(v.r.Context(), req, c, send)
	r.counters.finished(v, refusal)
	return done.answer, refusal
}

// target prepares the call of an attempt; a resumed one carries what was delivered.
func (c *completion) target(a route.Attempt, stream bool) (wire.Call, error) {
	sending := wire.Sending{Salt: a.Salt, Priority: c.req.Priority, Stream: stream}
	if a.Resume {
		sending.Resume = &wire.Resume{Text: c.text.String(), Tokens: c.tokens}
	}
	body, err := c.comp.Body(sending)
	if err != nil {
		return wire.Call{}, err
	}
	path := "/v1/completions"
	if c.comp.Chat {
		path = "/v1/chat/completions"
	}
	h := attemptHeader(a)
	h.Set("Content-Type", "application/json")
	h.Set(wire.HeaderIncarnation, a.Incarnation)
	h.Set(wire.HeaderWeights, a.Weights)
	return wire.Call{Target: a.Target, Method: http.MethodPost, Path: path, Header: h, Body: body}, nil
}

func attemptHeader(a route.Attempt) http.Header {
	h := make(http.Header)
	h.Set(wire.HeaderRequest, a.Request)
	h.Set(wire.HeaderAttempt, a.ID)
	return h
}

// open sends an attempt and checks who answers. It returns a response to read,
// or the outcome that ended the attempt.
func (c *completion) open(ctx context.Context, a route.Attempt, stream bool) (*http.Response, *route.Outcome) {
	out := &route.Outcome{Request: a.Request, Attempt: a.ID, Kind: route.OutcomeBroken}
	call, err := c.target(a, stream)
	if err != nil {
		out.Kind = route.OutcomeUnsent
		out.Detail = err.Error()
		return nil, out
	}
	if a.Import.Tokens > 0 {
		c.r.importKept(ctx, a)
	}
	resp, err := c.r.targets.Send(ctx, call)
	if err != nil {
		if errors.Is(err, wire.ErrUnsent) {
			out.Kind = route.OutcomeUnsent
		}
		out.Detail = err.Error()
		return nil, out
	}
	out.Incarnation = resp.Header.Get(wire.HeaderIncarnation)
	if resp.StatusCode == http.StatusOK && identityMatches(a, resp.Header) {
		return resp, nil
	}
	defer resp.Body.Close()
	out.Kind, out.Detail = classify(resp)
	return nil, out
}

// identityMatches checks what a target echoes before any of its answer is used.
// A target that echoes nothing is trusted to be what it was polled as.
func identityMatches(a route.Attempt, h http.Header) bool {
	return echoes(h.Get(wire.HeaderIncarnation), a.Incarnation) &&
		echoes(h.Get(wire.HeaderWeights), a.Weights) &&
		echoes(h.Get(wire.HeaderAttempt), a.ID)
}

func echoes(got, want string) bool { return got == "" || want == "" || got == want }

// classify reads what a response that is not an answer means.
func classify(resp *http.Response) (route.OutcomeKind, string) {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxExcerpt))
	switch {
	case resp.Header.Get(wire.HeaderRan) == wire.RanNo:
		return route.OutcomeRefused, resp.Status + ": " + string(data)
	case resp.StatusCode == http.StatusOK:
		return route.OutcomeMismatch, "the answer is not from the expected incarnation, weights or attempt"
	}
	return route.OutcomeBroken, resp.Status + ": " + string(data)
}

// maxExcerpt bounds how much of a target's error goes into events, in bytes.
const maxExcerpt = 200

// stream sends an attempt as a stream and passes its chunks on in order.
func (c *completion) stream(ctx context.Context, a route.Attempt) route.Outcome {
	resp, out := c.open(ctx, a, true)
	if out != nil {
		return *out
	}
	defer resp.Body.Close()
	out = &route.Outcome{
		Request: a.Request, Attempt: a.ID, Kind: route.OutcomeBroken,
		Incarnation: resp.Header.Get(wire.HeaderIncarnation),
	}
	check := route.NewStream(a.ID)
	err := c.copyChunks(wire.NewEventReader(resp.Body), check, a)
	if n := check.Dropped(); n > 0 {
		c.r.events.Record(event.Event{Code: event.ReplyDropped, Request: a.Request, Attempt: a.ID})
		c.r.counters.dropped.Add(n)
	}
	out.Delivered = c.tokens > 0
	if err != nil {
		out.Detail = err.Error()
		return *out
	}
	out.Kind = route.OutcomeDone
	out.Usage = c.total(check.Usage())
	if err := c.answer.end(out.Usage); err != nil {
		out.Kind = route.OutcomeBroken
		out.Detail = err.Error()
	}
	return *out
}

// total joins the usage of a resumed answer with what was delivered before it.
func (c *completion) total(u *route.Usage) *route.Usage {
	if u == nil {
		return nil
	}
	whole := *u
	whole.Completion = max(whole.Completion, c.tokens)
	return &whole
}

// copyChunks passes chunks on until the stream's end mark.
func (c *completion) copyChunks(in *wire.EventReader, check *route.Stream, a route.Attempt) error {
	for !check.Whole() {
		chunk, err := in.Next()
		if err != nil {
			return err
		}
		ready, err := check.Accept(chunk)
		for _, out := range ready {
			if err := c.take(out, a); err != nil {
				return err
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// take passes one chunk on and tells the board of the first.
func (c *completion) take(chunk route.Chunk, a route.Attempt) error {
	if chunk.Text != "" {
		c.text.WriteString(chunk.Text)
		c.tokens++
		c.progress(a)
	}
	return c.answer.chunk(chunk)
}

// progressEvery is the number of chunks between reports of progress to the board.
const progressEvery = 16

func (c *completion) progress(a route.Attempt) {
	if c.tokens%progressEvery != 1 {
		return
	}
	if c.tokens == 1 {
		c.r.counters.firstToken(time.Since(c.visit.begun))
	}
	c.r.Do(func(b *route.Board, now time.Time) []route.Action {
		b.Progress(now, a.Request, a.ID)
		return b.FirstToken(now, a.Request, a.ID)
	})
}

// maxAnswer bounds an answer that is read whole, in bytes.
const maxAnswer = 16 << 20

// whole sends an attempt whose answer is passed on as one body.
func (c *completion) whole(ctx context.Context, a route.Attempt) route.Outcome {
	resp, out := c.open(ctx, a, false)
	if out != nil {
		return *out
	}
	defer resp.Body.Close()
	out = &route.Outcome{Request: a.Request, Attempt: a.ID, Kind: route.OutcomeBroken}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		out.Detail = err.Error()
		return *out
	}
	if len(data) > maxAnswer || !json.Valid(data) {
		out.Detail = "the answer is not whole JSON of a bounded size"
		return *out
	}
	out.Kind = route.OutcomeDone
	writeBody(c.visit.w, http.StatusOK, "application/json", data)
	return *out
}
