package wire

import (
	"encoding/json"
	"net/http"

	"github.com/tidwall/gjson"
	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/dispatch"
	"github.com/pathhead/pathhead/internal/door"
	"github.com/pathhead/pathhead/route"
)

// answer writes the answer of a completion to its caller, as a stream or as one body.
type answer struct {
	w       http.ResponseWriter
	comp    *Completion
	request string
	started bool
	// attempt is the first attempt whose chunks were forwarded, and first its first chunk.
	// Chunks of later attempts get the id of first, an answer in one body its other fields too.
	attempt string
	first   gjson.Result
	text    []byte
	reason  *string
}

var _ dispatch.Answer = (*answer)(nil)

// Answer implements [dispatch.Completion].
func (c *Completion) Answer(w http.ResponseWriter, request string) dispatch.Answer {
	return &answer{w: w, comp: c, request: request}
}

// Chunk implements [dispatch.Answer].
func (a *answer) Chunk(c route.Chunk) error {
	if !a.comp.Stream {
		a.collect(c)
		return nil
	}
	if c.Usage != nil && !a.comp.WantUsage {
		return nil
	}
	data, err := a.withFirstID(c)
	if err != nil {
		return err
	}
	a.writeHeader()
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

// withFirstID returns a chunk's JSON; after a resumption it replaces the id with that of the
// answer's first chunk.
func (a *answer) withFirstID(c route.Chunk) ([]byte, error) {
	a.recordFirst(c)
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

// recordFirst stores the first chunk of the answer.
func (a *answer) recordFirst(c route.Chunk) {
	if !a.first.Exists() {
		a.attempt = c.Attempt
		a.first = gjson.ParseBytes(c.Data)
	}
}

func (a *answer) writeHeader() {
	if a.started {
		return
	}
	a.started = true
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Request-Id", a.request)
	a.w.WriteHeader(http.StatusOK)
}

func (a *answer) flush() {
	_ = http.NewResponseController(a.w).Flush()
}

// collect appends a chunk's text to the body that [answer.End] writes.
func (a *answer) collect(c route.Chunk) {
	a.recordFirst(c)
	a.text = append(a.text, c.Text...)
	if c.Finish {
		a.reason = &c.Reason
	}
}

// End implements [dispatch.Answer]. It writes the finish mark, which only a complete answer gets.
func (a *answer) End(u *route.Usage) error {
	if !a.comp.Stream {
		return a.writeCollected(u)
	}
	a.writeHeader()
	_, err := a.w.Write(eventLine([]byte("[DONE]")))
	a.flush()
	return err
}

// writeCollected writes the collected chunks as a response of the API in one body.
func (a *answer) writeCollected(u *route.Usage) error {
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
		Usage   Usage           `json:"usage"`
	}{json.RawMessage(a.first.Get("id").Raw), object, a.first.Get("created").Int(), a.comp.Model, []choice{one}, usageOf(u)}
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	a.w.Header().Set("X-Request-Id", a.request)
	return door.WriteBody(a.w, http.StatusOK, "application/json", data)
}

var errNoJSON = errs.Tag("answer is not valid JSON")

// Whole implements [dispatch.Answer].
func (a *answer) Whole(body []byte) error {
	if !json.Valid(body) {
		return errNoJSON.Errorf("%d bytes", len(body))
	}
	return door.WriteBody(a.w, http.StatusOK, "application/json", body)
}

func usageOf(u *route.Usage) Usage {
	var out Usage
	if u == nil {
		return out
	}
	out.PromptTokens = u.Prompt
	out.CompletionTokens = u.Completion
	out.TotalTokens = u.Prompt + u.Completion
	out.Details.CachedTokens = u.Cached
	return out
}

// Fail implements [dispatch.Answer]. If part of a stream was sent, the error is its
// last event, and the connection is closed without the finish mark, so that no client
// takes the partial answer for a complete one.
func (a *answer) Fail(f route.Refusal) {
	if !a.started {
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
