package route

import "github.com/zeebo/errs/v2"

// Chunk is one part of an engine's answer.
type Chunk struct {
	// Attempt and Seq number the chunk from 1; Seq is 0 where the engine numbers nothing.
	Attempt string
	Seq     int
	// Data is the chunk's JSON as it came, Text the answer text in it.
	Data []byte
	Text string
	// Finish marks the answer's last text, Reason says why it ended.
	Finish bool
	Reason string
	Usage  *Usage
	// Done marks the end of the stream, which carries no data.
	Done bool
}

// Usage counts the tokens of an answer.
type Usage struct {
	Prompt     int
	Completion int
	Cached     int
}

// maxBuffered bounds the chunks held while an earlier one is missing.
const maxBuffered = 32

// The ways a stream can break.
var (
	ErrGap        = errs.Tag("chunks are missing")
	ErrUnfinished = errs.Tag("the stream ended without its finish mark")
	ErrExtra      = errs.Tag("data after the finish mark")
)

// Stream puts the chunks of one attempt in order and decides whether the answer is whole.
//
// Chunks of other attempts and repeated chunks are dropped and counted; chunks
// that come early are held until the missing ones arrive.
type Stream struct {
	attempt  string
	next     int
	buffered map[int]Chunk
	// numbered is settled by the first chunk; an engine that numbers nothing relies on TCP for order.
	numbered bool
	begun    bool
	finished bool
	usage    *Usage
	complete bool
	dropped  int
	texts    int
}

// NewStream returns the checker of an attempt's answer.
func NewStream(attempt string) *Stream {
	return &Stream{attempt: attempt, next: 1, buffered: make(map[int]Chunk)}
}

// Accept takes the next chunk from the connection and returns those that are now in order.
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

// flush delivers the held chunks that follow without a gap.
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

// end checks at the end mark that nothing is missing.
func (s *Stream) end() error {
	switch {
	case len(s.buffered) > 0:
		return ErrGap.Errorf("chunk %d is missing", s.next)
	case !s.finished:
		return ErrUnfinished.Errorf("after %d chunks", s.next-1)
	case s.numbered && s.usage == nil:
		return ErrUnfinished.Errorf("the usage record is missing")
	}
	s.complete = true
	return nil
}

// Complete reports whether the answer arrived complete and in order.
func (s *Stream) Complete() bool { return s.complete }

// Usage returns the engine's count of tokens, or nil if it gave none.
func (s *Stream) Usage() *Usage { return s.usage }

// Dropped returns how many chunks were dropped as repeated or not this attempt's.
func (s *Stream) Dropped() int { return s.dropped }
