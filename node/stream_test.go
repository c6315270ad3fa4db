package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/transport"
)

func TestCompleteEvents(t *testing.T) {
	cases := map[string]struct {
		data string
		want int
	}{
		"nothing":                       {"", 0},
		"the first byte of an event":    {"i", 0},
		"an event without its end":      {"id: 1\ndata: x\n", 0},
		"one event":                     {"id: 1\ndata: x\n\n", 15},
		"one event and part of another": {"id: 1\ndata: x\n\nid: 2\nda", 15},
		"two events":                    {"id: 1\n\nid: 2\n\n", 14},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, completeEvents([]byte(c.data))) })
	}
}

// streamText streams a text whose end is the end of the connection, and returns how the attempt ended
// and what the caller got.
func streamText(t *testing.T, text string, last string) (route.Outcome, *forwarding, string) {
	return streamFrom(t, strings.NewReader(text), last)
}

// streamFrom does so with a text that arrives as r returns it.
func streamFrom(t *testing.T, r io.Reader, last string) (route.Outcome, *forwarding, string) {
	f, w := newForwarding(t, 1<<20)
	f.n.protocol, f.lastEvent = eventProtocol{}, last
	timer := newSilenceTimer(time.Now(), time.Now, func() bool { return false }, always, func() {})
	resp := &transport.Response{Status: http.StatusOK, Header: http.Header{}, Size: -1, Unframed: true, Body: io.NopCloser(r)}
	out := f.stream(route.Attempt{Number: 1}, resp, route.Outcome{}, timer)
	return out, f, w.Body.String()
}

// eventProtocol reads the ids of events.
type eventProtocol struct{ Protocol }

// EventID implements [Protocol].
func (eventProtocol) EventID(line []byte) (string, bool) {
	id, ok := strings.CutPrefix(string(line), "id: ")
	return strings.TrimSpace(id), ok
}

// A stream without a length or chunks that is cut at any byte looks complete only if it is cut between two
// events, and no part of an event reaches the caller.
func TestUnframedStreamCutAnywhere(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(rt, "line end")
		var ends []int
		text := ""
		for n := range rapid.IntRange(1, 5).Draw(rt, "events") {
			text += fmt.Sprintf("id: %d%sdata: %s%s%s", n+1, lineEnd, rapid.StringMatching("[a-z]{0,12}").Draw(rt, "data"), lineEnd, lineEnd)
			ends = append(ends, len(text))
		}
		cut := rapid.IntRange(0, len(text)).Draw(rt, "cut")
		whole, between := 0, false
		for _, end := range ends {
			if end <= cut {
				whole, between = end, end == cut
			}
		}
		out, f, got := streamText(t, text[:cut], "")
		require.Equal(rt, text[:whole], got)
		require.Equal(rt, between, f.done)
		require.Equal(rt, between, out.Kind == route.OutcomeDone)
	})
}

// What a stream without a length or chunks may end with besides an event.
func TestUnframedStreamEnds(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		text, last string
		done       bool
	}{
		"an event":                          {"id: 1\n\n", "", true},
		"a comment after an event":          {"id: 1\n\n: still here\n", "", true},
		"a part of a comment":               {"id: 1\n\n: still", "", false},
		"a blank line too many":             {"id: 1\n\n\n", "", true},
		"an event without an id":            {"data: a\n\n", "", true},
		"no event":                          {"", "", false},
		"a comment alone":                   {": still here\n\n", "", false},
		"nothing more after a continuation": {"", "1", true},
		"a field of a continuation":         {"id: 2\n", "1", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			out, f, _ := streamText(t, c.text, c.last)
			require.Equal(t, c.done, f.done)
			require.Equal(t, c.done, out.Kind == route.OutcomeDone)
			out, f, _ = streamFrom(t, iotest.OneByteReader(strings.NewReader(c.text)), c.last)
			require.Equal(t, c.done, f.done, "byte by byte")
			require.Equal(t, c.done, out.Kind == route.OutcomeDone, "byte by byte")
		})
	}
}
