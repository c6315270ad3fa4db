package transport

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxRetryAfter bounds the rest that a target may ask for.
const maxRetryAfter = time.Hour

// RetryAfter reads for how long a target that turned a request away wants none: seconds or a date (RFC 9110,
// 10.2.3), which is held against the target's own clock where it tells the time. It is zero where the target
// asks for nothing, or for what is no time; of several values the longest counts.
func RetryAfter(h http.Header, now time.Time) time.Duration {
	if at, err := http.ParseTime(h.Get("Date")); err == nil {
		now = at
	}
	rest := time.Duration(0)
	for _, value := range h["Retry-After"] {
		rest = max(rest, parseRetryAfter(strings.TrimSpace(value), now))
	}
	return min(rest, maxRetryAfter)
}

func parseRetryAfter(value string, now time.Time) time.Duration {
	if s, err := strconv.ParseFloat(value, 64); err == nil && s > 0 {
		return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	if until, err := http.ParseTime(value); err == nil {
		return until.Sub(now)
	}
	return 0
}
