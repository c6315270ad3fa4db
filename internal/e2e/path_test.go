package e2e

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/internal/standin"
)

// TestOpenAIClient sends requests through a router with the official client library.
func TestOpenAIClient(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 3, services: 1, routers: 2})
	client := openai.NewClient(
		option.WithBaseURL("http://"+s.routers[0].callerAddr.String()+"/v1/"),
		option.WithAPIKey("demo-formosa-air"),
	)
	params := openai.ChatCompletionNewParams{
		Model:     "desk-7b",
		MaxTokens: openai.Int(8),
		Messages: []openai.ChatCompletionMessageParamUnion{
			openai.SystemMessage("You answer questions on fares."),
			openai.UserMessage("May I change my seat?"),
		},
	}
	text := []byte("system\x1eYou answer questions on fares.\x1fuser\x1eMay I change my seat?\x1f")
	right := standin.Answer(text, "w1", 8)

	t.Run("chat", func(t *testing.T) {
		resp, err := client.Chat.Completions.New(t.Context(), params)
		require.NoError(t, err)
		require.Equal(t, right, resp.Choices[0].Message.Content)
		require.EqualValues(t, 8, resp.Usage.CompletionTokens)
		require.Equal(t, "stop", resp.Choices[0].FinishReason)
	})
	t.Run("chat stream", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(t.Context(), params)
		acc := openai.ChatCompletionAccumulator{}
		for stream.Next() {
			require.True(t, acc.AddChunk(stream.Current()))
		}
		require.NoError(t, stream.Err())
		require.Equal(t, right, acc.Choices[0].Message.Content)
	})
	t.Run("completion", func(t *testing.T) {
		resp, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
			Model: "desk-7b", MaxTokens: openai.Int(4),
			Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("once upon")},
		})
		require.NoError(t, err)
		require.Equal(t, standin.Answer([]byte("once upon"), "w1", 4), resp.Choices[0].Text)
	})
	t.Run("more than one choice", func(t *testing.T) {
		p := params
		p.N = openai.Int(2)
		resp, err := client.Chat.Completions.New(t.Context(), p)
		require.NoError(t, err)
		require.Equal(t, right, resp.Choices[0].Message.Content)
	})
	t.Run("models", func(t *testing.T) {
		page, err := client.Models.List(t.Context())
		require.NoError(t, err)
		require.Equal(t, "desk-7b", page.Data[0].ID)
	})
	t.Run("error", func(t *testing.T) {
		p := params
		p.Model = "no-such"
		_, err := client.Chat.Completions.New(t.Context(), p)
		var apiErr *openai.Error
		require.ErrorAs(t, err, &apiErr)
		require.Equal(t, "model_not_found", apiErr.Code)
	})
}

