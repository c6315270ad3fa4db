package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/transport"
)

// slowBody is an answer that arrives in parts with a pause before each.
type slowBody struct {
	parts int
	pause time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.parts == 0 {
		return 0, io.EOF
	}
	b.parts--
	time.Sleep(b.pause)
	return copy(p, "part"), nil
}

func (b *slowBody) Close() error { return nil }

// newForwarding returns the state of a request for which the budget has bytes of memory.
func newForwarding(t *testing.T, bytes int64) (*forwarding, *httptest.ResponseRecorder) {
	n, err := New(validSettings(), nil, nil, nil)
	require.NoError(t, err)
	n.memory.setLimit(bytes)
	w := httptest.NewRecorder()
	v := &callerRequest{w: w, r: httptest.NewRequest(http.MethodPost, "/x", nil), receivedAt: n.now(), route: &policy.Route{}}
	v.memory = &reservation{budget: n.memory, org: "a", since: n.now()}
	return &forwarding{n: n, v: v}, w
}

// An answer that is sent on as it arrives, for want of memory, may pause for longer than an attempt
// without a byte of an answer.
func TestPassThroughOutlivesSilence(t *testing.T) {
	for name, extended := range map[string]bool{"the timer runs": false, "its callback runs": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, w := newForwarding(t, 0)
				var timer *silenceTimer
				var gaveUp atomic.Bool
				suspected := func() bool {
					if extended {
						time.Sleep(time.Second)
					}
					return false
				}
				timer = newSilenceTimer(time.Now().Add(2*time.Second), time.Now, suspected, always, func() { gaveUp.Store(true) })
				timer.Reset(100 * time.Millisecond)
				time.Sleep(150 * time.Millisecond)
				resp := &transport.Response{Status: http.StatusOK, Header: http.Header{}, Size: -1, Body: &slowBody{parts: 3, pause: 3 * time.Second}}
				out := f.bufferAnswer(route.Attempt{}, resp, route.Outcome{}, timer)
				require.Equal(t, route.OutcomeDone, out.Kind)
				require.Equal(t, "partpartpart", w.Body.String())
				time.Sleep(time.Minute)
				require.False(t, gaveUp.Load(), "the attempt was given up")
			})
		})
	}
}

// For want of memory a target is not blamed, unless the answer is an error of its own.
func TestLocalOutcome(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		status int
		stream bool
		local  bool
	}{
		"a plain answer":                {http.StatusOK, false, true},
		"an error of the target":        {http.StatusInternalServerError, false, false},
		"an event too large for memory": {http.StatusOK, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, _ := newForwarding(t, 0)
			f.req.Repeatable, f.req.Resumable, f.req.MaxTries = true, true, 3
			timer := newSilenceTimer(time.Now(), time.Now, func() bool { return false }, always, func() {})
			resp := &transport.Response{Status: c.status, Header: http.Header{}, Size: -1, Body: &slowBody{parts: 2 * commonEvents / 4}}
			answer := f.bufferAnswer
			if c.stream {
				answer = f.stream
			}
			out := answer(route.Attempt{Number: 1}, resp, route.Outcome{}, timer)
			require.Equal(t, route.OutcomeBroken, out.Kind)
			require.Equal(t, c.local, out.Local)
		})
	}
}

// Broken and repeated attempts of one request hold no memory once they have ended.
func TestEndedAttemptsHoldNoMemory(t *testing.T) {
	t.Parallel()
	const parts = 5 * commonEvents / 4
	broken := func() io.ReadCloser {
		return struct {
			io.Reader
			io.Closer
		}{io.MultiReader(&slowBody{parts: parts}, iotest.ErrReader(io.ErrUnexpectedEOF)), &slowBody{}}
	}
	whole := func() io.ReadCloser { return &slowBody{parts: parts} }
	large := func() io.ReadCloser { return &slowBody{parts: maxBufferedAnswer} }
	for name, c := range map[string]struct {
		body            func() io.ReadCloser
		size            int64
		stream, started bool
	}{
		"a plain answer that breaks off":            {broken, -1, false, false},
		"one of stated length":                      {broken, 4 * parts, false, false},
		"one that is too large for memory":          {large, -1, false, false},
		"a plain answer after a part of a stream":   {whole, -1, false, true},
		"a stream that breaks off in a large event": {broken, -1, true, true},
		"a stream with an event that is too large":  {large, -1, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, _ := newForwarding(t, 1<<20)
			f.req.Repeatable, f.req.Resumable, f.req.MaxTries = true, true, 3
			f.started = c.started
			answer := f.bufferAnswer
			if c.stream {
				answer = f.stream
			}
			for range 3 {
				timer := newSilenceTimer(time.Now(), time.Now, func() bool { return false }, always, func() {})
				resp := &transport.Response{Status: http.StatusOK, Header: http.Header{}, Size: c.size, Body: c.body()}
				answer(route.Attempt{Number: 1}, resp, route.Outcome{}, timer)
				held, _ := f.n.memory.usage()
				require.Zero(t, held)
			}
		})
	}
}

// endlessBody is a body without an end; it counts what was read of it.
type endlessBody struct{ read int }

func (b *endlessBody) Read(p []byte) (int, error) {
	b.read += len(p)
	return len(p), nil
}

func (b *endlessBody) Close() error { return nil }

// Guards against a caller who gets an endless answer of a faulty target until the route's timeout, and
// against refusals of other requests, for which the memory of such an answer was reserved.
func TestPassThroughEndless(t *testing.T) {
	t.Parallel()
	f, _ := newForwarding(t, 64<<10)
	timer := newSilenceTimer(time.Now(), time.Now, func() bool { return false }, always, func() {})
	body := new(endlessBody)
	out := f.bufferAnswer(route.Attempt{}, &transport.Response{Status: http.StatusOK, Header: http.Header{}, Size: -1, Body: body}, route.Outcome{}, timer)
	require.Equal(t, route.OutcomeBroken, out.Kind)
	require.True(t, out.Delivered)
	require.False(t, f.done, "the answer must not look complete")
	require.LessOrEqual(t, body.read, maxBufferedAnswer+streamBuffer)
	require.Zero(t, f.n.memory.expectedAnswer(f.req.Route))
}

// Guards against answers that are always passed on, since their size is never learned.
func TestPassThroughCounted(t *testing.T) {
	t.Parallel()
	f, _ := newForwarding(t, 0)
	timer := newSilenceTimer(time.Now(), time.Now, func() bool { return false }, always, func() {})
	resp := &transport.Response{Status: http.StatusOK, Header: http.Header{}, Size: -1, Body: &slowBody{parts: 3}}
	require.Equal(t, route.OutcomeDone, f.bufferAnswer(route.Attempt{}, resp, route.Outcome{}, timer).Kind)
	require.EqualValues(t, len("partpartpart"), f.n.memory.expectedAnswer(f.req.Route))
}

// Guards against a whole answer that is cut off although its size was stated.
func TestPassThroughStatedSize(t *testing.T) {
	t.Parallel()
	const size = maxBufferedAnswer + 1<<20
	f, w := newForwarding(t, 64<<10)
	timer := newSilenceTimer(time.Now(), time.Now, func() bool { return false }, always, func() {})
	body := io.NopCloser(io.LimitReader(new(endlessBody), size))
	resp := &transport.Response{Status: http.StatusOK, Header: http.Header{}, Size: size, Body: body}
	require.Equal(t, route.OutcomeDone, f.bufferAnswer(route.Attempt{}, resp, route.Outcome{}, timer).Kind)
	require.Equal(t, size, w.Body.Len())
}
