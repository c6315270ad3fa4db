package wire

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pathhead/pathhead/internal/door"
	"github.com/pathhead/pathhead/route"
)

// Headers of answers to callers.
const (
	headerVerdict      = "X-Pathhead-Verdict"
	headerRetryAfterMS = "Retry-After-Ms"
	headerShouldRetry  = "X-Should-Retry"
)

// errorBody is the JSON body of every error, in the format of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string `json:"message"`
	Type         string `json:"type"`
	Code         string `json:"code"`
	Verdict      string `json:"verdict"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

func refusalBody(f route.Refusal) errorBody {
	return errorBody{errorDetail{
		Message:      f.Cause.String() + ": " + f.Detail + " (" + f.Verdict.String() + ")",
		Type:         "pathhead_error",
		Code:         f.Cause.String(),
		Verdict:      f.Verdict.String(),
		RetryAfterMS: f.RetryAfter.Milliseconds(),
	}}
}

// statusOf returns the HTTP status of a refusal.
func statusOf(c route.Cause) int {
	switch c {
	case route.CauseLimit:
		return http.StatusTooManyRequests
	case route.CauseDeadline:
		return http.StatusGatewayTimeout
	case route.CauseBroken:
		return http.StatusBadGateway
	case route.CauseClaimed:
		return http.StatusConflict
	case route.CauseOverload, route.CauseNoTarget, route.CauseRetries,
		route.CauseStopping, route.CauseFenced, route.CauseChanged, route.CauseStore, route.CauseCrashes:
		return http.StatusServiceUnavailable
	}
	panic("wire: unknown cause")
}

// Refuse implements [dispatch.Protocol].
func (o *OpenAI) Refuse(w http.ResponseWriter, f route.Refusal) { writeRefusal(w, f) }

func writeRefusal(w http.ResponseWriter, f route.Refusal) {
	h := w.Header()
	h.Set(headerVerdict, f.Verdict.String())
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((f.RetryAfter+time.Second-1)/time.Second)))
		h.Set(headerRetryAfterMS, strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
	} else {
		h.Set(headerShouldRetry, "false")
	}
	door.WriteJSON(w, statusOf(f.Cause), refusalBody(f))
}

// Fault implements [dispatch.Protocol].
func (o *OpenAI) Fault(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set(headerVerdict, route.NotRun.String())
	w.Header().Set(headerShouldRetry, "false")
	door.WriteJSON(w, status, errorBody{errorDetail{
		Message: message, Type: "invalid_request_error", Code: code, Verdict: route.NotRun.String(),
	}})
}
