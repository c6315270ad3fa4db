package router

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pathhead/pathhead/dispatch"
	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/transport"
)

// completion is the state of a completion in progress: the caller's parameters
// and the part of the answer received so far.
type completion struct {
	r         *Router
	callerReq *callerRequest
	comp      dispatch.Completion
	params    dispatch.CompletionParams
	req       route.Request
	answer    dispatch.Answer
	// text is the part of the answer delivered so far, tokens the number of its chunks.
	text   strings.Builder
	tokens int
}

// complete serves a validated completion. If it returns a refusal, no response
// has been written and the caller of complete has to write one.
func (r *Router) complete(v *callerRequest, comp dispatch.Completion, model *policy.Model, adapter string) (dispatch.Answer, *route.Refusal) {
	params := comp.Ask()
	c := dispatch.NewCall()
	req := v.newRequest(c.ID, model.Pool, v.snap.Timeout())
	if p, ok := v.snap.PolicyFor(v.labels); ok && p.Pool != "" {
		req.Pool = p.Pool
	}
	req.Repeatable = true
	req.Model = model
	req.Adapter = adapter
	req.Text = params.Text
	req.Bounds = params.Bounds
	req.MaxTokens = params.MaxTokens
	req.Resumable = params.SingleText
	run := &completion{r: r, callerReq: v, comp: comp, params: params, req: req, answer: comp.Answer(v.w, c.ID)}
	send := run.stream
	if !params.Stream && !params.SingleText {
		send = run.bufferAnswer
	}
	refusal := r.Serve(v.r.Context(), req, c, send)
	r.counters.countRequest(v, refusal)
	return run.answer, refusal
}

// startAttempt sends an attempt and checks that the reply is from the expected
// target. It returns either a reply to read or the outcome of a failed attempt.
func (c *completion) startAttempt(ctx context.Context, a route.Attempt, stream bool) (*dispatch.Reply, *route.Outcome) {
	out := &route.Outcome{Request: a.Request, Attempt: a.ID, Kind: route.OutcomeBroken}
	opts := dispatch.SendOptions{Priority: c.req.Priority, Stream: stream}
	if a.Resume {
		opts.Resume, opts.Text, opts.Tokens = true, c.text.String(), c.tokens
	}
	if a.Import.Tokens > 0 {
		c.r.importKept(ctx, a)
	}
	sent := time.Now()
	reply, err := c.comp.Send(ctx, a, opts)
	if err != nil {
		*out = sendFailure(*out, err)
		return nil, out
	}
	out.Incarnation = reply.Incarnation
	c.r.recordTargetHints(a, sent, reply)
	if reply.Status == http.StatusOK && identityMatches(a, reply) {
		return reply, nil
	}
	defer reply.Body.Close()
	out.Kind, out.Detail = classifyFailure(reply)
	return nil, out
}

// recordTargetHints applies the target's hints in the header of a reply to the
// board. They belong to the incarnation named in the reply, or to the one that
// the attempt was sent to if the reply names none.
func (r *Router) recordTargetHints(a route.Attempt, sent time.Time, reply *dispatch.Reply) {
	key := route.TargetKey{Target: a.Target, Incarnation: cmp.Or(reply.Incarnation, a.Incarnation)}
	r.Lock()
	defer r.Unlock()
	r.Board().ApplyHints(time.Now(), key, sent, reply.Reported)
}

// identityMatches compares the incarnation, weights and attempt that a target
// echoes with the expected ones, before any part of its answer is used. A target
// that echoes none of them is assumed to be unchanged since its last poll.
func identityMatches(a route.Attempt, r *dispatch.Reply) bool {
	return echoMatches(string(r.Incarnation), string(a.Incarnation)) && echoMatches(r.Weights, a.Weights) && echoMatches(r.Attempt, a.ID)
}

// echoMatches reports whether two values are equal or one of them is unknown.
func echoMatches(got, want string) bool { return got == "" || want == "" || got == want }

