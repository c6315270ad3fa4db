package router

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"
	irisctx "github.com/kataras/iris/v12/context"
	"github.com/zeebo/errs/v2"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/pathhead/pathhead/dispatch"
	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// callersHandler serves callers: the OpenAI paths, the health checks of the
// load balancer, and every other path by the configured routes.
func (r *Router) callersHandler() http.Handler {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutBanner, iris.WithoutStartupLog, iris.WithoutBodyConsumptionOnUnmarshal, iris.WithoutPathCorrection)
	app.Get("/healthz", func(ctx iris.Context) { _, _ = ctx.WriteString("ok\n") })
	app.Get("/readyz", r.handleReady)
	app.Get("/v1/models", r.withOrg(func(v *callerRequest) { r.protocol.Models(v.w, v.snap.Config.Models) }))
	app.Post("/v1/chat/completions", r.withOrg(r.handleCompletion(true)))
	app.Post("/v1/completions", r.withOrg(r.handleCompletion(false)))
	app.Any("/{path:path}", r.withOrg(r.handleService))
	app.OnErrorCode(iris.StatusNotFound, r.withOrg(r.handleService))
	if err := app.Build(); err != nil {
		panic("router: cannot build the callers' handler: " + err.Error())
	}
	return app
}

// handleReady serves the readiness check, which fails while the router does not
// serve or shuts down.
func (r *Router) handleReady(ctx iris.Context) {
	r.Lock()
	ready := r.applyServing() && !r.draining.Load()
	r.Unlock()
	if !ready {
		ctx.StatusCode(http.StatusServiceUnavailable)
		_, _ = ctx.WriteString("not ready\n")
		return
	}
	_, _ = ctx.WriteString("ready\n")
}

// callerRequest is a caller's request with the results of its authentication.
type callerRequest struct {
	w         http.ResponseWriter
	r         *http.Request
	caller    dispatch.Caller
	org       *policy.Org
	snap      *policy.Snapshot
	startedAt time.Time
	labels    map[string]string
	// fingerprint is set once the body has been read.
	fingerprint route.Fingerprint
}

// withOrg authenticates a request by its API key before next reads the rest of it.
func (r *Router) withOrg(next func(v *callerRequest)) iris.Handler {
	return func(ctx iris.Context) {
		v := &callerRequest{w: rawWriter(ctx), r: ctx.Request(), startedAt: time.Now()}
		v.caller = r.protocol.Caller(v.r.Header)
		if r.authenticate(v) {
			next(v)
		}
	}
}

// authenticate checks a request's API key and labels against the configuration
// in force. If that fails, it writes the error response and returns false. It is
// called again after the body has been read, which can take longer than a
// revision stays in force.
func (r *Router) authenticate(v *callerRequest) bool {
	serving := r.awaitServing(v.r.Context())
	r.Lock()
	v.snap = r.Board().Snapshot()
	r.Unlock()
	if v.snap == nil || !serving && !r.draining.Load() {
		r.protocol.Refuse(v.w, route.Refusal{
			Cause: route.CauseFenced, RetryAfter: time.Second, Detail: "the configuration could not be confirmed lately",
		})
		return false
	}
	org, ok := v.snap.Authenticate(v.caller.Key)
	if !ok {
		r.counters.badRequests.Inc()
		r.protocol.Fault(v.w, http.StatusUnauthorized, "invalid_api_key", "the API key is missing or unknown")
		return false
	}
	v.org = org
	set, err := requestLabels(v.caller.Labels, org)
	if err != nil {
		r.rejectInvalid(v, http.StatusBadRequest, "invalid_labels", err)
		return false
	}
	v.labels = set
	return true
}

// A request that arrives while the router fetches a newer revision waits for it
// for at most catchUpTimeout. Fetching a revision takes milliseconds.
const (
	catchUpTimeout  = 500 * time.Millisecond
	catchUpInterval = 2 * time.Millisecond
)

// awaitServing reports whether the router serves, now or after it has fetched a
// newer revision that it knows of.
func (r *Router) awaitServing(ctx context.Context) bool {
	for end := time.Now().Add(catchUpTimeout); ; {
		r.Lock()
		serving := r.applyServing()
		behind := r.adoption.Revision() > 0 && r.adoption.Behind()
		r.Unlock()
		if serving || !behind || time.Now().After(end) || ctx.Err() != nil {
			return serving
		}
		time.Sleep(catchUpInterval)
	}
}

// rawWriter returns the response writer of net/http, which can stream and be aborted.
func rawWriter(ctx *irisctx.Context) http.ResponseWriter { return ctx.ResponseWriter().Naive() }

// requestLabels merges the request's labels with the organisation's, which take precedence.
func requestLabels(text string, org *policy.Org) (map[string]string, error) {
	if text == "" {
		return org.Labels, nil
	}
	set, err := labels.ConvertSelectorToLabelsMap(text)
	if err != nil {
		return nil, errs.Errorf("labels %q: %w", text, err)
	}
	for k, v := range org.Labels {
		set[k] = v
	}
	return set, nil
}

// bodyTimeout is the maximum time a caller may take to send its body.
const bodyTimeout = 10 * time.Second

var errBodyTooLarge = errs.Tag("the body is too large")

