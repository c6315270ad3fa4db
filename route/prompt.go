package route

import (
	"encoding/json"

	"github.com/zeebo/errs/v2"
)

// Message is one message of a chat; Content is kept as it came, since parts other than text are allowed.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ChatText joins messages into the text that a prefix chain runs over, and returns the offsets where they end.
func ChatText(messages []Message) (text []byte, bounds []int) {
	n := 0
	for _, m := range messages {
		n += len(m.Role) + len(m.Content) + 2
	}
	text = make([]byte, 0, n)
	for _, m := range messages {
		text = append(text, m.Role...)
		text = append(text, '\x1e')
		text = appendContent(text, m.Content)
		text = append(text, '\x1f')
		bounds = append(bounds, len(text))
	}
	return text, bounds
}

func appendContent(text []byte, content json.RawMessage) []byte {
	var s string
	if json.Unmarshal(content, &s) == nil {
		return append(text, s...)
	}
	return append(text, content...)
}

// PromptText returns the text of a completion's prompt, which must be one string.
func PromptText(prompt json.RawMessage) ([]byte, error) {
	var s string
	if err := json.Unmarshal(prompt, &s); err != nil {
		return nil, errs.Errorf("prompt must be one string")
	}
	return []byte(s), nil
}
