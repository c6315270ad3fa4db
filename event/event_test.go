package event

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func TestClock(t *testing.T) {
	wall := start
	c := NewClock(func() time.Time { return wall })
	first := c.Now()
	second := c.Now()
	require.Negative(t, first.Compare(second), "equal wall times are ordered by the counter")
	ahead := Stamp{Time: wall.Add(time.Second), N: 4}
	c.Observe(ahead)
	require.Positive(t, c.Now().Compare(ahead), "a stamp after a message is later than the message's")
	far := Stamp{Time: wall.Add(time.Hour)}
	c.Observe(far)
	require.Negative(t, c.Now().Compare(far), "a stamp too far in the future is ignored")
	wall = wall.Add(-time.Minute)
	require.Positive(t, c.Now().Compare(ahead), "stamps do not go back if the wall clock is set back")
	parsed, err := ParseStamp(ahead.String())
	require.NoError(t, err)
	require.Equal(t, ahead, parsed)
	for _, bad := range []string{"", "1", "x.1", "1.x", "1.-1"} {
		_, err := ParseStamp(bad)
		require.Error(t, err, bad)
	}
}

func TestRecorder(t *testing.T) {
	var log bytes.Buffer
	r := New("p", WithSize(3), WithLogger(slog.New(slog.NewTextHandler(&log, nil))))
	for i := range 5 {
		r.Record(Event{Code: RequestRefused, Request: fmt.Sprint("r", i), Org: "o", Detail: "why"})
	}
	r.Record(Event{Code: RequestPlaced, Request: "r9"})
	got := r.Events(Filter{})
	require.Len(t, got, 3)
	require.Equal(t, []string{"r3", "r4", "r9"}, []string{got[0].Request, got[1].Request, got[2].Request})
	require.Len(t, r.Events(Filter{Request: "r4"}), 1)
	require.Empty(t, r.Events(Filter{Until: start}))
	require.Contains(t, log.String(), "event=205")
	require.NotContains(t, log.String(), "request-placed", "debug events are not logged by default")
}

func TestMerge(t *testing.T) {
	at := func(process string, ms int, n uint32) Event {
		return Event{Process: process, Stamp: Stamp{Time: start.Add(time.Duration(ms) * time.Millisecond), N: n}}
	}
	merged := Merge([]Event{at("b", 1, 0), at("b", 3, 0)}, []Event{at("a", 1, 0), at("a", 1, 1)})
	var order []string
	for _, e := range merged {
		order = append(order, fmt.Sprint(e.Process, e.Stamp.Time.Sub(start).Milliseconds(), e.Stamp.N))
	}
	require.Equal(t, []string{"a1 0", "b1 0", "a1 1", "b3 0"}, order)
}

func TestEventJSON(t *testing.T) {
	r := New("p")
	r.Record(Event{Code: LeaseTaken, Detail: "d"})
	want := r.Events(Filter{})[0]
	data, err := json.Marshal(want)
	require.NoError(t, err)
	var got Event
	require.NoError(t, json.Unmarshal(data, &got))
	require.Equal(t, want, got)
	require.Error(t, json.Unmarshal([]byte(`{"at":"x"}`), &got))
}

func TestFilterQuery(t *testing.T) {
	f := Filter{Request: "r", Org: "o", Target: "t", Since: start, Until: start.Add(time.Second)}
	got, err := ParseFilter(f.Query())
	require.NoError(t, err)
	require.Equal(t, f, got)
	_, err = ParseFilter(map[string][]string{"since": {"yesterday"}})
	require.Error(t, err)
}

// TestCatalogue checks that docs/EVENTS.md lists exactly the events of the catalogue.
func TestCatalogue(t *testing.T) {
	data, err := os.ReadFile("../docs/EVENTS.md")
	require.NoError(t, err)
	doc := string(data)
	seen := make(map[Code]bool)
	last := Code(0)
	for _, e := range Catalogue() {
		require.False(t, seen[e.Code], "duplicate number %d", e.Code)
		require.Greater(t, e.Code, last, "the catalogue is in order")
		last = e.Code
		seen[e.Code] = true
		line := fmt.Sprintf("| %d | %s | %s | %s |", e.Code, e.Name, strings.ToLower(e.Level.String()), e.Meaning)
		require.Contains(t, doc, line, "docs/EVENTS.md lacks this line; add it")
	}
	require.Equal(t, len(seen), strings.Count(doc, "\n| ")-1, "docs/EVENTS.md has a line that the code does not")
}

// With sampling, the events of a successful request are not logged, and those of a failed
// request are all logged, including the events before the failure.
func TestSample(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	r := New("p", WithLogger(log), WithSample(1<<62), WithSize(8))
	r.Record(Event{Code: RequestPlaced, Request: "well", Detail: "placed well"})
	r.Record(Event{Code: RequestAnswered, Request: "well"})
	require.Empty(t, out.String())
	r.Record(Event{Code: RequestPlaced, Request: "ill", Detail: "placed ill"})
	r.Record(Event{Code: AttemptBroken, Request: "ill"})
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 2)
	require.Contains(t, lines[0], "placed ill")
	r.Record(Event{Code: RequestRefused, Request: "ill"})
	require.Equal(t, 1, strings.Count(out.String(), "placed ill"), "each event is logged once")
}
