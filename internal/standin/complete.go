package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"
	"github.com/zeebo/xxh3"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/wire"
)

// completion is the body of a completion request. Resume holds the part of the answer
// that an earlier attempt delivered.
type completion struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    string          `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	CacheSalt string          `json:"cache_salt"`
	Priority  int             `json:"priority"`
	Resume    *wire.Resume    `json:"resume"`
}

// defaultMaxTokens is the answer length for requests without max_tokens.
const defaultMaxTokens = 16

// text returns the prompt as the text that is split into cache blocks.
func (c *completion) text(chat bool) ([]byte, error) {
	if !chat {
		return []byte(c.Prompt), nil
	}
	messages, err := wire.DecodeMessages(gjson.ParseBytes(c.Messages))
	if err != nil {
		return nil, err
	}
	text, _ := route.ChatText(messages)
	return text, nil
}

// Token returns the n-th token of the answer to a prompt. It depends on the prompt and
// the weights only, so any engine with these weights gives the same answer.
func Token(text []byte, weights string, n int) string {
	seed := xxh3.HashSeed(text, xxh3.HashString(weights))
	return strconv.FormatUint(xxh3.HashSeed([]byte(strconv.Itoa(n)), seed)%46656, 36) + " "
}

// Answer returns the first n tokens of the answer to a prompt; tests compare answers with it.
func Answer(text []byte, weights string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(text, weights, i))
	}
	return b.String()
}

// job is one completion request and the state of its run.
type job struct {
	completion
	chat         bool
	text         []byte
	weights      string
	request      string
	attempt      string
	updateRun    func(func(*Run))
	cachedTokens int
}

// complete checks a completion request and, if it is admitted, runs it.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	j := &job{chat: chat, request: r.Header.Get(wire.HeaderRequest), attempt: r.Header.Get(wire.HeaderAttempt)}
	if err := json.NewDecoder(r.Body).Decode(&j.completion); err != nil {
		writeRefusal(w, http.StatusBadRequest, err.Error())
		return
	}
	text, err := j.completion.text(chat)
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, err.Error())
		return
	}
	j.text = text
	if j.MaxTokens == 0 {
		j.MaxTokens = defaultMaxTokens
	}
	w.Header().Set(wire.HeaderIncarnation, e.incarnation)
	if status, reason := e.admit(j, r.Header); reason != "" {
		if after := e.faults.get().RetryAfter; after != "" {
			w.Header().Set("Retry-After", after)
		}
		writeRefusal(w, status, reason)
		return
	}
	e.run(w, r, j)
}

// writeRefusal answers with an error whose header says that the request did not run.
func writeRefusal(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(wire.HeaderRan, wire.RanNo)
	writeJSON(w, status, map[string]any{"error": map[string]string{"message": reason, "type": "not_run"}})
}

// admit checks a request before anything of it runs, including the incarnation and
// weights that the router expects. An empty reason admits the request.
func (e *Engine) admit(j *job, h http.Header) (status int, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	base, adapter, _ := strings.Cut(j.Model, ":")
	m, ok := e.models[base]
	j.weights = m.Weights
	switch {
	case e.faults.get().RefuseAll:
		return http.StatusServiceUnavailable, "refused by an injected fault"
	case e.draining:
		return http.StatusServiceUnavailable, "leaving"
	case !ok || (adapter != "" && !contains(m.Adapters, adapter)):
		return http.StatusNotFound, "model not loaded"
	case !e.cfg.ChecksExpect:
		return 0, ""
	case differs(h.Get(wire.HeaderIncarnation), e.incarnation):
		return http.StatusPreconditionFailed, "incarnation is " + e.incarnation
	case differs(h.Get(wire.HeaderWeights), m.Weights):
		return http.StatusPreconditionFailed, "weights are " + m.Weights
	}
	return 0, ""
}

// differs reports whether a header names a value other than the engine's; an empty
// header expects nothing.
func differs(want, have string) bool { return want != "" && want != have }

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

// run waits for a slot, prefills the prompt and writes the answer.
func (e *Engine) run(w http.ResponseWriter, r *http.Request, j *job) {
	ctx := r.Context()
	if e.batch.acquire(ctx, j.Priority) != nil {
		return
	}
	defer e.batch.release()
	start := 0
	if j.Resume != nil {
		start = j.Resume.Tokens
	}
	j.updateRun = e.runs.start(Run{
		Request: j.request, Attempt: j.attempt, Path: r.URL.Path, Salt: j.CacheSalt,
		Incarnation: e.incarnation, Weights: j.weights, ResumedAt: start, Prompt: route.Tokens(len(j.text)),
	})
	if e.cfg.CrashOn != "" && bytes.Contains(j.text, []byte(e.cfg.CrashOn)) {
		e.cfg.Crash()
	}
	state := runCancelled
	if e.prefill(ctx, j) && e.decode(ctx, w, j, start) {
		state = runDone
	}
	code := event.EngineRan
	if state == runCancelled {
		code = event.EngineCancelled
	}
	e.events.Record(event.Event{
		Code: code, Request: j.request, Attempt: j.attempt, Target: e.cfg.Name,
		Detail: fmt.Sprintf("%d of %d prompt tokens cached", j.cachedTokens, route.Tokens(len(j.text))),
	})
	j.updateRun(func(r *Run) {
		r.State = state
		r.End = time.Now().UTC()
	})
}

// prefill simulates the computation of the prompt's uncached part, one request at a
// time, and fills the cache. It returns false if the context is done first.
func (e *Engine) prefill(ctx context.Context, j *job) bool {
	select {
	case e.batch.prefill <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-e.batch.prefill }()
	text := j.text
	if j.Resume != nil {
		text = append(text[:len(text):len(text)], j.Resume.Text...)
	}
	chain := route.Chain(j.CacheSalt, text, route.BlockBytes, 1)
	n, owners := e.cache.match(chain)
	j.cachedTokens = n * route.BlockTokens
	uncached := route.Tokens(len(text)) - j.cachedTokens
	j.updateRun(func(r *Run) {
		r.Cached = j.cachedTokens
		r.UsedFrom = owners
	})
	if !sleep(ctx, time.Duration(float64(uncached)/e.cfg.PrefillRate*float64(time.Second))) {
		return false
	}
	e.cache.fill(chain, j.request)
	return true
}

// decode writes the answer from token start on. It reports whether the answer was
// written to its end.
func (e *Engine) decode(ctx context.Context, w http.ResponseWriter, j *job, start int) bool {
	attempt := j.attempt
	if e.faults.get().CrossReplies {
		attempt = "crossed-" + attempt
	}
	w.Header().Set(wire.HeaderWeights, j.weights)
	w.Header().Set(wire.HeaderRequest, j.request)
	w.Header().Set(wire.HeaderAttempt, attempt)
	e.setMisreportedHeaders(w.Header())
	out := &chunkWriter{w: w, job: j, attempt: attempt, faults: e.faults}
	if j.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for i := start; i < j.MaxTokens; i++ {
		if !sleep(ctx, e.cfg.DecodeTime) {
			return false
		}
		j.updateRun(func(r *Run) { r.Emitted++ })
		if !out.writeToken(Token(j.text, j.weights, i)) {
			return false
		}
	}
	return out.finish(route.Tokens(len(j.text)), j.MaxTokens-start)
}

// setMisreportedHeaders sets the wrong header that [Faults.Misreport] selects.
func (e *Engine) setMisreportedHeaders(h http.Header) {
	switch e.faults.get().Misreport {
	case MisreportIncarnation:
		h.Set(wire.HeaderIncarnation, "another-"+e.incarnation)
	case MisreportWeights:
		h.Set(wire.HeaderWeights, "other-weights")
	}
}

// chunkWriter writes an answer as server-sent events or as one body, and injects the
// faults of streams.
type chunkWriter struct {
	w       http.ResponseWriter
	job     *job
	attempt string
	faults  *faultState
	seq     int
	swapped []byte // event that is written after the next one
	text    strings.Builder
}

// writeToken writes one token, or collects it if the request did not ask for a stream.
func (c *chunkWriter) writeToken(text string) bool {
	if !c.job.Stream {
		c.text.WriteString(text)
		return true
	}
	return c.writeChunk(c.choice(text, nil), nil)
}

// choice returns the choices of one stream event, in the form of the chat or the text API.
func (c *chunkWriter) choice(text string, finish any) []any {
	if c.job.chat {
		delta := map[string]string{}
		if text != "" {
			delta["content"] = text
		}
		return []any{map[string]any{"index": 0, "delta": delta, "finish_reason": finish}}
	}
	return []any{map[string]any{"index": 0, "text": text, "finish_reason": finish}}
}

// writeChunk writes one numbered event. An injected fault may break the stream before
// it, drop it, repeat it or swap it with the next one.
func (c *chunkWriter) writeChunk(choices []any, usage any) bool {
	c.seq++
	if c.faults.takeStreamBreak(c.seq) {
		panic(http.ErrAbortHandler)
	}
	data, err := json.Marshal(c.body(choices, usage))
	if err != nil {
		return false
	}
	line := fmt.Appendf(nil, "id: %s/%d\ndata: %s\n\n", c.attempt, c.seq, data)
	f := c.faults.get()
	switch c.seq {
	case f.DropAt:
		return true
	case f.SwapAt:
		c.swapped = line
		return true
	case f.DupAt:
		line = append(line, line...)
	}
	line = append(line, c.swapped...)
	c.swapped = nil
	if _, err := c.w.Write(line); err != nil {
		return false
	}
	c.w.(http.Flusher).Flush()
	return true
}

// body returns the members that stream events and whole answers have in common.
func (c *chunkWriter) body(choices []any, usage any) map[string]any {
	object := "text_completion"
	if c.job.chat {
		object = "chat.completion.chunk"
	}
	return map[string]any{
		"id": "cmpl-" + c.job.request, "object": object, "created": time.Now().Unix(),
		"model": c.job.Model, "choices": choices, "usage": usage,
	}
}

// finish writes the finish reason, the usage and the end of the stream, or the whole
// answer if the request did not ask for a stream.
func (c *chunkWriter) finish(prompt, generated int) bool {
	usage := map[string]any{
		"prompt_tokens":         prompt,
		"completion_tokens":     generated,
		"total_tokens":          prompt + generated,
		"prompt_tokens_details": map[string]int{"cached_tokens": c.job.cachedTokens},
	}
	if !c.job.Stream {
		return c.writeBody(usage)
	}
	if c.faults.get().HideFinish {
		return true
	}
	if !c.writeChunk(c.choice("", "stop"), nil) || !c.writeChunk([]any{}, usage) {
		return false
	}
	_, err := io.WriteString(c.w, "data: [DONE]\n\n")
	return err == nil
}

// writeBody writes a whole answer, for requests that did not ask for a stream.
func (c *chunkWriter) writeBody(usage any) bool {
	body := c.body(nil, usage)
	choice := map[string]any{"index": 0, "finish_reason": "stop"}
	if c.job.chat {
		body["object"] = "chat.completion"
		choice["message"] = map[string]string{"role": "assistant", "content": c.text.String()}
	} else {
		choice["text"] = c.text.String()
	}
	body["choices"] = []any{choice}
	writeJSON(c.w, http.StatusOK, body)
	return true
}