// TestBadInput sends invalid requests and checks that each is answered with a specific error
// code and the verdict not-run, and that nothing was forwarded.
func TestBadInput(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 1, services: 1, routers: 1})
	const good = `{"model":"desk-7b","messages":[{"role":"user","content":"x"}]}`
	cases := map[string]struct {
		method string
		path   string
		key    string
		body   string
		header map[string]string
		status int
		code   string
	}{
		"no key":               {path: "/v1/chat/completions", key: "-", body: good, status: 401, code: "invalid_api_key"},
		"wrong key":            {path: "/v1/chat/completions", key: "nope", body: good, status: 401, code: "invalid_api_key"},
		"unknown model":        {path: "/v1/chat/completions", body: `{"model":"x","messages":[{"role":"user","content":"x"}]}`, status: 404, code: "model_not_found"},
		"unknown adapter":      {path: "/v1/chat/completions", body: `{"model":"desk-7b:x","messages":[{"role":"user","content":"x"}]}`, status: 404, code: "model_not_found"},
		"broken JSON":          {path: "/v1/chat/completions", body: `{"model":`, status: 400, code: "invalid_request"},
		"not an object":        {path: "/v1/chat/completions", body: `null`, status: 400, code: "invalid_request"},
		"no messages":          {path: "/v1/chat/completions", body: `{"model":"desk-7b","messages":[]}`, status: 400, code: "invalid_request"},
		"wrong type":           {path: "/v1/chat/completions", body: `{"model":"desk-7b","messages":"x"}`, status: 400, code: "invalid_request"},
		"caller sets the salt": {path: "/v1/chat/completions", body: `{"model":"desk-7b","cache_salt":"x","messages":[{"role":"user","content":"x"}]}`, status: 400, code: "invalid_request"},
		"too long a prompt":    {path: "/v1/completions", body: `{"model":"desk-7b","prompt":"` + strings.Repeat("x", 140000) + `"}`, status: 400, code: "context_length_exceeded"},
		"too large a body":     {path: "/v1/completions", body: strings.Repeat("x", 5<<20), status: 413, code: "body_too_large"},
		"unknown route":        {path: "/nowhere/", body: "{}", status: 404, code: "route_not_found"},
		"unknown v1 path":      {path: "/v1/nowhere", body: "{}", status: 404, code: "route_not_found"},
		"no idempotency key":   {path: "/checkin/seat", body: "{}", status: 400, code: "idempotency_key_missing"},
		"long key":             {path: "/checkin/seat", body: "{}", header: map[string]string{"Idempotency-Key": strings.Repeat("k", 200)}, status: 400, code: "idempotency_key_missing"},
		"bad labels":           {path: "/v1/chat/completions", body: good, header: map[string]string{"X-Pathhead-Labels": "a in (b)"}, status: 400, code: "invalid_labels"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPost, "http://"+s.routers[0].callerAddr.String()+c.path, strings.NewReader(c.body))
			require.NoError(t, err)
			switch c.key {
			case "":
				req.Header.Set("Authorization", "Bearer demo-formosa-air")
			case "-":
			default:
				req.Header.Set("Authorization", "Bearer "+c.key)
			}
			for k, v := range c.header {
				req.Header.Set(k, v)
			}
			got := s.doRequest(req)
			require.Equal(t, c.status, got.status, got.body)
			require.Equal(t, c.code, got.code)
			require.Equal(t, "not-run", got.verdict)
		})
	}
	require.Empty(t, s.allRuns(), "no engine ran anything")
	require.Empty(t, s.runs(s.services[0]), "no service ran anything")
}

// TestSlowBody sends an incomplete body and checks that the router times out.
func TestSlowBody(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 1, routers: 1})
	c, err := net.Dial("tcp", s.routers[0].callerAddr.String())
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo-formosa-air\r\nContent-Length: 100000\r\n\r\n{"))
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
	b := make([]byte, 512)
	n, err := c.Read(b)
	require.NoError(t, err)
	require.Contains(t, string(b[:n]), "408")
	require.Empty(t, s.allRuns())
}

// TestRouterKilledOtherServes kills one of two routers and checks that a client of both is
// still served.
func TestRouterKilledOtherServes(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 2, routers: 2})
	c := s.client(s.routers...)
	require.True(t, s.send(c, promptRequest("formosa-air", "t", "1", 4)).OK())
	s.routers[0].kill()
	for i := range 6 {
		r := s.send(c, promptRequest("formosa-air", "t", string(rune('a'+i)), 4))
		require.True(t, r.OK(), "%+v", r)
	}
}

// TestCallerDisconnects checks that an engine stops decoding soon after its caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 1, routers: 1})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.client(s.routers[0]).Do(ctx, promptRequest("formosa-air", "t", "x", 4000))
	}()
	s.eventually(func() bool { runs := s.allRuns(); return len(runs) == 1 && runs[0].Emitted > 3 }, "the answer has begun")
	cancel()
	<-done
	s.eventually(func() bool { return s.allRuns()[0].State == "cancelled" }, "the engine has cancelled the run")
	require.Less(t, s.allRuns()[0].Emitted, 4000)
}

// TestErrorBodyForm checks the fields of error bodies, which clients parse.
func TestErrorBodyForm(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 1, routers: 1})
	s.setFaults(s.engines[0], standin.Faults{RefuseAll: true})
	req, err := http.NewRequest(http.MethodPost, "http://"+s.routers[0].callerAddr.String()+"/v1/completions", strings.NewReader(`{"model":"desk-7b","prompt":"x"}`))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer demo-formosa-air")
	got := s.doRequest(req)
	require.Equal(t, 503, got.status)
	require.Equal(t, "not-run", got.verdict)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	var body map[string]map[string]any
	require.NoError(t, json.Unmarshal([]byte(got.body), &body))
	for _, field := range []string{"message", "type", "code", "verdict", "retry_after_ms"} {
		require.Contains(t, body["error"], field)
	}
	require.Empty(t, s.allRuns())
}
