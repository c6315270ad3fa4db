package wire

import (
	"bytes"
	"cmp"
	"encoding/json"
	"math"
	"strings"

	"github.com/tidwall/gjson"
	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/dispatch"
	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/transport"
)

// Completion is a caller's request to a model, validated as far as the router needs.
// It implements [dispatch.Completion].
type Completion struct {
	dispatch.CompletionParams
	Chat      bool
	WantUsage bool

	targets *transport.Pool
	fields  []field
}

// Ask implements [dispatch.Completion].
func (c *Completion) Ask() dispatch.CompletionParams { return c.CompletionParams }

// field is one member of the caller's JSON object, with its value unchanged.
type field struct {
	name  string
	value gjson.Result
}

// defaultMaxTokens is the length of the answer that is charged for a request without a limit of its own.
const defaultMaxTokens = 256

// structured lists the fields whose answers have more than one plain text.
var structured = []string{"tools", "functions", "logprobs", "top_logprobs", "echo", "audio", "modalities", "response_format"}

// reserved lists the fields that callers may not set, since the router sets them.
var reserved = []string{"cache_salt", "resume"}

// ParseCompletion parses a request body of the OpenAI API. It rejects duplicate field names,
// also if they differ only in case, since JSON parsers differ in which of them they use.
func ParseCompletion(data []byte, chat bool) (*Completion, error) {
	body := gjson.ParseBytes(data)
	if !gjson.ValidBytes(data) || !body.IsObject() {
		return nil, errs.Errorf("the body is not a JSON object")
	}
	c := &Completion{Chat: chat, CompletionParams: dispatch.CompletionParams{SingleText: true}}
	var err error
	body.ForEach(func(name, value gjson.Result) bool {
		err = c.add(name.String(), value)
		return err == nil
	})
	if err != nil {
		return nil, err
	}
	if err := c.readOptions(); err != nil {
		return nil, err
	}
	return c, c.readPrompt()
}

func (c *Completion) add(name string, value gjson.Result) error {
	for _, r := range reserved {
		if strings.EqualFold(name, r) {
			return errs.Errorf("%s is not a field that callers set", r)
		}
	}
	for _, f := range c.fields {
		if strings.EqualFold(f.name, name) {
			return errs.Errorf("%q stands twice", name)
		}
	}
	c.fields = append(c.fields, field{name, value})
	return nil
}

// get returns a field's value; an absent or null field does not exist.
func (c *Completion) get(name string) gjson.Result {
	for _, f := range c.fields {
		if f.name == name && f.value.Type != gjson.Null {
			return f.value
		}
	}
	return gjson.Result{}
}

func (c *Completion) readOptions() error {
	for name, valid := range map[string]func(gjson.Result) bool{
		"model":                 func(r gjson.Result) bool { return r.Type == gjson.String },
		"stream":                gjson.Result.IsBool,
		"stream_options":        gjson.Result.IsObject,
		"max_tokens":            isInteger,
		"max_completion_tokens": isInteger,
		"n":                     isInteger,
	} {
		if v := c.get(name); v.Exists() && !valid(v) {
			return errs.Errorf("%s is of a wrong type", name)
		}
	}
	c.Model = c.get("model").Str
	if c.Model == "" {
		return errs.Errorf("model is missing")
	}
	c.Stream = c.get("stream").Bool()
	c.WantUsage = c.get("stream_options").Get("include_usage").Bool()
	n := int64(1)
	if v := c.get("n"); v.Exists() {
		n = v.Int()
	}
	c.MaxTokens = int(cmp.Or(c.get("max_completion_tokens").Int(), c.get("max_tokens").Int(), defaultMaxTokens))
	if c.MaxTokens < 0 || n < 1 {
		return errs.Errorf("max_tokens and n must not be negative")
	}
	c.SingleText = n == 1 && !c.hasAny(structured)
	return nil
}

// maxInteger bounds the numbers of tokens and choices that are accepted.
const maxInteger = 1 << 30

func isInteger(r gjson.Result) bool {
	return r.Type == gjson.Number && r.Num == math.Trunc(r.Num) && math.Abs(r.Num) <= maxInteger
}

func (c *Completion) hasAny(names []string) bool {
	for _, name := range names {
		if v := c.get(name); v.Exists() && v.Type != gjson.False {
			return true
		}
	}
	return false
}

func (c *Completion) readPrompt() error {
	if !c.Chat {
		prompt := c.get("prompt")
		if !prompt.Exists() {
			return errs.Errorf("prompt is missing")
		}
		if prompt.Type != gjson.String {
			return errs.Errorf("prompt must be one string")
		}
		c.Text = []byte(prompt.Str)
		return nil
	}
	messages, err := DecodeMessages(c.get("messages"))
	if err != nil {
		return err
	}
	c.Text, c.Bounds = route.ChatText(messages)
	return nil
}

// DecodeMessages decodes the messages of a chat. Content that is not a string, such as a
// list of parts, is represented by its JSON.
func DecodeMessages(list gjson.Result) ([]route.Message, error) {
	if !list.Exists() || list.IsArray() && list.Raw == "[]" {
		return nil, errs.Errorf("messages is missing or empty")
	}
	if !list.IsArray() {
		return nil, errs.Errorf("messages is of a wrong type")
	}
	var (
		out []route.Message
		err error
	)
	list.ForEach(func(_, m gjson.Result) bool {
		if !m.IsObject() {
			err = errs.Errorf("a message is not an object")
			return false
		}
		content := m.Get("content")
		text := content.Raw
		if content.Type == gjson.String {
			text = content.Str
		}
		out = append(out, route.Message{Role: m.Get("role").String(), Content: text})
		return true
	})
	if err == nil && len(out) == 0 {
		err = errs.Errorf("messages is missing or empty")
	}
	return out, err
}

// Body returns the request body for an engine: the caller's fields unchanged, and those that
// the router sets.
func (c *Completion) Body(salt string, s dispatch.SendOptions) ([]byte, error) {
	extra := struct {
		CacheSalt     string          `json:"cache_salt"`
		Priority      int             `json:"priority"`
		Stream        bool            `json:"stream"`
		StreamOptions json.RawMessage `json:"stream_options,omitempty"`
		Resume        *Resume         `json:"resume,omitempty"`
	}{CacheSalt: salt, Priority: s.Priority, Stream: s.Stream}
	if s.Resume {
		extra.Resume = &Resume{Text: s.Text, Tokens: s.Tokens}
	}
	if s.Stream {
		extra.StreamOptions = json.RawMessage(`{"include_usage":true}`)
	}
	tail, err := json.Marshal(extra)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	var b bytes.Buffer
	b.Grow(len(c.Text) + len(tail) + bodyOverhead)
	b.WriteByte('{')
	for _, f := range c.fields {
		if routerFields[f.name] {
			continue
		}
		key, err := json.Marshal(f.name)
		if err != nil {
			return nil, errs.Wrap(err)
		}
		b.Write(key)
		b.WriteByte(':')
		b.WriteString(f.value.Raw)
		b.WriteByte(',')
	}
	b.Write(tail[1:])
	return b.Bytes(), nil
}

// bodyOverhead is the buffer capacity for fields and escapes besides the prompt, in bytes.
const bodyOverhead = 2048

// routerFields lists the fields that Body replaces.
var routerFields = map[string]bool{
	"cache_salt": true, "priority": true, "stream": true, "stream_options": true, "resume": true,
}
