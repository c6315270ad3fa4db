package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pathhead/pathhead/internal/standin"
	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/wire"
)

// Result is what one caller saw.
type Result struct {
	Org        string        `json:"organisation"`
	Due        time.Duration `json:"dueNs"`
	FirstToken time.Duration `json:"firstTokenNs"`
	Total      time.Duration `json:"totalNs"`
	Status     int           `json:"status"`
	Request    string        `json:"request"`
	Verdict    string        `json:"verdict"`
	Code       string        `json:"code,omitempty"`
	Prompt     int           `json:"prompt"`
	Cached     int           `json:"cached"`
	// Wrong says that an answer that looked whole was not the right one.
	Wrong bool `json:"wrong"`
	// Cut says that the answer ended without its finish mark.
	Cut  bool   `json:"cut"`
	Text string `json:"-"`
}

// OK reports whether the caller got a whole answer.
func (r Result) OK() bool { return r.Status == http.StatusOK && !r.Cut && !r.Wrong }

// Client sends requests as callers behind a balancer do: to the doors in turn,
// passing over those that refuse the connection.
type Client struct {
	addrs    []netip.AddrPort
	http     *http.Client
	nextAddr atomic.Uint64
	weights  string
	retries  int
}

// NewClient returns a client of the doors. Weights, if not empty, are those whose
// answers are right; retries is how often a refused request is sent again after
// the time it was told.
func NewClient(addrs []netip.AddrPort, weights string, retries int) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}
	return &Client{addrs: addrs, http: &http.Client{Transport: t}, weights: weights, retries: retries}
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Play sends the arrivals when they are due and returns what became of each.
func (c *Client) Play(ctx context.Context, arrivals []Arrival) []Result {
	results := make([]Result, len(arrivals))
	started := time.Now()
	var wg sync.WaitGroup
	for i, a := range arrivals {
		if !sleepUntil(ctx, started.Add(a.Due)) {
			break
		}
		wg.Go(func() {
			results[i] = c.Do(ctx, a)
			results[i].Due = a.Due
		})
	}
	wg.Wait()
	return results
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Do sends one request as a stream and reads its answer to the end.
func (c *Client) Do(ctx context.Context, a Arrival) Result {
	started := time.Now()
	for try := 0; ; try++ {
		r := c.attempt(ctx, a, started)
		wait, again := retryAfter(r)
		if !again || try >= c.retries {
			return r
		}
		if !sleepUntil(ctx, time.Now().Add(wait)) {
			return r
		}
	}
}

// retryAfter reports whether a result invites a repeat: only a refusal that did not run does.
func retryAfter(r Result) (time.Duration, bool) {
	if r.Verdict != route.NotRun.String() || r.Status < http.StatusTooManyRequests {
		return 0, false
	}
	return time.Second, true
}

func (c *Client) attempt(ctx context.Context, a Arrival, started time.Time) Result {
	out := Result{Org: a.Org}
	resp, err := c.send(ctx, a)
	if err != nil {
		out.Cut = true
		out.Code = "unreachable"
		out.Total = time.Since(started)
		return out
	}
	defer resp.Body.Close()
	out.Status = resp.StatusCode
	out.Request = resp.Header.Get("X-Request-Id")
	out.Verdict = resp.Header.Get("X-Pathhead-Verdict")
	if resp.StatusCode != http.StatusOK {
		out.Code = errorCode(resp.Body)
	} else {
		c.readStream(resp.Body, &out, started)
		c.checkAnswer(a, &out)
	}
	out.Total = time.Since(started)
	return out
}

func errorCode(body io.Reader) string {
	var e struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.NewDecoder(body).Decode(&e)
	return e.Error.Code
}

// send tries each door once, beginning with the next in turn.
func (c *Client) send(ctx context.Context, a Arrival) (*http.Response, error) {
	body, err := json.Marshal(struct {
		Model     string          `json:"model"`
		Messages  []Message       `json:"messages"`
		MaxTokens int             `json:"max_tokens"`
		Stream    bool            `json:"stream"`
		Options   json.RawMessage `json:"stream_options"`
	}{a.Model, a.Messages, a.MaxTokens, true, json.RawMessage(`{"include_usage":true}`)})
	if err != nil {
		return nil, err
	}
	first := c.nextAddr.Add(1)
	for i := range c.addrs {
		addr := c.addrs[(int(first)+i)%len(c.addrs)]
		var resp *http.Response
		resp, err = c.post(ctx, addr, a.Org, body)
		if err == nil {
			return resp, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

func (c *Client) post(ctx context.Context, addr netip.AddrPort, org string, body []byte) (*http.Response, error) {
	url := "http://" + addr.String() + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+Org{Name: org}.APIKey())
	req.Header.Set("Content-Type", "application/json")
	return c.http.Do(req)
}

// readStream takes the chunks of an answer; without the finish mark it is cut.
func (c *Client) readStream(body io.Reader, out *Result, started time.Time) {
	in := wire.NewEventReader(body)
	var text strings.Builder
	for {
		chunk, err := in.Next()
		if err != nil {
			out.Cut = true
			if !errors.Is(err, io.ErrUnexpectedEOF) {
				out.Code = "broken"
			}
			break
		}
		if chunk.Done {
			break
		}
		if chunk.Text != "" && out.FirstToken == 0 {
			out.FirstToken = time.Since(started)
		}
		text.WriteString(chunk.Text)
		if u := chunk.Usage; u != nil {
			out.Prompt, out.Cached = u.Prompt, u.Cached
		}
	}
	out.Text = text.String()
}

// checkAnswer compares an answer with the one that the stand-in engines give.
func (c *Client) checkAnswer(a Arrival, out *Result) {
	if c.weights == "" || out.Cut {
		return
	}
	want := standin.Answer(a.Text(), c.weights, a.MaxTokens)
	out.Wrong = out.Text != want
}

// Text returns the prompt as engines read it.
func (a Arrival) Text() []byte {
	messages := make([]route.Message, 0, len(a.Messages))
	for _, m := range a.Messages {
		messages = append(messages, route.Message(m))
	}
	text, _ := route.ChatText(messages)
	return text
}

// Call posts a keyed call to a plain service and returns a line about its answer.
func Call(ctx context.Context, addr netip.AddrPort, org Org, path, key string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+path, strings.NewReader(`{"demo":true}`))
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+org.APIKey())
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.HeaderKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("status %d, verdict %s, replayed %t: %s", resp.StatusCode,
		resp.Header.Get("X-Pathhead-Verdict"), resp.Header.Get("Idempotent-Replayed") == "true", bytes.TrimSpace(data)), nil
}

// The range that [FreePorts] takes from: below the ports that systems give to
// outgoing connections, which could take one between its choice and its use.
const (
	firstPort = 12000
	lastPort  = 32000
)

// FreePorts returns ports of the loopback address that nothing listens on, at
// and after a random one. It fails if too few are free.
func FreePorts(n int) ([]int, error) {
	var out []int
	port := firstPort + rand.IntN(lastPort-firstPort)
	for range lastPort - firstPort {
		if port++; port > lastPort {
			port = firstPort
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		l.Close()
		if out = append(out, port); len(out) == n {
			return out, nil
		}
	}
	return nil, fmt.Errorf("only %d of %d ports are free", len(out), n)
}

// Quantiles are two quantiles of the time to first token in milliseconds.
type Quantiles struct{ P50, P99 float64 }

// Compare sends the same small requests to an engine directly and through a
// router, in turn, and returns both sides' times to first token.
func Compare(ctx context.Context, engine, router netip.AddrPort, pairs int) (direct, routed Quantiles, err error) {
	w := Workloads(time.Minute, 1)["yunfeng-rush"]
	clients := [2]*Client{NewClient([]netip.AddrPort{engine}, "", 0), NewClient([]netip.AddrPort{router}, "", 0)}
	hists := [2]*hdrhistogram.Histogram{newHist(), newHist()}
	arrivals := w.Arrivals(1)
	for i := range pairs {
		a := arrivals[i%len(arrivals)]
		a.MaxTokens = 1
		for side, c := range clients {
			r := c.Do(ctx, a)
			if !r.OK() {
				return direct, routed, fmt.Errorf("side %d: %+v", side, r)
			}
			record(hists[side], r.FirstToken)
		}
	}
	quantiles := func(h *hdrhistogram.Histogram) Quantiles { return Quantiles{ms(h, 50), ms(h, 99)} }
	return quantiles(hists[0]), quantiles(hists[1]), nil
}
