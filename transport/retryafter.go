package transport

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxRetryAfter bounds the back-off that a target may request.
const maxRetryAfter = time.Hour

// RetryAfter returns how long a target that refused a request wants no further ones: the Retry-After header,
// in seconds or as a date (RFC 9110, section 10.2.3). A date is compared with the target's own clock if the
// answer has a Date header, and with now otherwise. The result is zero without a valid value; of several values
// the longest counts.
func RetryAfter(h http.Header, now time.Time) time.Duration {
	if at, err := http.ParseTime(h.Get("Date")); err == nil {
		now = at
	}
	delay := time.Duration(0)
	for _, value := range h["Retry-After"] {
		delay = max(delay, parseRetryAfter(strings.TrimSpace(value), now))
	}
	return min(delay, maxRetryAfter)
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
