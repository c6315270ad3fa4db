package wire

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/tidwall/gjson"
	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/route"
)

// maxLine is the maximum length of a line of an event stream, in bytes.
const maxLine = 1 << 20

// doneMark is the data of the last event of an OpenAI stream.
var doneMark = []byte("[DONE]")

// EventReader parses the server-sent events of an engine's answer.
type EventReader struct {
	lines *bufio.Scanner
}

// NewEventReader returns a reader of a stream's body.
func NewEventReader(r io.Reader) *EventReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), maxLine)
	return &EventReader{lines: s}
}

// Next returns the next chunk. If the body ends without a finish mark, it returns io.ErrUnexpectedEOF.
func (e *EventReader) Next() (route.Chunk, error) {
	var c route.Chunk
	for e.lines.Scan() {
		line := e.lines.Bytes()
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			c.Attempt, c.Seq = parseID(bytes.TrimSpace(id))
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMark) {
			c.Done = true
			return c, nil
		}
		return c, decodeChunk(data, &c)
	}
	if err := e.lines.Err(); err != nil {
		return c, errs.Errorf("event stream: %w", err)
	}
	return c, io.ErrUnexpectedEOF
}

// parseID splits an id of the form "attempt/sequence"; any other id yields no sequence number.
func parseID(id []byte) (attempt string, seq int) {
	cut := bytes.LastIndexByte(id, '/')
	if cut < 0 {
		return "", 0
	}
	n, err := strconv.Atoi(string(id[cut+1:]))
	if err != nil || n < 1 {
		return "", 0
	}
	return string(id[:cut]), n
}

// decodeChunk decodes the fields of a chunk that the router needs and keeps its whole data.
func decodeChunk(data []byte, c *route.Chunk) error {
	body := gjson.ParseBytes(data)
	if !gjson.ValidBytes(data) || !body.IsObject() {
		return errs.Errorf("chunk is not a JSON object")
	}
	if e := body.Get("error"); e.Exists() && e.Type != gjson.Null {
		return errs.Errorf("engine reported an error in its stream")
	}
	c.Data = bytes.Clone(data)
	body.Get("choices").ForEach(func(_, choice gjson.Result) bool {
		c.Text += choice.Get("text").Str + choice.Get("delta.content").Str
		if reason := choice.Get("finish_reason"); reason.Type == gjson.String {
			c.Finish = true
			c.Reason = reason.Str
		}
		return true
	})
	if u := body.Get("usage"); u.IsObject() {
		c.Usage = &route.Usage{
			Prompt:     int(u.Get("prompt_tokens").Int()),
			Completion: int(u.Get("completion_tokens").Int()),
			Cached:     int(u.Get("prompt_tokens_details.cached_tokens").Int()),
		}
	}
	return nil
}

// Usage is the OpenAI usage record, in tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}
