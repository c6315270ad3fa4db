package route

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// wholeStream returns the chunks of a complete answer: texts, the finish chunk, the usage and
// the end of the stream.
func wholeStream(attempt string, texts int) []Chunk {
	var out []Chunk
	for i := range texts {
		out = append(out, Chunk{Attempt: attempt, Seq: i + 1, Text: fmt.Sprint("t", i, " ")})
	}
	out = append(out,
		Chunk{Attempt: attempt, Seq: texts + 1, Finish: true},
		Chunk{Attempt: attempt, Seq: texts + 2, Usage: &Usage{Completion: texts}},
		Chunk{Done: true})
	return out
}

// TestStreamFuzz drops, repeats, swaps, inserts and truncates chunks, and checks that the
// delivered text is always a prefix of the correct one, and is all of it if the stream is
// complete.
func TestStreamFuzz(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		texts := rapid.IntRange(0, 12).Draw(rt, "texts")
		chunks := wholeStream("a", texts)
		want := textOf(chunks)
		for range rapid.IntRange(0, 4).Draw(rt, "faults") {
			if len(chunks) == 0 {
				break
			}
			i := rapid.IntRange(0, len(chunks)-1).Draw(rt, "at")
			switch rapid.SampledFrom([]string{"lose", "repeat", "exchange", "cross", "cut"}).Draw(rt, "fault") {
			case "lose":
				chunks = append(chunks[:i:i], chunks[i+1:]...)
			case "repeat":
				chunks = append(chunks[:i+1:i+1], chunks[i:]...)
			case "exchange":
				j := rapid.IntRange(0, len(chunks)-1).Draw(rt, "with")
				chunks[i], chunks[j] = chunks[j], chunks[i]
			case "cross":
				other := Chunk{Attempt: "b", Seq: i + 1, Text: "other "}
				chunks = append(chunks[:i:i], append([]Chunk{other}, chunks[i:]...)...)
			case "cut":
				chunks = chunks[:i]
			}
		}
		s := NewStream("a")
		got := deliver(s, chunks)
		if !strings.HasPrefix(want, got) {
			rt.Fatalf("delivered %q, want a prefix of %q", got, want)
		}
		if s.Complete() && got != want {
			rt.Fatalf("complete stream delivered %q, want %q", got, want)
		}
	})
}

func deliver(s *Stream, chunks []Chunk) string {
	var got strings.Builder
	for _, c := range chunks {
		out, err := s.Accept(c)
		got.WriteString(textOf(out))
		if err != nil || s.Complete() {
			break
		}
	}
	return got.String()
}

func textOf(chunks []Chunk) string {
	var b strings.Builder
	for _, c := range chunks {
		b.WriteString(c.Text)
	}
	return b.String()
}

func TestStream(t *testing.T) {
	t.Parallel()
	good := wholeStream("a", 3)
	cases := map[string]struct {
		chunks  []Chunk
		whole   bool
		err     error
		dropped int
	}{
		"complete":                       {chunks: good, whole: true},
		"late chunk":                     {chunks: []Chunk{good[1], good[0], good[2], good[3], good[4], good[5]}, whole: true},
		"repeated":                       {chunks: []Chunk{good[0], good[0], good[1], good[2], good[3], good[4], good[5]}, whole: true, dropped: 1},
		"missing":                        {chunks: []Chunk{good[0], good[2], good[3], good[4], good[5]}, err: ErrGap},
		"last text missing":              {chunks: []Chunk{good[0], good[1], good[3], good[4], good[5]}, err: ErrGap},
		"no finish chunk":                {chunks: []Chunk{good[0], good[1], good[2], good[5]}, err: ErrUnfinished},
		"no usage":                       {chunks: []Chunk{good[0], good[1], good[2], good[3], good[5]}, err: ErrUnfinished},
		"only chunks of another attempt": {chunks: append([]Chunk{{Attempt: "b", Seq: 1, Text: "x"}}, good[5]), err: ErrUnfinished, dropped: 1},
		"text after finish":              {chunks: []Chunk{{Text: "x", Finish: true}, {Text: "y"}}, err: ErrExtra},
		"unnumbered":                     {chunks: []Chunk{{Text: "x"}, {Text: "y", Finish: true}, {Done: true}}, whole: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := NewStream("a")
			var err error
			for _, chunk := range c.chunks {
				if _, err = s.Accept(chunk); err != nil {
					break
				}
			}
			require.Equal(t, c.whole, s.Complete())
			require.Equal(t, c.dropped, s.Dropped())
			if c.err != nil {
				require.True(t, errors.Is(err, c.err), "got %v", err)
			}
		})
	}
}
