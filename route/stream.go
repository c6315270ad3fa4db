package route

import "github.com/zeebo/errs/v2"

// Chunk is one chunk of an engine's streamed answer.
type Chunk struct {
	// Attempt is the chunk's attempt and Seq its sequence number, starting at 1. Seq is 0 if
	// the engine does not number chunks.
	Attempt string
	Seq     int
	// Data is the received JSON of the chunk, and Text the answer text in it.
	Data []byte
	Text string
	// Finish marks the end of the answer's text, and Reason is why it ended.
	Finish bool
	Reason string
	Usage  *Usage
	// Done marks the end of the stream; such a chunk has no data.
	Done bool
}

// Usage holds the token counts of an answer.
type Usage struct {
	Prompt     int
	Completion int
	Cached     int
}

// maxBuffered bounds the chunks that are buffered while an earlier one is missing.
const maxBuffered = 32

// Errors of an incomplete or invalid stream.
var (
	ErrGap        = errs.Tag("chunks are missing")
	ErrUnfinished = errs.Tag("the stream ended before the finish chunk")
	ErrExtra      = errs.Tag("data after the finish chunk")
)

// Stream orders the chunks of one attempt and determines whether the answer is complete.
//
// Chunks of other attempts and duplicates are dropped and counted. Chunks that arrive early are
// buffered until the missing ones arrive.
type Stream struct {
	attempt  string
	next     int
	buffered map[int]Chunk
	// numbered is determined by the first chunk. The order of unnumbered chunks relies on TCP.
	numbered bool
	begun    bool
	finished bool
	usage    *Usage
	complete bool
	dropped  int
	texts    int
}

// NewStream returns a Stream for the answer to an attempt.
func NewStream(attempt string) *Stream {
	return &Stream{attempt: attempt, next: 1, buffered: make(map[int]Chunk)}
}

// Accept takes the next received chunk and returns the chunks that are now in order.
func (s *Stream) Accept(c Chunk) ([]Chunk, error) {
	if c.Done {
		return nil, s.end()
	}
	if !s.begun {
		s.begun = true
		s.numbered = c.Seq > 0
	}
	if !s.numbered {
		return s.deliver(nil, c)
	}
	if c.Attempt != s.attempt || c.Seq < s.next {
		s.dropped++
		return nil, nil
	}
	if _, twice := s.buffered[c.Seq]; twice {
		s.dropped++
		return nil, nil
	}
	if len(s.buffered) >= maxBuffered {
		return nil, ErrGap.Errorf("chunk %d is missing", s.next)
	}
	s.buffered[c.Seq] = c
	return s.flush()
}

// flush delivers the buffered chunks up to the next gap.
func (s *Stream) flush() (out []Chunk, err error) {
	for {
		c, ok := s.buffered[s.next]
		if !ok {
			return out, nil
		}
		delete(s.buffered, s.next)
		s.next++
		if out, err = s.deliver(out, c); err != nil {
			return out, err
		}
	}
}

func (s *Stream) deliver(out []Chunk, c Chunk) ([]Chunk, error) {
	if s.finished && (c.Text != "" || c.Finish) {
		return out, ErrExtra.Errorf("chunk %d", c.Seq)
	}
	s.finished = s.finished || c.Finish
	if c.Usage != nil {
		s.usage = c.Usage
	}
	if c.Text != "" {
		s.texts++
	}
	return append(out, c), nil
}

// end checks at the end of the stream that nothing is missing.
func (s *Stream) end() error {
	switch {
	case len(s.buffered) > 0:
		return ErrGap.Errorf("chunk %d is missing", s.next)
	case !s.finished:
		return ErrUnfinished.Errorf("after %d chunks", s.next-1)
	case s.numbered && s.usage == nil:
		return ErrUnfinished.Errorf("the usage chunk is missing")
	}
	s.complete = true
	return nil
}

// Complete reports whether the answer was received completely and in order.
func (s *Stream) Complete() bool { return s.complete }

// Usage returns the token counts that the engine reported, or nil if there are none.
func (s *Stream) Usage() *Usage { return s.usage }

// Dropped returns the number of chunks that were dropped as duplicates or as belonging to
// another attempt.
func (s *Stream) Dropped() int { return s.dropped }
