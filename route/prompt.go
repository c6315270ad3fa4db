package route

// Message is one message of a chat. Content is its text, or the JSON of the parts that are not
// text.
type Message struct {
	Role    string
	Content string
}

// ChatText joins messages into the text that the prefix chain is computed over, and returns the
// offsets at which they end.
func ChatText(messages []Message) (text []byte, bounds []int) {
	n := 0
	for _, m := range messages {
		n += len(m.Role) + len(m.Content) + 2
	}
	text = make([]byte, 0, n)
	for _, m := range messages {
		text = append(text, m.Role...)
		text = append(text, '\x1e')
		text = append(text, m.Content...)
		text = append(text, '\x1f')
		bounds = append(bounds, len(text))
	}
	return text, bounds
}
