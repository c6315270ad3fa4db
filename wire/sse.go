package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/route"
)

// maxLine bounds one line of an event stream in bytes.
const maxLine = 1 << 20

// doneMark is the data of the last event of an OpenAI stream.
var doneMark = []byte("[DONE]")

// EventReader reads the server-sent events of one engine's answer.
type EventReader struct {
	lines *bufio.Scanner
}

// NewEventReader returns a reader of a stream's body.
func NewEventReader(r io.Reader) *EventReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), maxLine)
	return &EventReader{lines: s}
}

// Next returns the next chunk; at the end of the body without a finish mark it returns io.ErrUnexpectedEOF.
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

// parseID splits "attempt/sequence"; an id of another form leaves the chunk unnumbered.
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

// decodeChunk reads what the router needs of a chunk and keeps the whole of it.
func decodeChunk(data []byte, c *route.Chunk) error {
	var body struct {
		Choices []struct {
			Text  string `json:"text"`
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			FinishReason *string `json:"finish_reason"`
		} `json:"choices"`
		Usage *Usage          `json:"usage"`
		Error json.RawMessage `json:"error"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return errs.Errorf("chunk: %w", err)
	}
	if len(body.Error) > 0 && !bytes.Equal(body.Error, []byte("null")) {
		return errors.New("the engine reported an error in its stream")
	}
	c.Data = bytes.Clone(data)
	for _, choice := range body.Choices {
		c.Text += choice.Text + choice.Delta.Content
		c.Finish = c.Finish || choice.FinishReason != nil
	}
	if body.Usage != nil {
		c.Usage = &route.Usage{
			Prompt:     body.Usage.PromptTokens,
			Completion: body.Usage.CompletionTokens,
			Cached:     body.Usage.Details.CachedTokens,
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
