package wire

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pathhead/pathhead/dispatch"
	"github.com/pathhead/pathhead/internal/door"
	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/transport"
)

// OpenAI implements [dispatch.Protocol] with the OpenAI API for callers and engines,
// and plain HTTP for services.
type OpenAI struct {
	targets *transport.Pool
}

var _ dispatch.Protocol = (*OpenAI)(nil)

// dialTimeout bounds the opening of a connection to a target. Targets are a millisecond
// away, so a second covers a lost packet and its retransmission.
const dialTimeout = time.Second

// NewOpenAI returns the protocol without open connections to targets.
func NewOpenAI() *OpenAI {
	return &OpenAI{targets: transport.NewPool(transport.WithDialTimeout(dialTimeout))}
}

// Close implements [dispatch.Protocol].
func (o *OpenAI) Close() { o.targets.Close() }

// Sweep implements [dispatch.Protocol].
func (o *OpenAI) Sweep() { o.targets.Sweep(func(netip.AddrPort) bool { return true }) }

// headerLabels is the header for the labels of a request.
const headerLabels = "X-Pathhead-Labels"

// Caller implements [dispatch.Protocol].
func (o *OpenAI) Caller(h http.Header) dispatch.Caller {
	c := dispatch.Caller{Labels: h.Get(headerLabels), CallKey: h.Get(HeaderKey)}
	if key, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer "); ok {
		c.Key = key
	}
	return c
}

// Completion implements [dispatch.Protocol].
func (o *OpenAI) Completion(body []byte, chat bool) (dispatch.Completion, error) {
	c, err := ParseCompletion(body, chat)
	if err != nil {
		return nil, err
	}
	c.targets = o.targets
	return c, nil
}

// attemptHeader returns the headers that identify an attempt to its target.
func attemptHeader(a route.Attempt) http.Header {
	h := make(http.Header)
	h.Set(HeaderRequest, a.Request)
	h.Set(HeaderAttempt, a.ID)
	return h
}

// Send implements [dispatch.Completion].
func (c *Completion) Send(ctx context.Context, a route.Attempt, s dispatch.SendOptions) (*dispatch.Reply, error) {
	body, err := c.Body(a.Salt, s)
	if err != nil {
		return nil, transport.ErrUnsent.Wrap(err)
	}
	path := "/v1/completions"
	if c.Chat {
		path = "/v1/chat/completions"
	}
	h := attemptHeader(a)
	h.Set("Content-Type", "application/json")
	h.Set(HeaderIncarnation, string(a.Incarnation))
	h.Set(HeaderWeights, a.Weights)
	return send(ctx, c.targets, transport.Request{
		Target: a.Target, Method: http.MethodPost, URI: path, Host: a.Target.String(), Header: h, Body: body,
	})
}

// forwarded lists the headers of a caller that are forwarded to a service.
var forwarded = []string{"Content-Type", "Accept", "Accept-Language", HeaderKey}

// Call implements [dispatch.Protocol].
func (o *OpenAI) Call(ctx context.Context, a route.Attempt, c dispatch.ServiceCall) (*dispatch.Reply, error) {
	h := attemptHeader(a)
	for _, name := range forwarded {
		if value := c.Header.Get(name); value != "" {
			h.Set(name, value)
		}
	}
	return send(ctx, o.targets, transport.Request{
		Target: a.Target, Method: c.Method, URI: c.Path, Host: a.Target.String(), Header: h, Body: c.Body, Fresh: c.AtMostOnce,
	})
}

// send sends a request and parses the headers of its answer. The board decides how long a silent
// target is waited for.
func send(ctx context.Context, targets *transport.Pool, req transport.Request) (*dispatch.Reply, error) {
	req.Patient = true
	resp, err := targets.Send(ctx, req)
	if err != nil {
		return nil, err
	}
	return &dispatch.Reply{
		Status:      resp.Status,
		Incarnation: route.Incarnation(resp.Header.Get(HeaderIncarnation)),
		Weights:     resp.Header.Get(HeaderWeights),
		Attempt:     resp.Header.Get(HeaderAttempt),
		NotRun:      resp.Header.Get(HeaderRan) == RanNo,
		Reported:    refusalHints(resp.Status, resp.Header),
		ContentType: resp.Header.Get("Content-Type"),
		Body:        resp.Body,
		Chunks:      NewEventReader(resp.Body).Next,
	}, nil
}

// refusalHints returns the target hints in an answer: overloaded engines and gateways state in
// Retry-After how long to back off.
func refusalHints(status int, h http.Header) (s route.TargetHints) {
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		s.Backoff = transport.RetryAfter(h, time.Now())
	}
	return s
}

// ServiceAnswer implements [dispatch.Protocol].
func (o *OpenAI) ServiceAnswer(w http.ResponseWriter, a dispatch.ServiceAnswer) {
	if a.Replayed {
		w.Header().Set("Idempotent-Replayed", "true")
	}
	w.Header().Set(headerVerdict, route.Ran.String())
	_ = door.WriteBody(w, a.Status, a.ContentType, a.Body)
}

// Models implements [dispatch.Protocol].
func (o *OpenAI) Models(w http.ResponseWriter, models []policy.Model) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	out := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, m := range models {
		out.Data = append(out.Data, model{m.Name, "model", "pathhead"})
		for _, a := range m.Adapters {
			out.Data = append(out.Data, model{m.Name + ":" + a, "model", "pathhead"})
		}
	}
	door.WriteJSON(w, http.StatusOK, out)
}
