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

// Result is the outcome of one request as its caller observed it.
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
	// Wrong means that a complete answer was not the expected one.
	Wrong bool `json:"wrong"`
	// Cut means that the answer ended without its end marker, or that none arrived.
	Cut  bool   `json:"cut"`
	Text string `json:"-"`
}

// OK reports whether the caller got a complete answer that is not known to be wrong.
func (r Result) OK() bool { return r.Status == http.StatusOK && !r.Cut && !r.Wrong }

// Client sends requests as callers behind a load balancer do: to the routers'
// addresses round-robin, skipping addresses to which the request fails.
type Client struct {
	addrs    []netip.AddrPort
	http     *http.Client
	nextAddr atomic.Uint64
	weights  string
	retries  int
}

// NewClient returns a client of the routers at addrs. If weights is not empty, answers
// are compared with those that these weights give. A request that was refused and did
// not run is retried up to retries times.
func NewClient(addrs []netip.AddrPort, weights string, retries int) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}
	return &Client{addrs: addrs, http: &http.Client{Transport: t}, weights: weights, retries: retries}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Play sends each arrival when it is due and returns the results in the same order.
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

// sleepUntil waits until t. It returns false if the context is done first.
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

// Do sends one streaming request, retries it if allowed, and reads the answer to its end.
// The times of the result count from the call, over all attempts.
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

// retryAfter reports whether a request may be retried, and after which delay. Only a
// refusal with status 429 or above, of a request that did not run, may be.
func retryAfter(r Result) (time.Duration, bool) {
	if r.Verdict != route.NotRun.String() || r.Status < http.StatusTooManyRequests {
		return 0, false
	}
	return time.Second, true
}

// attempt sends a request once and reads its answer.
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

// errorCode returns the code of an error body, or an empty string.
func errorCode(body io.Reader) string {
	var e struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.NewDecoder(body).Decode(&e)
	return e.Error.Code
}

// send tries each address at most once, starting with the next one round-robin.
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

// readStream reads the chunks of an answer. An answer without an end marker is cut.
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

// checkAnswer compares a complete answer with the one that the stand-in engines give.
func (c *Client) checkAnswer(a Arrival, out *Result) {
	if c.weights == "" || out.Cut {
		return
	}
	want := standin.Answer(a.Text(), c.weights, a.MaxTokens)
	out.Wrong = out.Text != want
}

// Text returns the prompt as the text that engines read.
func (a Arrival) Text() []byte {
	messages := make([]route.Message, 0, len(a.Messages))
	for _, m := range a.Messages {
		messages = append(messages, route.Message(m))
	}
	text, _ := route.ChatText(messages)
	return text
}

// Call posts a call with an idempotency key to a plain service and returns a one-line
// summary of the answer.
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

// The range of ports that [FreePorts] chooses from. It lies below the ephemeral ports,
// since an outgoing connection could take one of those between its choice and its use, and below those
// that package ports assigns to tests.
const (
	firstPort = 12000
	lastPort  = 19999
)

// FreePorts returns n ports of the loopback address that nothing listens on. It
// searches upward from a random port and fails if fewer than n are free.
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
	return nil, fmt.Errorf("found only %d of %d free ports", len(out), n)
}

// Quantiles holds two quantiles of the time to first token, in milliseconds.
type Quantiles struct{ P50, P99 float64 }

// Compare sends the same small requests alternately to an engine and through a router,
// and returns the times to first token of both.
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
				return direct, routed, fmt.Errorf("request on side %d (0 is direct, 1 is routed) failed: %+v", side, r)
			}
			record(hists[side], r.FirstToken)
		}
	}
	quantiles := func(h *hdrhistogram.Histogram) Quantiles { return Quantiles{ms(h, 50), ms(h, 99)} }
	return quantiles(hists[0]), quantiles(hists[1]), nil
}
