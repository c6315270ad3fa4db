package router

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/wire"
)

// The headers of answers to callers.
const (
	headerVerdict      = "X-Pathhead-Verdict"
	headerRetryAfterMS = "Retry-After-Ms"
	headerShouldRetry  = "X-Should-Retry"
)

// answer writes a completion's answer to its caller, as a stream or as one body.
type answer struct {
	w       http.ResponseWriter
	comp    *wire.Completion
	request string
	begun   bool
	// attempt is the first whose chunks were passed on; later ones' chunks take
	// its id, and a whole answer what else stands in its first chunk.
	attempt string
	first   gjson.Result
	text    []byte
	reason  *string
}

func newAnswer(w http.ResponseWriter, comp *wire.Completion, request string) *answer {
	return &answer{w: w, comp: comp, request: request}
}

// chunk passes one chunk on, or keeps it for a caller that wants one body.
func (a *answer) chunk(c route.Chunk) error {
	if !a.comp.Stream {
		a.collect(c)
		return nil
	}
	if c.Usage != nil && !a.comp.WantUsage {
		return nil
	}
	data, err := a.sameID(c)
	if err != nil {
		return err
	}
	a.begin()
	if _, err := a.w.Write(eventLine(data)); err != nil {
		return err
	}
	a.flush()
	return nil
}

func eventLine(data []byte) []byte {
	line := make([]byte, 0, len(data)+8)
	line = append(line, "data: "...)
	line = append(line, data...)
	return append(line, "\n\n"...)
}

// sameID returns a chunk's JSON, with the id of the answer's first chunks where it is resumed.
func (a *answer) sameID(c route.Chunk) ([]byte, error) {
	a.remember(c)
	if a.attempt == c.Attempt {
		return c.Data, nil
	}
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(c.Data, &fields); err != nil {
		return nil, err
	}
	fields["id"] = json.RawMessage(a.first.Get("id").Raw)
	return json.Marshal(fields)
}

// remember keeps the answer's first chunk.
func (a *answer) remember(c route.Chunk) {
	if !a.first.Exists() {
		a.attempt = c.Attempt
		a.first = gjson.ParseBytes(c.Data)
	}
}

func (a *answer) begin() {
	if a.begun {
		return
	}
	a.begun = true
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Request-Id", a.request)
	a.w.WriteHeader(http.StatusOK)
}

func (a *answer) flush() {
	_ = http.NewResponseController(a.w).Flush()
}

// collect keeps a chunk's text for [answer.end].
func (a *answer) collect(c route.Chunk) {
	a.remember(c)
	a.text = append(a.text, c.Text...)
	if c.Finish {
		a.reason = &c.Reason
	}
}

// end writes the finish mark, which only a whole answer gets.
func (a *answer) end(u *route.Usage) error {
	if !a.comp.Stream {
		return a.writeWhole(u)
	}
	a.begin()
	_, err := a.w.Write(eventLine([]byte("[DONE]")))
	a.flush()
	return err
}

// writeWhole writes the collected answer as the API's one body.
func (a *answer) writeWhole(u *route.Usage) error {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type choice struct {
		Index        int      `json:"index"`
		Message      *message `json:"message,omitempty"`
		Text         *string  `json:"text,omitempty"`
		FinishReason *string  `json:"finish_reason"`
	}
	text := string(a.text)
	one := choice{FinishReason: a.reason}
	object := "text_completion"
	if a.comp.Chat {
		object = "chat.completion"
		one.Message = &message{"assistant", text}
	} else {
		one.Text = &text
	}
	body := struct {
		ID      json.RawMessage `json:"id"`
		Object  string          `json:"object"`
		Created int64           `json:"created"`
		Model   string          `json:"model"`
		Choices []choice        `json:"choices"`
		Usage   wire.Usage      `json:"usage"`
	}{json.RawMessage(a.first.Get("id").Raw), object, a.first.Get("created").Int(), a.comp.Model, []choice{one}, usageOf(u)}
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	a.w.Header().Set("X-Request-Id", a.request)
	return writeBody(a.w, http.StatusOK, "application/json", data)
}

func usageOf(u *route.Usage) wire.Usage {
	var out wire.Usage
	if u == nil {
		return out
	}
	out.PromptTokens = u.Prompt
	out.CompletionTokens = u.Completion
	out.TotalTokens = u.Prompt + u.Completion
	out.Details.CachedTokens = u.Cached
	return out
}

// fail gives the caller the final error. Where part of a stream has left, the
// error is its last event and the connection is cut without the finish mark, so
// that no client takes what it has for the whole.
func (a *answer) fail(f route.Refusal) {
	if !a.begun {
		a.w.Header().Set("X-Request-Id", a.request)
		writeRefusal(a.w, f)
		return
	}
	data, err := json.Marshal(refusalBody(f))
	if err == nil {
		_, _ = a.w.Write(eventLine(data))
		a.flush()
	}
	panic(http.ErrAbortHandler)
}

// errorBody is the JSON of every error, in the form that OpenAI clients read.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string `json:"message"`
	Type         string `json:"type"`
	Code         string `json:"code"`
	Verdict      string `json:"verdict"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

func refusalBody(f route.Refusal) errorBody {
	return errorBody{errorDetail{
		Message:      f.Cause.String() + ": " + f.Detail + " (" + f.Verdict.String() + ")",
		Type:         "pathhead_error",
		Code:         f.Cause.String(),
		Verdict:      f.Verdict.String(),
		RetryAfterMS: f.RetryAfter.Milliseconds(),
	}}
}

// statusOf is the status of a refusal.
func statusOf(c route.Cause) int {
	switch c {
	case route.CauseLimit:
		return http.StatusTooManyRequests
	case route.CauseDeadline:
		return http.StatusGatewayTimeout
	case route.CauseBroken:
		return http.StatusBadGateway
	case route.CauseClaimed:
		return http.StatusConflict
	case route.CauseOverload, route.CauseNoTarget, route.CauseRetries,
		route.CauseStopping, route.CauseFenced, route.CauseChanged, route.CauseStore:
		return http.StatusServiceUnavailable
	}
	panic("router: unknown cause")
}

// writeRefusal answers a request that failed before any of its answer left.
func writeRefusal(w http.ResponseWriter, f route.Refusal) {
	h := w.Header()
	h.Set(headerVerdict, f.Verdict.String())
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((f.RetryAfter+time.Second-1)/time.Second)))
		h.Set(headerRetryAfterMS, strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
	} else {
		h.Set(headerShouldRetry, "false")
	}
	writeJSON(w, statusOf(f.Cause), refusalBody(f))
}

// writeFault answers a request that is wrong in itself and was not forwarded.
func writeFault(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set(headerVerdict, route.NotRun.String())
	w.Header().Set(headerShouldRetry, "false")
	writeJSON(w, status, errorBody{errorDetail{
		Message: message, Type: "invalid_request_error", Code: code, Verdict: route.NotRun.String(),
	}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic("router: an answer does not encode: " + err.Error())
	}
	_ = writeBody(w, status, "application/json", data)
}

// writeBody writes a whole body with its length, so that a cut one is seen.
func writeBody(w http.ResponseWriter, status int, contentType string, data []byte) error {
	h := w.Header()
	h.Set("Content-Type", contentType)
	h.Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, err := w.Write(data)
	return err
}