// readBody reads a request's body within the limits on its size and time.
func readBody(v *callerRequest) ([]byte, error) {
	limit := int64(v.snap.Config.Requests.MaxBody)
	if v.r.ContentLength > limit {
		return nil, errBodyTooLarge.Errorf("%d bytes, at most %d are taken", v.r.ContentLength, limit)
	}
	rc := http.NewResponseController(v.w)
	if err := rc.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, errs.Wrap(err)
	}
	var b bytes.Buffer
	if n := v.r.ContentLength; n > 0 {
		b.Grow(int(n) + bytes.MinRead)
	}
	_, err := io.Copy(&b, io.LimitReader(v.r.Body, limit+1))
	if err != nil {
		return nil, errs.Errorf("the body did not arrive: %w", err)
	}
	if int64(b.Len()) > limit {
		return nil, errBodyTooLarge.Errorf("at most %d bytes are taken", limit)
	}
	return b.Bytes(), rc.SetReadDeadline(time.Time{})
}

// rejectInvalid writes the error response to an invalid request, which is not
// sent to any target.
func (r *Router) rejectInvalid(v *callerRequest, status int, code string, err error) {
	r.counters.badRequests.Inc()
	r.protocol.Fault(v.w, status, code, err.Error())
}

// receiveBody reads the body and authenticates the request again. If either
// fails, it writes the error response and returns false.
func (r *Router) receiveBody(v *callerRequest) ([]byte, bool) {
	data, err := readBody(v)
	switch {
	case err == nil:
		if !r.authenticate(v) {
			return nil, false
		}
		v.fingerprint = route.FingerprintOf(v.org.Name, v.r.Method, v.r.Host, v.r.URL.RequestURI(), data)
		return data, true
	case errors.Is(err, errBodyTooLarge):
		drainBody(v)
		v.w.Header().Set("Connection", "close")
		r.rejectInvalid(v, http.StatusRequestEntityTooLarge, "body_too_large", err)
	default:
		v.w.Header().Set("Connection", "close")
		r.rejectInvalid(v, http.StatusRequestTimeout, "body_incomplete", err)
	}
	return nil, false
}

// Limits on reading the rest of a rejected body. Without reading it, a caller
// that is still sending would see a connection reset instead of the response.
const (
	bodyDrainLimit   = 16 << 20
	bodyDrainTimeout = time.Second
)

// drainBody reads and discards the rest of a rejected body.
func drainBody(v *callerRequest) {
	if http.NewResponseController(v.w).SetReadDeadline(time.Now().Add(bodyDrainTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, v.r.Body, bodyDrainLimit)
	}
}

// handleCompletion returns the handler of an OpenAI completion path.
func (r *Router) handleCompletion(chat bool) func(*callerRequest) {
	return func(v *callerRequest) {
		data, ok := r.receiveBody(v)
		if !ok {
			return
		}
		for try := 1; ; try++ {
			retry := r.tryCompletion(v, data, chat, try < maxCheckAttempts)
			if !retry || !r.authenticate(v) {
				return
			}
		}
	}
}

// maxCheckAttempts is how many times a request is validated at most; it is
// validated again if the configuration changed before it was admitted.
const maxCheckAttempts = 3

// tryCompletion validates a body, serves the completion and writes the response.
// It returns true, without a response, if mayRetry is set and the request was
// refused because the configuration changed or is no longer confirmed.
func (r *Router) tryCompletion(v *callerRequest, data []byte, chat, mayRetry bool) (retry bool) {
	comp, err := r.protocol.Completion(data, chat)
	if err != nil {
		r.rejectInvalid(v, http.StatusBadRequest, "invalid_request", err)
		return false
	}
	params := comp.Ask()
	model, adapter, ok := v.snap.Model(params.Model)
	if !ok {
		r.rejectInvalid(v, http.StatusNotFound, "model_not_found", fmt.Errorf("model %q is not configured", params.Model))
		return false
	}
	if n := route.Tokens(len(params.Text)); n > model.MaxPromptTokens {
		err := fmt.Errorf("the prompt has about %d tokens, %s takes %d", n, model.Name, model.MaxPromptTokens)
		r.rejectInvalid(v, http.StatusBadRequest, "context_length_exceeded", err)
		return false
	}
	answer, refusal := r.complete(v, comp, model, adapter)
	if refusal == nil {
		return false
	}
	if mayRetry && (refusal.Cause == route.CauseChanged || refusal.Cause == route.CauseFenced) {
		return true
	}
	answer.Fail(*refusal)
	return false
}

// newRequest returns a routing request with the fields common to completions and service calls.
func (v *callerRequest) newRequest(id, pool string, timeout time.Duration) route.Request {
	req := route.Request{
		ID:        id,
		Nonce:     rand.Text(),
		Revision:  v.snap.Revision,
		Org:       v.org.Name,
		Print:     v.fingerprint,
		Pool:      pool,
		Deadline:  v.startedAt.Add(timeout),
		QueueTime: time.Duration(v.snap.Config.Requests.QueueTimeout),
	}
	if p, ok := v.snap.PolicyFor(v.labels); ok {
		req.Priority = p.Priority
	}
	return req
}
