package wire

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/pathhead/pathhead/dispatch"
	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/transport"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestParseCompletion(t *testing.T) {
	cases := map[string]struct {
		chat  bool
		body  string
		err   string
		check func(t *testing.T, c *Completion)
	}{
		"chat": {
			chat: true, body: `{"model":"m","messages":[{"role":"system","content":"a"},{"role":"user","content":"bc"}],"max_tokens":5}`,
			check: func(t *testing.T, c *Completion) {
				require.Equal(t, "system\x1ea\x1fuser\x1ebc\x1f", string(c.Text))
				require.Equal(t, []int{9, 17}, c.Bounds)
				require.Equal(t, 5, c.MaxTokens)
				require.True(t, c.SingleText)
			},
		},
		"content in parts": {
			chat: true, body: `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`,
			check: func(t *testing.T, c *Completion) { require.Contains(t, string(c.Text), `"type":"text"`) },
		},
		"completion": {body: `{"model":"m","prompt":"x"}`, check: func(t *testing.T, c *Completion) { require.Equal(t, "x", string(c.Text)) }},
		"tools are not one text": {
			chat: true, body: `{"model":"m","tools":[],"messages":[{"role":"user","content":"x"}]}`,
			check: func(t *testing.T, c *Completion) { require.False(t, c.SingleText) },
		},
		"longer name of the bound": {
			chat: true, body: `{"model":"m","max_completion_tokens":9,"messages":[{"role":"user","content":"x"}]}`,
			check: func(t *testing.T, c *Completion) { require.Equal(t, 9, c.MaxTokens) },
		},
		"prompt of tokens":      {body: `{"model":"m","prompt":[1,2]}`, err: "one string"},
		"no prompt":             {body: `{"model":"m"}`, err: "prompt is missing"},
		"no model":              {body: `{"prompt":"x"}`, err: "model is missing"},
		"reserved field":        {body: `{"model":"m","prompt":"x","resume":{}}`, err: "not a field that callers set"},
		"negative bound":        {body: `{"model":"m","prompt":"x","max_tokens":-1}`, err: "negative"},
		"wrong type of n":       {body: `{"model":"m","prompt":"x","n":"2"}`, err: "n is of a wrong type"},
		"a field twice":         {body: `{"model":"m","prompt":"x","model":"y"}`, err: "stands twice"},
		"twice in any case":     {body: `{"model":"m","prompt":"x","Prompt":"y"}`, err: "stands twice"},
		"reserved, in capitals": {body: `{"model":"m","prompt":"x","CACHE_SALT":"y"}`, err: "not a field that callers set"},
		"half a token":          {body: `{"model":"m","prompt":"x","max_tokens":1.5}`, err: "max_tokens is of a wrong type"},
		"an array":              {body: `[]`, err: "not a JSON object"},
		"data after it":         {body: `{"model":"m","prompt":"x"} {}`, err: "not a JSON object"},
		"nothing but space":     {body: ` `, err: "not a JSON object"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := ParseCompletion([]byte(c.body), c.chat)
			if c.err != "" {
				require.ErrorContains(t, err, c.err)
				return
			}
			require.NoError(t, err)
			c.check(t, got)
		})
	}
}

func TestCompletionBody(t *testing.T) {
	c, err := ParseCompletion([]byte(`{"model":"m","prompt":"x","temperature":0.5,"stream":false,"user":"<&>"}`), false)
	require.NoError(t, err)
	body, err := c.Body("s", dispatch.SendOptions{Priority: 3, Stream: true, Resume: true, Text: "t", Tokens: 2})
	require.NoError(t, err)
	var got map[string]any
	require.NoError(t, json.Unmarshal(body, &got))
	require.Equal(t, map[string]any{
		"model": "m", "prompt": "x", "temperature": 0.5, "user": "<&>", "cache_salt": "s", "priority": 3.0,
		"stream": true, "stream_options": map[string]any{"include_usage": true},
		"resume": map[string]any{"text": "t", "tokens": 2.0},
	}, got)
	require.Equal(t, 1, strings.Count(string(body), `"stream":`), "each field occurs once, so that all parsers agree")
}

