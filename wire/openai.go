package wire

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/route"
)

// Completion is a caller's request to a model, checked as far as the router needs.
type Completion struct {
	Chat      bool
	Model     string
	Stream    bool
	WantUsage bool
	MaxTokens int
	// Text is the prompt as one text, Bounds the offsets in it where messages end.
	Text   []byte
	Bounds []int
	// Plain says that the answer is one text, so that a broken one can be resumed.
	Plain bool

	fields map[string]json.RawMessage
}

// defaultMaxTokens is charged for a request that names no bound on its answer.
const defaultMaxTokens = 256

// structured lists the fields that make an answer more than one text.
var structured = []string{"tools", "functions", "logprobs", "top_logprobs", "echo", "audio", "modalities", "response_format"}

// reserved lists the fields that callers may not set, since the router does.
var reserved = []string{"cache_salt", "resume"}

// ParseCompletion reads a request body of the OpenAI API.
func ParseCompletion(data []byte, chat bool) (*Completion, error) {
	c := &Completion{Chat: chat, Plain: true}
	if err := json.Unmarshal(data, &c.fields); err != nil {
		return nil, errs.Errorf("the body is not a JSON object: %w", err)
	}
	if c.fields == nil {
		return nil, errs.Errorf("the body is not a JSON object")
	}
	for _, name := range reserved {
		if _, ok := c.fields[name]; ok {
			return nil, errs.Errorf("%s is not a field that callers set", name)
		}
	}
	if err := c.readOptions(); err != nil {
		return nil, err
	}
	return c, c.readPrompt()
}

func (c *Completion) readOptions() error {
	var (
		n       = 1
		options struct {
			IncludeUsage bool `json:"include_usage"`
		}
		longest int
	)
	for _, f := range []struct {
		name string
		into any
	}{
		{"model", &c.Model},
		{"stream", &c.Stream},
		{"stream_options", &options},
		{"max_tokens", &c.MaxTokens},
		{"max_completion_tokens", &longest},
		{"n", &n},
	} {
		if err := c.field(f.name, f.into); err != nil {
			return err
		}
	}
	if c.Model == "" {
		return errs.Errorf("model is missing")
	}
	if longest > 0 {
		c.MaxTokens = longest
	}
	if c.MaxTokens < 0 || n < 1 {
		return errs.Errorf("max_tokens and n must not be negative")
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultMaxTokens
	}
	c.WantUsage = options.IncludeUsage
	c.Plain = n == 1 && !c.hasAny(structured)
	return nil
}

func (c *Completion) field(name string, into any) error {
	raw, ok := c.fields[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return errs.Errorf("%s is of a wrong type", name)
	}
	return nil
}

func (c *Completion) hasAny(names []string) bool {
	for _, name := range names {
		if raw, ok := c.fields[name]; ok && !bytes.Equal(raw, []byte("null")) && !bytes.Equal(raw, []byte("false")) {
			return true
		}
	}
	return false
}

func (c *Completion) readPrompt() error {
	if !c.Chat {
		raw, ok := c.fields["prompt"]
		if !ok {
			return errs.Errorf("prompt is missing")
		}
		text, err := route.PromptText(raw)
		c.Text = text
		return err
	}
	var messages []route.Message
	if err := c.field("messages", &messages); err != nil {
		return err
	}
	if len(messages) == 0 {
		return errs.Errorf("messages is missing or empty")
	}
	c.Text, c.Bounds = route.ChatText(messages)
	return nil
}

// Sending is what the router adds to a request on its way to an engine.
type Sending struct {
	Salt     string
	Priority int
	Stream   bool
	Resume   *Resume
}

// Body writes the request for an engine: the caller's fields as they came, and the router's.
func (c *Completion) Body(s Sending) ([]byte, error) {
	extra := struct {
		CacheSalt     string          `json:"cache_salt"`
		Priority      int             `json:"priority"`
		Stream        bool            `json:"stream"`
		StreamOptions json.RawMessage `json:"stream_options,omitempty"`
		Resume        *Resume         `json:"resume,omitempty"`
	}{CacheSalt: s.Salt, Priority: s.Priority, Stream: s.Stream, Resume: s.Resume}
	if s.Stream {
		extra.StreamOptions = json.RawMessage(`{"include_usage":true}`)
	}
	tail, err := json.Marshal(extra)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	var b bytes.Buffer
	b.WriteByte('{')
	for _, name := range slices.Sorted(maps.Keys(c.fields)) {
		if routerSets[name] {
			continue
		}
		key, err := json.Marshal(name)
		if err != nil {
			return nil, errs.Wrap(err)
		}
		b.Write(key)
		b.WriteByte(':')
		b.Write(c.fields[name])
		b.WriteByte(',')
	}
	b.Write(tail[1:])
	return b.Bytes(), nil
}

// routerSets names the fields that Body replaces.
var routerSets = map[string]bool{
	"cache_salt": true, "priority": true, "stream": true, "stream_options": true, "resume": true,
}