// classifyFailure returns the outcome and the error text of a reply that cannot
// be used as an answer.
func classifyFailure(r *dispatch.Reply) (route.OutcomeKind, string) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxExcerpt))
	text := strconv.Itoa(r.Status) + " " + http.StatusText(r.Status) + ": " + string(data)
	if err != nil {
		text += ", truncated: " + err.Error()
	}
	switch {
	case r.NotRun:
		return route.OutcomeRefused, text
	case r.Status == http.StatusOK:
		return route.OutcomeMismatch, "the answer is from another incarnation, other weights or another attempt than expected"
	}
	return route.OutcomeBroken, text
}

// maxExcerpt is the maximum length of a target's error text in an event, in bytes.
const maxExcerpt = 200

// stream sends an attempt of a streamed completion and forwards its chunks in order.
func (c *completion) stream(ctx context.Context, a route.Attempt) route.Outcome {
	reply, out := c.startAttempt(ctx, a, true)
	if out != nil {
		return *out
	}
	defer reply.Body.Close()
	out = &route.Outcome{
		Request: a.Request, Attempt: a.ID, Kind: route.OutcomeBroken,
		Incarnation: reply.Incarnation,
	}
	check := route.NewStream(a.ID)
	err := c.forwardChunks(reply.Chunks, check, a)
	if n := check.Dropped(); n > 0 {
		c.r.events.Record(event.Event{Code: event.ReplyDropped, Request: a.Request, Attempt: a.ID})
		c.r.counters.droppedChunks.Add(n)
	}
	out.Delivered = c.tokens > 0
	if err != nil {
		out.Closed, out.Detail = transport.ClosedByTarget(err), err.Error()
		return *out
	}
	out.Kind = route.OutcomeDone
	out.Usage = c.totalUsage(check.Usage())
	if err := c.answer.End(out.Usage); err != nil {
		out.Kind = route.OutcomeBroken
		out.Detail = err.Error()
	}
	return *out
}

// totalUsage returns the usage of an answer; for a resumed one it includes the
// tokens delivered by earlier attempts.
func (c *completion) totalUsage(u *route.Usage) *route.Usage {
	if u == nil {
		return nil
	}
	sum := *u
	sum.Completion = max(sum.Completion, c.tokens)
	return &sum
}

// forwardChunks forwards chunks until the stream's end marker.
func (c *completion) forwardChunks(next func() (route.Chunk, error), check *route.Stream, a route.Attempt) error {
	for !check.Complete() {
		chunk, err := next()
		if err != nil {
			return err
		}
		ready, err := check.Accept(chunk)
		for _, out := range ready {
			if err := c.deliver(out, a); err != nil {
				return err
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// deliver forwards one chunk to the caller and reports progress to the board.
func (c *completion) deliver(chunk route.Chunk, a route.Attempt) error {
	if chunk.Text != "" {
		c.text.WriteString(chunk.Text)
		c.tokens++
		c.reportProgress(a)
	}
	return c.answer.Chunk(chunk)
}

// progressChunks is the number of chunks between reports of progress to the board.
const progressChunks = 16

func (c *completion) reportProgress(a route.Attempt) {
	if c.tokens%progressChunks != 1 {
		return
	}
	if c.tokens == 1 {
		c.r.counters.observeFirstToken(time.Since(c.callerReq.startedAt))
	}
	c.r.Do(func(b *route.Board, now time.Time) []route.Action {
		b.Progress(now, a.Request, a.ID)
		return b.FirstToken(now, a.Request, a.ID)
	})
}

// maxAnswer is the maximum size of a buffered answer, in bytes.
const maxAnswer = 16 << 20

// bufferAnswer sends an attempt and reads the whole answer before it forwards it.
func (c *completion) bufferAnswer(ctx context.Context, a route.Attempt) route.Outcome {
	reply, out := c.startAttempt(ctx, a, false)
	if out != nil {
		return *out
	}
	defer reply.Body.Close()
	out = &route.Outcome{Request: a.Request, Attempt: a.ID, Kind: route.OutcomeBroken}
	data, err := transport.ReadAll(reply.Body, maxAnswer)
	if err == nil {
		err = c.answer.Whole(data)
	}
	if err != nil {
		out.Closed, out.Detail = transport.ClosedByTarget(err), err.Error()
		return *out
	}
	out.Kind = route.OutcomeDone
	return *out
}