func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}`), true)
	f.Add([]byte(`{"model":"m","prompt":"x","n":2}`), false)
	f.Fuzz(func(t *testing.T, data []byte, chat bool) {
		c, err := ParseCompletion(data, chat)
		if err != nil {
			return
		}
		body, err := c.Body("s", dispatch.SendOptions{Stream: true})
		require.NoError(t, err)
		require.True(t, json.Valid(body), "%s", body)
	})
}

func TestEventReader(t *testing.T) {
	const chunk = `{"choices":[{"delta":{"content":"hi"},"finish_reason":null}]}`
	cases := map[string]struct {
		in     string
		chunks []route.Chunk
		err    error
		fails  bool
	}{
		"numbered":       {in: "id: a-1/3\ndata: " + chunk + "\n\ndata: [DONE]\n\n", chunks: []route.Chunk{{Attempt: "a-1", Seq: 3, Data: []byte(chunk), Text: "hi"}, {Done: true}}},
		"unnumbered":     {in: "data:" + chunk + "\n\n", chunks: []route.Chunk{{Data: []byte(chunk), Text: "hi"}}, err: io.ErrUnexpectedEOF},
		"comments":       {in: ": ping\n\nevent: x\n\n", err: io.ErrUnexpectedEOF},
		"not JSON":       {in: "data: {\n\n", fails: true},
		"engine error":   {in: "data: {\"error\":{\"message\":\"x\"}}\n\n", fails: true},
		"cut in a chunk": {in: "data: " + chunk[:20], fails: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := NewEventReader(strings.NewReader(c.in))
			for _, want := range c.chunks {
				got, err := r.Next()
				require.NoError(t, err)
				require.Equal(t, want, got)
			}
			if c.err != nil || c.fails {
				_, err := r.Next()
				require.Error(t, err)
				if c.err != nil {
					require.True(t, errors.Is(err, c.err))
				}
			}
		})
	}
}

func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: a/1\ndata: {\"choices\":[]}\n\ndata: [DONE]\n\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := NewEventReader(strings.NewReader(string(data)))
		for {
			if c, err := r.Next(); err != nil || c.Done {
				return
			}
		}
	})
}

func FuzzDecodeVMs(f *testing.F) {
	f.Add([]byte(`[{"targets":["10.0.0.1:80"],"labels":{"kind":"engine"}}]`))
	f.Add([]byte(`[{"targets":["host:80"]}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		vms, err := DecodeVMs(data)
		for _, vm := range vms {
			require.NoError(t, err)
			require.True(t, vm.Addr.IsValid())
		}
	})
}

// TestCallUnsent checks which failed calls are known to have sent no byte.
func TestCallUnsent(t *testing.T) {
	closing := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer closing.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := l.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(t, l.Close())
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	cases := map[string]struct {
		ctx    context.Context
		target netip.AddrPort
		unsent bool
	}{
		"nobody listens":        {ctx: t.Context(), target: closed, unsent: true},
		"cancelled before dial": {ctx: cancelled, target: addrOf(closing), unsent: true},
		"closed after it read":  {ctx: t.Context(), target: addrOf(closing)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			targets := NewOpenAI()
			defer targets.Close()
			_, err := targets.Call(c.ctx, route.Attempt{Target: c.target}, dispatch.ServiceCall{Method: "POST", Path: "/", Body: []byte("x")})
			require.Error(t, err)
			require.Equal(t, c.unsent, errors.Is(err, transport.ErrUnsent))
		})
	}
}

// TestCallOnce checks that the transport does not retry a call that may run only once, even
// if it has an idempotency key and an empty body, which net/http's client would retry.
func TestCallOnce(t *testing.T) {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	targets := NewOpenAI()
	defer targets.Close()
	a := route.Attempt{Target: addrOf(server)}
	call := dispatch.ServiceCall{Method: "POST", Path: "/", Header: http.Header{"Idempotency-Key": {"k"}}, AtMostOnce: true}
	resp, err := targets.Call(t.Context(), a, call)
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	resp.Body.Close()
	_, err = targets.Call(t.Context(), a, call)
	require.Error(t, err)
	require.EqualValues(t, 2, calls.Load())
}

func addrOf(s *httptest.Server) netip.AddrPort {
	return s.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// Retry-After counts only in answers with status 429 or 503.
func TestRefusalHints(t *testing.T) {
	for status, want := range map[int]time.Duration{503: 3 * time.Second, 429: 3 * time.Second, 200: 0, 500: 0} {
		require.Equal(t, want, refusalHints(status, http.Header{"Retry-After": {"3"}}).Backoff, "status %d", status)
	}
}
